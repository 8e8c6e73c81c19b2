// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// firstWaitLog is after which wait the log reports a waiting long-running task, and then
// again each time the wait has doubled: such a task should be running within seconds.
const firstWaitLog = 2 * time.Second

// obstacle is the first reason for which a worker can't run a task.
type obstacle uint8

const (
	obstacleNone          obstacle = iota
	obstacleSilent                 // it does not answer
	obstacleLeaving                // it drains or leaves, or its entry is invalid or of another incarnation
	obstacleEvacuated              // its data centre is evacuated
	obstacleQuarantined            // it is quarantined
	obstacleProbing                // its quarantine is over, and a run that probes it still has to end
	obstacleBusy                   // it has just replied that it is busy
	obstacleUnknownRuns            // runs of unknown jobs are there
	obstacleUnfit                  // another service, without the label, or too small
	obstacleRejected               // the advice service has rejected it
	obstacleNoAdvice               // the advice service has not been asked about it
	obstacleTicketExpired          // its ticket has expired
	obstacleMaxPerWorker           // it runs as many tasks of the step as allowed
	obstacleFull                   // it has no room
	obstacleCount         = iota
)

// obstacleNames are the keys of the obstacles in the log.
var obstacleNames = [obstacleCount]string{
	"usable", "away", "leaving", "evacuated", "aside", "probing", "refuses", "unknown_runs", "unfit", "rejected", "unasked", "ticket_over", "spread", "full",
}

// obstacleTo returns what keeps a task of a step from a worker. Its health is checked
// last, since long-running tasks accept a quarantined worker after a while.
func (s *Shard) obstacleTo(now time.Time, w *worker, st *step) obstacle {
	switch {
	case !w.responsive():
		return obstacleSilent
	case !w.available():
		return obstacleLeaving
	case s.isEvacuated(w):
		return obstacleEvacuated
	case now.Before(w.busyUntil):
		return obstacleBusy
	case len(w.unknownRuns) > 0:
		return obstacleUnknownRuns
	case !s.eligible(now, w, st):
		return obstacleUnfit
	case !s.spreadAllows(w, st, 0):
		return obstacleMaxPerWorker
	}
	if o := st.adviceObstacle(now, w); o != obstacleNone {
		return o
	}
	switch {
	case !w.freeFor(now, st).Fits(st.spec.Allocation()):
		return obstacleFull
	case now.Before(w.health.quarantinedUntil):
		return obstacleQuarantined
	case !w.health.acceptsTask(now, w):
		return obstacleProbing
	}
	return obstacleNone
}

// adviceObstacle returns the obstacle from the advice service, if any.
func (st *step) adviceObstacle(now time.Time, w *worker) obstacle {
	if !st.needsTicket() {
		return obstacleNone
	}
	ans, known := st.advice.answers[w.info.ID]
	switch {
	case !known:
		return obstacleNoAdvice
	case !ans.approved:
		return obstacleRejected
	case !now.Before(ans.expires):
		return obstacleTicketExpired
	}
	return obstacleNone
}

// logWaitingTasks logs the long-running tasks that have waited for long, and what keeps
// them from the workers.
func (s *Shard) logWaitingTasks(now time.Time) {
	for _, j := range s.active {
		for st := range j.steps() {
			if st.spec.LongRunning && !st.waitingSince.IsZero() {
				s.logWaitingTasksOf(now, st)
			}
		}
	}
}

// logWaitingTasksOf logs the waiting tasks of a step.
func (s *Shard) logWaitingTasksOf(now time.Time, st *step) {
	for _, t := range s.startable(now, st) {
		if t.waitingSince.IsZero() {
			continue // it became startable after the last round
		}
		if waited := now.Sub(t.waitingSince); waited >= max(firstWaitLog, t.nextWaitLog) {
			t.nextWaitLog = 2 * waited
			s.logWaitingTask(now, t, waited)
		}
	}
}

// logWaitingTask logs a waiting task with the number of workers for each obstacle.
func (s *Shard) logWaitingTask(now time.Time, t *task, waited time.Duration) {
	st := t.step
	fields := []zap.Field{events.TaskWaiting, zap.Stringer("task", t.id), zap.Duration("waited", waited), zap.Int("workers", len(s.workerList)),
		zap.Bool("asking", st.advice.openCalls > 0), zap.Int64("cpu_milli", st.spec.Need.CPUMilli), zap.Int64("memory_mb", st.spec.Need.MemoryMB)}
	s.log.Warn("task waits", append(fields, s.countObstacles(now, st).fields()...)...)
}

// obstacleCounts is the number of workers for each obstacle.
type obstacleCounts [obstacleCount]int

// countObstacles returns for how many workers each obstacle is what keeps a task of a step from them.
func (s *Shard) countObstacles(now time.Time, st *step) (counts obstacleCounts) {
	for _, w := range s.workerList {
		counts[s.obstacleTo(now, w, st)]++
	}
	return counts
}

// fields returns the counts above 0 for the log.
func (c obstacleCounts) fields() (fields []zap.Field) {
	for i, n := range c {
		if n > 0 {
			fields = append(fields, zap.Int(obstacleNames[i], n))
		}
	}
	return fields
}

// QuarantinedWorkers returns how many workers are quarantined, or on probation after it
// with one task at a time.
func (s *Shard) QuarantinedWorkers() int {
	n := 0
	for _, w := range s.workerList {
		if w.health.probing {
			n++
		}
	}
	return n
}
