// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/quota"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
	"switchbank.example/switchbank/internal/team"
)

// Each shard has a part of each team's limit (package quota). An owner whose tasks wait at its
// part asks the owners of a few other shards for some of theirs. One that gives persists that on
// condition of its fence, before it answers: a later owner of its shard knows what was given,
// and an earlier one can't give any more. The answer says what was given in total, so that the
// answers to later requests make up for one that was lost.

const (
	// teamPartsInterval is the shortest time between two rounds of requests. After a round that
	// brought nothing the next one follows as soon as another team comes to wait at its limit,
	// or after idleTeamPartsInterval.
	teamPartsInterval     = 50 * time.Millisecond
	idleTeamPartsInterval = 400 * time.Millisecond
	// teamPartsPerRound is how many other shards are asked in a round.
	teamPartsPerRound = 3
	// teamPartsTimeout bounds a request: the other owner makes one write before it answers.
	teamPartsTimeout = 600 * time.Millisecond
)

// teamPartsKey is the key of the row that holds what a shard has given to others.
const teamPartsKey = "!teams"

// TeamPartsRequest asks a shard's owner for parts of teams' limits, and for what it has given
// before.
type TeamPartsRequest struct {
	// From is the index of the shard that asks.
	From  int                  `json:"from"`
	Wants []scheduler.TeamWant `json:"wants,omitempty"`
}

// teamParts is the state of an owner's exchange of parts.
type teamParts struct {
	// writing holds a value while the row is being written.
	writing chan struct{}
	// version is that of the row, and unsaved is set while it may not hold all that was given.
	version int64
	unsaved bool
	// answered are the shards that have said what they gave to this one.
	answered map[int]bool
	// next is the shard to ask first in the next round.
	next int
}

// SetTeams sets the teams of the configuration in force.
func (o *Owner) SetTeams(teams []team.Team) {
	o.updateShard(func(s *scheduler.Shard, now time.Time) { s.SetTeams(now, teams) })
}

// TeamUses returns the use of the teams' limits in this shard.
func (o *Owner) TeamUses() []scheduler.TeamUse {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.TeamUses()
}

// applyTeamParts takes what earlier owners have given to other shards. The caller holds mu.
func (o *Owner) applyTeamParts(r tables.Row) {
	o.teamParts.version = r.Version
	if o.cfg.Layout.Shards == 1 {
		return // There is nobody to give to.
	}
	var state quota.State
	if err := json.Unmarshal(r.Value, &state); err != nil || !state.Valid() {
		o.Log.Warn("unreadable row of given parts: the shard counts only on what it receives", events.RowSkipped, zap.String("key", r.Key), zap.Error(err))
		o.shard.ForgetTeamPartsGiven()
		return
	}
	o.shard.RestoreTeamParts(state)
}

// HandleTeamParts gives parts of teams' limits to another shard, as far as this one has no use
// for them, and answers with what that shard was given in total.
func (o *Owner) HandleTeamParts(ctx context.Context, req TeamPartsRequest) (scheduler.GivenParts, error) {
	p := &o.teamParts
	select {
	case p.writing <- struct{}{}:
		defer func() { <-p.writing }()
	case <-ctx.Done():
		return scheduler.GivenParts{}, &Error{"give parts", KindRefused, ctx.Err()}
	}
	var given scheduler.GivenParts
	var state quota.State
	ok := false
	o.updateShard(func(s *scheduler.Shard, now time.Time) {
		if ok = o.loaded && s.HasOtherShard(req.From); !ok {
			return
		}
		if !o.fallback.active() && s.GiveTeamParts(now, req.From, req.Wants) {
			p.unsaved = true
		}
		given, state = s.GivenTo(req.From), s.TeamPartsState()
	})
	if !ok {
		return scheduler.GivenParts{}, &Error{"give parts", KindRefused, errors.New("the shard is not loaded, or there is no shard that asks")}
	}
	if p.unsaved {
		if err := o.saveTeamParts(ctx, state); err != nil {
			return scheduler.GivenParts{}, err
		}
	}
	return given, nil
}

// saveTeamParts persists what was given. What could not be saved stays given, and is saved before
// the next answer. The caller has the turn to write.
func (o *Owner) saveTeamParts(ctx context.Context, state quota.State) error {
	p := &o.teamParts
	value, err := json.Marshal(state)
	if err != nil {
		panic("owner: given parts hold only names and numbers: " + err.Error())
	}
	row := tables.Row{Table: TableProgress, Part: ProgressPart(o.cfg.Shard), Key: teamPartsKey, Version: p.version}
	put := row
	put.Value = value
	res, err := o.Tables.Commit(ctx, tables.Txn{If: []tables.Row{o.fence(), row}, Put: []tables.Row{put}})
	if err != nil {
		o.Log.Info("saving given parts failed", events.StoreFailed, zap.Stringer("shard", o.cfg.Shard), zap.Error(err))
		return &Error{"give parts", KindConflict, err}
	}
	if res.Committed {
		p.version, p.unsaved = res.Version, false
		return nil
	}
	if o.fenceLost(res.Current) {
		o.EndOwnership(fenceChangedEvidence)
	}
	p.version = 0
	for _, r := range res.Current {
		if r.Key == teamPartsKey {
			p.version = r.Version
		}
	}
	return &Error{"give parts", KindConflict, errors.New("the row has changed")}
}

// teamPartsLoop asks other shards for parts of the limits at which tasks wait here, and at the
// start asks all for what they have given to this one.
func (o *Owner) teamPartsLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		received := o.requestTeamParts(ctx)
		tables.Sleep(ctx, teamPartsInterval)
		if received {
			continue
		}
		select {
		case <-ctx.Done():
		case <-o.wakeTeamParts:
		case <-time.After(idleTeamPartsInterval):
		}
	}
	return nil
}

// requestTeamParts makes one round of requests and reports whether it brought anything.
func (o *Owner) requestTeamParts(ctx context.Context) (received bool) {
	o.mu.Lock()
	wants := o.shard.TeamWants(time.Now())
	o.mu.Unlock()
	targets := o.teamPartsTargets(len(wants) > 0)
	replies := make([]*scheduler.GivenParts, len(targets))
	var wg sync.WaitGroup
	for i, shard := range targets {
		wg.Go(func() {
			c, cancel := context.WithTimeout(ctx, teamPartsTimeout)
			defer cancel()
			reply, err := o.Shards.RequestTeamParts(c, shard, TeamPartsRequest{From: o.cfg.Shard.Index, Wants: wants})
			if err == nil {
				replies[i] = &reply
			} else if ctx.Err() == nil {
				o.Log.Debug("request for parts failed", events.PeerLost, zap.Stringer("shard", shard), zap.Error(err))
			}
		})
	}
	wg.Wait()
	o.updateShard(func(s *scheduler.Shard, _ time.Time) {
		for i, reply := range replies {
			if reply != nil {
				o.teamParts.answered[targets[i].Index] = true
				received = s.ReceiveTeamParts(targets[i].Index, *reply) || received
			}
		}
		if len(o.teamParts.answered) == o.cfg.Layout.Shards-1 {
			s.TeamPartsKnown()
		}
	})
	return received
}

// teamPartsTargets returns the shards to ask: those that have not answered yet and, if parts are
// wanted, the next ones in turn.
func (o *Owner) teamPartsTargets(wanted bool) (targets []cluster.ShardID) {
	p, ids := &o.teamParts, o.cfg.Layout.IDs()
	chosen := make(map[int]bool)
	if wanted {
		for range min(teamPartsPerRound, len(ids)-1) {
			if p.next = (p.next + 1) % len(ids); p.next == o.cfg.Shard.Index {
				p.next = (p.next + 1) % len(ids)
			}
			chosen[p.next] = true
		}
	}
	for _, id := range ids {
		if id != o.cfg.Shard && (chosen[id.Index] || !p.answered[id.Index]) {
			targets = append(targets, id)
		}
	}
	return targets
}
