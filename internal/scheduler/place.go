// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/resource"
)

// placeAll starts all tasks that can start now, the most urgent first.
func (s *Shard) placeAll(now time.Time) {
	s.round++
	s.reservingSteps, s.gangReserved = 0, false
	for _, t := range s.teams {
		t.blocked = resource.Amount{}
	}
	for _, j := range s.active {
		if j.moving || j.failing {
			continue
		}
		for _, rep := range j.repeats {
			if now.Before(rep.due.Add(-prefetchLead)) {
				break
			}
			for _, st := range rep.steps {
				if st.done == len(st.tasks) {
					continue
				}
				if !st.ready(now) {
					s.prefetch(now, st)
					continue
				}
				s.placeStep(now, st)
			}
		}
	}
}

// startable returns the step's tasks that may start now.
func (st *step) startable(now time.Time) []*task {
	var list []*task
	for _, t := range st.tasks {
		if !t.done && len(t.runs) == 0 && !t.uncertain && !now.Before(t.notBefore) && t.crashesDurable() {
			list = append(list, t)
		}
	}
	return list
}

// placeStep starts the waiting tasks of a step on the best workers, as far as there is room.
func (s *Shard) placeStep(now time.Time, st *step) {
	waiting := st.startable(now)
	if len(waiting) == 0 {
		st.waitingSince = time.Time{}
		return
	}
	if st.spec.Gang {
		s.placeGang(now, st, waiting)
		return
	}
	for _, t := range waiting {
		if t.waitingSince.IsZero() {
			t.waitingSince = now
		}
	}
	if st.spec.LongRunning {
		// By number, the first tasks would take every free place and the last ones would
		// starve.
		slices.SortStableFunc(waiting, func(a, b *task) int { return a.waitingSince.Compare(b.waitingSince) })
	}
	if waiting = s.withinLimit(now, st, waiting); len(waiting) == 0 {
		st.waitingSince = time.Time{}
		return
	}
	// Tasks that wait for isolation need tickets, but no room yet.
	placed, queued := 0, 0
	for _, t := range waiting {
		if s.waitsForIsolation(now, t) {
			queued++
			continue
		}
		w := s.startOnBest(now, t)
		if w == nil && t.avoidWorker == "" && !t.mustIsolate() {
			break
		}
		if w != nil {
			placed++
		}
	}
	if queued > 0 && st.needsTicket() {
		s.awaitsAdvice(now, st, queued)
	}
	s.handleUnplaced(now, st, len(waiting)-placed-queued)
}

// withinLimit returns those of a step's waiting tasks that may start by its team's limit.
func (s *Shard) withinLimit(now time.Time, st *step, waiting []*task) []*task {
	n := s.startsWithinLimit(now, st, len(waiting))
	if n == len(waiting) {
		return waiting
	}
	s.limitBlocks(now, st, len(waiting)-n)
	return waiting[:n]
}

// handleUnplaced asks for advice, reserves room or preempts others for the tasks of a
// step that found no worker.
func (s *Shard) handleUnplaced(now time.Time, st *step, left int) {
	if left == 0 {
		st.waitingSince = time.Time{}
		return
	}
	if st.waitingSince.IsZero() {
		st.waitingSince = now
	}
	if st.spec.Gang {
		s.handleUnplacedGang(now, st)
		return
	}
	awaiting := st.needsTicket() && s.awaitsAdvice(now, st, left)
	if st.spec.LongRunning {
		s.makeRoomForLongRunning(now, st, left, awaiting)
		return
	}
	if awaiting {
		return
	}
	slack := s.slack(now, st)
	within := maxReserveWait
	if slack >= 0 {
		within = min(slack-slackMargin, maxReserveWait)
	}
	s.reserve(now, st, left, within)
	// A step that is late already does not preempt others: its job is expected to end late
	// even so, and the others would lose work and could be late in turn.
	if slack >= 0 && !st.job.rank.BeyondWeight {
		s.preempt(now, st, left)
	}
}

// awaitsAdvice reports whether a waiting step has an open call for advice, and opens one
// if that helps.
func (s *Shard) awaitsAdvice(now time.Time, st *step, left int) bool {
	return s.requestAdvice(now, st, left, true) || st.advice.openCalls > 0 || (!s.hasUsefulTicket(now, st) && s.requestAdvice(now, st, left, false))
}

// makeRoomForLongRunning reserves room for long-running tasks, or preempts less urgent
// work if none comes free at once. Room is reserved while a call for advice is open too,
// since others would take it meanwhile.
func (s *Shard) makeRoomForLongRunning(now time.Time, st *step, left int, awaiting bool) {
	if !awaiting {
		if st.waitTime(now) < preemptAfter {
			// Later the expected ends are not relied on: a run that is overdue always
			// looks as if it ended at once.
			s.reserve(now, st, left, preemptAfter)
		}
		s.preempt(now, st, left)
	}
	s.reserve(now, st, left, maxReserveWait)
}

// handleUnplacedGang reserves room for a gang, and asks for advice until the approved
// workers could hold gangOversampling times as many members, so that there is a choice
// which of them become free. Once they have room now it asks again, since tickets expire.
// A gang that asked only about workers with free room kept to the few that it found
// first: one of 124 tasks had 13 of some 66 suitable workers approved, and never started.
func (s *Shard) handleUnplacedGang(now time.Time, st *step) {
	s.reserveGang(now, st)
	if !st.needsTicket() {
		return
	}
	total, free := s.approvedRoom(now, st)
	if free >= len(st.tasks) {
		s.requestAdvice(now, st, len(st.tasks), true)
		return
	}
	if enough := int(gangOversampling * float64(len(st.tasks))); total < enough {
		s.requestAdviceOnUnknown(now, st, enough-total)
	}
}

// approvedRoom returns how many tasks of a step the approved workers could hold beside
// their long-running tasks, and for how many they have free room now.
func (s *Shard) approvedRoom(now time.Time, st *step) (total, free int) {
	for _, w := range s.workerList {
		if st.advice.answers[w.info.ID].approved && s.usable(now, w, st) {
			total += int(fitsIn(w.info.Capacity.Sub(w.longRunningAllocation()), st))
			free += int(tasksThatFit(w, now, st))
		}
	}
	return total, free
}

// longRunningAllocation returns what the long-running tasks on a worker allocate.
func (w *worker) longRunningAllocation() (sum resource.Amount) {
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning {
			sum = sum.Add(r.task.step.spec.Allocation())
		}
	}
	return sum
}

// countStartable returns how many tasks of a step could start now, by free room and valid
// tickets.
func (s *Shard) countStartable(now time.Time, st *step) (n int) {
	for _, w := range s.workerList {
		if !s.usable(now, w, st) {
			continue
		}
		if st.needsTicket() {
			if _, ok := st.ticket(now, w.info.ID); !ok {
				continue
			}
		}
		n += int(tasksThatFit(w, now, st))
	}
	return n
}

// hasUsefulTicket reports whether the step holds a valid ticket for a worker on which one
// more of its tasks could run once others have ended or been stopped. Tickets of workers
// that already run MaxPerWorker of its tasks do not count: they kept a step from asking
// about any other worker.
func (s *Shard) hasUsefulTicket(now time.Time, st *step) bool {
	for _, w := range s.workerList {
		if _, ok := st.ticket(now, w.info.ID); ok && s.fitsWhenIdle(now, w, st) {
			return true
		}
	}
	return false
}

// fitsWhenIdle reports whether one more task of the step could run on a worker if all
// runs there had ended but the long-running ones.
func (s *Shard) fitsWhenIdle(now time.Time, w *worker, st *step) bool {
	return s.usableAfterWait(now, w, st) && s.spreadAllows(w, st, 0) && w.info.Capacity.Sub(w.longRunningAllocation()).Fits(st.spec.Allocation())
}

// usable reports whether a worker may run tasks of the step, apart from room and tickets.
// A worker with runs of unknown jobs may not: how much room they take is unknown, and
// after a takeover even how much the worker has.
func (s *Shard) usable(now time.Time, w *worker, st *step) bool {
	return s.eligible(now, w, st) && w.health.acceptsTask(now, w)
}

// eligible is usable without regard to the worker's health.
func (s *Shard) eligible(now time.Time, w *worker, st *step) bool {
	return w.available() && len(w.unknownRuns) == 0 && w.acceptsBeside(st) && !st.avoidsWorker(now, w) && !now.Before(w.busyUntil) &&
		w.info.Service == st.job.spec.Service &&
		(st.spec.Label == "" || w.info.HasLabel(st.spec.Label)) &&
		w.info.Capacity.Fits(st.spec.Allocation())
}

// noteFailedOn records that a member of the gang failed on a worker.
func (st *step) noteFailedOn(now time.Time, w *worker) {
	if st.failedOn == nil {
		st.failedOn = make(map[string]time.Time)
	}
	st.failedOn[w.info.ID] = now
}

// avoidsWorker reports whether a member of the gang has failed on the worker recently. A
// single worker that failed all that it started used up all attempts of a gang, which was
// placed there again each time.
func (st *step) avoidsWorker(now time.Time, w *worker) bool {
	at, failed := st.failedOn[w.info.ID]
	return failed && now.Sub(at) < avoidBeforeLastAttempt
}

// usableAfterWait is usable, except that long-running tasks that have waited for
// quarantineOverrideWait may also run on quarantined workers.
func (s *Shard) usableAfterWait(now time.Time, w *worker, st *step) bool {
	return s.eligible(now, w, st) && (w.health.acceptsTask(now, w) || (st.spec.LongRunning && st.waitTime(now) >= quarantineOverrideWait))
}

// waitTime returns for how long the step has been waiting for room.
func (st *step) waitTime(now time.Time) time.Duration {
	if st.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(st.waitingSince)
}

// acceptsStarts reports whether new runs may start on the worker, apart from room.
func (w *worker) acceptsStarts(now time.Time) bool {
	return w.available() && w.health.acceptsTask(now, w)
}

// available reports whether the worker responds, is not leaving, and has a valid
// directory entry of its present incarnation.
func (w *worker) available() bool {
	return w.responsive() && !w.info.Draining && !w.leaving && !w.entryInvalid && w.nextEntry == nil && !w.entryMissing
}

const (
	// avoidDuration is how long a task that failed or was slow on a worker waits for
	// another one.
	avoidDuration = time.Second
	// avoidBeforeLastAttempt is the same before the task's last attempt. Where the other
	// workers accepted nothing for a while, one job in 300 used up all its attempts on a
	// worker that fails everything.
	avoidBeforeLastAttempt = 4 * time.Second
)

// bestWorkerFor returns the worker on which a task should start. A long-running task that
// has waited may start on a quarantined worker if there is no other: with 30 of 48
// workers quarantined (70% of them failed what they started for 60 s), tasks that should
// be running within seconds waited for 21 s.
func (s *Shard) bestWorkerFor(now time.Time, t *task) *worker {
	w := s.bestHealthyWorkerFor(now, t)
	if w == nil && t.step.spec.LongRunning && now.Sub(t.waitingSince) >= quarantineOverrideWait {
		return s.bestAmong(now, t.step, nil, func(w *worker) bool { return s.eligible(now, w, t.step) })
	}
	return w
}

// bestHealthyWorkerFor returns the worker on which a task should start, of those that are
// not quarantined. A task that has failed or was slow goes to another worker for a while.
// With its last attempt it prefers a proven worker, and takes none that is on probation or
// has had a failure since the last success of a newer run.
func (s *Shard) bestHealthyWorkerFor(now time.Time, t *task) *worker {
	isLast := len(t.failed) > 0 && !t.step.spec.LongRunning && t.attemptsLeft() <= 1
	avoid := avoidDuration
	if isLast {
		avoid = avoidBeforeLastAttempt
	}
	if t.avoidWorker == "" || now.Sub(t.avoidSince) >= avoid {
		return s.bestWorker(now, t.step, nil, anyWorker)
	}
	elsewhere := func(w *worker) bool { return w.info.ID != t.avoidWorker }
	if !isLast {
		return s.bestWorker(now, t.step, nil, elsewhere)
	}
	if w := s.bestWorker(now, t.step, nil, func(w *worker) bool { return elsewhere(w) && w.health.proven }); w != nil {
		return w
	}
	return s.bestWorker(now, t.step, nil, func(w *worker) bool {
		return elsewhere(w) && w.health.sinceNewSuccess.failures == 0 && !w.health.probing
	})
}

// anyWorker accepts all workers.
func anyWorker(*worker) bool { return true }

// bestWorker returns the worker on which the next task of the step should start: one near
// its data first, then the one on which the least room is left over, or the most for a
// best-effort task. extra counts the tasks that this decision has already placed, by
// worker.
func (s *Shard) bestWorker(now time.Time, st *step, extra map[*worker]int, allowed func(*worker) bool) *worker {
	return s.bestAmong(now, st, extra, func(w *worker) bool { return allowed(w) && s.usable(now, w, st) })
}

// bestAmong is bestWorker among the workers that are allowed, healthy or not.
func (s *Shard) bestAmong(now time.Time, st *step, extra map[*worker]int, allowed func(*worker) bool) *worker {
	var best *worker
	bestScore := 0.0
	need := st.spec.Allocation()
	for _, w := range s.workerList {
		// This cheap check comes first: most workers of a busy shard are full, and each
		// waiting step tries all of them.
		if !w.info.Capacity.Sub(w.used).Fits(need) || !allowed(w) {
			continue
		}
		rest, ok := s.roomAfter(now, w, st, extra[w])
		if !ok {
			continue
		}
		if score := s.score(w, st, rest); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// roomAfter returns the room that one more task of a step would leave on a worker, in
// addition to extra ones; ok is false if it can't start there for want of room or of a
// ticket.
func (s *Shard) roomAfter(now time.Time, w *worker, st *step, extra int) (rest resource.Amount, ok bool) {
	need := st.spec.Allocation()
	if st.needsTicket() {
		if _, valid := st.ticket(now, w.info.ID); !valid {
			return resource.Amount{}, false
		}
	}
	free := w.freeFor(now, st).Sub(need.Times(int64(extra)))
	if !free.Fits(need) || !s.spreadAllows(w, st, extra) {
		return resource.Amount{}, false
	}
	return free.Sub(need), true
}

// spreadAllows reports whether the step's MaxPerWorker allows one more task on a worker, in
// addition to extra ones.
func (s *Shard) spreadAllows(w *worker, st *step, extra int) bool {
	limit := st.spec.MaxPerWorker
	if limit == 0 {
		return true
	}
	n := extra
	for _, r := range w.runs {
		if r.task.step == st {
			n++
		}
	}
	return n < limit
}

const (
	// dataRackBonus makes the rack of a step's data outweigh any saving of room, which
	// counts at most 1.
	dataRackBonus = 10.0
	// interferencePenalty keeps best-effort tasks and serving tasks apart.
	interferencePenalty = 5.0
)

// score rates a worker on which rest would be left over; the highest score wins.
func (s *Shard) score(w *worker, st *step, rest resource.Amount) float64 {
	score := -rest.DominantShare(w.info.Capacity)
	if st.spec.BestEffortCPU {
		score = -score
	}
	if st.spec.DataRack != "" && st.spec.DataRack == w.info.Rack {
		score += dataRackBonus
	}
	if st.spec.BestEffortCPU || st.spec.LatencyTargetMS > 0 {
		for _, r := range w.runs {
			other := r.task.step.spec
			if (st.spec.BestEffortCPU && other.LatencyTargetMS > 0) || (st.spec.LatencyTargetMS > 0 && other.BestEffortCPU) {
				score -= interferencePenalty
			}
		}
	}
	return score
}

// start orders a run of a task on a worker.
func (s *Shard) start(now time.Time, t *task, w *worker) *run {
	return s.startRun(now, t, w, t.lastRun+1)
}

// startRun orders run number n of a task on a worker.
func (s *Shard) startRun(now time.Time, t *task, w *worker, n int64) *run {
	st := t.step
	ticket, _ := st.ticket(now, w.info.ID)
	delete(w.reserved, st)
	r := s.addRun(now, t, n, w, runStarting)
	r.resumed = t.checkpoint != ""
	s.counts.Starts++
	s.log.Info("starting run", events.RunStarted, zap.Stringer("task", t.id), zap.Int64("run", n), zap.String("worker", w.info.ID),
		zap.Bool("resumed", r.resumed), zap.Duration("due_in", st.job.rank.Due.Sub(now)))
	s.emit(Start{cluster.StartOrder{
		Order: s.startOrder(now, w), Task: t.id, Run: n, Spec: st.job.spec.Spec, Checkpoint: t.checkpoint, Ticket: ticket,
	}})
	return r
}

// placeGang starts all members of a gang at once, or none.
func (s *Shard) placeGang(now time.Time, st *step, waiting []*task) {
	if len(waiting) < len(st.tasks) {
		return // members of an earlier run are still there
	}
	if st.job.isJoint() {
		if st.waitingSince.IsZero() {
			st.waitingSince = now
		}
		s.requestJointAdvice(now, st)
		return
	}
	if s.startsWithinLimit(now, st, len(st.tasks)) < len(st.tasks) {
		s.limitBlocks(now, st, len(st.tasks))
		st.waitingSince = time.Time{}
		return
	}
	st.limitSince = time.Time{}
	if !s.mayStartIsolated(now, st) {
		return
	}
	var places []*worker
	if s.countStartable(now, st) >= len(st.tasks) {
		places = s.gangPlacement(now, st)
	}
	if places == nil {
		s.handleUnplaced(now, st, len(waiting))
		return
	}
	st.waitingSince = time.Time{}
	s.startMembers(now, st.tasks, places, st.lastGangRun+1, st.checkpoint())
}

// checkpoint returns the checkpoint of a gang's member, which is valid for all members,
// or "".
func (st *step) checkpoint() (checkpoint string) {
	for _, t := range st.tasks {
		checkpoint = cmp.Or(t.checkpoint, checkpoint)
	}
	return checkpoint
}

// startMembers starts members of a gang on the given workers, as one run from one
// checkpoint.
func (s *Shard) startMembers(now time.Time, members []*task, places []*worker, run int64, checkpoint string) {
	isolate := len(members) > 0 && members[0].step.mustIsolate()
	for i, t := range members {
		t.checkpoint = checkpoint
		if r := s.startRun(now, t, places[i], run); isolate {
			s.isolate(r)
		}
	}
}

// gangPlacement returns a worker for each member of a gang, or nil. A gang that asks for
// one rack is placed across racks only after it has waited for oneRackTimeout.
func (s *Shard) gangPlacement(now time.Time, st *step) []*worker {
	if st.spec.OneRack {
		for _, rack := range s.racks() {
			if places := s.placeGangOnRack(now, st, rack); places != nil {
				return places
			}
		}
		if now.Sub(st.waitingSince) < oneRackTimeout || st.waitingSince.IsZero() {
			return nil
		}
	}
	return s.placeGangOnRack(now, st, "")
}

// oneRackTimeout is how long a gang waits for a single rack before it starts across
// racks, where it takes half as long again.
const oneRackTimeout = time.Second

// placeGangOnRack returns a worker on the rack for each member of a gang, or nil. If rack
// is "", all workers are considered.
func (s *Shard) placeGangOnRack(now time.Time, st *step, rack string) []*worker {
	isolate := st.mustIsolate()
	return s.placeMembers(now, st, len(st.tasks), func(w *worker) bool {
		if isolate && w.hasSuspectBeside(now, st.tasks[0]) {
			return false
		}
		return rack == "" || w.info.Rack == rack
	})
}

// placeMembers returns an allowed worker for each of n members of a gang, or nil.
func (s *Shard) placeMembers(now time.Time, st *step, n int, allowed func(*worker) bool) []*worker {
	extra := make(map[*worker]int)
	places := make([]*worker, 0, n)
	for range n {
		w := s.bestWorker(now, st, extra, allowed)
		if w == nil {
			return nil
		}
		extra[w]++
		places = append(places, w)
	}
	return places
}

// racks returns the racks of the known workers, without duplicates.
func (s *Shard) racks() []string {
	var racks []string
	seen := make(map[string]bool)
	for _, w := range s.workerList {
		if !seen[w.info.Rack] {
			seen[w.info.Rack] = true
			racks = append(racks, w.info.Rack)
		}
	}
	return racks
}
