// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"
)

const (
	// stalledAfter is how long a run may show no progress before it counts as stalled: a
	// worker reports every half second, and restoring a checkpoint takes up to 0.6 s. Where
	// the estimate is long, it is the time for stalledPercent of it. Estimates may be far too
	// low, so that it doubles with each restart of the task after the first, up to
	// maxProgressDoublings times.
	stalledAfter         = 1300 * time.Millisecond
	stalledPercent       = 4
	maxProgressDoublings = 6
	// bestEffortStalledAfter is the same for a best-effort run, which gets what others
	// leave and may get little for a while. longRunningStalledAfter is for a long-running
	// run that is not at 100 percent yet, which takes up to a second on a healthy worker.
	// Both double with each restart of the task, up to maxStalledDoublings times.
	bestEffortStalledAfter  = 8 * time.Second
	longRunningStalledAfter = 4 * time.Second
	maxStalledDoublings     = 3
	// slowFactor is how many times longer than its siblings a run may be projected to
	// take before it is restarted or copied: on healthy workers the longest task of a
	// step takes 1.9 times as long as the median, and slow workers take four times as
	// long or more.
	slowFactor = 2.4
	// slowFactorLearned is the same compared to earlier tasks of its kind, which also
	// differ from step to step.
	slowFactorLearned = 3.5
	// slowMinAge is the least age, in units of the typical time, at which a run may count
	// as slow, and slowWindow the least time over which its speed is measured.
	slowMinAge = 0.7
	slowWindow = 400 * time.Millisecond
	// minSiblings is how many other tasks of the step are needed for a typical time.
	minSiblings = 2
	// minSlowSteps is how many steps must be slow on a worker before it is quarantined,
	// and slowStepTTL how long each counts unless a task of usual speed ends there.
	minSlowSteps = 2
	slowStepTTL  = 6 * time.Second
	// minStalledRuns is how many runs must be stalled on a worker before it is
	// quarantined.
	minStalledRuns = 2
	// maxSlowRestarts is how often a task is restarted because it is slow: one that is
	// slow on two workers is longer than its siblings by nature.
	maxSlowRestarts = 1
	// fullLoad is the load of a shard from which slow tasks are left alone: a copy would take the
	// room of waiting work, and a restart wastes what was done.
	fullLoad = 0.75
	// copyAfterSilence is how long a worker is silent before its speculative runs are
	// copied.
	copyAfterSilence = 200 * time.Millisecond
)

// checkProgress looks for stalled and slow runs: speculative ones get a copy elsewhere,
// others are stopped and start again, from their checkpoint if they have one.
func (s *Shard) checkProgress(now time.Time) {
	for _, w := range s.workerList {
		if w.silent && now.Sub(w.silentSince) > copyAfterSilence {
			s.copySilentRuns(now, w)
		}
		if w.silent || !w.answered {
			continue
		}
		stalled := 0
		for _, r := range sortedRuns(w.runs) {
			if s.checkRun(now, w, r) {
				stalled++
			}
		}
		if stalled >= minStalledRuns || (stalled > 0 && w.health.probing) {
			s.quarantine(now, w, causeTasksStalled)
		}
		if slow := w.health.countSlowSteps(now); slow >= minSlowSteps || (slow > 0 && w.health.probing) {
			s.quarantine(now, w, causeTasksSlow)
		}
	}
}

// checkRun handles a stalled or slow run, and reports whether it is stalled.
func (s *Shard) checkRun(now time.Time, w *worker, r *run) (stalled bool) {
	if s.retryStop(now, r) {
		return false
	}
	if r.stalledTooLong() {
		// That says nothing about the worker.
		s.restartElsewhere(now, r, "makes no progress")
		return false
	}
	if !reflectsWorkerSpeed(r) {
		return false
	}
	stalled = r.isStalled(now)
	tooSlow := !stalled && s.isTooSlow(now, r)
	if tooSlow {
		w.health.noteSlowStep(now, r.task.step)
	}
	if stalled || tooSlow {
		s.handleSlowRun(now, r, stalled)
	}
	return stalled
}

// copySilentRuns starts copies of the speculative runs on a silent worker. Its other runs
// have to wait until the worker is known to have ended, or its lease to have expired.
func (s *Shard) copySilentRuns(now time.Time, w *worker) {
	for _, r := range sortedRuns(w.runs) {
		if spec := r.task.step.spec; spec.Speculative && !spec.LongRunning && r.task.attemptsLeft() > 1 {
			s.copyRun(now, r.task, r)
		}
	}
}

// attemptsLeft returns how many more runs of a task may fail. A copy is only started if
// the original run keeps one.
func (t *task) attemptsLeft() int { return t.step.job.spec.Policy.MaxAttempts - len(t.failed) }

// reflectsWorkerSpeed reports whether a run's progress says something about its worker.
func reflectsWorkerSpeed(r *run) bool {
	spec := r.task.step.spec
	return r.state == runRunning && !spec.LongRunning && !spec.BestEffortCPU && r.pace == fullPace && r.percent < 100
}

// isStalled reports whether a run's percent has not changed for so long that it should have, in which
// time its worker has reported.
func (r *run) isStalled(now time.Time) bool {
	patience := r.task.stallPatience()
	return now.Sub(r.percentChangedAt) > patience && r.worker.clockAt.After(r.percentChangedAt.Add(patience/2))
}

// stallPatience returns how long a run of the task may show no progress.
func (t *task) stallPatience() time.Duration {
	return max(stalledAfter, stalledPercent*t.step.estimate()/100) << min(max(0, t.restarts-1), maxProgressDoublings)
}

// allStalled reports whether all runs of a task are stalled, and none is being stopped.
func (t *task) allStalled(now time.Time) bool {
	return !slices.ContainsFunc(t.runs, func(r *run) bool { return r.stopping || !reflectsWorkerSpeed(r) || !r.isStalled(now) })
}

// stalledTooLong reports whether a best-effort run has made no progress or been paused,
// or a long-running one has not reached 100 percent, for so long that it should start
// elsewhere.
func (r *run) stalledTooLong() bool {
	spec := r.task.step.spec
	if (!spec.BestEffortCPU && !spec.LongRunning) || r.state != runRunning || r.pace == paceUnknown || r.percent == 100 {
		return false
	}
	patience := bestEffortStalledAfter
	if !spec.BestEffortCPU {
		patience = longRunningStalledAfter
	}
	patience <<= min(r.task.restarts, maxStalledDoublings)
	since := latest(r.paceSetAt, r.percentChangedAt)
	// An older report says nothing: the run may have made progress since.
	return r.worker.clockAt.After(since.Add(patience))
}

// retryStop repeats a stop that was not acknowledged, and reports whether the run is
// being stopped.
func (s *Shard) retryStop(now time.Time, r *run) bool {
	if r.stopping && !r.stopped && now.Sub(r.stopSentAt) >= stopRetryInterval {
		s.stop(now, r, r.stopCause)
	}
	return r.stopping
}

// projectedTime returns how long all of a run's work takes at the speed seen so far; ok
// is false while too little of it has been seen.
func (r *run) projectedTime() (time.Duration, bool) {
	window := r.worker.clockAt.Sub(r.firstAt)
	if r.firstAt.IsZero() || window < slowWindow {
		return 0, false
	}
	gained := max(r.percent-r.firstPercent, 1)
	return time.Duration(float64(window) * 100 / float64(gained)), true
}

// siblingTime returns the median time of the other tasks of a task's step: those that are
// done, and those that run on other workers than w.
func siblingTime(of *task, w *worker) (time.Duration, bool) {
	var times []time.Duration
	for _, t := range of.step.tasks {
		switch {
		case t == of:
		case t.runTime > 0:
			times = append(times, t.runTime)
		case len(t.runs) == 1 && t.runs[0].worker != w && !t.runs[0].stopping:
			if d, ok := t.runs[0].projectedTime(); ok {
				times = append(times, d)
			}
		}
	}
	if len(times) < minSiblings {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)/2], true
}

// isTooSlow reports whether a run is far slower than its siblings or, if too few of them
// run on other workers, than earlier tasks of its kind, and a restart would end sooner.
func (s *Shard) isTooSlow(now time.Time, r *run) bool {
	total, ok := r.projectedTime()
	if !ok {
		return false
	}
	factor := slowFactor
	usual, ok := siblingTime(r.task, r.worker)
	if !ok {
		factor = slowFactorLearned
		usual, ok = s.learnedTime(r.task.step)
	}
	if !ok || now.Sub(r.startedAt) < time.Duration(slowMinAge*float64(usual)) || total < time.Duration(factor*float64(usual)) {
		return false
	}
	left := time.Duration(float64(total) * float64(100-r.percent) / 100)
	return left > usual+s.params.StopTime
}

// handleSlowRun gives a stalled or slow run a copy, or stops it so that its task starts
// again elsewhere.
func (s *Shard) handleSlowRun(now time.Time, r *run, stalled bool) {
	t, st := r.task, r.task.step
	if t.done || (len(t.runs) > 1 && !t.allStalled(now)) || (st.spec.Gang && !stalled) {
		return
	}
	if !stalled && s.load >= fullLoad {
		return
	}
	if st.spec.Speculative && t.attemptsLeft() > 1 && len(t.runs) == 1 {
		s.copyRun(now, t, r)
		return
	}
	if !stalled && t.restarts >= maxSlowRestarts {
		return
	}
	cause := "is slow"
	if stalled {
		cause = "is stalled"
	}
	s.restartElsewhere(now, r, cause)
}

// restartElsewhere stops a run so that its task starts again, on another worker if
// possible.
func (s *Shard) restartElsewhere(now time.Time, r *run, cause string) {
	t := r.task
	t.restarts++
	t.avoidWorker, t.avoidSince = r.worker.info.ID, now
	s.stop(now, r, cause)
	s.stopOtherMembers(now, r, "a member "+cause)
}

// copyRun starts a second run of a speculative task on another worker, also if an earlier
// copy has been lost.
func (s *Shard) copyRun(now time.Time, t *task, slow *run) {
	if !s.mayStart(now) || len(t.runs) > 1 || t.done || t.suspect() || now.Before(t.notBefore) || t.step.job.state.Finished() || s.startsWithinLimit(now, t.step, 1) < 1 {
		return
	}
	avoided := func(w *worker) bool { return w.info.ID == t.avoidWorker && now.Sub(t.avoidSince) < avoidDuration }
	w := s.bestWorker(now, t.step, nil, func(w *worker) bool { return w != slow.worker && !avoided(w) })
	if w == nil {
		if t.step.needsTicket() {
			s.requestAdvice(now, t.step, 1, true)
		}
		return
	}
	s.counts.Copies++
	s.start(now, t, w)
}
