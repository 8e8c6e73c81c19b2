// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// newRuns is how many runs of other jobs fail, with an old one's success after each.
const newRuns = 3

// TestOldSuccessDoesNotClearWorker lets a worker fail all that starts there, while
// tasks that began before go on and succeed: it is set aside all the same.
func TestOldSuccessDoesNotClearWorker(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	for i := range newRuns {
		// Queues of their own, so that none is slow beside another.
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
	if n := r.shard.Counts().SetAside; n == 0 {
		t.Error("a worker on which all new runs failed was not set aside")
	}
}

// TestNewSuccessClearsWorker checks that a run that began after a failure and
// succeeded clears the worker.
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
	if n := r.shard.Counts().SetAside; n != 0 {
		t.Errorf("a worker on which every second run succeeded was set aside %d times", n)
	}
}

// endOneRun ends one run of a job, wherever it is.
func (r *rig) endOneRun(job string, how cluster.Outcome) {
	for _, id := range r.workerIDs() {
		for _, s := range r.workers[id].running {
			if s.Task.Job == job {
				r.endRun(id, s.Task, s.Run, how)
				return
			}
		}
	}
	r.t.Errorf("nothing of %s runs", job)
}

// TestLastAttemptWaitsForAnotherWorker checks that a task does not use its last attempt on
// the worker on which it failed while the others take nothing for a short while.
//
// Once in 300 plays a job was shown as failed where one worker failed all that it started
// while another writer had spoilt the entries of the others for some seconds: a second
// after the first failure the task was tried on the same worker again.
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
		t.Errorf("the last attempt runs on the worker on which the first one failed")
	}
	r.upsertWorkers()
	r.runFor(200 * time.Millisecond)
	if n := len(r.workers["w1"].running); n != 1 {
		t.Errorf("%d tasks run on the other worker, want 1", n)
	}
}
