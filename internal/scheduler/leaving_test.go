// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// read lets time pass while the directory is read, and lists all workers but some.
func (r *rig) read(d time.Duration, but ...string) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.shard.DirectoryRead(r.now)
		for _, id := range but {
			r.shard.WorkerUnlisted(r.now, id)
		}
		r.pass(100 * time.Millisecond)
	}
}

// startsOn returns on which workers the tasks of a new job start.
func (r *rig) startsOn(id string) map[string]bool {
	r.shard.AddJob(r.now, batch(id, tasks(6, 500)), nil, false)
	r.pass(100 * time.Millisecond)
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

// TestWorkerLeavesWithoutNotice checks that nothing starts on a worker that the
// directory has dropped while it is read, and that what can't end there moves.
func TestWorkerLeavesWithoutNotice(t *testing.T) {
	r := newRig(t, 4)
	r.announce()
	r.read(4 * time.Second)
	r.addLasting(batch("long", lasting(8, 1500)))
	r.read(time.Second)
	r.read(300*time.Millisecond, "w0")
	if on := r.startsOn("a"); on["w0"] || len(on) == 0 {
		t.Errorf("tasks start on %v, w0 has left the directory", on)
	}
	r.read(2*time.Second, "w0")
	for _, s := range r.workers["w0"].running {
		if s.Task.Job == "long" {
			t.Errorf("%v still runs on a worker that leaves", s.Task)
		}
	}
	r.announce()
	r.read(time.Second)
	r.endAll(cluster.OutcomeDone)
	r.read(time.Second)
	if on := r.startsOn("b"); len(on) == 0 {
		t.Error("nothing starts once the worker is listed again")
	}
}

// TestEntriesLapseWithTheStore checks that workers whose entries go while the store
// is away, or that go by the dozen, are used on.
func TestEntriesLapseWithTheStore(t *testing.T) {
	for name, lapse := range map[string]func(r *rig){
		"after an outage": func(r *rig) {
			r.pass(5 * time.Second)
			r.read(time.Second, "w0", "w1")
		},
		"all at once": func(r *rig) { r.read(5*time.Second, "w0", "w1", "w2") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 4)
			r.announce()
			r.read(4 * time.Second)
			lapse(r)
			r.shard.AddJob(r.now, batch("a", tasks(32, 500)), nil, false)
			r.pass(200 * time.Millisecond)
			if n := len(r.running()); n != 32 {
				t.Errorf("%d of 32 tasks start", n)
			}
		})
	}
}
