// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// A gang that no shard can hold, or that fits one only while nearly nothing else runs
// there, is run by all shards of its service together. Each owner calls its own workers
// only, under its own epoch, and persists what ends there. The owner that speaks for the
// job, the lead, asks the others again and again how the gang stands with them, and lets
// all start their members once there is room for all and nothing of it runs anywhere.
//
// A member runs once at a time, since the lead starts only if every owner has said, knowing
// all of its workers, that nothing of the gang may run there, and since each owner takes a
// start only under the epoch with which it said so, from no older lead, and with a number
// above all that it has heard of. Where the owners' views of a run differ, all stop it.

// GangQuery asks another shard's owner how a gang stands there.
type GangQuery struct {
	Step StepID `json:"step"`
	// Epoch is that of the lead; an owner that has heard a higher one refuses.
	Epoch int64 `json:"epoch"`
	// Run is the highest number that a run of the gang has had; none up to it begins any
	// more, and with Stop what is there is stopped.
	Run  int64 `json:"run"`
	Stop bool  `json:"stop,omitempty"`
	// Members is for how many members room is to be kept, and StartsInMS in what time they
	// are expected to start.
	Members    int   `json:"members,omitempty"`
	StartsInMS int64 `json:"starts_in_ms,omitempty"`
}

// GangState is how a gang stands with one shard.
type GangState struct {
	// Epoch is that of the shard's owner.
	Epoch int64 `json:"epoch"`
	// AllKnown is set if the owner knows all that may run of the gang on its workers.
	AllKnown bool `json:"settled,omitempty"`
	// Busy is set if anything of the gang may run there; Run is the highest number known
	// there, and Running how many of that run are not being stopped.
	Busy    bool  `json:"busy,omitempty"`
	Run     int64 `json:"run"`
	Running int   `json:"running,omitempty"`
	// Done is set once a member has succeeded, and Failed are the runs that failed.
	Done       bool    `json:"done,omitempty"`
	Failed     []int64 `json:"failed,omitempty"`
	Checkpoint string  `json:"checkpoint,omitempty"`
	// Ready is how many members could start at once, Soon for how many room comes free in
	// time, and InMS when there is room for those that were asked for.
	Ready     int   `json:"ready,omitempty"`
	ReadySoon int   `json:"soon,omitempty"`
	ReadyInMS int64 `json:"in_ms,omitempty"`
}

// GangStart orders another shard's owner to start members of a gang at once.
type GangStart struct {
	Step StepID `json:"step"`
	// Epoch is that of the lead, and OwnerEpoch the one with which the owner answered.
	Epoch      int64 `json:"epoch"`
	OwnerEpoch int64 `json:"owner_epoch"`
	Run        int64 `json:"run"`
	// From and To are the first member and the one behind the last.
	From       int    `json:"from"`
	To         int    `json:"to"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// GangPoll is one question to all other shards of a gang.
type GangPoll struct {
	Step    StepID
	Queries []ShardMessage[GangQuery]
}

// ShardMessage is something for, or of, another shard of a gang.
type ShardMessage[T any] struct {
	Shard cluster.ShardID
	Body  T
}

// jointState is what is known of a gang that several shards run together.
type jointState struct {
	// leadEpoch is the highest epoch of a lead that was heard, and heardAt when.
	leadEpoch int64
	queriedAt time.Time
	// members and startsAt are as in the last GangQuery.
	members  int
	startsAt time.Time
	// memberPlan are for how many members each shard is to keep room, as the lead would have it.
	memberPlan []int
	// startsIn is in what time the lead expects the start, and stop is set while it wants
	// what runs of the gang to be stopped.
	startsIn time.Duration
	stopRuns bool
	// loggedAt is when the log last told that the gang waits.
	loggedAt time.Time
}

const (
	// gangQueryTTL is for how long a lead's question counts: a shard whose lead has gone keeps
	// no room and asks for no advice.
	gangQueryTTL = 800 * time.Millisecond
	// gangReservationTTL is for how long room is kept from one question to the next.
	gangReservationTTL = 500 * time.Millisecond
	// ticketRenewBefore is how long before its end a ticket is renewed: all shards need theirs at
	// the same time.
	ticketRenewBefore = time.Second
)

// isJoint reports whether several shards run the job's gangs together, and isGuest whether
// another one speaks for it.
func (j *job) isJoint() bool       { return j.spec.Share.Joint }
func (j *job) isParticipant() bool { return j.isJoint() && !j.spec.Share.Leads() }

// recentlyQueried reports whether a gang's lead, which may be this owner, has asked lately.
func (st *step) recentlyQueried(now time.Time) bool {
	return now.Sub(st.joint.queriedAt) < gangQueryTTL
}

// jointGang returns a gang that several shards run together, or nil.
func (s *Shard) jointGang(id StepID) *step {
	j := s.jobs[id.Job]
	if j == nil || j.state.Finished() || !j.isJoint() || id.Repeat >= len(j.repeats) || id.Step >= len(j.repeats[id.Repeat].steps) {
		return nil
	}
	if st := j.repeats[id.Repeat].steps[id.Step]; st.spec.Gang {
		return st
	}
	return nil
}

// AnswerGangQuery answers a lead; ok is false if the job isn't known here, or the lead has been
// replaced.
func (s *Shard) AnswerGangQuery(now time.Time, q GangQuery) (state GangState, ok bool) {
	st := s.jointGang(q.Step)
	if st == nil || q.Epoch < st.joint.leadEpoch {
		return GangState{}, false
	}
	s.applyGangQuery(now, st, q)
	return s.gangState(now, st), true
}

// applyGangQuery notes what a lead asks for, and stops what it wants stopped.
func (s *Shard) applyGangQuery(now time.Time, st *step, q GangQuery) {
	st.joint.leadEpoch, st.joint.queriedAt = q.Epoch, now
	st.joint.members, st.joint.startsAt = q.Members, now.Add(time.Duration(q.StartsInMS)*time.Millisecond)
	st.lastGangRun = max(st.lastGangRun, q.Run)
	if !q.Stop {
		return
	}
	for _, t := range st.tasks {
		for _, r := range t.runs {
			s.stop(now, r, "gang: not whole")
		}
	}
}

// gangState returns how a gang stands here, and keeps room for it if that is asked for.
func (s *Shard) gangState(now time.Time, st *step) GangState {
	g := s.gangRunState(st)
	if g.Busy || g.Done {
		return g
	}
	s.reserveForJointGang(now, st, &g)
	if len(st.startable(now)) == len(st.tasks) {
		g.Ready = min(s.countStartable(now, st), len(st.tasks))
	}
	return g
}

// gangRunState returns what of a gang may run here, and what has ended.
func (s *Shard) gangRunState(st *step) GangState {
	g := GangState{
		Epoch: s.params.Epoch, AllKnown: !st.job.inherited || s.takeover.complete, Run: st.lastGangRun,
		Failed: st.tasks[0].failed, Checkpoint: st.checkpoint(),
	}
	for _, t := range st.tasks {
		g.Done = g.Done || t.done
		g.AllKnown = g.AllKnown && !t.uncertain
		g.Busy = g.Busy || len(t.runs) > 0
		for _, r := range t.runs {
			if r.number == st.lastGangRun && !r.stopping {
				g.Running++
			}
		}
	}
	return g
}

// reserveForJointGang looks for room for all members of a gang, and sets it aside for as many as
// the lead asks for. Of several such gangs the first in an order that is the same in all
// shards has room set aside: two that each had a part of what both need would wait for
// each other.
func (s *Shard) reserveForJointGang(now time.Time, st *step, g *GangState) {
	s.releaseReservations(st)
	places := s.soonestPlacements(now, st, len(st.tasks), maxGangReserveWait)
	g.ReadySoon = len(places)
	places = places[:min(st.joint.members, len(places))]
	if len(places) == 0 {
		return
	}
	longest := places[len(places)-1].in
	g.ReadyInMS = longest.Milliseconds()
	if s.firstJointGang(now) != st {
		return
	}
	at := now.Add(longest)
	if at.Before(st.joint.startsAt) {
		at = st.joint.startsAt
	}
	for _, p := range places {
		p.w.reserve(st, now.Add(gangReservationTTL), at)
	}
}

// firstJointGang returns the gang that comes first of those for which a lead wants room kept.
func (s *Shard) firstJointGang(now time.Time) (first *step) {
	for _, j := range s.active {
		if !j.isJoint() {
			continue
		}
		for st := range j.steps() {
			if st.joint.members > 0 && st.recentlyQueried(now) && (first == nil || compareGangs(st, first) < 0) {
				first = st
			}
		}
	}
	return first
}

// compareGangs orders gangs by what all shards know alike.
func compareGangs(a, b *step) int {
	x, y := a.job.spec, b.job.spec
	return cmp.Or(cmp.Compare(x.Policy.Priority, y.Policy.Priority), cmp.Compare(x.AcceptedMS, y.AcceptedMS),
		cmp.Compare(x.ID, y.ID), cmp.Compare(a.id.Repeat, b.id.Repeat), cmp.Compare(a.id.Step, b.id.Step))
}

// startMembersHere starts some members of a gang here, or none if there is no room for all of them.
func (s *Shard) startMembersHere(now time.Time, st *step, from, to int, run int64, checkpoint string) bool {
	places := s.placeMembers(now, st, to-from, anyWorker)
	if places == nil {
		return false
	}
	st.lastGangRun = run
	s.startMembers(now, st.tasks[from:to], places, run, checkpoint)
	s.releaseReservations(st)
	return true
}

// StartGangMembers starts members of a gang for its lead; false: none was started.
func (s *Shard) StartGangMembers(now time.Time, g GangStart) bool {
	st := s.jointGang(g.Step)
	if st == nil || g.OwnerEpoch != s.params.Epoch || g.Epoch < st.joint.leadEpoch || g.Run <= st.lastGangRun ||
		g.From < 0 || g.To > len(st.tasks) || g.From >= g.To {
		return false
	}
	if g := s.gangRunState(st); g.Busy || g.Done || !g.AllKnown {
		return false
	}
	return s.startMembersHere(now, st, g.From, g.To, g.Run, g.Checkpoint)
}

// requestJointAdvice asks for advice on this shard's workers for a gang that its lead asks about:
// on all of them that could hold a member, since the lead needs to know for how many of the
// gang there is room, and again before tickets run out.
func (s *Shard) requestJointAdvice(now time.Time, st *step) {
	if !st.recentlyQueried(now) || !st.needsTicket() {
		return
	}
	total, _ := s.approvedRoom(now, st)
	if total < int(gangOversampling*float64(len(st.tasks))) && s.requestAdviceOnUnknown(now, st, len(st.tasks)) {
		return
	}
	s.renewTickets(now, st)
}

// renewTickets asks about all workers that are known to be good once a ticket of one of
// them ends soon. Room comes and goes within tenths of a second on busy workers, and has to
// be there in all shards at once: tickets that were asked for where there was room came too
// late for it.
func (s *Shard) renewTickets(now time.Time, st *step) {
	if !st.mayRequestAdvice(now) {
		return
	}
	var names []string
	due := false
	for _, w := range s.workerList {
		ans := st.advice.answers[w.info.ID]
		if !ans.approved || !s.fitsWhenIdle(now, w, st) || len(names) == maxWorkersPerCall {
			continue
		}
		names = append(names, w.info.ID)
		due = due || ans.expires.Sub(now) < ticketRenewBefore
	}
	if due {
		s.requestAdviceOn(now, st, names)
	}
}

// ParticipantJobs returns the jobs of which this shard runs members of gangs for another one.
func (s *Shard) ParticipantJobs() (ids []string) {
	for _, j := range s.active {
		if j.isParticipant() {
			ids = append(ids, j.spec.ID)
		}
	}
	return ids
}

// ParticipantJobEnded ends a job of which the shard that speaks for it says that it has ended.
func (s *Shard) ParticipantJobEnded(now time.Time, id string, state cluster.State) {
	if j := s.jobs[id]; j != nil && j.isParticipant() && !j.state.Finished() {
		s.finishJob(now, j, state)
	}
}
