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
)

// health is the evidence for and against a worker. A job that fails on
// different workers is hopeless; a worker that fails different jobs is set
// aside, and tried again with one task at a time.
type health struct {
	// last are the failures since the last success, and fresh those since the last
	// success of a run that began after all that failed.
	last, fresh streak
	// failedFrom is the latest start of a run that has failed here.
	failedFrom time.Time
	asideUntil time.Time
	// asideSince is when it was last set aside while it was used in full.
	asideSince time.Time
	asideFor   time.Duration
	probing    bool
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
	if h.fresh.failures > 0 && (r == nil || !r.startedAt.After(h.failedFrom)) {
		return false
	}
	cleared = h.probing
	h.fresh, h.probing, h.asideFor, h.proven = streak{}, false, 0, true
	return cleared
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

// takes reports whether the worker may be given another task.
func (h *health) takes(now time.Time, w *worker) bool {
	if now.Before(h.asideUntil) {
		return false
	}
	return !h.probing || len(w.runs) == 0
}

// workerFailed counts the failure of a run of a job, which may be the worker's; the
// run may be nil.
func (s *Shard) workerFailed(now time.Time, w *worker, r *run, job string) {
	h := &w.health
	if r != nil && r.startedAt.After(h.failedFrom) {
		h.failedFrom = r.startedAt
	}
	h.last.add(job)
	h.fresh.add(job)
	h.proven = false
	if h.probing || h.last.speaksAgainst(failuresAside) || h.fresh.speaksAgainst(freshAside) {
		s.setAside(now, w, "its tasks fail")
	}
}

// setAside gives a worker no more tasks for a while, longer each time until one
// succeeds there.
func (s *Shard) setAside(now time.Time, w *worker, cause string) {
	h := &w.health
	if now.Before(h.asideUntil) {
		return
	}
	if !h.probing {
		h.asideSince = now
	}
	h.asideFor = min(max(2*h.asideFor, asideFirst), asideMost)
	h.asideUntil, h.probing = now.Add(h.asideFor), true
	s.counts.SetAside++
	s.log.Warn("worker set aside", events.WorkerAside, zap.String("worker", w.info.ID), zap.String("cause", cause),
		zap.Int("failures", h.fresh.failures), zap.Int("jobs", len(h.fresh.jobs)), zap.Duration("for", h.asideFor))
}
