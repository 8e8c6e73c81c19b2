// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/quota"
	"switchbank.example/switchbank/internal/resource"
)

// This file decides which parts of teams' limits a shard asks other shards for, and which it gives
// to them. It answers a team whose work waits in one shard while its limit is idle in another.

// TeamPart is a part of a team's limit, in millionths of it.
type TeamPart struct {
	Team string `json:"team"`
	Part int64  `json:"part"`
}

// TakeNewlyBlocked reports whether a team has come to wait at its limit since the last call.
func (s *Shard) TakeNewlyBlocked() bool {
	blocked := s.newlyBlocked
	s.newlyBlocked = false
	return blocked
}

// TeamWant is what a shard asks others for: the part of a team's limit with which all tasks could
// start there that wait for it, and the part for the most urgent step of these. A Part of 0 asks for
// all of First, or nothing: with it a task or a gang of a job that has stalled could start at once.
type TeamWant struct {
	TeamPart
	First   int64   `json:"first"`
	Urgency Urgency `json:"urgency"`
	// Hold is set if less urgent steps of the team have to be held back for that step.
	Hold bool `json:"hold,omitempty"`
}

// TeamWants returns the parts of teams' limits with which more waiting tasks could start here.
func (s *Shard) TeamWants(now time.Time) (wants []TeamWant) {
	if s.takeover.open {
		return nil
	}
	for _, t := range s.teamList {
		if t.blocked == (resource.Amount{}) {
			continue
		}
		room := s.headroom(t).Sub(t.pendingUse()).Max(resource.Amount{})
		w := TeamWant{
			TeamPart: TeamPart{t.name, quota.PartFor(t.limit, t.blocked.Sub(room))}, First: quota.PartFor(t.limit, t.firstNeed.Sub(room)), Urgency: t.firstUrgency,
			Hold: now.Before(t.heldUntil) && t.heldFor == t.firstUrgency,
		}
		if w.Part > 0 {
			wants = append(wants, w)
		}
		if part := quota.PartFor(t.limit, t.stalledNeed.Sub(room)); part > 0 {
			wants = append(wants, TeamWant{TeamPart: TeamPart{Team: t.name}, First: part, Urgency: t.stalledUrgency})
		}
	}
	return wants
}

// GiveTeamParts gives to another shard of the parts that it wants those for which this shard has
// no use now, or a less urgent one, and reports whether it gave any. They must be persisted before
// the other shard is told. An owner that does not know yet all that runs here gives none.
func (s *Shard) GiveTeamParts(now time.Time, to int, wants []TeamWant) (changed bool) {
	if s.takeover.open || !s.ledger.MayGive() {
		return false
	}
	s.unseenRound = -1
	given := make(map[string]int64, len(wants))
	for _, w := range wants {
		t := s.teams[w.Team]
		if t == nil || !t.known {
			continue
		}
		yields := t.blocked == (resource.Amount{}) || s.isMoreUrgent(to, w.Urgency, t.firstUrgency)
		part := min(t.askedPart(&w, yields), quota.PartWithin(t.limit, s.headroom(t).Sub(t.pendingBefore(w.Urgency))), s.ledger.Part(t.name))
		if w.Part == 0 {
			lacking := w.First - given[w.Team]
			if part < lacking {
				continue
			}
			part = lacking
		}
		if w.Hold && part < w.First && yields {
			t.hold(now, w.Urgency)
		}
		if part <= 0 {
			continue
		}
		given[w.Team] += part
		s.ledger.Give(t.name, to, part)
		changed = true
		s.log.Info("part of a team's limit given", events.TeamPartGiven, zap.String("team", t.name), zap.Int("shard", to), zap.Int64("part", part))
	}
	return changed
}

// isMoreUrgent reports whether what another shard wants is more urgent than what waits here. Shards
// that wait with parts of the same job each have too little for a task, so that the first shard
// has to get it.
func (s *Shard) isMoreUrgent(other int, wanted, here Urgency) bool {
	return wanted.Before(here) || (wanted == here && other < s.params.Index)
}

// askedPart returns up to which part this shard gives if it has room: nothing to a less urgent
// step, and if tasks wait here only what the more urgent step needs.
func (t *teamState) askedPart(w *TeamWant, yields bool) int64 {
	switch {
	case t.blocked == (resource.Amount{}):
		return max(w.Part, w.First)
	case yields:
		return w.First
	}
	return 0
}

// TeamPartsState returns what has to be persisted of the parts.
func (s *Shard) TeamPartsState() quota.State { return s.ledger.State() }

// HasOtherShard reports whether the service has another shard with that index.
func (s *Shard) HasOtherShard(index int) bool { return s.ledger.Has(index) }

// GivenParts is what a shard has given to another one in total. Gifts of another generation of the
// same shard come on top.
type GivenParts struct {
	Generation int64      `json:"generation,omitempty"`
	Parts      []TeamPart `json:"parts,omitempty"`
}

// GivenTo returns what this shard has given to another one in total.
func (s *Shard) GivenTo(shard int) GivenParts {
	given := GivenParts{Generation: s.ledger.Generation()}
	for name, total := range s.ledger.GivenTo(shard) {
		given.Parts = append(given.Parts, TeamPart{name, total})
	}
	slices.SortFunc(given.Parts, func(a, b TeamPart) int { return cmp.Compare(a.Team, b.Team) })
	return given
}

// RestoreTeamParts sets what was persisted of the parts.
func (s *Shard) RestoreTeamParts(state quota.State) { s.ledger.Restore(state) }

// ForgetTeamPartsGiven records that it isn't known what this shard has given.
func (s *Shard) ForgetTeamPartsGiven() { s.ledger.Forget(s.params.Epoch) }

// ReceiveTeamParts records what another shard has given to this one in total, and reports whether
// that is more than was known.
func (s *Shard) ReceiveTeamParts(from int, given GivenParts) (more bool) {
	totals := make(map[string]int64, len(given.Parts))
	for _, p := range given.Parts {
		totals[p.Team] = p.Part
	}
	return s.ledger.Receive(from, given.Generation, totals)
}

// TeamPartsKnown records that all other shards have said what they have given to this one.
func (s *Shard) TeamPartsKnown() { s.partsKnown = true }
