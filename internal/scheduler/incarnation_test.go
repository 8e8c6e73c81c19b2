// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
)

// upsertIncarnation adds the entry of a worker with its start time.
func (r *rig) upsertIncarnation(worker cluster.Incarnation) {
	r.shard.UpsertWorker(r.now, cluster.Worker{
		ID: worker.ID, Started: worker.Started, Address: worker.ID, Service: "svc", Rack: "r1-0", Labels: []string{"a"},
		Capacity: resource.Amount{CPUMilli: 4000, MemoryMB: 8000}, ClockMS: r.now.UnixMilli(),
	})
}

// TestGenerationsNeverDecrease removes a worker that keeps running, adds it again after
// hundreds of others came and went, and checks that its orders carry a higher generation than
// before. With a lower one the worker refuses them, and the owner concludes that it was
// replaced.
func TestGenerationsNeverDecrease(t *testing.T) {
	const others = 400
	r := newRig(t, 0)
	worker := cluster.Incarnation{ID: "w", Started: firstStartMS}
	var last int64
	for range 3 {
		r.upsertIncarnation(worker)
		_, order, _, ok := r.shard.BeginHold(r.now, worker.ID)
		if !ok || order.Generation < last || (last > 0 && order.Generation == last) {
			t.Fatalf("the generation is %d (known: %t), want one above %d", order.Generation, ok, last)
		}
		last = order.Generation
		r.shard.WorkerEnded(r.now, worker.ID, "its lease has expired")
		for i := range others {
			id := fmt.Sprintf("o%d", i)
			r.upsertIncarnation(cluster.Incarnation{ID: id})
			r.shard.WorkerEnded(r.now, id, "its machine says so")
		}
		r.runFor(20 * time.Second)
	}
}

// TestRestartedWorkerInheritsNothing restarts a draining worker under its ID, after the end of
// a run was confirmed to it. The restarted worker must get work, and its first end must count.
func TestRestartedWorkerInheritsNothing(t *testing.T) {
	r := newRig(t, 0)
	r.workers["w"] = &fakeWorker{}
	r.takeOver()
	worker := cluster.Incarnation{ID: "w", Started: firstStartMS}
	r.upsertIncarnation(worker)
	report := func(started int64, running []cluster.RunStatus, ended []cluster.RunEnd) (lastSeen int64) {
		t.Helper()
		seq, _, lastSeen, ok := r.shard.BeginHold(r.now, "w")
		if !ok {
			t.Fatal("the worker is not known")
		}
		r.shard.Observe(r.now, "w", seq, cluster.Report{Started: started, ClockMS: 1, Running: running, Ended: ended})
		return lastSeen
	}
	report(worker.Started, nil, nil)
	r.shard.AddJob(r.now, batch("a", tasks(1, 4000)), nil, false)
	r.round()
	task := cluster.TaskID{Job: "a"}
	first := r.workers["w"].running[0].Run
	report(worker.Started, nil, []cluster.RunEnd{{N: 57, Task: task, Run: first, Outcome: cluster.OutcomeDone}})
	if r.persistedState("a") != cluster.StateSucceeded {
		t.Fatal("the first job has not succeeded")
	}
	if seen := report(worker.Started, nil, nil); seen != 57 {
		t.Fatalf("ends are confirmed up to %d, want 57", seen)
	}
	r.shard.UpsertWorker(r.now, cluster.Worker{ID: "w", Started: worker.Started, Address: "w", Service: "svc", Labels: []string{"a"}, Draining: true, Capacity: resource.Amount{CPUMilli: 4000, MemoryMB: 8000}})
	restarted := cluster.Incarnation{ID: "w", Started: worker.Started - 2000}
	*r.workers["w"] = fakeWorker{}
	report(restarted.Started, nil, nil)
	if seen := report(restarted.Started, nil, nil); seen != 0 {
		t.Errorf("ends up to %d are confirmed to the restarted worker, want none", seen)
	}
	r.upsertIncarnation(restarted)
	r.shard.AddJob(r.now, batch("b", tasks(1, 4000)), nil, false)
	r.round()
	if len(r.workers["w"].running) != 1 {
		t.Fatal("the restarted worker gets no work")
	}
	run := r.workers["w"].running[0].Run
	report(restarted.Started, nil, []cluster.RunEnd{{N: 1, Task: cluster.TaskID{Job: "b"}, Run: run, Outcome: cluster.OutcomeDone}})
	if state := r.persistedState("b"); state != cluster.StateSucceeded {
		t.Errorf("the second job is %q after the restarted worker's first end, want succeeded", state)
	}
}
