// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// runWithInvalidEntry advances the time while the directory is read and the entry of one
// worker is invalid.
func (r *rig) runWithInvalidEntry(d time.Duration, id string) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.shard.DirectoryRead(r.now)
		r.shard.WorkerEntryInvalid(r.now, id)
		r.runFor(100 * time.Millisecond)
	}
}

// TestInvalidEntry checks that nothing starts on a worker whose directory entry is invalid,
// that its runs continue, unlike those on a worker whose entry is gone, and that the worker
// is used again once its entry is valid.
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
		t.Errorf("tasks start on %v, want some, and none on w0, whose entry is invalid", on)
	}
	if now := r.workers["w0"].running; !slices.Equal(now, before) {
		t.Errorf("%v runs on w0, want %v to continue", now, before)
	}
	r.endAllRuns(cluster.OutcomeDone)
	r.upsertWorkers()
	if on := r.workersStartedOn("b"); !on["w0"] {
		t.Errorf("tasks start on %v once the entry is valid again, want some on w0", on)
	}
}

// TestInvalidEntryOfLostWorker checks that an invalid entry does not keep a lost worker: it
// is removed once it is silent and its lease has expired.
func TestInvalidEntryOfLostWorker(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.runReadingDirectory(time.Second)
	r.workers["w0"].silent = true
	r.runWithInvalidEntry(time.Second, "w0")
	if !slices.Contains(r.shard.Workers(), "w0") {
		t.Error("the worker was removed while its lease may be valid")
	}
	r.runWithInvalidEntry(2*testLease, "w0")
	if slices.Contains(r.shard.Workers(), "w0") {
		t.Error("the worker is still known long after its lease has expired")
	}
}
