// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/quota"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/team"
)

// A team may have at most its limit running over all shards, and in each shard the shard's part
// of it. What may be running counts: runs that are being stopped, starts without an answer, runs
// behind a partition until their lease has expired, copies, and after a takeover all that the
// earlier owner may have started on workers that have not answered yet.
//
// A step of which no task can start within the limit neither reserves room nor preempts others.
// Its owner asks the other shards for a part of theirs.

// teamState is what a shard knows about one team.
type teamState struct {
	name string
	// since is when the team was first heard of, and known is set once it was in a
	// configuration.
	since time.Time
	known bool
	// limit is that of the team over all shards; a resource of 0 has none.
	limit resource.Amount
	// weight is the team's share relative to those of other teams.
	weight float64
	// used is what the team's runs occupy here, and usedLongRunning what its long-running tasks do.
	used, usedLongRunning resource.Amount
	// unseen is what may be running of it on workers that have not answered this owner, as of
	// round unseenRound. endedUnseen is what tasks need that an earlier owner may have started
	// and whose jobs have ended without success.
	unseen, endedUnseen resource.Amount
	// blocked is what tasks need that can't start for the limit, firstUrgency the urgency of the
	// most urgent of their steps and firstNeed what that needs, as of this round.
	blocked, firstNeed resource.Amount
	firstUrgency       Urgency
	// stalledNeed is what the smallest gang among them needs whose job has stalled, and
	// stalledUrgency its urgency; zero: there is none.
	stalledNeed    resource.Amount
	stalledUrgency Urgency
	// pending is what tasks need, as of this round, that may start within the limit and wait for
	// advice or a worker.
	pending []pendingUse
	// blockedRound is the last round in which a task waited for the limit.
	blockedRound int64
	// heldFor is the step, here or in another shard, for which less urgent ones of the team are
	// held back, and heldUntil until when.
	heldFor   Urgency
	heldUntil time.Time
	// overSince is when the runs came to exceed a limit that was lowered; zero: they don't.
	overSince time.Time
	// jobsIn counts the jobs that the team has sent, by window, and lastWindow is the last one.
	jobsIn     map[int64]int
	lastWindow int64
	// loggedAt is when the team's wait was last logged.
	loggedAt time.Time
}

// Urgency orders steps by what is the same in all shards.
type Urgency struct {
	Priority   int    `json:"priority,omitempty"`
	AcceptedMS int64  `json:"accepted_ms"`
	Job        string `json:"job"`
}

// Before reports whether u comes before o.
func (u Urgency) Before(o Urgency) bool {
	return cmp.Or(cmp.Compare(u.Priority, o.Priority), cmp.Compare(u.AcceptedMS, o.AcceptedMS), cmp.Compare(u.Job, o.Job)) < 0
}

func (j *job) urgency() Urgency { return Urgency{j.rank.Priority, j.spec.AcceptedMS, j.spec.ID} }

// urgencyOfStart returns the urgency of what starts first of a job: if it has stalled, that comes
// before all steps of jobs that have not.
func (j *job) urgencyOfStart(now time.Time) Urgency {
	u := j.urgency()
	if j.hasStalled(now) {
		u.Priority += stalledPriority
	}
	return u
}

const (
	// gangLimitPatience is how long a gang waits for its team's limit before less urgent steps of
	// the team are held back, so that it gets room for all of its members at once, and holdTime
	// how long that lasts unless it is asked for again.
	gangLimitPatience = time.Second
	holdTime          = 700 * time.Millisecond
	// gangHold is how long the hold for a gang is renewed in one stretch, in which the team's runs
	// end and few begin, and gangHoldPause for how long it isn't renewed then. It lasts holdTime
	// from the last time.
	gangHold      = 2 * time.Second
	gangHoldPause = time.Second
	// maxPending is how long a part of the limit is kept for tasks that wait for advice or a worker:
	// advice takes over a second.
	maxPending = 2 * time.Second
	// maxHeldBack is how long nothing of a job runs before one of its tasks starts although less
	// urgent steps are held back: three seconds beside a limit that has room for it are too long.
	maxHeldBack = 2 * time.Second
	// heldAdviceDelay is how long a job that is held back waits before advice is requested for its
	// first task.
	heldAdviceDelay = 500 * time.Millisecond
	// stalledPriority is added to the priority of a job that has stalled, so that it comes before
	// all others.
	stalledPriority = -1000
	// limitDrainTime is how long runs above a limit that was lowered may go on by themselves
	// before some are stopped. A lower limit has to hold within 2 s, and a stop takes up to 1 s.
	limitDrainTime = 500 * time.Millisecond
	// unknownTeamWait is how long the jobs of a team wait that was in no configuration yet. This
	// node may be behind, or the team is gone and its jobs go on without a limit.
	unknownTeamWait = 5 * time.Second
	// teamWaitLogInterval is how often the wait of a team at its limit is logged.
	teamWaitLogInterval = 5 * time.Second
)

// quotaUse is what a task of the step counts for against its team's limit. Processor time that a
// best-effort task doesn't reserve counts, too.
func (st *step) quotaUse() resource.Amount { return st.spec.Need }

// SetTeams sets the teams of the configuration in force. One that is not there any more keeps
// its limit, by which its accepted jobs go on.
func (s *Shard) SetTeams(now time.Time, teams []team.Team) {
	for i := range teams {
		t := s.team(now, teams[i].Name)
		t.known, t.limit, t.weight = true, teams[i].Limit, teams[i].Weight
	}
}

// team returns the state of a team, nil for jobs without one.
func (s *Shard) team(now time.Time, name string) *teamState {
	if name == "" {
		return nil
	}
	t := s.teams[name]
	if t == nil {
		t = &teamState{name: name, since: now, weight: 1, jobsIn: make(map[int64]int)}
		s.teams[name] = t
		s.teamList = append(s.teamList, t)
		slices.SortFunc(s.teamList, func(a, b *teamState) int { return cmp.Compare(a.name, b.name) })
	}
	return t
}

// limitHere returns this shard's part of a team's limit.
func (s *Shard) limitHere(t *teamState) resource.Amount {
	return quota.Scale(t.limit, s.ledger.Part(t.name))
}

// headroom returns what the team may start here in addition to what may be running.
func (s *Shard) headroom(t *teamState) resource.Amount {
	s.updateUnseen()
	return s.limitHere(t).Sub(t.used).Sub(t.unseen)
}

// startsWithinLimit returns how many of n tasks of a step may start by its team's limit.
func (s *Shard) startsWithinLimit(now time.Time, st *step, n int) int {
	t := st.job.team
	switch {
	case t == nil:
		return n
	case !t.known && now.Sub(t.since) < unknownTeamWait:
		return 0
	case t.limit == (resource.Amount{}):
		return n
	}
	if n = st.startsBesideHold(now, n); n == 0 {
		return 0
	}
	return int(s.headroom(t).Count(st.quotaUse(), int64(n)))
}

// startsBesideHold returns how many of n tasks of a step may start although less urgent steps of its
// team may be held back for a gang. Of a job that has stalled one task may start, or a whole gang.
func (st *step) startsBesideHold(now time.Time, n int) int {
	switch {
	case !st.isHeldBack(now):
		return n
	case !st.job.hasStalled(now):
		return 0
	case st.spec.Gang:
		return n
	}
	return min(n, 1)
}

// isHeldBack reports whether steps as urgent as this one are held back for a gang of its team.
func (st *step) isHeldBack(now time.Time) bool {
	t := st.job.team
	return now.Before(t.heldUntil) && t.heldFor.Before(st.job.urgency())
}

// hasStalled reports whether nothing of the job has run for so long that no gang of its team holds it
// back any more.
func (j *job) hasStalled(now time.Time) bool {
	return !j.stalledSince.IsZero() && now.Sub(j.stalledSince) >= maxHeldBack && !j.mayBeRunning()
}

// limitBlocks notes that n tasks of a step can't start for their team's limit. For one task of a job
// that has stalled, other shards give before they do for gangs that wait for the limit.
func (s *Shard) limitBlocks(now time.Time, st *step, n int) {
	t := st.job.team
	need := st.quotaUse().Times(int64(n))
	u, first := st.job.urgency(), need
	switch {
	case !st.job.hasStalled(now) || st.job.isJoint():
	case st.spec.Gang:
		t.noteStalledGang(st.job.urgencyOfStart(now), need)
	default:
		u, first = st.job.urgencyOfStart(now), st.quotaUse()
	}
	if t.blocked == (resource.Amount{}) || u.Before(t.firstUrgency) {
		t.firstUrgency, t.firstNeed = u, first
	}
	t.blocked = t.blocked.Add(need)
	if t.blockedRound < s.round-1 {
		s.newlyBlocked = true
	}
	t.blockedRound = s.round
	if st.spec.Gang {
		s.holdForGang(now, st)
	}
	if now.Sub(t.loggedAt) < teamWaitLogInterval {
		return
	}
	t.loggedAt = now
	s.log.Info("team waits at its limit", events.TeamWaits, zap.String("team", t.name), zap.String("job", st.id.Job), zap.Int("tasks", n),
		zap.Any("limit", t.limit), zap.Any("limit_here", s.limitHere(t)), zap.Any("used_here", t.used), zap.Any("unseen_here", t.unseen))
}

// noteStalledGang notes what a gang needs whose job has stalled. The smallest one finds room first.
func (t *teamState) noteStalledGang(u Urgency, need resource.Amount) {
	if t.stalledNeed == (resource.Amount{}) || quota.PartFor(t.limit, need) < quota.PartFor(t.limit, t.stalledNeed) {
		t.stalledUrgency, t.stalledNeed = u, need
	}
}

// pendingUse is what tasks of a step need that wait for advice or a worker.
type pendingUse struct {
	urgency Urgency
	use     resource.Amount
}

// limitAllows notes that n tasks of a step may start within their team's limit and wait for advice or
// a worker. Other shards don't get the part that these need for maxPending, unless for more urgent
// tasks.
func (s *Shard) limitAllows(now time.Time, st *step, n int) {
	t := st.job.team
	if t == nil || t.limit == (resource.Amount{}) {
		return
	}
	if n == 0 {
		st.pendingSince = time.Time{}
		return
	}
	if st.pendingSince.IsZero() {
		st.pendingSince = now
	}
	if now.Sub(st.pendingSince) < maxPending {
		t.pending = append(t.pending, pendingUse{st.job.urgency(), st.quotaUse().Times(int64(n))})
	}
}

// pendingUse returns what all tasks need that wait for advice or a worker.
func (t *teamState) pendingUse() (sum resource.Amount) {
	for _, p := range t.pending {
		sum = sum.Add(p.use)
	}
	return sum
}

// pendingBefore returns what tasks need that are more urgent than u, or as urgent, and wait for advice
// or a worker.
func (t *teamState) pendingBefore(u Urgency) (sum resource.Amount) {
	for _, p := range t.pending {
		if !u.Before(p.urgency) {
			sum = sum.Add(p.use)
		}
	}
	return sum
}

// holdForGang holds back less urgent steps of the team once a gang has waited for its limit.
func (s *Shard) holdForGang(now time.Time, st *step) {
	if st.limitSince.IsZero() {
		st.limitSince = now
	}
	t := st.job.team
	waited := now.Sub(st.limitSince) - gangLimitPatience
	if waited < 0 || waited%(gangHold+gangHoldPause) >= gangHold || !t.mayHold(st) {
		return
	}
	t.hold(now, st.job.urgency())
}

// mayHold reports whether the limit can hold a gang once the team's other runs have ended, apart from
// the long-running tasks.
func (t *teamState) mayHold(st *step) bool {
	return !st.quotaUse().Times(int64(st.spec.Count)).Add(t.usedLongRunning).Exceeds(t.limit)
}

// hold holds back steps of the team that are less urgent than u, unless others are held back for
// a more urgent one.
func (t *teamState) hold(now time.Time, u Urgency) {
	if now.Before(t.heldUntil) && t.heldFor.Before(u) {
		return
	}
	t.heldFor, t.heldUntil = u, now.Add(holdTime)
}

// updateUnseen computes, once in a round, what may be running on workers that have not answered,
// and on those that run tasks of unknown jobs: as much as all tasks that are uncertain need, or
// as much as these workers hold.
func (s *Shard) updateUnseen() {
	if s.unseenRound == s.round {
		return
	}
	s.unseenRound = s.round
	unknown := resource.Amount{}
	for _, w := range s.workerList {
		if len(w.unknownRuns) > 0 {
			unknown = unknown.Add(w.info.Capacity)
		}
	}
	for _, t := range s.teamList {
		t.unseen = unknown
	}
	if !s.takeover.open {
		return
	}
	uncertain := make(map[*teamState]uncertainUse)
	for _, j := range s.active {
		if j.team != nil && j.inherited {
			uncertain[j.team] = uncertain[j.team].add(j)
		}
	}
	room, bounded := s.unansweredCapacity()
	for _, t := range s.teamList {
		use := uncertain[t].reserved.Add(t.endedUnseen)
		if bounded {
			use = use.Min(room)
		}
		t.unseen = t.unseen.Add(use).Add(uncertain[t].bestEffort)
	}
}

// uncertainUse is what tasks need of which it is uncertain whether they run: what they reserve of
// their workers, and the processor time of best-effort tasks, which workers' capacity doesn't bound.
type uncertainUse struct{ reserved, bestEffort resource.Amount }

// add adds the tasks of a job.
func (u uncertainUse) add(j *job) uncertainUse {
	for st := range j.steps() {
		n := int64(0)
		if j.uncertain {
			n = int64(st.pristine)
		}
		for _, t := range st.tasks {
			if t.uncertain && !t.done {
				n++
			}
		}
		reserved := st.spec.Allocation()
		u.reserved = u.reserved.Add(reserved.Times(n))
		u.bestEffort = u.bestEffort.Add(st.quotaUse().Sub(reserved).Times(n))
	}
	return u
}

// noteEndedUnseen notes that a job of an earlier owner has ended without success while its tasks
// may still run on workers that have not answered.
func (s *Shard) noteEndedUnseen(j *job) {
	if !s.takeover.open || j.team == nil || !j.inherited || j.state == cluster.StateSucceeded {
		return
	}
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		j.team.endedUnseen = j.team.endedUnseen.Add(st.Need.Times(int64(st.Count * max(1, j.spec.Repeats))))
	}
}

// unansweredCapacity returns the capacity of the workers that have not answered; ok is false if
// that of one is not known.
func (s *Shard) unansweredCapacity() (sum resource.Amount, ok bool) {
	if !s.takeover.machinesListed {
		return sum, false
	}
	for id := range s.takeover.expected {
		if s.workers[id] == nil {
			return sum, false
		}
	}
	for _, w := range s.workerList {
		switch {
		case w.answeredSinceLoad:
		case w.info.Capacity == resource.Amount{}:
			return sum, false
		default:
			sum = sum.Add(w.info.Capacity)
		}
	}
	return sum, true
}

// TeamUse is what a shard knows about the use of a team's limit.
type TeamUse struct {
	Team string
	// Used is what may be running of the team in the shard, and Blocked what tasks need that wait
	// for the limit.
	Used, Blocked resource.Amount
	// Waiting is the number of the team's jobs that have not begun.
	Waiting int
}

// TeamUses returns the use of all teams, by name.
func (s *Shard) TeamUses() []TeamUse {
	waiting := make(map[*teamState]int)
	for _, j := range s.active {
		if !j.begun {
			waiting[j.team]++
		}
	}
	list := make([]TeamUse, 0, len(s.teamList))
	for _, t := range s.teamList {
		list = append(list, TeamUse{t.name, t.used.Add(t.unseen), t.blocked, waiting[t]})
	}
	return list
}

// addUse adds n runs of a step to what the team uses.
func (t *teamState) addUse(st *step, n int64) {
	use := st.quotaUse().Times(n)
	t.used = t.used.Add(use)
	if st.spec.LongRunning {
		t.usedLongRunning = t.usedLongRunning.Add(use)
	}
}
