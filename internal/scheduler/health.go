// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

const (
	// minQuarantine and maxQuarantine bound how long a worker is quarantined: most faults
	// of workers last some seconds, and each probe costs a failed run.
	minQuarantine = 2 * time.Second
	maxQuarantine = 8 * time.Second
	// provenAfter is how long after its start a long-running task at 100 percent proves
	// its worker healthy. Its later failures don't count against the worker: faulty
	// workers fail tasks right at the start, while such tasks may fail at any time, some
	// every few seconds on each worker.
	provenAfter = time.Second
	// maxProbeWait is how long one run delays the next task of a worker after its
	// quarantine: a long-running run may never end, and the worker has room for others.
	maxProbeWait = 4 * time.Second
	// quarantineOverrideWait is how long a long-running task waits before it takes a
	// quarantined worker: it has no attempts to lose, and its callers wait.
	quarantineOverrideWait = time.Second
)

// quarantineCause is why a worker was quarantined.
type quarantineCause string

const (
	causeTasksFail    quarantineCause = "its tasks fail"
	causeTasksStalled quarantineCause = "its tasks stand still"
	causeTasksSlow    quarantineCause = "its tasks crawl"
)

// health is what the outcomes of its runs say about a worker. Failures of one job on
// several workers are the job's fault. A worker on which different jobs fail is
// quarantined, and is then on probation: it is probed with one task at a time.
type health struct {
	// sinceSuccess are the failures since the last success, and sinceNewSuccess those
	// since the last success of a run that started after all that failed; a quarantine
	// resets both.
	sinceSuccess, sinceNewSuccess failureStreak
	// lastFailedStart is the latest start of a run that has failed here.
	lastFailedStart time.Time
	// quarantinedAt is when the last quarantine began, quarantinedUntil when it ends, and
	// restrictedSince since when the worker has not been used without restriction.
	quarantinedAt, quarantinedUntil, restrictedSince time.Time
	quarantineTime                                   time.Duration
	cause                                            quarantineCause
	// evidence are the failures for which the worker was quarantined.
	evidence failureStreak
	// probing is set from the quarantine until a success ends the probation. If tasks
	// failed, only the success of a run that started since does.
	probing bool
	// proven is set by the success of a run that started after all failed ones, until the
	// next failure.
	proven bool
	// slowSteps is when tasks of a step were last seen to be slow here, by step.
	slowSteps map[*step]time.Time
}

// recordSuccess resets the failure counts after a success, and reports whether that ends
// the worker's probation. A run that started before one that failed does not show that the
// worker is healthy now, and neither does one whose start is unknown.
func (h *health) recordSuccess(r *run) (probationOver bool) {
	h.sinceSuccess = failureStreak{}
	if h.probing && h.cause == causeTasksFail && !h.startedSinceQuarantine(r) {
		return false
	}
	if h.sinceNewSuccess.failures() > 0 && (r == nil || !r.startedAt.After(h.lastFailedStart)) {
		return false
	}
	probationOver = h.probing
	h.sinceNewSuccess.chargeSteps()
	h.sinceNewSuccess, h.probing, h.quarantineTime, h.proven = failureStreak{}, false, 0, true
	return probationOver
}

// reconsider ends a quarantine for failures of a step that turned out to fail wherever it
// runs, if the others don't suffice. The worker stays on probation.
func (h *health) reconsider(now time.Time, rec *failureRecord) {
	rests := slices.ContainsFunc(h.evidence.steps, func(e failedStep) bool { return e.rec == rec })
	if rests && h.cause == causeTasksFail && now.Before(h.quarantinedUntil) && !h.evidence.blamesWorker(quarantineFailures) {
		h.quarantinedUntil = now
	}
}

// startedSinceQuarantine reports whether a run can show that the cause of the last
// quarantine is gone: it started after the quarantine began.
func (h *health) startedSinceQuarantine(r *run) bool {
	return r != nil && r.startedAt.After(h.quarantinedAt)
}

// provesWorker reports whether a long-running run has shown that its worker is healthy.
func (r *run) provesWorker(now time.Time) bool {
	return r.task.step.spec.LongRunning && r.percent == 100 && now.Sub(r.startedAt) >= provenAfter
}

// noteSlowStep records that tasks of a step are slow here.
func (h *health) noteSlowStep(now time.Time, st *step) {
	if h.slowSteps == nil {
		h.slowSteps = make(map[*step]time.Time)
	}
	h.slowSteps[st] = now
}

// countSlowSteps returns how many steps were slow here within slowStepTTL, and forgets
// older ones.
func (h *health) countSlowSteps(now time.Time) int {
	for st, at := range h.slowSteps {
		if now.Sub(at) > slowStepTTL {
			delete(h.slowSteps, st)
		}
	}
	return len(h.slowSteps)
}

// clearSlowSteps forgets that steps were slow here if a task took no longer than is usual
// for its step.
func (h *health) clearSlowSteps(t *task) {
	if len(h.slowSteps) == 0 {
		return
	}
	if usual, ok := siblingTime(t, nil); ok && t.runTime < time.Duration(slowFactor*float64(usual)) {
		h.slowSteps = nil
	}
}

// acceptsTask reports whether the worker may be given another task. Successes of older
// runs don't shorten a quarantine: a faulty worker may still complete its old tasks, and
// would be given new ones while its fault lasts. While the worker is probed, each task has
// to end, prove the worker healthy or run for maxProbeWait before the next one starts. Tasks
// that fail wherever they run prove nothing, and delay no others.
func (h *health) acceptsTask(now time.Time, w *worker) bool {
	if now.Before(h.quarantinedUntil) {
		return false
	}
	if !h.probing {
		return true
	}
	for _, r := range w.runs {
		if h.startedSinceQuarantine(r) && !r.provesWorker(now) && !r.task.step.alwaysFails() && now.Sub(r.startedAt) < maxProbeWait {
			return false
		}
	}
	return true
}

// workerSucceeded counts a run as a success of its worker; the run may be nil.
func (s *Shard) workerSucceeded(now time.Time, w *worker, r *run) {
	if w.health.recordSuccess(r) {
		s.log.Info("worker's probation is over", events.WorkerReinstated, zap.String("worker", w.info.ID),
			zap.Duration("after", now.Sub(w.health.restrictedSince)))
	}
}

// creditLongRunning counts a long-running run as a success of its worker once it has run
// for long enough, since it may never end. It says nothing about the worker's speed.
func (s *Shard) creditLongRunning(now time.Time, w *worker, r *run) {
	if r.credited || !r.provesWorker(now) {
		return
	}
	r.credited, r.task.restarts = true, 0
	if !w.health.probing || w.health.cause != causeTasksSlow {
		s.workerSucceeded(now, w, r)
	}
}

// runFailed counts the failure of a run of a step against its worker and against the step; the
// run may be nil.
func (s *Shard) runFailed(now time.Time, w *worker, r *run, st *step) {
	if r != nil && r.provesWorker(now) {
		return
	}
	ran := time.Duration(0)
	if r != nil {
		ran = now.Sub(r.startedAt)
	}
	st.ensureRecord().addFailure(now, w.info.ID, ran)
	s.workerFailed(now, w, r, st)
}

// workerFailed counts the failure of a run of a step against its worker; the run may be nil.
func (s *Shard) workerFailed(now time.Time, w *worker, r *run, st *step) {
	h, rec := &w.health, st.ensureRecord()
	h.sinceSuccess.add(rec)
	h.sinceNewSuccess.add(rec)
	if rec.alwaysFails {
		return
	}
	if r != nil {
		h.lastFailedStart = latest(r.startedAt, h.lastFailedStart)
	}
	h.proven = false
	if (h.probing && h.startedSinceQuarantine(r)) || h.sinceSuccess.blamesWorker(quarantineFailures) || h.sinceNewSuccess.blamesWorker(quarantineNewFailures) {
		s.quarantine(now, w, causeTasksFail)
	}
}

// quarantine gives a worker no new tasks for a while, longer each time until one succeeds
// there. Failures are then counted anew; slow steps still count.
func (s *Shard) quarantine(now time.Time, w *worker, cause quarantineCause) {
	h := &w.health
	if now.Before(h.quarantinedUntil) {
		return
	}
	if !h.probing {
		h.restrictedSince = now
	}
	h.quarantineTime = min(max(2*h.quarantineTime, minQuarantine), maxQuarantine)
	h.quarantinedAt, h.quarantinedUntil, h.probing, h.cause = now, now.Add(h.quarantineTime), true, cause
	h.evidence = h.sinceNewSuccess
	s.counts.Quarantines++
	s.log.Warn("worker quarantined", events.WorkerQuarantined, zap.String("worker", w.info.ID), zap.String("cause", string(cause)),
		zap.Int("failures", h.sinceNewSuccess.failures()), zap.Int("steps", len(h.sinceNewSuccess.steps)), zap.Duration("for", h.quarantineTime))
	h.sinceSuccess, h.sinceNewSuccess = failureStreak{}, failureStreak{}
}
