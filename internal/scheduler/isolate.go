// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crashesBeforeIsolation is after how many crashes a task starts only isolated, and
	// maxEarlyClear the time to be cleared up to which it does so before if it can: a worker
	// that crashes by itself makes suspects of all its young runs.
	crashesBeforeIsolation = 2
	maxEarlyClear          = 1500 * time.Millisecond
	// settledAge is the age from which the run of a task that may start beside others may
	// stay beside an isolated one.
	settledAge = time.Second
	// maxIsolatedShare is the share of the workers on which runs may be isolated at a time,
	// maxIsolatedShareInBurst the same during a burst of crashes, which makes many suspects,
	// and minIsolated the least number as long as there are other workers. A worker that
	// crashed under an isolated run counts for crashedWorkerTime, in which it restarts.
	maxIsolatedShare        = 0.25
	maxIsolatedShareInBurst = 0.5
	minIsolated             = 2
	crashedWorkerTime       = 3 * time.Second
	// During a burst a task waits for burstWait after its third crash, and longer after each
	// further one, up to maxBurstWait: the burst may be over by then.
	burstWait    = 2 * time.Second
	maxBurstWait = 6 * time.Second
	// maxIsolationWait is after which wait for an isolated place a task starts beside others,
	// if no worker has crashed meanwhile and it has had no more crashes than that: few workers
	// may be suitable for it, and other suspects run on these.
	maxIsolationWait = 4 * time.Second
	// maxSoundWait is how long a task that has few starts left waits for a worker that has not
	// failed any run since its last success.
	maxSoundWait = 2 * time.Second
	// longUptime is the uptime from which workers are equally good for an isolated run: a
	// crash of one that crashes by itself every few seconds says nothing.
	longUptime = 30 * time.Second
)

// mustIsolate reports whether the task starts only isolated from other suspects.
func (t *task) mustIsolate() bool { return len(t.crashes.Runs) >= crashesBeforeIsolation }

// shouldIsolate reports whether the task starts isolated if it can.
func (t *task) shouldIsolate() bool {
	return t.suspect() && t.crashes.clearTime() <= maxEarlyClear
}

// mustIsolate reports whether a member of the gang has to run isolated, and so all of them.
func (st *step) mustIsolate() bool {
	return st.spec.Gang && slices.ContainsFunc(st.tasks, (*task).mustIsolate)
}

// crashesDurable reports whether the crashes that decide how the task runs are persisted. A
// new owner that didn't know of them would start the task anew.
func (t *task) crashesDurable() bool {
	return !t.mustIsolate() || t.step.job.durableChange >= t.crashChange
}

// isolate lets nothing else start on a run's worker.
func (s *Shard) isolate(r *run) {
	r.isolated = true
	r.worker.isolated = append(r.worker.isolated, r)
	s.isolatedRuns++
}

// endIsolation lets other tasks start beside a run.
func (s *Shard) endIsolation(r *run) {
	if !r.isolated {
		return
	}
	r.isolated = false
	r.worker.isolated = slices.DeleteFunc(r.worker.isolated, func(o *run) bool { return o == r })
	s.isolatedRuns--
}

// acceptsBeside reports whether a task of a step may start beside the isolated runs on the
// worker: only members of the same gang may.
func (w *worker) acceptsBeside(st *step) bool {
	return len(w.isolated) == 0 || (st.spec.Gang && w.isolated[0].task.step == st)
}

// hasSuspectBeside reports whether a suspect other than the task, or another member of its
// gang, runs on the worker and may be the cause of a crash there.
func (w *worker) hasSuspectBeside(now time.Time, t *task) bool {
	for _, r := range w.runs {
		if r.task == t || !r.task.suspect() || (t.step.spec.Gang && r.task.step == t.step) {
			continue
		}
		if r.task.mustIsolate() || now.Sub(r.startedAt) < settledAge {
			return true
		}
	}
	return false
}

// mayIsolate reports whether a suspect may start isolated now. The limit keeps suspects from
// taking too many workers from all other tasks; those that must be isolated have half of it
// to themselves.
func (s *Shard) mayIsolate(now time.Time, t *task) bool {
	share := maxIsolatedShare
	if s.inCrashBurst(now) {
		if now.Sub(t.crashedAt) < t.crashes.waitInBurst() {
			return false
		}
		share = maxIsolatedShareInBurst
	}
	limit := max(min(minIsolated, len(s.workerList)-1), int(share*float64(len(s.workerList))), 1)
	if !t.mustIsolate() {
		limit = max(1, limit/2)
	}
	s.isolatedCrashes = dropBefore(s.isolatedCrashes, now.Add(-crashedWorkerTime))
	return s.isolatedRuns+len(s.isolatedCrashes) < limit
}

// waitInBurst returns how long after its last crash a task waits during a burst.
func (c *CrashRecord) waitInBurst() time.Duration {
	return min(time.Duration(len(c.Runs)-crashesBeforeIsolation)*burstWait, maxBurstWait)
}

// mayStartIsolated reports whether a gang may start as far as its members have to be
// isolated.
func (s *Shard) mayStartIsolated(now time.Time, st *step) bool {
	return !slices.ContainsFunc(st.tasks, func(t *task) bool { return t.mustIsolate() && !s.mayIsolate(now, t) })
}

// mayStartBeside reports whether a task may start beside others although it should be
// isolated.
func (s *Shard) mayStartBeside(now time.Time, t *task) bool {
	if !t.mustIsolate() {
		return true
	}
	waited := !t.waitingSince.IsZero() && now.Sub(t.waitingSince) >= maxIsolationWait
	return waited && now.Sub(s.lastCrashAt) >= maxIsolationWait && len(t.crashes.Runs) <= crashesBeforeIsolation
}

// waitsForIsolation reports whether a task has to wait until fewer runs are isolated.
func (s *Shard) waitsForIsolation(now time.Time, t *task) bool {
	return t.mustIsolate() && !s.mayIsolate(now, t) && !s.mayStartBeside(now, t)
}

// startOnBest starts a task on the best worker, isolated if it is a suspect, and returns that
// worker; nil: there is none.
func (s *Shard) startOnBest(now time.Time, t *task) *worker {
	isolated := t.suspect() && (t.mustIsolate() || t.shouldIsolate()) && s.mayIsolate(now, t)
	var w *worker
	if isolated {
		w = s.bestIsolatedWorker(now, t)
	}
	if w == nil && s.mayStartBeside(now, t) {
		w, isolated = s.bestWorkerFor(now, t), false
	}
	if w == nil {
		return nil
	}
	if !t.crashes.countStart() {
		// The jobs are being ranged over.
		s.confirmedCauses = append(s.confirmedCauses, t)
		return nil
	}
	if r := s.start(now, t, w); isolated {
		s.isolate(r)
	}
	return w
}

// bestIsolatedWorker returns the worker on which a task should start isolated, or nil: the
// one that is the least likely to crash by itself, and of these the one with the least work,
// which would be lost.
func (s *Shard) bestIsolatedWorker(now time.Time, t *task) *worker {
	var best *worker
	waitsForSound := t.waitsForSoundWorker(now)
	for _, w := range s.workerList {
		if !s.usableAfterWait(now, w, t.step) || len(w.isolated) > 0 || w.hasSuspectBeside(now, t) {
			continue
		}
		if waitsForSound && !w.isSoundFor(now, t) {
			continue
		}
		if _, fits := s.roomAfter(now, w, t.step, 0); fits && (best == nil || w.compareForIsolation(now, best) < 0) {
			best = w
		}
	}
	return best
}

// waitsForSoundWorker reports whether a task that has few starts left waits for a worker on which
// its run is likely to show whether the task is the cause: a run that fails before tells nothing.
func (t *task) waitsForSoundWorker(now time.Time) bool {
	return len(t.crashes.Runs) >= manyCrashes && (t.waitingSince.IsZero() || now.Sub(t.waitingSince) < maxSoundWait)
}

// isSoundFor reports whether nothing speaks against a worker, and the task has not just failed there.
func (w *worker) isSoundFor(now time.Time, t *task) bool {
	justFailed := w.info.ID == t.avoidWorker && now.Sub(t.avoidSince) < avoidBeforeLastAttempt
	return !justFailed && !w.health.probing && w.health.sinceNewSuccess.failures() == 0
}

// compareForIsolation orders workers by how good they are for an isolated run. A failure
// before the crash would tell nothing.
func (w *worker) compareForIsolation(now time.Time, o *worker) int {
	failures := func(w *worker) int { return w.health.sinceNewSuccess.failures() }
	uptime := func(w *worker) time.Duration { return min(w.uptime(now), longUptime) }
	used := func(w *worker) float64 { return w.used.DominantShare(w.info.Capacity) }
	return cmp.Or(cmp.Compare(failures(w), failures(o)), cmp.Compare(uptime(o), uptime(w)), cmp.Compare(used(w), used(o)))
}
