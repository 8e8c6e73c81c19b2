// SPDX-License-Identifier: Apache-2.0

package scheduler

import "time"

const (
	// stopMargin is how long before the exit of a draining worker its checkpointing
	// tasks are stopped, in addition to the time that a stop takes.
	stopMargin = 700 * time.Millisecond
	// defaultNotice is the remaining time that is assumed if the worker does not say when
	// it exits.
	defaultNotice = 2 * time.Second
)

// stopOnLeavingWorkers stops the runs on draining workers that would not end before the worker
// exits, so that they start again elsewhere.
func (s *Shard) stopOnLeavingWorkers(now time.Time) {
	for _, w := range s.workerList {
		if (!w.info.Draining && !w.leaving) || w.silent || !w.answered {
			continue
		}
		left := defaultNotice
		if !w.leavesAt.IsZero() {
			left = w.leavesAt.Sub(now)
		}
		for _, r := range sortedRuns(w.runs) {
			if !s.retryStop(now, r) && r.state == runRunning && s.mustStopNow(now, r, left) {
				s.stop(now, r, "worker is draining")
			}
		}
	}
}

// mustStopNow reports whether a run on a worker that exits in left has to be stopped now. A
// long-running one is stopped as soon as its step's MaxUnavailable allows, and at the latest
// when a stop would not end in time any more. Of the others only those are stopped that can't
// end before the exit: checkpointing ones as late as possible, and the rest at once.
func (s *Shard) mustStopNow(now time.Time, r *run, left time.Duration) bool {
	spec := r.task.step.spec
	if spec.LongRunning {
		return spec.MaxUnavailable == 0 || s.unavailableTasks(r.task.step) < spec.MaxUnavailable || left < s.params.StopTime+stopMargin
	}
	if s.remainingTime(now, r)+s.params.StopTime < left {
		return false
	}
	if spec.Checkpoints {
		return left < s.params.StopTime+stopMargin
	}
	return true
}

// unavailableTasks returns how many tasks of a long-running step are not running at 100
// percent, or are being stopped.
func (s *Shard) unavailableTasks(st *step) int {
	n := st.pristine
	for _, t := range st.tasks {
		if len(t.runs) == 0 || t.runs[0].stopping || t.runs[0].percent < 100 {
			n++
		}
	}
	return n
}
