// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
)

// upsertLife makes a life known.
func (r *rig) upsertLife(life cluster.Incarnation) {
	r.shard.UpsertWorker(r.now, cluster.Worker{
		ID: life.ID, Started: life.Started, Address: life.ID, Service: "svc", Rack: "r1-0", Labels: []string{"a"},
		Capacity: resource.Amount{CPUMilli: 4000, MemoryMB: 8000}, ClockMS: r.now.UnixMilli(),
	})
}

// TestGenerationsNeverDecrease lets hundreds of workers come and go between two times at which
// one is known, which lives on all the while. Its orders must not have a lower generation
// the second time: it would refuse them, and its owner take itself for replaced.
func TestGenerationsNeverDecrease(t *testing.T) {
	const others = 400
	r := newRig(t, 0)
	life := cluster.Incarnation{ID: "w", Started: firstStartMS}
	var last int64
	for range 3 {
		r.upsertLife(life)
		_, order, _, ok := r.shard.HoldSent(r.now, life.ID)
		if !ok || order.Generation < last || (last > 0 && order.Generation == last) {
			t.Fatalf("generation %d (known: %t) after %d", order.Generation, ok, last)
		}
		last = order.Generation
		r.shard.WorkerEnded(r.now, life.ID, "its lease is over")
		for i := range others {
			id := fmt.Sprintf("o%d", i)
			r.upsertLife(cluster.Incarnation{ID: id})
			r.shard.WorkerEnded(r.now, id, "its machine says so")
		}
		r.runFor(20 * time.Second)
	}
}

// TestRestartedWorkerInheritsNothing lets a worker that drains, with an end confirmed and a run,
// start again under its ID. The new life must get work, and its first end must count.
func TestRestartedWorkerInheritsNothing(t *testing.T) {
	r := newRig(t, 0)
	r.workers["w"] = &fakeWorker{}
	r.takeOver()
	life := cluster.Incarnation{ID: "w", Started: firstStartMS}
	r.upsertLife(life)
	report := func(started int64, running []cluster.RunStatus, ended []cluster.RunEnd) (lastSeen int64) {
		t.Helper()
		seq, _, lastSeen, ok := r.shard.HoldSent(r.now, "w")
		if !ok {
			t.Fatal("the worker is not known")
		}
		r.shard.Observe(r.now, "w", seq, cluster.Report{Started: started, ClockMS: 1, Running: running, Ended: ended})
		return lastSeen
	}
	report(life.Started, nil, nil)
	r.shard.AddJob(r.now, batch("a", tasks(1, 4000)), nil, false)
	r.round()
	task := cluster.TaskID{Job: "a"}
	first := r.workers["w"].running[0].Run
	report(life.Started, nil, []cluster.RunEnd{{N: 57, Task: task, Run: first, Outcome: cluster.OutcomeDone}})
	if r.persistedState("a") != cluster.StateSucceeded {
		t.Fatal("the first job has not succeeded")
	}
	if seen := report(life.Started, nil, nil); seen != 57 {
		t.Fatalf("confirmed up to %d, want 57", seen)
	}
	r.shard.UpsertWorker(r.now, cluster.Worker{ID: "w", Started: life.Started, Address: "w", Service: "svc", Labels: []string{"a"}, Draining: true, Capacity: resource.Amount{CPUMilli: 4000, MemoryMB: 8000}})
	next := cluster.Incarnation{ID: "w", Started: life.Started - 2000}
	*r.workers["w"] = fakeWorker{}
	report(next.Started, nil, nil)
	if seen := report(next.Started, nil, nil); seen != 0 {
		t.Errorf("the new life is told of ends up to %d, want none", seen)
	}
	r.upsertLife(next)
	r.shard.AddJob(r.now, batch("b", tasks(1, 4000)), nil, false)
	r.round()
	if len(r.workers["w"].running) != 1 {
		t.Fatal("the new life gets no work")
	}
	run := r.workers["w"].running[0].Run
	report(next.Started, nil, []cluster.RunEnd{{N: 1, Task: cluster.TaskID{Job: "b"}, Run: run, Outcome: cluster.OutcomeDone}})
	if state := r.persistedState("b"); state != cluster.StateSucceeded {
		t.Errorf("the second job is %q after the new life's first end", state)
	}
}
