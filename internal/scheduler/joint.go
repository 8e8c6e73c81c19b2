// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// A joint gang is one that no single shard can hold, or that fits a shard only while
// nearly nothing else runs there. All shards of its service run it together. Each owner
// calls only its own workers, under its own epoch, and persists the ends of its own runs.
// The owner that is in charge of the job, the lead, repeatedly queries the others, the
// participants, about the state of the gang, and lets all start their members once there
// is room for all of them and nothing of the gang runs anywhere.
//
// Each member runs at most once at a time. The lead starts the gang only after every
// owner has said, knowing all of its workers, that nothing of the gang may run there. A
// participant accepts a start only for the epoch with which it said so, from a lead that
// has not been replaced, and with a run number above all that it knows. If the owners
// disagree about a run, all stop it.

// GangQuery asks a participant for the state of a gang in its shard.
type GangQuery struct {
	Step StepID `json:"step"`
	// Epoch is that of the lead; an owner that has seen a higher one refuses.
	Epoch int64 `json:"epoch"`
	// Run is the highest run number that the gang has used; no run up to it starts any
	// more. Stop asks the participant to stop all of the gang's runs.
	Run  int64 `json:"run"`
	Stop bool  `json:"stop,omitempty"`
	// Members is for how many members to reserve room, and StartsInMS in what time they
	// are expected to start.
	Members    int   `json:"members,omitempty"`
	StartsInMS int64 `json:"starts_in_ms,omitempty"`
}

// GangState is the state of a gang in one shard.
type GangState struct {
	// Epoch is that of the shard's owner.
	Epoch int64 `json:"epoch"`
	// AllKnown is set if the owner knows all runs of the gang that may be on its workers.
	AllKnown bool `json:"settled,omitempty"`
	// Busy is set if any run of the gang may be there. Run is the highest run number
	// known there, and Running how many members of that run are not being stopped.
	Busy    bool  `json:"busy,omitempty"`
	Run     int64 `json:"run"`
	Running int   `json:"running,omitempty"`
	// Done is set once a member has succeeded, and Failed are the numbers of the runs
	// that failed.
	Done       bool    `json:"done,omitempty"`
	Failed     []int64 `json:"failed,omitempty"`
	Checkpoint string  `json:"checkpoint,omitempty"`
	// Crashed are the runs under which workers of the shard crashed.
	Crashed []CrashedRun `json:"crashed,omitempty"`
	// Ready is how many members could start now, ReadySoon for how many room comes free
	// in time, and ReadyInMS in what time there is room for those that were asked for.
	Ready     int   `json:"ready,omitempty"`
	ReadySoon int   `json:"soon,omitempty"`
	ReadyInMS int64 `json:"in_ms,omitempty"`
}

// GangStart orders a participant to start members of a gang at once.
type GangStart struct {
	Step StepID `json:"step"`
	// Epoch is that of the lead, and OwnerEpoch the one with which the participant
	// answered.
	Epoch      int64 `json:"epoch"`
	OwnerEpoch int64 `json:"owner_epoch"`
	Run        int64 `json:"run"`
	// From is the first member, and To the one after the last.
	From       int    `json:"from"`
	To         int    `json:"to"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// GangPoll is a round of queries to all participants of a gang.
type GangPoll struct {
	Step    StepID
	Queries []ShardMessage[GangQuery]
}

// ShardMessage is a message to or from a shard.
type ShardMessage[T any] struct {
	Shard cluster.ShardID
	Body  T
}

// jointState is what a shard knows about a joint gang.
type jointState struct {
	// leadEpoch is the highest epoch of a lead that sent a query, and queriedAt when the
	// last one came.
	leadEpoch int64
	queriedAt time.Time
	// members and startsAt are as in the last GangQuery.
	members  int
	startsAt time.Time
	// memberPlan is for how many members the lead wants each shard to reserve room.
	memberPlan []int
	// startsIn is in what time the lead expects the start, and stopRuns is set while it
	// wants the gang's runs to be stopped.
	startsIn time.Duration
	stopRuns bool
	// loggedAt is when the wait of the gang was last logged.
	loggedAt time.Time
}

const (
	// gangQueryTTL is how long a lead's query counts: without a lead a participant
	// reserves no room and requests no advice.
	gangQueryTTL = 800 * time.Millisecond
	// gangReservationTTL is how long a reservation lasts from one query to the next.
	gangReservationTTL = 500 * time.Millisecond
	// ticketRenewBefore is how long before its expiry a ticket is renewed: all shards
	// need theirs at the same time.
	ticketRenewBefore = time.Second
)

// isJoint reports whether several shards run the job's gangs together.
func (j *job) isJoint() bool { return j.spec.Share.Joint }

// isParticipant reports whether another shard leads the job.
func (j *job) isParticipant() bool { return j.isJoint() && !j.spec.Share.Leads() }

// CrashedRun is a run of a gang's member under which a worker of another shard crashed.
type CrashedRun struct {
	Index  int    `json:"i"`
	Run    int64  `json:"run"`
	Worker string `json:"worker"`
	AgeMS  int64  `json:"ms"`
}

// crashedRuns returns the crashes under the members of a gang that are not cleared.
func (st *step) crashedRuns() (list []CrashedRun) {
	for i, t := range st.tasks {
		for k, run := range t.crashes.Runs {
			list = append(list, CrashedRun{i, run, t.crashes.Workers[k], t.crashes.LastAgeMS})
		}
	}
	return list
}

// recentlyQueried reports whether a gang's lead, which may be this owner, has sent a
// query within gangQueryTTL.
func (st *step) recentlyQueried(now time.Time) bool {
	return now.Sub(st.joint.queriedAt) < gangQueryTTL
}

// jointGang returns the joint gang with this ID, or nil.
func (s *Shard) jointGang(id StepID) *step {
	j := s.jobs[id.Job]
	if j == nil || j.state.Finished() || !j.isJoint() {
		return nil
	}
	if st := s.step(id); st != nil && st.spec.Gang {
		s.createTasks(st, st.spec.Count)
		return st
	}
	return nil
}

// AnswerGangQuery answers a lead's query; ok is false if the job is not known here, or
// the lead has been replaced.
func (s *Shard) AnswerGangQuery(now time.Time, q GangQuery) (state GangState, ok bool) {
	st := s.jointGang(q.Step)
	if st == nil || q.Epoch < st.joint.leadEpoch {
		return GangState{}, false
	}
	s.applyGangQuery(now, st, q)
	return s.gangState(now, st), true
}

// applyGangQuery records what a lead asks for, and stops the gang's runs if it says so.
func (s *Shard) applyGangQuery(now time.Time, st *step, q GangQuery) {
	st.joint.leadEpoch, st.joint.queriedAt = q.Epoch, now
	st.joint.members, st.joint.startsAt = q.Members, now.Add(time.Duration(q.StartsInMS)*time.Millisecond)
	st.lastGangRun = max(st.lastGangRun, q.Run)
	if !q.Stop {
		return
	}
	for _, t := range st.tasks {
		for _, r := range t.runs {
			s.stop(now, r, "gang: not all members run")
		}
	}
}

// gangState returns the state of a gang in this shard, and reserves room for it if its
// lead asks for that.
func (s *Shard) gangState(now time.Time, st *step) GangState {
	g := s.gangRunState(st)
	if g.Busy || g.Done {
		return g
	}
	s.reserveForJointGang(now, st, &g)
	if len(s.startable(now, st)) == st.spec.Count {
		g.Ready = s.startsWithinLimit(now, st, min(s.countStartable(now, st), st.spec.Count))
	}
	return g
}

// gangRunState returns the part of a gang's state that concerns its runs.
func (s *Shard) gangRunState(st *step) GangState {
	g := GangState{
		Epoch: s.params.Epoch, AllKnown: !st.job.inherited || s.takeover.complete, Run: st.lastGangRun,
		Failed: st.tasks[0].failed, Checkpoint: st.checkpoint(), Crashed: st.crashedRuns(),
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

// reserveForJointGang looks for room for all members of a gang, and reserves it for as
// many as the lead asks for. Of several joint gangs only the first gets a reservation, in
// an order that is the same in all shards: two gangs that each held a part of the room
// would deadlock.
func (s *Shard) reserveForJointGang(now time.Time, st *step, g *GangState) {
	s.releaseReservations(st)
	places := s.soonestPlacements(now, st, st.spec.Count, maxGangReserveWait)
	within := s.startsWithinLimit(now, st, len(places))
	if within < len(places) {
		s.limitBlocks(now, st, len(places)-within)
	}
	places = places[:within]
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
	startsAt := latest(st.joint.startsAt, now.Add(longest))
	for _, p := range places {
		p.w.reserve(st, now.Add(gangReservationTTL), startsAt)
	}
}

// firstJointGang returns the first of the gangs for which a lead asks for reservations.
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

// compareGangs orders gangs only by what is the same in all shards.
func compareGangs(a, b *step) int {
	x, y := a.job.spec, b.job.spec
	return cmp.Or(cmp.Compare(x.Policy.Priority, y.Policy.Priority), cmp.Compare(x.AcceptedMS, y.AcceptedMS),
		cmp.Compare(x.ID, y.ID), cmp.Compare(a.id.Repeat, b.id.Repeat), cmp.Compare(a.id.Step, b.id.Step))
}

// startMembersHere starts some members of a gang in this shard, or none if there is no
// room for all of them.
func (s *Shard) startMembersHere(now time.Time, st *step, from, to int, run int64, checkpoint string) bool {
	s.unseenRound = -1
	if !s.mayStart(now) || s.startsWithinLimit(now, st, to-from) < to-from {
		return false
	}
	places := s.placeMembers(now, st, to-from, anyWorker)
	if places == nil {
		return false
	}
	st.lastGangRun = run
	s.startMembers(now, st.tasks[from:to], places, run, checkpoint)
	s.releaseReservations(st)
	return true
}

// StartGangMembers starts members of a gang by order of its lead; false: none was
// started.
func (s *Shard) StartGangMembers(now time.Time, g GangStart) bool {
	st := s.jointGang(g.Step)
	if st == nil || g.OwnerEpoch != s.params.Epoch || g.Epoch < st.joint.leadEpoch || g.Run <= st.lastGangRun ||
		g.From < 0 || g.To > st.spec.Count || g.From >= g.To {
		return false
	}
	if g := s.gangRunState(st); g.Busy || g.Done || !g.AllKnown {
		return false
	}
	return s.startMembersHere(now, st, g.From, g.To, g.Run, g.Checkpoint)
}

// requestJointAdvice requests advice on all workers of this shard that could hold a
// member of a gang, since its lead needs to know for how many there is room, and again
// before tickets expire.
func (s *Shard) requestJointAdvice(now time.Time, st *step) {
	if !st.recentlyQueried(now) || !st.needsTicket() {
		return
	}
	total, _ := s.approvedRoom(now, st)
	if total < int(gangOversampling*float64(st.spec.Count)) && s.requestAdviceOnUnknown(now, st, st.spec.Count) {
		return
	}
	s.renewTickets(now, st)
}

// renewTickets requests new tickets for all approved workers once one of their tickets is
// about to expire. On busy workers room comes and goes within tenths of a second, and it
// has to be there in all shards at once: tickets requested only where there was room
// arrived too late for it.
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

// ParticipantJobs returns the jobs whose gangs this shard runs as a participant.
func (s *Shard) ParticipantJobs() (ids []string) {
	for _, j := range s.active {
		if j.isParticipant() {
			ids = append(ids, j.spec.ID)
		}
	}
	return ids
}

// ParticipantJobEnded ends a job in this shard after its lead has said that it has ended.
func (s *Shard) ParticipantJobEnded(now time.Time, id string, state cluster.State) {
	if j := s.jobs[id]; j != nil && j.isParticipant() && !j.state.Finished() {
		s.finishJob(now, j, state)
	}
}
