// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// The load: a worker of four cores full of small tasks of a second, more of them waiting,
// and an urgent task that needs the whole worker.

// addWholeWorkerJob hands in an urgent job of one task that takes a worker alone.
func (r *rig) addWholeWorkerJob(stretch float64) {
	job := batch("urgent", tasks(1, 4000))
	job.Policy.Priority, job.Policy.Stretch, job.AcceptedMS = 1, stretch, r.now.UnixMilli()
	r.shard.AddJob(r.now, job, nil, false)
}

// newRigFullOfSmallTasks returns a rig whose worker has been full of small tasks for some time, with
// as many waiting.
func newRigFullOfSmallTasks(t *testing.T, since time.Duration) *rig {
	r := newRig(t, 1)
	r.upsertWorkers()
	r.reportAll()
	r.shard.AddJob(r.now, batch("small", tasks(8, 1000)), nil, false)
	r.runFor(since)
	if n := len(r.workers["w0"].running); n != 4 {
		t.Fatalf("%d small tasks run, want 4", n)
	}
	return r
}

// endSomeRuns ends n of the tasks that run on the worker.
func (r *rig) endSomeRuns(n int) {
	for _, s := range append([]cluster.RunStatus(nil), r.workers["w0"].running[:n]...) {
		r.endRun("w0", s.Task, s.Run, cluster.OutcomeDone)
	}
}

// setProgress lets what runs be done to that percent.
func (r *rig) setProgress(percent int) {
	running := r.workers["w0"].running
	for i := range running {
		running[i].Percent = percent
	}
}

// runningByJob returns how many tasks of each job run.
func (r *rig) runningByJob() map[string]int {
	jobs := make(map[string]int)
	for id, n := range r.running() {
		jobs[id.Job] += n
	}
	return jobs
}

// TestReservationAvoidsPreemption checks that a large task which can wait for the ends of small ones
// stops none of them, and that the small ones that wait don't take the room meanwhile.
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
			t.Fatalf("%d small tasks run in room that is set aside", n)
		}
	}
	if n := r.runningByJob()["urgent"]; n != 1 {
		t.Errorf("%d urgent tasks run, want 1", n)
	}
}

// TestUrgentTaskPreempts checks that a large task which would be late by waiting takes
// its room at once.
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

// TestShortTaskUsesReservedCapacity checks that work which ends before the room is
// needed may use it.
func TestShortTaskUsesReservedCapacity(t *testing.T) {
	r := newRigFullOfSmallTasks(t, 300*time.Millisecond)
	r.addWholeWorkerJob(3)
	r.endSomeRuns(2)
	r.runFor(100 * time.Millisecond)
	short := tasks(1, 1000)
	short.EstimateMS = 100
	r.shard.AddJob(r.now, batch("short", short), nil, false)
	r.runFor(100 * time.Millisecond)
	if jobs := r.runningByJob(); jobs["short"] != 1 || jobs["small"] != 2 {
		t.Errorf("%v run, want one short and two small tasks", jobs)
	}
}

// TestLateTaskDoesNotPreempt checks that a large task which is late already takes the next
// room, but stops nobody's work for it: that would make others late too.
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
		t.Errorf("%v run, want the urgent task alone", jobs)
	}
}
