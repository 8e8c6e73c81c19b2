// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
)

const (
	// failedSoon is until when after its start a long-lived task's failure counts
	// as one right after the start.
	failedSoon = time.Second
	// failedPause keeps a long-lived task that fails right after its start from
	// taking a start for each round trip.
	failedPause = 300 * time.Millisecond
)

// ended takes one end of a run, which may not be known here, such as one of an
// earlier owner.
func (s *Shard) ended(now time.Time, w *worker, e cluster.RunEnd) {
	r := s.runs[runKey{e.Task, e.Run}]
	t := s.task(e.Task)
	if r != nil && r.worker == w {
		s.drop(r)
	}
	if t == nil || t.step.job.state.Finished() {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	t.step.gangRun = max(t.step.gangRun, e.Run)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	// An earlier owner may have begun it without persisting that.
	t.step.job.begun = true
	s.touch(t.step.job)
	w.taken = append(w.taken, takenEnd{e.N, e.Task.Job})
	s.logEnd(now, w, r, e)
	switch e.Outcome {
	case cluster.OutcomeDone:
		s.taskDone(now, w, r, t)
	case cluster.OutcomeFailed:
		s.taskFailed(now, w, r, t, e.Run)
	default:
		s.taskStopped(now, w, t, e)
	}
}

// taskStopped takes an end that is neither a success nor a failure.
func (s *Shard) taskStopped(now time.Time, w *worker, t *task, e cluster.RunEnd) {
	if t.leftOn == w.info.ID {
		// The run was stopped because it crawled or stood still, or the task failed here
		// before: the time for which it avoids the worker counts from this end.
		t.leftAt = now
	}
	if t.step.spec.Gang && !t.done {
		s.breakGangRun(now, t.step, e.Run, string(e.Outcome))
	}
}

// logEnd writes the line of an end; the run may be nil.
func (s *Shard) logEnd(now time.Time, w *worker, r *run, e cluster.RunEnd) {
	fields := []zap.Field{events.RunEnded, zap.Stringer("task", e.Task), zap.Int64("run", e.Run),
		zap.String("worker", w.info.ID), zap.String("outcome", string(e.Outcome))}
	if r != nil {
		fields = append(fields, zap.Duration("took", now.Sub(r.startedAt)))
	}
	s.log.Info("run ended", fields...)
}

// taskDone takes a success; the run may be nil.
func (s *Shard) taskDone(now time.Time, w *worker, r *run, t *task) {
	s.workerSucceeded(now, w, r)
	if r != nil && !r.resumed {
		t.took = now.Sub(r.startedAt)
		s.learn(t.step, t.took)
		w.health.ranWell(t)
	}
	if t.step.spec.LongRunning {
		return
	}
	if !t.step.spec.Gang {
		s.succeed(now, t)
		return
	}
	for _, member := range t.step.tasks {
		s.succeed(now, member)
	}
}

// taskFailed counts the failure of a run by its number, and ends the job once the
// task has no attempt left; the run itself may be nil.
func (s *Shard) taskFailed(now time.Time, w *worker, r *run, t *task, n int64) {
	st := t.step
	if st.spec.Gang {
		// A gang's run fails once, however many members say so.
		t = st.tasks[0]
		st.failedHere(now, w)
	}
	if slices.Contains(t.failed, n) {
		return
	}
	t.leftOn, t.leftAt = w.info.ID, now
	s.counts.Failed++
	s.workerFailed(now, w, r, t.id.Job)
	if st.spec.LongRunning {
		if r != nil && now.Sub(r.startedAt) < failedSoon {
			t.notBefore = now.Add(failedPause)
		}
		return
	}
	t.failed = append(t.failed, n)
	if s.failIfHopeless(now, t) {
		return
	}
	if st.spec.Gang && !t.done {
		s.breakGangRun(now, st, n, "a member failed")
	}
}

// failIfHopeless ends the job of a task that has no attempt left, and reports whether it did.
func (s *Shard) failIfHopeless(now time.Time, t *task) bool {
	j := t.step.job
	if len(t.failed) < max(1, j.spec.Policy.MaxAttempts) || t.done || t.step.spec.LongRunning || j.isGuest() {
		return false
	}
	s.log.Info("job failed", events.JobEnded, zap.String("job", t.id.Job), zap.String("state", string(cluster.StateFailed)),
		zap.Stringer("task", t.id), zap.Int64s("failed_runs", t.failed), zap.Int("max_attempts", j.spec.Policy.MaxAttempts))
	s.finish(now, j, cluster.StateFailed)
	return true
}

// breakGangRun stops what else runs of one run of a gang.
func (s *Shard) breakGangRun(now time.Time, st *step, n int64, cause string) {
	for _, t := range st.tasks {
		for _, o := range t.runs {
			if o.n == n {
				s.stop(now, o, "gang: "+cause)
			}
		}
	}
}
