// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// A run may fail by the fault of its task or of its worker. This file decides for which
// failures a worker is blamed. A step whose tasks fail wherever they run says nothing about
// its workers, and neither do failures that are usual for the step.

const (
	// quarantineFailures is how many failures without a success between them, of at least
	// two jobs, quarantine a worker.
	quarantineFailures = 2
	// quarantineNewFailures is the same without a success of a run that started after the
	// failed ones. A worker that fails all new tasks within milliseconds still completes
	// its old ones for a second, and so gets room for more and more.
	quarantineNewFailures = 3
	// maxOwnFaultChance is the highest chance that failures are the jobs' own at which the
	// worker is blamed for them.
	maxOwnFaultChance = 1.0 / 2000
	// usualOwnFaults is the share of runs that fail by their own fault if nothing is known
	// of a step, which counts as much as one run.
	usualOwnFaults = 0.02
	// alwaysFailsAfter is for how long a step's tasks fail, on minFailedWorkers or
	// minFailures times, before the step counts as one that always fails. A sound task
	// would have been running for provenAfter by then, and been reported.
	alwaysFailsAfter = 1500 * time.Millisecond
	minFailedWorkers = 3
	minFailures      = 8
	// maxRecordedRuns bounds the weight of the past in a step's record.
	maxRecordedRuns = 64
	// maxStreakSteps is how many steps, the last to fail, a streak of failures remembers.
	maxStreakSteps = 16
)

// failureRecord is what is known about the failures of one step, over all repeats of its job.
type failureRecord struct {
	job  string
	step int
	// workers are those on which a run has failed since the last success, failures how many
	// runs have, firstAt when the first one did, and longest how long one ran at most.
	workers  map[string]bool
	failures int
	firstAt  time.Time
	longest  time.Duration
	// alwaysFails is set while the tasks fail wherever they run.
	alwaysFails bool
	// ownFaults are the failures on workers that then proved sound, and successes the runs
	// that succeeded.
	ownFaults, successes float64
}

// record returns the record of a step's failures, or nil if none of its runs has failed.
func (st *step) record() *failureRecord {
	if st.job.failures == nil {
		return nil
	}
	return st.job.failures[st.id.Step]
}

// ensureRecord is record, and begins one if there is none.
func (st *step) ensureRecord() *failureRecord {
	if st.job.failures == nil {
		st.job.failures = make([]*failureRecord, len(st.job.spec.Steps))
	}
	rec := st.job.failures[st.id.Step]
	if rec == nil {
		rec = &failureRecord{job: st.id.Job, step: st.id.Step}
		st.job.failures[st.id.Step] = rec
	}
	return rec
}

// alwaysFails reports whether the step's tasks fail wherever they run.
func (st *step) alwaysFails() bool {
	rec := st.record()
	return rec != nil && rec.alwaysFails
}

// addFailure counts the failure of a run on a worker after the given time.
func (rec *failureRecord) addFailure(now time.Time, worker string, ran time.Duration) {
	if rec.failures == 0 {
		rec.firstAt, rec.longest, rec.workers = now, 0, make(map[string]bool)
	}
	rec.failures++
	rec.longest = max(rec.longest, ran)
	if len(rec.workers) < minFailedWorkers {
		rec.workers[worker] = true
	}
}

// addSuccess counts a run that has succeeded or survived.
func (rec *failureRecord) addSuccess() {
	rec.failures, rec.alwaysFails = 0, false
	rec.successes++
	rec.limitWeight()
}

// addOwnFaults counts n failures on a worker that has since proved sound.
func (rec *failureRecord) addOwnFaults(n int) {
	rec.ownFaults += float64(min(n, maxRecordedRuns))
	rec.limitWeight()
}

// limitWeight halves the counts once they are large, so that the record follows changes.
func (rec *failureRecord) limitWeight() {
	if rec.ownFaults+rec.successes > maxRecordedRuns {
		rec.ownFaults, rec.successes = rec.ownFaults/2, rec.successes/2
	}
}

// ownFaultChance returns the chance that a run of the step fails on a sound worker.
func (rec *failureRecord) ownFaultChance() float64 {
	return (rec.ownFaults + usualOwnFaults) / (rec.ownFaults + rec.successes + 1)
}

// failsEverywhere reports whether the step has failed for so long, and in so many places,
// that its tasks are the likely cause.
func (rec *failureRecord) failsEverywhere(now time.Time) bool {
	return rec.failures > 0 && now.Sub(rec.firstAt) >= alwaysFailsAfter && (len(rec.workers) >= minFailedWorkers || rec.failures >= minFailures)
}

// findFailingSteps looks for steps whose tasks have begun to fail wherever they run, and ends
// the quarantines that rest on their failures.
func (s *Shard) findFailingSteps(now time.Time) {
	for _, j := range s.active {
		for _, rec := range j.failures {
			if rec == nil || rec.alwaysFails || !rec.failsEverywhere(now) {
				continue
			}
			rec.alwaysFails = true
			s.log.Warn("tasks of a step fail wherever they run", events.StepAlwaysFails, zap.String("job", rec.job), zap.Int("step", rec.step),
				zap.Int("failures", rec.failures), zap.Int("at_least_on_workers", len(rec.workers)), zap.Duration("for", now.Sub(rec.firstAt)))
			for _, w := range s.workerList {
				w.health.reconsider(now, rec)
			}
		}
	}
}

// noteSurvivor counts a run as a success of a step of which others have failed once it has
// run for far longer than those.
func noteSurvivor(now time.Time, r *run) {
	rec := r.task.step.record()
	if rec == nil || r.survived {
		return
	}
	if now.Sub(r.startedAt) >= max(provenAfter, 2*rec.longest) {
		r.survived = true
		rec.addSuccess()
	}
}

// failureStreak counts failures on a worker without a success between them.
type failureStreak struct {
	// steps are those whose runs failed, in the order of their first failure.
	steps []failedStep
}

// failedStep counts the failures of one step in a streak.
type failedStep struct {
	rec   *failureRecord
	count int
}

// add counts the failure of a run of a step.
func (f *failureStreak) add(rec *failureRecord) {
	for i := range f.steps {
		if f.steps[i].rec == rec {
			f.steps[i].count++
			return
		}
	}
	if len(f.steps) == maxStreakSteps {
		f.steps = slices.Delete(f.steps, 0, 1)
	}
	f.steps = append(f.steps, failedStep{rec, 1})
}

// failures returns how many failures may be the worker's fault.
func (f *failureStreak) failures() (n int) {
	for _, e := range f.steps {
		if !e.rec.alwaysFails {
			n += e.count
		}
	}
	return n
}

// blamesWorker reports whether there are at least so many failures, of more than one job,
// so that the worker is the likely cause.
func (f *failureStreak) blamesWorker(failures int) bool {
	jobs, chance := f.ownFaults()
	return f.failures() >= failures && jobs > 1 && chance <= maxOwnFaultChance
}

// ownFaults returns how many jobs have failed that don't always fail, and the chance that
// all of them failed by their own fault. Failures of one job are likely to have one cause, so
// that each job counts once, by the likeliest of its steps.
func (f *failureStreak) ownFaults() (jobs int, chance float64) {
	chance = 1
	for i, e := range f.steps {
		if e.rec.alwaysFails {
			continue
		}
		sameJob := func(o failedStep) bool { return o.rec.job == e.rec.job && !o.rec.alwaysFails }
		if slices.ContainsFunc(f.steps[:i], sameJob) {
			continue
		}
		highest := 0.0
		for _, o := range f.steps[i:] {
			if sameJob(o) {
				highest = max(highest, o.rec.ownFaultChance())
			}
		}
		jobs, chance = jobs+1, chance*highest
	}
	return jobs, chance
}

// chargeSteps counts the failures of a streak as the steps' own, since the worker has proved
// sound.
func (f *failureStreak) chargeSteps() {
	for _, e := range f.steps {
		e.rec.addOwnFaults(e.count)
	}
}
