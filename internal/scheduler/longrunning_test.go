// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// restartWithin is the time within which a long-running task must run again after its last
// run has ended, if there is room. Callers count a task that takes longer as lost.
const restartWithin = 6 * time.Second

// TestLongRunningTasksRestart checks that long-running tasks of two jobs that fail keep being
// restarted on a worker on which a third job keeps running. A worker that is quarantined after
// failures of two jobs must become usable without being empty, which the third job prevents,
// and without a task that succeeds, which long-running tasks never do.
func TestLongRunningTasksRestart(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	for _, id := range []string{"stays", "a", "b"} {
		r.addLongRunning(batch(id, longRunningTasks(1, 500)))
	}
	r.runWithProgress(5 * time.Second)
	for range 10 {
		for _, id := range []string{"a", "b"} {
			r.endOneRun(id, cluster.OutcomeFailed)
		}
		r.runWithProgress(restartWithin)
		if n := len(r.running()); n != 3 {
			t.Fatalf("%d tasks run %v after two of three failed, want 3", n, restartWithin)
		}
	}
}

// TestWorkerWithLongRunningTaskRecovers checks that a worker on which a long-running task
// stays is quarantined after two batch jobs fail there, and is used in full again once runs
// succeed, although it is never empty. If it needed to be empty, seven eighths of its capacity
// would stay unused.
func TestWorkerWithLongRunningTaskRecovers(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	r.addLongRunning(batch("stays", longRunningTasks(1, 500)))
	r.runWithProgress(5 * time.Second)
	for _, id := range []string{"a", "b"} {
		r.shard.AddJob(r.now, batch(id, tasks(1, 500)), nil, false)
		r.runWithProgress(200 * time.Millisecond)
		r.endOneRun(id, cluster.OutcomeFailed)
		r.runWithProgress(100 * time.Millisecond)
	}
	if n := r.shard.Counts().Quarantines; n != 1 {
		t.Errorf("the worker was quarantined %d times, want once", n)
	}
	for _, id := range []string{"c", "d", "e"} {
		r.shard.AddJob(r.now, batch(id, tasks(1, 500)), nil, false)
	}
	succeeded := 0
	for end := r.now.Add(20 * time.Second); r.now.Before(end); {
		r.runWithProgress(500 * time.Millisecond)
		for task := range r.running() {
			if task.Job != "stays" {
				r.endOneRun(task.Job, cluster.OutcomeDone)
				succeeded++
			}
		}
	}
	if succeeded != 5 {
		t.Errorf("%d of 5 batch jobs have run 20 s after the last failure", succeeded)
	}
}

// TestSpreadStepAsksAboutOtherWorkers checks that a step of three long-running tasks, at most
// one per worker, gets its third worker. Two approved workers already run its first two tasks
// and have room left; the third is full of less urgent work. It guards against a step that asks
// again and again about the two workers with room and never about the third.
func TestSpreadStepAsksAboutOtherWorkers(t *testing.T) {
	r := newRig(t, 4)
	r.upsertWorkers()
	for _, w := range []string{"w0", "w1", "w2"} {
		r.shard.WorkerEntryInvalid(r.now, w)
	}
	full := tasks(1, 3500)
	full.EstimateMS = 20_000
	r.shard.AddJob(r.now, batch("full", full), nil, false)
	r.runWithProgress(200 * time.Millisecond)
	r.upsertWorkers()
	step := longRunningTasks(3, 1000)
	step.MaxPerWorker = 1
	job := batch("j", step)
	job.Policy.Advice = &cluster.AdviceCost{BaseMS: 400, PerWorkerMS: 5, ValidMS: 2500}
	r.addLongRunning(job)
	approved := map[string]bool{"w0": true, "w1": true, "w3": true}
	for end := r.now.Add(restartWithin); r.now.Before(end); {
		r.runWithProgress(100 * time.Millisecond)
		r.answerAdvice(approved)
	}
	n := 0
	for task := range r.running() {
		if task.Job == "j" {
			n++
		}
	}
	if n != 3 {
		t.Errorf("%d tasks of the job run after %v, want 3", n, restartWithin)
	}
}

// TestLongRunningTaskUsesQuarantinedWorker checks that a long-running task runs on a quarantined
// worker if there is no other, while a batch job, which has only two attempts, waits. With 70%
// of the workers failing 70% of their runs for a minute, long-running tasks waited up to 21 s
// for a worker that was not quarantined.
func TestLongRunningTaskUsesQuarantinedWorker(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	for i := 0; r.shard.Counts().Quarantines < 3; i++ {
		id := fmt.Sprintf("fails%d", i)
		r.shard.AddJob(r.now, batch(id, tasks(1, 500)), nil, false)
		for !r.isRunning(id) {
			r.runWithProgress(100 * time.Millisecond)
		}
		r.endOneRun(id, cluster.OutcomeFailed)
		r.runWithProgress(100 * time.Millisecond)
	}
	r.addLongRunning(batch("lasts", longRunningTasks(1, 500)))
	r.shard.AddJob(r.now, batch("waits", tasks(1, 500)), nil, false)
	r.runWithProgress(2 * time.Second)
	if !r.isRunning("lasts") {
		t.Error("the long-running task does not run 2 s after it was submitted")
	}
	if r.isRunning("waits") {
		t.Error("the batch job runs on a quarantined worker")
	}
}

// TestLongProbeDoesNotBlockWorker checks that a worker gets more runs after its quarantine while
// the first, long one has not ended, instead of being probed with one run at a time, however
// long that takes.
func TestLongProbeDoesNotBlockWorker(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	for _, id := range []string{"a", "b"} {
		r.shard.AddJob(r.now, batch(id, tasks(1, 500)), nil, false)
		r.runWithProgress(200 * time.Millisecond)
		r.endOneRun(id, cluster.OutcomeFailed)
		r.runWithProgress(100 * time.Millisecond)
	}
	long := tasks(1, 500)
	long.EstimateMS = 60_000
	for _, id := range []string{"c", "d", "e"} {
		r.shard.AddJob(r.now, batch(id, long), nil, false)
	}
	r.runWithProgress(12 * time.Second)
	if n := len(r.running()); n < 3 {
		t.Errorf("%d tasks run 12 s after the worker was quarantined for 2 s, want at least 3", n)
	}
}

// TestOldSuccessDoesNotShortenQuarantine checks that a worker on which runs stall stays
// quarantined for the whole time although a run that started earlier succeeds there. Otherwise
// a worker that has become slow gets new tasks as soon as an old run ends, and more jobs fail.
func TestOldSuccessDoesNotShortenQuarantine(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	old := tasks(1, 500)
	old.EstimateMS = 3000
	r.shard.AddJob(r.now, batch("old", old), nil, false)
	for _, id := range []string{"a", "b"} {
		r.shard.AddJob(r.now, batch(id, tasks(1, 500)), nil, false)
	}
	for i := 0; r.shard.Counts().Quarantines == 0 && i < 30; i++ {
		r.runFor(100 * time.Millisecond)
		r.addProgress("old", 2)
	}
	r.endOneRun("old", cluster.OutcomeDone)
	r.shard.AddJob(r.now, batch("new", tasks(1, 500)), nil, false)
	before := r.shard.Counts().Starts
	r.runFor(1700 * time.Millisecond)
	if n := r.shard.Counts().Starts - before; n > 0 {
		t.Errorf("%d runs start on a worker that is quarantined for 2 s", n)
	}
	r.runFor(500 * time.Millisecond)
	if len(r.running()) == 0 {
		t.Error("no task runs after the worker's quarantine")
	}
}

// addProgress advances all runs of a job by the given percentage.
func (r *rig) addProgress(job string, percent int) {
	for _, f := range r.workers {
		for i := range f.running {
			if e := &f.running[i]; e.Task.Job == job {
				e.Percent = min(99, e.Percent+percent)
			}
		}
	}
}

// TestLongRunningTasksTakeTurns checks that four long-running tasks of a step with two
// places each run at some time while they fail in turn. If a free place always went to the
// waiting task with the lowest index that has not just failed on that worker, the last tasks of
// the step would never run.
func TestLongRunningTasksTakeTurns(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	step := longRunningTasks(4, 1000)
	step.MaxPerWorker = 1
	r.addLongRunning(batch("j", step))
	ran := make(map[cluster.TaskID]bool)
	for i := range 8 {
		r.runWithProgress(2 * time.Second)
		for task := range r.running() {
			ran[task] = true
		}
		id := fmt.Sprintf("w%d", i%2)
		for _, e := range r.workers[id].running {
			r.endRun(id, e.Task, e.Run, cluster.OutcomeFailed)
		}
	}
	if len(ran) != 4 {
		t.Errorf("%d of 4 tasks have run after 8 failures, want all", len(ran))
	}
}

// TestLongRunningTaskPreempts checks that a long-running task soon runs on a worker that is
// full of batch work, while its tickets are valid for less time than one batch task takes. It
// guards against reserving room where a run is expected to end within 4 s instead of preempting:
// by then the tickets have expired, and nothing stays reserved while the step asks again.
func TestLongRunningTaskPreempts(t *testing.T) {
	const (
		batchTime = 2500 * time.Millisecond
		callTime  = time.Second
		validTime = 1500 * time.Millisecond
	)
	r := newRig(t, 1)
	r.upsertWorkers()
	full := tasks(40, 4000)
	full.EstimateMS = batchTime.Milliseconds()
	r.shard.AddJob(r.now, batch("full", full), nil, false)
	job := batch("j", longRunningTasks(1, 4000))
	job.Policy.Advice = &cluster.AdviceCost{BaseMS: float64(callTime.Milliseconds()), ValidMS: validTime.Milliseconds()}
	r.addLongRunning(job)
	var open []scheduler.RequestAdvice
	var askedAt time.Time
	for end := r.now.Add(restartWithin); r.now.Before(end) && !r.isRunning("j"); {
		r.runFor(tick)
		r.advanceBatchRuns(tick, batchTime)
		if calls := commandsOf[scheduler.RequestAdvice](r.lastCommands); len(calls) > 0 {
			open, askedAt = calls, r.now
		}
		for _, c := range open {
			if r.now.Sub(askedAt) >= callTime {
				r.shard.AdviceReplied(r.now, c.Step, c.Workers, []cluster.Ticket{{Worker: "w0", Value: "t"}}, validTime, nil)
				open = nil
			}
		}
	}
	if !r.isRunning("j") {
		t.Errorf("the long-running task does not run %v after it was submitted", restartWithin)
	}
}

// advanceBatchRuns advances all batch runs by a time, out of that which each takes.
func (r *rig) advanceBatchRuns(d, takes time.Duration) {
	for id, f := range r.workers {
		for i := range f.running {
			f.running[i].Percent += int(100 * d / takes)
		}
		for _, e := range append([]cluster.RunStatus(nil), f.running...) {
			if e.Percent >= 100 && !r.longRunning[e.Task.Job] {
				r.endRun(id, e.Task, e.Run, cluster.OutcomeDone)
			}
		}
	}
}

// isRunning reports whether any task of a job runs.
func (r *rig) isRunning(job string) bool {
	for task := range r.running() {
		if task.Job == job {
			return true
		}
	}
	return false
}

// longRunningTasks returns a step of long-running tasks.
func longRunningTasks(n int, cpu int64) cluster.Step {
	st := tasks(n, cpu)
	st.LongRunning = true
	return st
}

// addLongRunning submits a job with long-running tasks.
func (r *rig) addLongRunning(job cluster.Job) {
	r.longRunning[job.ID] = true
	r.shard.AddJob(r.now, job, nil, false)
}

// runWithProgress is runFor in which batch runs advance by 2% each 0.5 s, but never end.
func (r *rig) runWithProgress(d time.Duration) {
	const everyMS, percent = 500, 2
	for end := r.now.Add(d); r.now.Before(end); {
		r.runFor(100 * time.Millisecond)
		if r.now.UnixMilli()%everyMS != 0 {
			continue
		}
		for _, f := range r.workers {
			for i := range f.running {
				if e := &f.running[i]; !r.longRunning[e.Task.Job] {
					e.Percent = min(99, e.Percent+percent)
				}
			}
		}
	}
}

// answerAdvice answers the advice calls of the last round with tickets for the approved workers.
func (r *rig) answerAdvice(approved map[string]bool) {
	for _, c := range commandsOf[scheduler.RequestAdvice](r.lastCommands) {
		var tickets []cluster.Ticket
		for _, w := range c.Workers {
			if approved[w] {
				tickets = append(tickets, cluster.Ticket{Worker: w, Value: "t"})
			}
		}
		r.shard.AdviceReplied(r.now, c.Step, c.Workers, tickets, 2500*time.Millisecond, nil)
	}
}
