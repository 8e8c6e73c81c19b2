// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// firstNoted is after which wait a task that lasts is told of in the log, and then again
// after each doubling: such a task should be at work again within seconds.
const firstNoted = 2 * time.Second

// obstacle is the first reason for which a worker doesn't get a task.
type obstacle uint8

const (
	noObstacle      obstacle = iota
	isAway                   // it does not answer
	isLeaving                // it drains, leaves, or its entry names no worker to use
	isAside                  // it is set aside
	isProbing                // it was set aside, and what it got since is still being judged
	refuses                  // it was busy a short while ago
	hasForeignRuns           // what runs there isn't known
	isUnfit                  // another service, no such label, or too small
	isRejected               // advice has rejected it
	isUnasked                // advice has not been asked about it
	ticketIsOver             // it is good, but the ticket has run out
	hasItsStep               // it has as many tasks of the step as it may
	isFull                   // it has no room
	numberObstacles = iota
)

// obstacleNames are the names of the obstacles in the log.
var obstacleNames = [numberObstacles]string{
	"usable", "away", "leaving", "aside", "probing", "refuses", "unknown_runs", "unfit", "rejected", "unasked", "ticket_over", "spread", "full",
}

// obstacleTo returns what keeps a task of a step from a worker. Its health counts last,
// since a task that lasts takes workers that are set aside after a while.
func (s *Shard) obstacleTo(now time.Time, w *worker, st *step) obstacle {
	switch {
	case !w.answers():
		return isAway
	case !w.stays():
		return isLeaving
	case now.Before(w.refusesUntil):
		return refuses
	case len(w.foreign) > 0:
		return hasForeignRuns
	case !s.suits(now, w, st):
		return isUnfit
	case !s.spreadAllows(w, st, 0):
		return hasItsStep
	}
	if o := st.adviceObstacle(now, w); o != noObstacle {
		return o
	}
	switch {
	case !w.free(now, st).Fits(st.spec.Allocation()):
		return isFull
	case now.Before(w.health.asideUntil):
		return isAside
	case !w.health.takes(now, w):
		return isProbing
	}
	return noObstacle
}

// adviceObstacle returns what advice has against a worker.
func (st *step) adviceObstacle(now time.Time, w *worker) obstacle {
	if !st.needsTicket() {
		return noObstacle
	}
	ans, known := st.advice.answers[w.info.ID]
	switch {
	case !known:
		return isUnasked
	case !ans.good:
		return isRejected
	case !now.Before(ans.expires):
		return ticketIsOver
	}
	return noObstacle
}

// noteWaits tells of tasks that last and have waited for long, and what keeps them from
// the workers.
func (s *Shard) noteWaits(now time.Time) {
	for _, j := range s.active {
		for st := range j.steps() {
			if st.spec.LongRunning && !st.waitingSince.IsZero() {
				s.noteStepWaits(now, st)
			}
		}
	}
}

// noteStepWaits tells of the tasks of a step that wait.
func (s *Shard) noteStepWaits(now time.Time, st *step) {
	for _, t := range st.startable(now) {
		if t.waitsFrom.IsZero() {
			continue // its turn has come since the last round
		}
		if waited := now.Sub(t.waitsFrom); waited >= max(firstNoted, t.noteAgainAt) {
			t.noteAgainAt = 2 * waited
			s.logWait(now, t, waited)
		}
	}
}

// logWait writes the line of a task that waits.
func (s *Shard) logWait(now time.Time, t *task, waited time.Duration) {
	st := t.step
	var counts [numberObstacles]int
	for _, w := range s.order {
		counts[s.obstacleTo(now, w, st)]++
	}
	fields := []zap.Field{events.TaskWaiting, zap.Stringer("task", t.id), zap.Duration("waited", waited), zap.Int("workers", len(s.order)),
		zap.Bool("asking", st.advice.calls > 0), zap.Int64("cpu_milli", st.spec.Need.CPUMilli), zap.Int64("memory_mb", st.spec.Need.MemoryMB)}
	for i, n := range counts {
		if n > 0 {
			fields = append(fields, zap.Int(obstacleNames[i], n))
		}
	}
	s.log.Warn("task waits", fields...)
}

// SetAsideWorkers returns how many workers get nothing, or one task at a time, for their health.
func (s *Shard) SetAsideWorkers() int {
	n := 0
	for _, w := range s.order {
		if w.health.probing {
			n++
		}
	}
	return n
}
