// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// TestEndsArePersistedFirst checks that a batch without space for all pending changes takes
// those of finished jobs first, the most urgent first: they are what callers wait for.
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
	b := r.shard.NextBatch(r.now, most, unlimitedBytes)
	if len(b.Records) != most {
		t.Fatalf("%d records, want %d", len(b.Records), most)
	}
	for i, rec := range b.Records {
		if rec.Final != (i < finished) {
			t.Errorf("record %d, of job %s: final %v; want those of the %d finished jobs first", i, rec.Job, rec.Final, finished)
		}
	}
}

// TestEndsAreConfirmedDespiteBacklog checks that the ends of jobs in a batch are confirmed
// to the workers although other changes are still pending. While the store is slow, or after
// an outage, no batch takes all of them, and a worker lists at most 500 ends.
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
		b := r.shard.NextBatch(r.now, most, unlimitedBytes)
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
			t.Errorf("%d ends are unconfirmed after all jobs were persisted", open)
		}
	}
}

// TestBatchSizeLimit checks that a batch stays within its size limit but takes at least one
// job.
func TestBatchSizeLimit(t *testing.T) {
	r := newRig(t, 20)
	r.upsertWorkers()
	for i := range 30 {
		r.shard.AddJob(r.now, batch(fmt.Sprintf("j%02d", i), tasks(1, 1000)), nil, false)
	}
	r.runFor(300 * time.Millisecond)
	for _, c := range []struct{ bytes, least, most int }{{1, 1, 1}, {500, 2, 12}, {unlimitedBytes, 30, 30}} {
		if n := len(r.shard.NextBatch(r.now, 100, c.bytes).Records); n < c.least || n > c.most {
			t.Errorf("a batch of up to %d bytes has %d records, want %d to %d", c.bytes, n, c.least, c.most)
		}
	}
}

// TestLowPriorityChangeIsPersisted guards against the starvation of a less urgent job while
// the urgent jobs change more often than a batch has space for. If batches take only the most
// urgent changes, its change is never persisted, so that later ends of its worker are not
// confirmed, and a worker lists at most 500 ends.
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
		b := r.shard.NextBatch(r.now, most, unlimitedBytes)
		r.shard.Persisted(r.now, b, 1)
		for _, rec := range b.Records {
			if rec.Job == old && round > 0 {
				return
			}
		}
	}
	t.Errorf("the change of the least urgent job was in none of %d batches", rounds)
}

// succeedOneRun ends one run of a job with success.
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
