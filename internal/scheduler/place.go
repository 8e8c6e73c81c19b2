// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/resource"
)

// placeAll starts all tasks that can start now, the most urgent first.
func (s *Shard) placeAll(now time.Time) {
	if !s.mayStart(now) {
		return
	}
	s.round++
	s.reservingSteps, s.gangReserved = 0, false
	for _, t := range s.teamList {
		t.blocked, t.stalledNeed, t.pending = resource.Amount{}, resource.Amount{}, t.pending[:0]
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
				if st.done == st.spec.Count {
					continue
				}
				if s.startsLeft <= 0 {
					return
				}
				if !st.ready(now) {
					s.prefetch(now, st)
					continue
				}
				s.createWaitingTasks(st)
				s.placeStep(now, st)
			}
		}
	}
}

// startable returns the step's tasks that may start now.
func (s *Shard) startable(now time.Time, st *step) []*task {
	var list []*task
	for _, t := range st.tasks {
		if !t.done && len(t.runs) == 0 && !t.uncertain && !now.Before(t.notBefore) && t.crashesDurable() && s.ownedAt(t.lostAt) {
			list = append(list, t)
		}
	}
	return list
}

// placeStep starts the waiting tasks of a step on the best workers, as far as there is room.
func (s *Shard) placeStep(now time.Time, st *step) {
	waiting := s.startable(now, st)
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
	all := len(waiting)
	if waiting = s.withinLimit(now, st, waiting); len(waiting) == 0 {
		st.waitingSince, st.pendingSince = time.Time{}, time.Time{}
		s.prefetchHeld(now, st)
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
	s.limitAllows(now, st, len(waiting)-placed)
	s.noteStarts(now, st, placed, all-placed)
	if queued > 0 && st.needsTicket() {
		s.awaitsAdvice(now, st, queued)
	}
	s.handleUnplaced(now, st, len(waiting)-placed-queued)
}

// prefetchHeld requests advice for one task of a step that is held back for a gang of its team, so that
// it can start as soon as it may.
func (s *Shard) prefetchHeld(now time.Time, st *step) {
	stalled := !st.job.stalledSince.IsZero() && now.Sub(st.job.stalledSince) >= heldAdviceDelay
	if stalled && st.needsTicket() && st.isHeldBack(now) && !s.hasUsefulTicket(now, st) {
		s.requestAdvice(now, st, 1, true)
	}
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
	if free >= st.spec.Count {
		s.requestAdvice(now, st, st.spec.Count, true)
		return
	}
	if enough := int(gangOversampling * float64(st.spec.Count)); total < enough {
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
	return w.available() && !s.isEvacuated(w) && len(w.unknownRuns) == 0 && w.acceptsBeside(st) && !st.avoidsWorker(now, w) && !now.Before(w.busyUntil) &&
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

// acceptsStarts reports whether new runs may start on a worker, apart from room.
func (s *Shard) acceptsStarts(now time.Time, w *worker) bool {
	return w.available() && !s.isEvacuated(w) && w.health.acceptsTask(now, w)
}

// available reports whether the worker responds, is not leaving, and has a valid
// directory entry of its present incarnation.
func (w *worker) available() bool {
	return w.responsive() && !w.info.Draining && !w.leaving && !w.entryInvalid && w.nextEntry == nil && !w.entryMissing
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
	s.startsLeft--
	s.log.Info("starting run", events.RunStarted, zap.Stringer("task", t.id), zap.Int64("run", n), zap.String("worker", w.info.ID),
		zap.Bool("resumed", r.resumed), zap.Duration("due_in", st.job.rank.Due.Sub(now)))
	s.emit(Start{cluster.StartOrder{
		Order: s.startOrder(now, w), Task: t.id, Run: n, Spec: st.job.spec.Spec, Checkpoint: t.checkpoint, Ticket: ticket,
	}})
	return r
}
