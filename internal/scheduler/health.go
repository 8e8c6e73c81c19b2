// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

const (
	// failuresAside sets a worker aside: with one job in fifty having a task that
	// fails by its own fault, failures of two jobs without a success between them
	// are a matter of one in two thousand.
	failuresAside = 2
	// freshAside sets it aside too, whatever succeeds meanwhile that began before: one
	// that fails all its new tasks, each after some milliseconds, still ends its old
	// ones for a second, and has room for more and more.
	freshAside = 3
	// asideFirst and asideMost bound how long a worker is set aside: troubles of
	// workers last some seconds, and each probe costs one failed run.
	asideFirst = 2 * time.Second
	asideMost  = 8 * time.Second
	// settledAfter is from when after its start a task that lasts and is at work speaks
	// for its worker, and fails by its own fault: workers fail what they start at once,
	// while such tasks may fail at any time, some every few seconds on each worker.
	settledAfter = time.Second
	// trialMost is how long one run holds up the next task of a worker that was set
	// aside: a run that lasts may never end, and the worker has room for others.
	trialMost = 4 * time.Second
	// asidePatience is how long a task that lasts waits for another worker before it
	// takes one that is set aside: it has no attempts to lose, and its callers wait.
	asidePatience = time.Second
)

// cause is why a worker was set aside.
type cause string

const (
	tasksFail       cause = "its tasks fail"
	tasksStandStill cause = "its tasks stand still"
	tasksCrawl      cause = "its tasks crawl"
)

// health is the evidence for and against a worker. A job that fails on
// different workers is hopeless; a worker that fails different jobs is set
// aside, and tried again with one task at a time.
type health struct {
	// last are the failures since the last success, and fresh those since the last
	// success of a run that began after all that failed; both since it was set aside.
	last, fresh streak
	// failedFrom is the latest start of a run that has failed here.
	failedFrom time.Time
	// asideAt is when the worker was set aside last, asideUntil until when it gets
	// nothing, and asideSince since when it has not been used in full.
	asideAt, asideUntil, asideSince time.Time
	asideFor                        time.Duration
	cause                           cause
	// probing is set from when the worker is set aside until a run speaks for it that
	// began since.
	probing bool
	// proven is set while a run that began after all that failed has succeeded.
	proven bool
	// slow is when a step was last seen to crawl here, by step.
	slow map[*step]time.Time
}

// streak are failures without a success between them.
type streak struct {
	failures int
	// jobs are those whose runs failed.
	jobs map[string]bool
}

// add counts the failure of a run of a job.
func (k *streak) add(job string) {
	if k.jobs == nil {
		k.jobs = make(map[string]bool)
	}
	k.jobs[job] = true
	k.failures++
}

// speaksAgainst reports whether so many failures, of more than one job, are the worker's.
func (k *streak) speaksAgainst(failures int) bool { return k.failures >= failures && len(k.jobs) > 1 }

// succeeded clears the worker of what spoke against it. A run that began before one
// that failed says little of what has befallen the worker since, and one whose start
// isn't known is taken for such. It reports whether the worker is used in full again.
func (h *health) succeeded(r *run) (cleared bool) {
	h.last = streak{}
	if h.probing && h.cause == tasksFail && !h.judgedBy(r) {
		return false
	}
	if h.fresh.failures > 0 && (r == nil || !r.startedAt.After(h.failedFrom)) {
		return false
	}
	cleared = h.probing
	h.fresh, h.probing, h.asideFor, h.proven = streak{}, false, 0, true
	return cleared
}

// judgedBy reports whether a run tells whether what the worker was set aside for is over:
// it began since.
func (h *health) judgedBy(r *run) bool { return r != nil && r.startedAt.After(h.asideAt) }

// settled reports whether a run that lasts has shown that its worker is sound.
func (r *run) settled(now time.Time) bool {
	return r.task.step.spec.LongRunning && r.percent == 100 && now.Sub(r.startedAt) >= settledAfter
}

// crawled notes that a step's tasks crawl here.
func (h *health) crawled(now time.Time, st *step) {
	if h.slow == nil {
		h.slow = make(map[*step]time.Time)
	}
	h.slow[st] = now
}

// slowNow returns how many steps have crawled here lately, and forgets the others.
func (h *health) slowNow(now time.Time) int {
	for st, at := range h.slow {
		if now.Sub(at) > slowMemory {
			delete(h.slow, st)
		}
	}
	return len(h.slow)
}

// ranWell forgets that steps crawled here if a task's time was usual for its step.
func (h *health) ranWell(t *task) {
	if len(h.slow) == 0 {
		return
	}
	if usual, ok := typicalTime(t, nil); ok && t.took < time.Duration(slowFactor*float64(usual)) {
		h.slow = nil
	}
}

// takes reports whether the worker may be given another task. Nothing shortens the time
// for which it is set aside: where the successes of old runs on slow workers did, the mean
// worth of eight days with such workers was 0.04 lower on two sites. While the worker is
// probed, each task has to end, to settle or to go on for a while before the next.
func (h *health) takes(now time.Time, w *worker) bool {
	if now.Before(h.asideUntil) {
		return false
	}
	if !h.probing {
		return true
	}
	for _, r := range w.runs {
		if h.judgedBy(r) && !r.settled(now) && now.Sub(r.startedAt) < trialMost {
			return false
		}
	}
	return true
}

// workerSucceeded takes a run that speaks for its worker; the run may be nil.
func (s *Shard) workerSucceeded(now time.Time, w *worker, r *run) {
	if w.health.succeeded(r) {
		s.log.Info("worker in use again", events.WorkerReinstated, zap.String("worker", w.info.ID),
			zap.Duration("after", now.Sub(w.health.asideSince)))
	}
}

// noteSettled takes a run that lasts as a success of its worker once it has settled:
// it may never end so. It says nothing of the worker's speed.
func (s *Shard) noteSettled(now time.Time, w *worker, r *run) {
	if r.spoke || !r.settled(now) {
		return
	}
	r.spoke, r.task.moved = true, 0
	if !w.health.probing || w.health.cause != tasksCrawl {
		s.workerSucceeded(now, w, r)
	}
}

// workerFailed counts the failure of a run of a job, which may be the worker's; the
// run may be nil.
func (s *Shard) workerFailed(now time.Time, w *worker, r *run, job string) {
	if r != nil && r.settled(now) {
		return
	}
	h := &w.health
	if r != nil && r.startedAt.After(h.failedFrom) {
		h.failedFrom = r.startedAt
	}
	h.last.add(job)
	h.fresh.add(job)
	h.proven = false
	if (h.probing && h.judgedBy(r)) || h.last.speaksAgainst(failuresAside) || h.fresh.speaksAgainst(freshAside) {
		s.setAside(now, w, tasksFail)
	}
}

// setAside gives a worker no more tasks for a while, longer each time until one
// succeeds there. Failures are then counted anew; what crawls there still speaks
// against it.
func (s *Shard) setAside(now time.Time, w *worker, why cause) {
	h := &w.health
	if now.Before(h.asideUntil) {
		return
	}
	if !h.probing {
		h.asideSince = now
	}
	h.asideFor = min(max(2*h.asideFor, asideFirst), asideMost)
	h.asideAt, h.asideUntil, h.probing, h.cause = now, now.Add(h.asideFor), true, why
	s.counts.SetAside++
	s.log.Warn("worker set aside", events.WorkerQuarantined, zap.String("worker", w.info.ID), zap.String("cause", string(why)),
		zap.Int("failures", h.fresh.failures), zap.Int("jobs", len(h.fresh.jobs)), zap.Duration("for", h.asideFor))
	h.last, h.fresh = streak{}, streak{}
}
