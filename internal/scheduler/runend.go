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
	// earlyFailureWindow is how long after its start the failure of a long-running task
	// counts as one right after the start.
	earlyFailureWindow = time.Second
	// earlyFailureDelay keeps a long-running task that fails right after its start from
	// being restarted with each round trip.
	earlyFailureDelay = 300 * time.Millisecond
	// maxEarlyFailureDelay bounds that delay, which doubles where all tasks of a step fail:
	// they would take the place of others with each start.
	maxEarlyFailureDelay = 2400 * time.Millisecond
)

// handleEnd processes a reported end of a run. The run may be unknown, for example one
// that an earlier owner started.
func (s *Shard) handleEnd(now time.Time, w *worker, e cluster.RunEnd) {
	r := s.runs[runKey{e.Task, e.Run}]
	t := s.task(e.Task)
	if r != nil && r.worker == w {
		s.dropRun(r)
	}
	if t == nil || t.step.job.state.Finished() {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	t.step.lastGangRun = max(t.step.lastGangRun, e.Run)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	// An earlier owner may have started it without persisting that.
	t.step.job.begun, t.step.job.ran = true, true
	s.markChanged(t.step.job)
	w.unconfirmedEnds = append(w.unconfirmedEnds, unconfirmedEnd{e.N, e.Task.Job})
	s.logRunEnd(now, w, r, e)
	switch e.Outcome {
	case cluster.OutcomeDone:
		s.taskSucceeded(now, w, r, t)
	case cluster.OutcomeFailed:
		s.taskFailed(now, w, r, t, e.Run)
	default:
		s.taskStopped(now, w, t, e)
	}
}

// taskStopped handles an end that is neither a success nor a failure.
func (s *Shard) taskStopped(now time.Time, w *worker, t *task, e cluster.RunEnd) {
	if t.avoidWorker == w.info.ID {
		// The run was stopped because it was slow or stalled, or the task failed here
		// before: the time for which it avoids the worker counts from this end.
		t.avoidSince = now
	}
	if t.step.spec.Gang && !t.done {
		s.stopGangRun(now, t.step, e.Run, string(e.Outcome))
	}
}

// logRunEnd logs an end; the run may be nil.
func (s *Shard) logRunEnd(now time.Time, w *worker, r *run, e cluster.RunEnd) {
	fields := []zap.Field{events.RunEnded, zap.Stringer("task", e.Task), zap.Int64("run", e.Run),
		zap.String("worker", w.info.ID), zap.String("outcome", string(e.Outcome))}
	if r != nil {
		fields = append(fields, zap.Duration("took", now.Sub(r.startedAt)))
	}
	s.log.Info("run ended", fields...)
}

// taskSucceeded handles a success; the run may be nil.
func (s *Shard) taskSucceeded(now time.Time, w *worker, r *run, t *task) {
	if rec := t.step.record(); rec != nil {
		rec.addSuccess()
	}
	s.workerSucceeded(now, w, r)
	if r != nil && !r.resumed {
		t.runTime = now.Sub(r.startedAt)
		s.learnRunTime(now, t.step, t.runTime)
		s.learnKindSpeed(t.step, w, t.runTime)
		w.health.clearSlowSteps(t)
	}
	if t.step.spec.LongRunning {
		return
	}
	if !t.step.spec.Gang {
		s.markTaskDone(now, t)
		return
	}
	s.createTasks(t.step, t.step.spec.Count)
	for _, member := range t.step.tasks {
		s.markTaskDone(now, member)
	}
}

// taskFailed counts the failure of a run by its number, and fails the job once the task
// has no attempt left; the run itself may be nil.
func (s *Shard) taskFailed(now time.Time, w *worker, r *run, t *task, n int64) {
	st := t.step
	if st.spec.Gang {
		// The failure of a gang's run counts once, however many members report it.
		t = st.tasks[0]
		st.noteFailedOn(now, w)
	}
	if slices.Contains(t.failed, n) {
		return
	}
	t.avoidWorker, t.avoidSince = w.info.ID, now
	s.counts.Failed++
	s.runFailed(now, w, r, st)
	if st.spec.LongRunning {
		t.delayAfterFailure(now, r)
		return
	}
	t.failed = append(t.failed, n)
	if s.failJobIfOutOfAttempts(now, t) {
		return
	}
	if st.spec.Gang && !t.done {
		s.stopGangRun(now, st, n, "a member failed")
	}
}

// delayAfterFailure delays the next start of a long-running task after a failure; the run may
// be nil. The delay doubles while the task fails right after each start and all others of its
// step do, too.
func (t *task) delayAfterFailure(now time.Time, r *run) {
	if r == nil || now.Sub(r.startedAt) >= earlyFailureWindow {
		return
	}
	if t.step.alwaysFails() {
		t.failureDelay = min(2*max(t.failureDelay, earlyFailureDelay), maxEarlyFailureDelay)
	} else {
		t.failureDelay = earlyFailureDelay
	}
	t.notBefore = now.Add(t.failureDelay)
}

// failJobIfOutOfAttempts fails the job of a task that has no attempt left, and reports
// whether it did.
func (s *Shard) failJobIfOutOfAttempts(now time.Time, t *task) bool {
	j := t.step.job
	if len(t.failed) < max(1, j.spec.Policy.MaxAttempts) || t.done || t.step.spec.LongRunning || j.isParticipant() {
		return false
	}
	s.log.Info("job failed", events.JobEnded, zap.String("job", t.id.Job), zap.String("state", string(cluster.StateFailed)),
		zap.Stringer("task", t.id), zap.Int64s("failed_runs", t.failed), zap.Int("max_attempts", j.spec.Policy.MaxAttempts))
	s.finishJob(now, j, cluster.StateFailed)
	return true
}

// stopGangRun stops all members of one run of a gang.
func (s *Shard) stopGangRun(now time.Time, st *step, n int64, cause string) {
	for _, t := range st.tasks {
		for _, o := range t.runs {
			if o.number == n {
				s.stop(now, o, "gang: "+cause)
			}
		}
	}
}
