// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
)

// newRuns is the number of new runs that fail, each followed by the success of an old run.
const newRuns = 3

// TestOldSuccessDoesNotClearWorker checks that a worker that fails every new run is quarantined
// although runs that started earlier succeed there.
func TestOldSuccessDoesNotClearWorker(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	for i := range newRuns {
		// A queue for each, so that none counts as slow compared with another.
		old := batch(fmt.Sprintf("old%d", i), tasks(1, 500))
		old.Queue = old.ID
		r.shard.AddJob(r.now, old, nil, false)
	}
	r.runFor(200 * time.Millisecond)
	for i := range newRuns {
		id := fmt.Sprintf("new%d", i)
		r.shard.AddJob(r.now, batch(id, tasks(1, 500)), nil, false)
		r.runFor(100 * time.Millisecond)
		r.endOneRun(id, cluster.OutcomeFailed)
		r.runFor(100 * time.Millisecond)
		r.endOneRun(fmt.Sprintf("old%d", i), cluster.OutcomeDone)
		r.runFor(100 * time.Millisecond)
	}
	if n := r.shard.Counts().Quarantines; n == 0 {
		t.Error("a worker on which all new runs failed was not quarantined")
	}
}

// TestNewSuccessClearsWorker checks that the success of a run that started after a failure
// clears the worker.
func TestNewSuccessClearsWorker(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	for i := range 4 {
		id, how := fmt.Sprintf("j%d", i), cluster.OutcomeFailed
		if i%2 == 1 {
			how = cluster.OutcomeDone
		}
		r.shard.AddJob(r.now, batch(id, tasks(1, 500)), nil, false)
		r.runFor(200 * time.Millisecond)
		r.endOneRun(id, how)
		r.runFor(100 * time.Millisecond)
	}
	if n := r.shard.Counts().Quarantines; n != 0 {
		t.Errorf("a worker on which every second run succeeded was quarantined %d times", n)
	}
}

// endOneRun ends one run of a job.
func (r *rig) endOneRun(job string, how cluster.Outcome) {
	for _, id := range r.workerIDs() {
		for _, s := range r.workers[id].running {
			if s.Task.Job == job {
				r.endRun(id, s.Task, s.Run, how)
				return
			}
		}
	}
	r.t.Errorf("no task of %s runs", job)
}

// TestLastAttemptWaitsForAnotherWorker guards against a job that fails because of one bad
// worker. While the directory entries of the other workers are invalid for some seconds, a
// task must not use its last attempt on the worker on which it has failed, but wait for
// another one.
func TestLastAttemptWaitsForAnotherWorker(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.runFor(200 * time.Millisecond)
	r.shard.WorkerEntryInvalid(r.now, "w1")
	r.shard.AddJob(r.now, batch("j", tasks(1, 1000)), nil, false)
	r.round()
	r.endOneRun("j", cluster.OutcomeFailed)
	r.runFor(2 * time.Second)
	if len(r.running()) > 0 {
		t.Errorf("the last attempt runs on the worker on which the first attempt failed")
	}
	r.upsertWorkers()
	r.runFor(200 * time.Millisecond)
	if n := len(r.workers["w1"].running); n != 1 {
		t.Errorf("%d tasks run on the other worker, want 1", n)
	}
}

// TestLastAttemptOnOnlyWorker guards against a task with one attempt left that waits for another worker
// than the one on which it failed, though no other one has its label.
func TestLastAttemptOnOnlyWorker(t *testing.T) {
	const most = 3 * time.Second
	r := newRig(t, 6)
	r.upsertWorkers()
	r.shard.UpsertWorker(r.now, cluster.Worker{
		ID: "w0", Address: "w0", Service: "svc", Rack: "r1-0", Labels: []string{"b"}, Capacity: resource.Amount{CPUMilli: 4000, MemoryMB: 8000}, ClockMS: r.now.UnixMilli(),
	})
	step := tasks(1, 1000)
	step.Label = "b"
	r.shard.AddJob(r.now, batch("j", step), nil, false)
	r.runFor(300 * time.Millisecond)
	r.endAllRuns(cluster.OutcomeFailed)
	failedAt := r.now
	for len(r.running()) == 0 && r.now.Sub(failedAt) < 10*time.Second {
		r.runFor(100 * time.Millisecond)
	}
	if waited := r.now.Sub(failedAt); waited > most {
		t.Errorf("the task waits for %v, at most %v are allowed", waited, most)
	}
}
