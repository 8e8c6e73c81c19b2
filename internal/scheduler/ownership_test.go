// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// testOwnershipLease is the OwnershipLease of the shards in these tests.
const testOwnershipLease = 20 * time.Second

// longTasks returns n tasks that take longer than the tests, two of which fit a worker.
func longTasks(n int) cluster.Step {
	st := tasks(n, 1900)
	st.EstimateMS = time.Minute.Milliseconds()
	return st
}

// newBoundedRig returns a rig whose ownership has to be confirmed, on two workers on each of which
// two tasks run.
func newBoundedRig(t *testing.T) *rig {
	r := newRig(t, 2)
	r.ownershipLease = testOwnershipLease
	r.takeOver()
	r.shard.ConfirmOwnership(r.now)
	r.upsertWorkers()
	r.runFor(time.Second)
	r.shard.ConfirmOwnership(r.now)
	r.shard.AddJob(r.now, batch("j", longTasks(4)), nil, false)
	r.runFor(time.Second)
	r.shard.ConfirmOwnership(r.now)
	r.wantRunning("w0", 2)
	r.wantRunning("w1", 2)
	return r
}

// workFor is runFor with progress of all runs, so that none counts as stalled.
func (r *rig) workFor(d time.Duration) {
	const step = 500 * time.Millisecond
	for ; d > 0; d -= step {
		for _, f := range r.workers {
			for i := range f.running {
				f.running[i].Percent++
			}
		}
		r.runFor(min(d, step))
	}
}

// wantRunning checks how many tasks run on a worker.
func (r *rig) wantRunning(worker string, n int) {
	r.t.Helper()
	if got := len(r.workers[worker].running); got != n {
		r.t.Errorf("%d tasks run on %s, want %d: %v", got, worker, n, r.workers[worker].running)
	}
}

// freeWorker ends the runs on a worker, so that it has room.
func (r *rig) freeWorker(id string) {
	for _, s := range slices.Clone(r.workers[id].running) {
		r.endRun(id, s.Task, s.Run, cluster.OutcomeDone)
	}
}

// TestUnconfirmedOwnerExpiresNoLease guards against an owner that has been replaced without
// learning of it and takes a worker's lease for expired that the next owner renews.
func TestUnconfirmedOwnerExpiresNoLease(t *testing.T) {
	r := newBoundedRig(t)
	r.workers["w1"].silent = true
	r.freeWorker("w0")
	r.workFor(10 * time.Second)
	r.wantRunning("w0", 0)
	if !r.shard.TakeConfirmationWanted() {
		t.Error("no confirmation is wanted although a lease has expired")
	}
	r.shard.ConfirmOwnership(r.now)
	r.workFor(time.Second)
	r.wantRunning("w0", 2)
}

// TestUnconfirmedOwnerRestartsNothing guards against an owner that has been replaced without
// learning of it and starts tasks again that the next owner has started again: both have learned
// that the tasks' worker has ended.
func TestUnconfirmedOwnerRestartsNothing(t *testing.T) {
	r := newBoundedRig(t)
	r.freeWorker("w0")
	r.now = r.now.Add(time.Second)
	r.workers["w1"].silent = true
	r.shard.WorkerEnded(r.now, "w1", scheduler.EvidenceMachineDown)
	r.workFor(5 * time.Second)
	r.wantRunning("w0", 0)
	r.shard.ConfirmOwnership(r.now)
	r.workFor(time.Second)
	r.wantRunning("w0", 2)
}

// TestLeasesEndWithOwnership guards against workers whose runs go on without end under an owner
// that can't be confirmed: the next owner, which doesn't reach them, starts their tasks elsewhere.
func TestLeasesEndWithOwnership(t *testing.T) {
	r := newBoundedRig(t)
	end := r.now.Add(testOwnershipLease)
	for r.now.Before(end.Add(5 * time.Second)) {
		r.workFor(100 * time.Millisecond)
		_, order, _, _ := r.shard.BeginHold(r.now, "w0")
		if order.DeadlineMS > end.UnixMilli() {
			t.Fatalf("%s before the ownership expires, a lease is granted that lasts %d ms longer", end.Sub(r.now), order.DeadlineMS-end.UnixMilli())
		}
		if order.DeadlineMS == 0 && r.now.Before(end) {
			t.Fatalf("the lease isn't renewed %s before the ownership expires", end.Sub(r.now))
		}
		if expired := r.shard.OwnershipExpired(r.now); expired == r.now.Before(end) {
			t.Fatalf("%s before its end the ownership has expired: %v", end.Sub(r.now), expired)
		}
	}
}

// TestUnconfirmedOwnerStartsNothingLate guards against runs that are started although the lease
// that they need can't be granted any more, and that are killed soon.
func TestUnconfirmedOwnerStartsNothingLate(t *testing.T) {
	r := newBoundedRig(t)
	r.endAllRuns(cluster.OutcomeDone)
	r.workFor(testOwnershipLease - testLease - 2*time.Second)
	r.shard.AddJob(r.now, batch("k", longTasks(1)), nil, false)
	r.workFor(time.Second)
	if n := len(r.running()); n != 1 {
		t.Errorf("%d tasks run, want the one that came while a lease could be granted in full", n)
	}
	r.workFor(2 * time.Second)
	r.shard.AddJob(r.now, batch("l", longTasks(1)), nil, false)
	r.workFor(time.Second)
	if n := len(r.running()); n != 1 {
		t.Errorf("%d tasks run, want no other one", n)
	}
	r.shard.ConfirmOwnership(r.now)
	r.workFor(time.Second)
	if n := len(r.running()); n != 2 {
		t.Errorf("%d tasks run after a confirmation, want 2", n)
	}
}
