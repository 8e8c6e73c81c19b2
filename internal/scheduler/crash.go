// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
)

// A task may crash each worker on which it starts. All tasks that ran on a crashed worker
// become suspects, since any of them may be the cause, and so may the worker itself. A
// suspect is cleared once a run of it has outlived the crash. Until then it runs isolated if
// possible, and always after its second crash: on a worker without other suspects, on which
// nothing else starts meanwhile. Each crash of such a worker makes it less likely that the
// task only happened to be there, unless workers crash elsewhere, too. Once that is unlikely
// enough, the task is the confirmed cause, and its job fails. A task that only ran beside
// the cause is cleared by its next run, or at the latest by the first isolated one.
//
// This file records crashes. What a crash says is in crashrate.go, and where suspects start
// in isolate.go.

// CrashRecord is what is persisted of the crashes under a task since it was last cleared.
type CrashRecord struct {
	// Runs are the numbers of the runs under which a worker crashed, and Workers the IDs of
	// these workers.
	Runs    []int64  `json:"r"`
	Workers []string `json:"w"`
	// Chance is the probability that a task which is not the cause has met the crashes that
	// happened while it ran isolated.
	Chance float64 `json:"p"`
	// LastAgeMS is the age of the last of the runs when its worker crashed, and MinAgeMS that
	// of the youngest, in milliseconds.
	LastAgeMS int64 `json:"la"`
	MinAgeMS  int64 `json:"ma"`
	// StartsAfterMany is how often the task has started after manyCrashes.
	StartsAfterMany int `json:"s,omitempty"`
	// Confirmed is set once the task is known to be the cause.
	Confirmed bool `json:"c,omitempty"`
}

const (
	// maxCrashAge is the age up to which a run may be the cause of a crash. Tasks that crash
	// their workers do so soon after the start; older runs are lost in the ordinary way.
	maxCrashAge = 3 * time.Second
	// maxAgeBeforePlannedEnd is the same on a worker that has had notice of its end.
	maxAgeBeforePlannedEnd = 500 * time.Millisecond
	// maxChance is the chance below which a task is the confirmed cause; with minCrashChance,
	// the least chance of a single crash, that takes at least three isolated crashes.
	maxChance      = 3e-6
	minCrashChance = 0.005
	// sameWorkerChance is the least chance of a crash of a worker that has crashed under the
	// task before and may do so by itself.
	sameWorkerChance = 0.05
	// maxChanceAfterMany is the same for a task that has started maxStartsAfterMany times
	// after manyCrashes: it has taken many workers from other tasks.
	maxChanceAfterMany = 3e-5
	manyCrashes        = 3
	maxStartsAfterMany = 2
	// clearMargin is how much longer than the age at the crash a run must live to clear its
	// task, and minClearTime the least time.
	clearMargin  = 500 * time.Millisecond
	minClearTime = 800 * time.Millisecond
	// ageError is by how much the ages of two runs at the same kind of crash may differ: the
	// owner notices a broken connection late while it has used up its CPU quota.
	ageError = 100 * time.Millisecond
)

// crash is a crash of a worker under a run.
type crash struct {
	run    int64
	worker string
	// age is that of the run at the crash, and chance the probability that the worker crashed
	// spontaneously at that age; 1: the crash says nothing about the run.
	age    time.Duration
	chance float64
}

// add adds a crash.
func (c *CrashRecord) add(e crash) {
	age := e.age.Milliseconds()
	if len(c.Runs) == 0 {
		c.Chance, c.MinAgeMS = 1, age
	}
	c.Runs, c.Workers = append(c.Runs, e.run), append(c.Workers, e.worker)
	c.Chance *= e.chance
	c.LastAgeMS, c.MinAgeMS = age, min(c.MinAgeMS, age)
	c.Confirmed = c.confirmed()
}

// confirmed reports whether the task is unlikely enough not to be the cause.
func (c *CrashRecord) confirmed() bool {
	return c.Chance < maxChance || (c.StartsAfterMany >= maxStartsAfterMany && c.Chance < maxChanceAfterMany)
}

// countStart counts a start, or confirms the cause if there should not be one more.
func (c *CrashRecord) countStart() (mayStart bool) {
	if len(c.Runs) < manyCrashes {
		return true
	}
	if c.Confirmed = c.confirmed(); c.Confirmed {
		return false
	}
	c.StartsAfterMany++
	return true
}

// clearTime returns how long a run has to live to clear its task.
func (c *CrashRecord) clearTime() time.Duration {
	return max(minClearTime, time.Duration(c.MinAgeMS)*time.Millisecond+clearMargin)
}

// ageDifference returns by how much an age differs from that at the last crash.
func (c *CrashRecord) ageDifference(age time.Duration) time.Duration {
	return (age - time.Duration(c.LastAgeMS)*time.Millisecond).Abs()
}

// lastOn reports whether the last crash was of the same worker, which may crash by itself.
func (c *CrashRecord) lastOn(w *worker) bool {
	return len(c.Workers) > 0 && c.Workers[len(c.Workers)-1] == w.info.ID
}

// suspect reports whether a worker has crashed under the task since it was last cleared.
func (t *task) suspect() bool { return len(t.crashes.Runs) > 0 }

// EndEvidence is why an incarnation of a worker is known to have ended.
type EndEvidence string

// The evidence that an incarnation has ended.
const (
	EvidenceMachineDown      EndEvidence = "its machine is down"
	EvidenceMachineUp        EndEvidence = "its machine is up without it"
	EvidenceNeverListed      EndEvidence = "no machine was ever listed with it"
	EvidenceNoMachine        EndEvidence = "its machine is not listed any more"
	EvidenceOtherIncarnation EndEvidence = "another incarnation answers at its address"
	EvidenceRestarted        EndEvidence = "it has restarted under its ID"
	EvidenceLeaseExpired     EndEvidence = "not listed, and its lease has expired"
)

// isCrash reports whether the worker itself has ended and will come back. One whose machine
// is gone was taken away, and one whose lease has expired may only be partitioned.
func (e EndEvidence) isCrash() bool {
	switch e {
	case EvidenceMachineDown, EvidenceMachineUp, EvidenceNeverListed, EvidenceOtherIncarnation, EvidenceRestarted:
		return true
	case EvidenceNoMachine, EvidenceLeaseExpired:
	}
	return false
}

// ContactLost records that a hold has failed, which may be because its worker has crashed.
func (s *Shard) ContactLost(now time.Time, id string) {
	if w := s.workers[id]; w != nil && w.contactLostAt.IsZero() {
		w.contactLostAt = now
	}
}

// crashTime returns when a crashed worker is taken to have crashed: a broken connection shows
// it within milliseconds, and the list of machines within some tenths of a second.
func (w *worker) crashTime(now time.Time) time.Time {
	if w.contactLostAt.IsZero() {
		return now
	}
	return w.contactLostAt
}

// endsByPlan reports whether the worker has announced its end, or has answered since it left
// the directory.
func (w *worker) endsByPlan() bool {
	return w.info.Draining || (w.leaving && w.clockAt.After(w.unlistedAt))
}

// recordCrash makes the tasks that ran on a crashed worker suspects.
func (s *Shard) recordCrash(now time.Time, w *worker) {
	if !w.answered {
		return
	}
	at, planned := w.crashTime(now), w.endsByPlan()
	maxAge := maxCrashAge
	if planned {
		// It has had notice, and nothing starts on it just before its planned end.
		maxAge = maxAgeBeforePlannedEnd
	}
	runs := w.runsBeforeCrash(at, maxAge)
	if planned && len(runs) == 0 {
		return
	}
	// What a crash says about a run depends on the suspects, and the crashes, before it.
	crashes := make([]crash, len(runs))
	for i, r := range runs {
		age := at.Sub(r.startedAt)
		crashes[i] = crash{run: r.number, worker: w.info.ID, age: age, chance: s.chanceOf(now, at, r)}
	}
	for i, r := range runs {
		s.addCrash(now, r.task, crashes[i])
	}
	s.noteCrash(now, w, runs)
	if len(runs) == 0 && !w.endedRunsBeforeCrash(at, maxAge) {
		s.spontaneousCrashes = append(s.spontaneousCrashes, now)
	}
}

// endedRunsBeforeCrash reports whether a run up to an age that may have caused the crash of its
// worker belongs to a job that has ended without it, as one that fails by another of its tasks does.
// Such a crash is not known to be spontaneous: no later run can clear its task.
func (w *worker) endedRunsBeforeCrash(at time.Time, maxAge time.Duration) bool {
	for _, r := range w.runs {
		age := at.Sub(r.startedAt)
		if !r.task.done && r.task.step.job.state.Finished() && age >= 0 && age <= maxAge {
			return true
		}
	}
	return false
}

// runsBeforeCrash returns the runs up to an age that may have caused the crash of their
// worker.
func (w *worker) runsBeforeCrash(at time.Time, maxAge time.Duration) (list []*run) {
	for _, r := range sortedRuns(w.runs) {
		ended := r.task.done || r.task.step.job.state.Finished()
		if age := at.Sub(r.startedAt); !ended && age >= 0 && age <= maxAge {
			list = append(list, r)
		}
	}
	return list
}

// chanceOf returns the probability that a worker crashed spontaneously under a run; 1: the
// run was not isolated, so that another one may be the cause.
func (s *Shard) chanceOf(now, at time.Time, r *run) float64 {
	c := &r.task.crashes
	if !r.isolated || r.worker.hasSuspectBeside(at, r.task) || c.lastOn(r.worker) {
		return 1
	}
	window := 2 * (c.ageDifference(at.Sub(r.startedAt)) + ageError)
	chance := s.spontaneousChance(now, min(window, c.clearTime()))
	if slices.Contains(c.Workers, r.worker.info.ID) {
		return max(chance, sameWorkerChance)
	}
	return chance
}

// addCrash records a crash under a run of a task, and fails the job if the task is the
// confirmed cause.
func (s *Shard) addCrash(now time.Time, t *task, e crash) {
	if slices.Contains(t.crashes.Runs, e.run) {
		return
	}
	t.crashes.add(e)
	s.markChanged(t.step.job)
	t.crashChange, t.crashedAt = t.step.job.changeCount, now
	s.counts.CrashedRuns++
	s.log.Warn("worker crashed under task", events.WorkerCrashed, zap.Stringer("task", t.id), zap.Int64("run", e.run), zap.String("worker", e.worker),
		zap.Duration("age", e.age), zap.Bool("isolated", e.chance < 1), zap.Int("crashes", len(t.crashes.Runs)), zap.Float64("chance", t.crashes.Chance))
	s.failIfCauseConfirmed(now, t)
}

// assumeCrashBeforeTakeover counts one more start and crash of a suspect that an earlier owner
// started isolated and that runs nowhere: that owner may have ended before it could persist
// them. They say nothing about whether the task is the cause. For a member of a gang of several
// shards the one that leads it assumes that: it would take a crash that another shard has assumed for
// one that happened.
func (s *Shard) assumeCrashBeforeTakeover(now time.Time, t *task) {
	if !t.mustIsolate() || t.done || len(t.runs) > 0 || t.step.job.isParticipant() {
		return
	}
	if len(t.crashes.Runs) >= manyCrashes {
		t.crashes.StartsAfterMany++
	}
	s.addCrash(now, t, crash{run: t.lastRun, age: time.Duration(t.crashes.LastAgeMS) * time.Millisecond, chance: 1})
}

// failIfCauseConfirmed fails the job of a task that crashes its workers. If the job is split
// over several shards, the owner has to end it in all of them.
func (s *Shard) failIfCauseConfirmed(now time.Time, t *task) {
	j := t.step.job
	if !t.crashes.Confirmed || j.state.Finished() || j.failing || j.isParticipant() {
		return
	}
	s.counts.CrashingJobs++
	s.log.Warn("job fails since a task crashes its workers", events.TaskCrashesWorkers, zap.Stringer("task", t.id),
		zap.Int64s("runs", t.crashes.Runs), zap.Strings("workers", t.crashes.Workers), zap.Float64("chance", t.crashes.Chance))
	if !j.spec.Share.Whole() && !j.isJoint() {
		j.failing = true
		s.emit(FailJob{Job: j.spec.ID})
		return
	}
	s.finishJob(now, j, cluster.StateFailed)
}

// failIfAnyCauseConfirmed fails a job that was loaded with a task that crashes its workers.
func (s *Shard) failIfAnyCauseConfirmed(now time.Time, j *job) {
	for st := range j.steps() {
		for _, t := range st.tasks {
			s.failIfCauseConfirmed(now, t)
		}
	}
}

// clearSuspect clears a task once its worker has reported a run that has outlived the
// crashes, and lets others start beside it.
func (s *Shard) clearSuspect(r *run) {
	t := r.task
	if (!t.suspect() && !r.isolated) || r.worker.clockAt.Sub(r.startedAt) < t.crashes.clearTime() {
		return
	}
	s.endIsolation(r)
	if t.suspect() {
		t.crashes = CrashRecord{}
		s.clearFromCrashes(t)
		s.markChanged(t.step.job)
	}
}
