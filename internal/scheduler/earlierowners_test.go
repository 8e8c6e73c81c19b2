// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/scheduler"
)

const (
	// testUncertainFor and testUncertainAfterEnd are the bounds of the shards in these tests.
	testUncertainFor      = 22 * time.Second
	testUncertainAfterEnd = 11 * time.Second
)

// newSuccessorRig returns a rig of two workers, one of which doesn't answer, just after a new owner
// has been made and before it has loaded its shard.
func newSuccessorRig(t *testing.T) *rig {
	r := newRig(t, 2)
	r.workers["w1"].silent = true
	r.epoch++
	r.shard = scheduler.New(scheduler.Params{
		Epoch: r.epoch, Lease: testLease, StopTime: 200 * time.Millisecond, UncertainFor: testUncertainFor,
		UncertainAfterEnd: testUncertainAfterEnd, FinishedRetention: time.Minute,
	}, r.now, r.log)
	return r
}

// load loads the shard, with a job that earlier owners may have started.
func (r *rig) load() {
	r.shard.Loaded(r.now)
	r.shard.ExpectWorkers(r.workerIDs())
	r.upsertWorkers()
	r.shard.AddJob(r.now, batch("j", tasks(1, 1000)), nil, true)
}

// wantStartAfter checks that the job starts once d has passed, and not before.
func (r *rig) wantStartAfter(d time.Duration) {
	r.t.Helper()
	r.runFor(d - 200*time.Millisecond)
	if n := len(r.running()); n != 0 {
		r.t.Fatalf("%d tasks run before the last lease of an earlier owner has expired", n)
	}
	r.runFor(400 * time.Millisecond)
	if n := len(r.running()); n != 1 {
		r.t.Fatalf("%d tasks run after the last lease of an earlier owner has expired, want 1", n)
	}
}

// TestWaitsForOwnershipOfEarlierOwner guards against tasks that start elsewhere while they run on a
// worker that only an earlier owner reaches.
func TestWaitsForOwnershipOfEarlierOwner(t *testing.T) {
	r := newSuccessorRig(t)
	r.load()
	r.wantStartAfter(testUncertainFor)
}

// TestWaitsForLeasesOfEndedOwner guards against work that waits for longer than for the last lease
// once all earlier owners have ended.
func TestWaitsForLeasesOfEndedOwner(t *testing.T) {
	for _, endsAfter := range []time.Duration{0, 2 * time.Second} {
		r := newSuccessorRig(t)
		r.load()
		r.runFor(endsAfter)
		r.shard.EarlierOwnersEnded(r.now)
		r.wantStartAfter(testUncertainAfterEnd)
	}
}

// TestWaitsAfterLateLoad guards against an owner that takes workers for empty which it has had no
// time to ask, since its load took longer than all leases.
func TestWaitsAfterLateLoad(t *testing.T) {
	r := newSuccessorRig(t)
	r.shard.EarlierOwnersEnded(r.now)
	r.now = r.now.Add(time.Minute)
	r.load()
	r.wantStartAfter(1500 * time.Millisecond)
}

// TestWaitsForEarlierOwnerAfterLateLoad is TestWaitsAfterLateLoad for an earlier owner that may
// still own the shard: its ownership may have been confirmed until the load.
func TestWaitsForEarlierOwnerAfterLateLoad(t *testing.T) {
	r := newSuccessorRig(t)
	r.now = r.now.Add(time.Minute)
	r.load()
	r.wantStartAfter(testUncertainFor)
}
