// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestEndsOfUnreadJobStayUnconfirmed takes a shard over while one of its jobs can't be read:
// the runs of the job continue, and their ends stay unconfirmed until the job is read.
func TestEndsOfUnreadJobStayUnconfirmed(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	spec := batch("a", tasks(2, 1000))
	r.shard.AddJob(r.now, spec, nil, false)
	r.runFor(time.Second)
	if n := len(r.running()); n != 2 {
		t.Fatalf("%d tasks run, want 2", n)
	}

	r.takeOver()
	r.shard.SetUnreadFunc(func(job string) bool { return job == "a" })
	r.upsertWorkers()
	r.runFor(time.Second)
	if n := len(r.running()); n != 2 {
		t.Fatalf("%d tasks run after the takeover, want 2", n)
	}

	r.endAllRuns(cluster.OutcomeDone)
	r.runFor(time.Second)
	rows := make(map[string]scheduler.Record)
	r.persist(rows)
	if !r.shard.HasUnconfirmedEnds("w0") && !r.shard.HasUnconfirmedEnds("w1") {
		t.Error("the ends of an unread job are confirmed")
	}

	r.shard.SetUnreadFunc(nil)
	r.shard.AddJob(r.now, spec, nil, true)
	r.shard.JobsRead(r.now)
	r.runFor(time.Second)
	if n := len(r.running()); n > 0 {
		t.Errorf("%d done tasks were started again", n)
	}
	r.persist(rows)
	if state, _ := r.shard.Job("a"); state != cluster.StateSucceeded {
		t.Errorf("the job is %q, want succeeded", state)
	}
	if r.shard.HasUnconfirmedEnds("w0") || r.shard.HasUnconfirmedEnds("w1") {
		t.Error("ends are unconfirmed after everything was persisted")
	}
}

// TestLateJobWaitsForWorkers checks that a job that is read late does not start on another
// worker while one that has not answered since may run it.
func TestLateJobWaitsForWorkers(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	spec := batch("a", tasks(1, 1000))
	r.shard.AddJob(r.now, spec, nil, false)
	r.runFor(time.Second)
	r.takeOver()
	r.shard.SetUnreadFunc(func(string) bool { return true })
	r.upsertWorkers()
	r.runFor(time.Second)
	r.shard.SetUnreadFunc(nil)
	r.shard.AddJob(r.now, spec, nil, true)
	r.shard.JobsRead(r.now)
	r.round()
	for task, n := range r.running() {
		if n > 1 {
			t.Errorf("%s runs %d times", task, n)
		}
	}
	r.runFor(time.Second)
	if n := len(r.running()); n != 1 {
		t.Errorf("%d tasks run, want 1", n)
	}
}
