// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// runWithInvalidEntry lets time pass while the directory is read, and a worker's entry is runWithInvalidEntry.
func (r *rig) runWithInvalidEntry(d time.Duration, id string) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.shard.DirectoryRead(r.now)
		r.shard.WorkerEntryInvalid(r.now, id)
		r.runFor(100 * time.Millisecond)
	}
}

// TestInvalidEntry checks that nothing starts on a worker whose entry is invalid, that
// what runs there runs on, which it does not where an entry has gone, and that the worker
// is used again once its entry is right.
func TestInvalidEntry(t *testing.T) {
	r := newRig(t, 4)
	r.upsertWorkers()
	r.runReadingDirectory(4 * time.Second)
	r.addLongRunning(batch("long", longRunningTasks(8, 1500)))
	r.runReadingDirectory(time.Second)
	before := slices.Clone(r.workers["w0"].running)
	if len(before) == 0 {
		t.Fatal("nothing runs on the worker")
	}
	r.runWithInvalidEntry(5*time.Second, "w0")
	if on := r.workersStartedOn("a"); on["w0"] || len(on) == 0 {
		t.Errorf("tasks start on %v, the entry of w0 is invalid", on)
	}
	if now := r.workers["w0"].running; !slices.Equal(now, before) {
		t.Errorf("%v runs on w0, want %v to run on", now, before)
	}
	r.endAllRuns(cluster.OutcomeDone)
	r.upsertWorkers()
	if on := r.workersStartedOn("b"); !on["w0"] {
		t.Errorf("tasks start on %v once the entry is right again, w0 is free", on)
	}
}

// TestInvalidEntryOfLostWorker checks that an invalid entry does not keep a life that is
// over: once the worker is silent and its lease is over, it is forgotten.
func TestInvalidEntryOfLostWorker(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.runReadingDirectory(time.Second)
	r.workers["w0"].silent = true
	r.runWithInvalidEntry(time.Second, "w0")
	if !slices.Contains(r.shard.Workers(), "w0") {
		t.Error("the worker is forgotten while its lease may hold")
	}
	r.runWithInvalidEntry(2*testLease, "w0")
	if slices.Contains(r.shard.Workers(), "w0") {
		t.Error("the worker is still known long after its lease")
	}
}
