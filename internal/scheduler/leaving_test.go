// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
)

// runReadingDirectory advances the time while the directory is read, which lists all workers
// but the given ones.
func (r *rig) runReadingDirectory(d time.Duration, unlisted ...string) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.shard.DirectoryRead(r.now)
		for _, id := range unlisted {
			r.shard.WorkerUnlisted(r.now, id)
		}
		r.runFor(100 * time.Millisecond)
	}
}

// workersStartedOn submits a job and returns the workers on which its tasks start.
func (r *rig) workersStartedOn(id string) map[string]bool {
	r.shard.AddJob(r.now, batch(id, tasks(6, 500)), nil, false)
	r.runFor(100 * time.Millisecond)
	on := make(map[string]bool)
	for worker, f := range r.workers {
		for _, s := range f.running {
			if s.Task.Job == id {
				on[worker] = true
			}
		}
	}
	return on
}

// TestUnlistedWorkerGetsNoTasks checks that nothing starts on a worker that the directory no
// longer lists, and that long-running tasks move away from it.
func TestUnlistedWorkerGetsNoTasks(t *testing.T) {
	r := newRig(t, 4)
	r.upsertWorkers()
	r.runReadingDirectory(4 * time.Second)
	r.addLongRunning(batch("long", longRunningTasks(8, 1500)))
	r.runReadingDirectory(time.Second)
	r.runReadingDirectory(300*time.Millisecond, "w0")
	if on := r.workersStartedOn("a"); on["w0"] || len(on) == 0 {
		t.Errorf("tasks start on %v, want some, and none on w0, which is not listed", on)
	}
	r.runReadingDirectory(2*time.Second, "w0")
	for _, s := range r.workers["w0"].running {
		if s.Task.Job == "long" {
			t.Errorf("%v still runs on a worker that is not listed", s.Task)
		}
	}
	r.upsertWorkers()
	r.runReadingDirectory(time.Second)
	r.endAllRuns(cluster.OutcomeDone)
	r.runReadingDirectory(time.Second)
	if on := r.workersStartedOn("b"); len(on) == 0 {
		t.Error("nothing starts once the worker is listed again")
	}
}

// TestWorkersStayInUseAfterStoreOutage checks that workers stay in use if their directory
// entries expire during an outage of the store or many at once.
func TestWorkersStayInUseAfterStoreOutage(t *testing.T) {
	for name, expire := range map[string]func(r *rig){
		"after an outage": func(r *rig) {
			r.runFor(5 * time.Second)
			r.runReadingDirectory(time.Second, "w0", "w1")
		},
		"all at once": func(r *rig) { r.runReadingDirectory(5*time.Second, "w0", "w1", "w2") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 4)
			r.upsertWorkers()
			r.runReadingDirectory(4 * time.Second)
			expire(r)
			r.shard.AddJob(r.now, batch("a", tasks(32, 500)), nil, false)
			r.runFor(200 * time.Millisecond)
			if n := len(r.running()); n != 32 {
				t.Errorf("%d of 32 tasks run, want all", n)
			}
		})
	}
}

// TestTaskLostWithLateDrainEntry has the entry of a draining worker arrive 1.4 s after it was
// written. A task that saves checkpoints must be stopped before the worker exits all the same.
func TestTaskLostWithLateDrainEntry(t *testing.T) {
	const remaining, late = 3 * time.Second, 1400 * time.Millisecond
	r := newRig(t, 1)
	r.upsertWorkers()
	r.runFor(time.Second)
	step := tasks(1, 500)
	step.EstimateMS, step.Checkpoints = 60_000, true
	r.shard.AddJob(r.now, batch("a", step), nil, false)
	r.runWithProgress(2 * time.Second)
	written := r.now
	r.runWithProgress(late)
	if len(r.workers["w0"].running) != 1 {
		t.Fatal("the task does not run")
	}
	r.shard.UpsertWorker(r.now, cluster.Worker{
		ID: "w0", Address: "w0", Service: "svc", Rack: "r1-0", Labels: []string{"a"}, Capacity: resource.Amount{CPUMilli: 4000, MemoryMB: 8000},
		Draining: true, Remaining: remaining, ClockMS: written.UnixMilli(),
	})
	r.runWithProgress(written.Add(remaining).Sub(r.now))
	if running := r.workers["w0"].running; len(running) > 0 {
		t.Errorf("%v is lost with its worker", running)
	}
}
