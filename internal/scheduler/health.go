// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

const (
	// quarantineFailures sets a worker aside: with one job in fifty having a task that
	// fails by its own fault, failures of two jobs without a success between them
	// are a matter of one in two thousand.
	quarantineFailures = 2
	// quarantineNewFailures sets it aside too, whatever succeeds meanwhile that began before: one
	// that fails all its new tasks, each after some milliseconds, still ends its old
	// ones for a second, and has room for more and more.
	quarantineNewFailures = 3
	// minQuarantine and asideMost bound how long a worker is set aside: troubles of
	// workers last some seconds, and each probe costs one failed run.
	minQuarantine = 2 * time.Second
	maxQuarantine = 8 * time.Second
	// provenAfter is from when after its start a task that lasts and is at work speaks
	// for its worker, and fails by its own fault: workers fail what they start at once,
	// while such tasks may fail at any time, some every few seconds on each worker.
	provenAfter = time.Second
	// maxProbeWait is how long one run holds up the next task of a worker that was set
	// aside: a run that lasts may never end, and the worker has room for others.
	maxProbeWait = 4 * time.Second
	// quarantineOverrideWait is how long a task that lasts waits for another worker before it
	// takes one that is set aside: it has no attempts to lose, and its callers wait.
	quarantineOverrideWait = time.Second
)

// quarantineCause is why a worker was set aside.
type quarantineCause string

const (
	causeTasksFail    quarantineCause = "its tasks fail"
	causeTasksStalled quarantineCause = "its tasks stand still"
	causeTasksSlow    quarantineCause = "its tasks crawl"
)

// health is the evidence for and against a worker. A job that fails on
// different workers is hopeless; a worker that fails different jobs is set
// aside, and tried again with one task at a time.
type health struct {
	// sinceSuccess are the failures since the sinceSuccess success, and sinceNewSuccess those since the sinceSuccess
	// success of a run that began after all that failed; both since it was set aside.
	sinceSuccess, sinceNewSuccess failureStreak
	// lastFailedStart is the latest start of a run that has failed here.
	lastFailedStart time.Time
	// quarantinedAt is when the worker was set aside last, quarantinedUntil until when it gets
	// nothing, and restrictedSince since when it has not been used in full.
	quarantinedAt, quarantinedUntil, restrictedSince time.Time
	quarantineTime                                   time.Duration
	cause                                            quarantineCause
	// probing is set from when the worker is set aside until a run speaks for it that
	// began since.
	probing bool
	// proven is set while a run that began after all that failed has succeeded.
	proven bool
	// slowSteps is when a step was last seen to crawl here, by step.
	slowSteps map[*step]time.Time
}

// failureStreak are failures without a success between them.
type failureStreak struct {
	failures int
	// jobs are those whose runs failed.
	jobs map[string]bool
}

// add counts the failure of a run of a job.
func (k *failureStreak) add(job string) {
	if k.jobs == nil {
		k.jobs = make(map[string]bool)
	}
	k.jobs[job] = true
	k.failures++
}

// blamesWorker reports whether so many failures, of more than one job, are the worker's.
func (k *failureStreak) blamesWorker(failures int) bool {
	return k.failures >= failures && len(k.jobs) > 1
}

// recordSuccess clears the worker of what spoke against it. A run that began before one
// that failed says little of what has befallen the worker since, and one whose start
// isn't known is taken for such. It reports whether the worker is used in full again.
func (h *health) recordSuccess(r *run) (cleared bool) {
	h.sinceSuccess = failureStreak{}
	if h.probing && h.cause == causeTasksFail && !h.startedSinceQuarantine(r) {
		return false
	}
	if h.sinceNewSuccess.failures > 0 && (r == nil || !r.startedAt.After(h.lastFailedStart)) {
		return false
	}
	cleared = h.probing
	h.sinceNewSuccess, h.probing, h.quarantineTime, h.proven = failureStreak{}, false, 0, true
	return cleared
}

// startedSinceQuarantine reports whether a run tells whether what the worker was set aside for is over:
// it began since.
func (h *health) startedSinceQuarantine(r *run) bool {
	return r != nil && r.startedAt.After(h.quarantinedAt)
}

// provesWorker reports whether a run that lasts has shown that its worker is sound.
func (r *run) provesWorker(now time.Time) bool {
	return r.task.step.spec.LongRunning && r.percent == 100 && now.Sub(r.startedAt) >= provenAfter
}

// noteSlowStep notes that a step's tasks crawl here.
func (h *health) noteSlowStep(now time.Time, st *step) {
	if h.slowSteps == nil {
		h.slowSteps = make(map[*step]time.Time)
	}
	h.slowSteps[st] = now
}

// countSlowSteps returns how many steps have crawled here lately, and forgets the others.
func (h *health) countSlowSteps(now time.Time) int {
	for st, at := range h.slowSteps {
		if now.Sub(at) > slowStepTTL {
			delete(h.slowSteps, st)
		}
	}
	return len(h.slowSteps)
}

// clearSlowSteps forgets that steps crawled here if a task's time was usual for its step.
func (h *health) clearSlowSteps(t *task) {
	if len(h.slowSteps) == 0 {
		return
	}
	if usual, ok := siblingTime(t, nil); ok && t.runTime < time.Duration(slowFactor*float64(usual)) {
		h.slowSteps = nil
	}
}

// acceptsTask reports whether the worker may be given another task. Nothing shortens the time
// for which it is set aside: where the successes of old runs on slow workers did, the mean
// worth of eight days with such workers was 0.04 lower on two sites. While the worker is
// probed, each task has to end, to settle or to go on for a while before the next.
func (h *health) acceptsTask(now time.Time, w *worker) bool {
	if now.Before(h.quarantinedUntil) {
		return false
	}
	if !h.probing {
		return true
	}
	for _, r := range w.runs {
		if h.startedSinceQuarantine(r) && !r.provesWorker(now) && now.Sub(r.startedAt) < maxProbeWait {
			return false
		}
	}
	return true
}

// workerSucceeded takes a run that speaks for its worker; the run may be nil.
func (s *Shard) workerSucceeded(now time.Time, w *worker, r *run) {
	if w.health.recordSuccess(r) {
		s.log.Info("worker in use again", events.WorkerReinstated, zap.String("worker", w.info.ID),
			zap.Duration("after", now.Sub(w.health.restrictedSince)))
	}
}

// creditLongRunning takes a run that lasts as a success of its worker once it has settled:
// it may never end so. It says nothing of the worker's speed.
func (s *Shard) creditLongRunning(now time.Time, w *worker, r *run) {
	if r.credited || !r.provesWorker(now) {
		return
	}
	r.credited, r.task.restarts = true, 0
	if !w.health.probing || w.health.cause != causeTasksSlow {
		s.workerSucceeded(now, w, r)
	}
}

// workerFailed counts the failure of a run of a job, which may be the worker's; the
// run may be nil.
func (s *Shard) workerFailed(now time.Time, w *worker, r *run, job string) {
	if r != nil && r.provesWorker(now) {
		return
	}
	h := &w.health
	if r != nil && r.startedAt.After(h.lastFailedStart) {
		h.lastFailedStart = r.startedAt
	}
	h.sinceSuccess.add(job)
	h.sinceNewSuccess.add(job)
	h.proven = false
	if (h.probing && h.startedSinceQuarantine(r)) || h.sinceSuccess.blamesWorker(quarantineFailures) || h.sinceNewSuccess.blamesWorker(quarantineNewFailures) {
		s.quarantine(now, w, causeTasksFail)
	}
}

// quarantine gives a worker no more tasks for a while, longer each time until one
// succeeds there. Failures are then counted anew; what crawls there still speaks
// against it.
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
	s.counts.Quarantines++
	s.log.Warn("worker set aside", events.WorkerQuarantined, zap.String("worker", w.info.ID), zap.String("cause", string(cause)),
		zap.Int("failures", h.sinceNewSuccess.failures), zap.Int("jobs", len(h.sinceNewSuccess.jobs)), zap.Duration("for", h.quarantineTime))
	h.sinceSuccess, h.sinceNewSuccess = failureStreak{}, failureStreak{}
}
