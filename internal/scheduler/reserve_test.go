// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// The tests use a worker of four cores that is full of small tasks of one second, with more of
// them waiting, and an urgent task that needs the whole worker.

// addWholeWorkerJob submits an urgent job of one task that needs a whole worker.
func (r *rig) addWholeWorkerJob(stretch float64) {
	job := batch("urgent", tasks(1, 4000))
	job.Policy.Priority, job.Policy.Stretch, job.AcceptedMS = 1, stretch, r.now.UnixMilli()
	r.shard.AddJob(r.now, job, nil, false)
}

// newRigFullOfSmallTasks returns a rig whose worker has run four small tasks for the given
// time, with as many waiting.
func newRigFullOfSmallTasks(t *testing.T, loadedFor time.Duration) *rig {
	r := newRig(t, 1)
	r.upsertWorkers()
	r.reportAll()
	r.shard.AddJob(r.now, batch("small", tasks(8, 1000)), nil, false)
	r.runFor(loadedFor)
	if n := len(r.workers["w0"].running); n != 4 {
		t.Fatalf("%d small tasks run, want 4", n)
	}
	return r
}

// endSomeRuns ends n of the worker's runs with success.
func (r *rig) endSomeRuns(n int) {
	for _, s := range append([]cluster.RunStatus(nil), r.workers["w0"].running[:n]...) {
		r.endRun("w0", s.Task, s.Run, cluster.OutcomeDone)
	}
}

// setProgress sets the progress of all runs.
func (r *rig) setProgress(percent int) {
	running := r.workers["w0"].running
	for i := range running {
		running[i].Percent = percent
	}
}

// runningByJob returns the number of runs of each job.
func (r *rig) runningByJob() map[string]int {
	jobs := make(map[string]int)
	for id, n := range r.running() {
		jobs[id.Job] += n
	}
	return jobs
}

// TestReservationAvoidsPreemption checks that a large task that can wait for small ones to end
// is placed without preemption, and that waiting small tasks do not take the room reserved
// for it.
func TestReservationAvoidsPreemption(t *testing.T) {
	r := newRigFullOfSmallTasks(t, 700*time.Millisecond)
	r.addWholeWorkerJob(2.2)
	r.runFor(100 * time.Millisecond)
	for range 2 {
		r.endSomeRuns(2)
		r.setProgress(90)
		r.runFor(100 * time.Millisecond)
		if stops := r.shard.Counts().Stops; stops != 0 {
			t.Fatalf("%d runs were stopped, want none", stops)
		}
		if n := r.runningByJob()["small"]; n > 2 {
			t.Fatalf("%d small tasks run in reserved room, want at most 2", n)
		}
	}
	if n := r.runningByJob()["urgent"]; n != 1 {
		t.Errorf("%d urgent tasks run, want 1", n)
	}
}

// TestUrgentTaskPreempts checks that a large task that would be late if it waited preempts
// others at once.
func TestUrgentTaskPreempts(t *testing.T) {
	r := newRigFullOfSmallTasks(t, 200*time.Millisecond)
	r.addWholeWorkerJob(1.2)
	r.runFor(400 * time.Millisecond)
	if n := r.runningByJob()["urgent"]; n != 1 {
		t.Errorf("%d urgent tasks run, want 1", n)
	}
	if stops := r.shard.Counts().Stops; stops != 4 {
		t.Errorf("%d runs were stopped, want 4", stops)
	}
}

// TestShortTaskUsesReservedRoom checks that a task that ends before reserved room is needed may
// use it.
func TestShortTaskUsesReservedRoom(t *testing.T) {
	r := newRigFullOfSmallTasks(t, 300*time.Millisecond)
	r.addWholeWorkerJob(3)
	r.endSomeRuns(2)
	r.runFor(100 * time.Millisecond)
	short := tasks(1, 1000)
	short.EstimateMS = 100
	r.shard.AddJob(r.now, batch("short", short), nil, false)
	r.runFor(100 * time.Millisecond)
	if jobs := r.runningByJob(); jobs["short"] != 1 || jobs["small"] != 2 {
		t.Errorf("running tasks by job are %v, want one short and two small ones", jobs)
	}
}

// TestLateTaskDoesNotPreempt checks that a large task that is already late takes the next room
// that becomes free but preempts nothing, since that would make other tasks late too.
func TestLateTaskDoesNotPreempt(t *testing.T) {
	r := newRigFullOfSmallTasks(t, 300*time.Millisecond)
	r.addWholeWorkerJob(1)
	r.now = r.now.Add(2 * time.Second)
	r.setProgress(90)
	r.reportAll()
	r.round()
	if stops := r.shard.Counts().Stops; stops != 0 {
		t.Fatalf("%d runs were stopped, want none", stops)
	}
	r.endSomeRuns(4)
	r.reportAll()
	r.round()
	if jobs := r.runningByJob(); jobs["urgent"] != 1 || jobs["small"] != 0 {
		t.Errorf("running tasks by job are %v, want only the urgent one", jobs)
	}
}
