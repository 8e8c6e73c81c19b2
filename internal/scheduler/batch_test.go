// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// TestEndsArePersistedFirst checks that a batch which can't take all open changes
// takes those of finished jobs, the most urgent first: callers wait for them, and for
// nothing else.
func TestEndsArePersistedFirst(t *testing.T) {
	const jobs, finished, most = 60, 7, 10
	r := newRig(t, 20)
	r.upsertWorkers()
	for i := range jobs {
		r.shard.AddJob(r.now, batch(fmt.Sprintf("j%02d", i), tasks(1, 1000)), nil, false)
	}
	r.runFor(300 * time.Millisecond)
	for _, id := range r.workerIDs() {
		for _, s := range slices.Clone(r.workers[id].running) {
			if s.Task.Job < fmt.Sprintf("j%02d", finished) {
				r.endRun(id, s.Task, s.Run, cluster.OutcomeDone)
			}
		}
	}
	r.reportAll()
	b := r.shard.NextBatch(most, unlimitedBytes)
	if len(b.Records) != most {
		t.Fatalf("%d records, want %d", len(b.Records), most)
	}
	for i, rec := range b.Records {
		if rec.Final != (i < finished) {
			t.Errorf("record %d, of job %s: final %v; want those of the %d finished jobs first", i, rec.Job, rec.Final, finished)
		}
	}
}

// TestEndsAreConfirmedDespiteBacklog checks that the ends of jobs which a batch takes are
// confirmed though changes of others are left out: after an outage of the store, or while
// it is slow, no batch takes all of them, and workers list 500 ends at most.
func TestEndsAreConfirmedDespiteBacklog(t *testing.T) {
	const jobs, most = 40, 10
	r := newRig(t, 20)
	r.upsertWorkers()
	for i := range jobs {
		r.shard.AddJob(r.now, batch(fmt.Sprintf("j%02d", i), tasks(1, 2000)), nil, false)
	}
	r.runFor(300 * time.Millisecond)
	r.endAllRuns(cluster.OutcomeDone)
	r.reportAll()
	for taken := 0; taken < jobs; taken += most {
		b := r.shard.NextBatch(most, unlimitedBytes)
		r.shard.Persisted(r.now, b, 1)
		r.reportAll()
		open := 0
		for _, f := range r.workers {
			open += len(f.ended)
		}
		if taken+most < jobs && open == jobs {
			t.Errorf("after %d jobs were persisted no end was confirmed", taken+most)
		}
		if taken+most >= jobs && open > 0 {
			t.Errorf("%d ends are not confirmed though all jobs were persisted", open)
		}
	}
}

// TestBatchSizeLimit checks that a batch is no larger than it may be, and takes one job
// at least.
func TestBatchSizeLimit(t *testing.T) {
	r := newRig(t, 20)
	r.upsertWorkers()
	for i := range 30 {
		r.shard.AddJob(r.now, batch(fmt.Sprintf("j%02d", i), tasks(1, 1000)), nil, false)
	}
	r.runFor(300 * time.Millisecond)
	for _, c := range []struct{ bytes, least, most int }{{1, 1, 1}, {500, 2, 12}, {unlimitedBytes, 30, 30}} {
		if n := len(r.shard.NextBatch(100, c.bytes).Records); n < c.least || n > c.most {
			t.Errorf("a batch of up to %d bytes has %d records, want %d to %d", c.bytes, n, c.least, c.most)
		}
	}
}

// TestLowPriorityChangeIsPersisted lets each batch have room for fewer changes than
// the urgent jobs make, and checks that a change of another job is persisted in the end.
//
// Batches took the most urgent changes each time. One of a less urgent job was left out of
// all of them while the store was slow; its worker's ends were not confirmed from there on,
// and a worker lists 500 ends at most.
func TestLowPriorityChangeIsPersisted(t *testing.T) {
	const urgent, most, rounds = 6, 5, 100
	r := newRig(t, 20)
	r.upsertWorkers()
	for i := range urgent + 1 {
		step := tasks(rounds+1, 10)
		job := batch(fmt.Sprintf("j%02d", i), step)
		if i == urgent {
			job.Policy.Priority = 3
		}
		r.shard.AddJob(r.now, job, nil, false)
	}
	r.runFor(300 * time.Millisecond)
	old := fmt.Sprintf("j%02d", urgent)
	for round := range rounds {
		for i := range urgent {
			r.succeedOneRun(fmt.Sprintf("j%02d", i))
		}
		if round == 0 {
			r.succeedOneRun(old)
		}
		r.runFor(100 * time.Millisecond)
		b := r.shard.NextBatch(most, unlimitedBytes)
		r.shard.Persisted(r.now, b, 1)
		for _, rec := range b.Records {
			if rec.Job == old && round > 0 {
				return
			}
		}
	}
	t.Errorf("a change of the least urgent job was left out of %d batches", rounds)
}

// succeedOneRun lets one run of a job succeed.
func (r *rig) succeedOneRun(job string) {
	for _, id := range r.workerIDs() {
		for _, s := range r.workers[id].running {
			if s.Task.Job == job {
				r.endRun(id, s.Task, s.Run, cluster.OutcomeDone)
				return
			}
		}
	}
}
