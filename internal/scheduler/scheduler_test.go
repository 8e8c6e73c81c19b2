// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestStepsInOrder checks that a step starts only once the steps before it have succeeded, and
// that a job is shown as succeeded only once that is persisted.
func TestStepsInOrder(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	second := tasks(2, 1000)
	second.After = []int{0}
	r.shard.AddJob(r.now, batch("j", tasks(3, 1000), second), nil, false)
	r.runFor(300 * time.Millisecond)
	if got := r.running(); len(got) != 3 {
		t.Fatalf("%d tasks run, want the 3 of the first step: %v", len(got), got)
	}
	r.endAllRuns(cluster.OutcomeDone)
	r.runFor(200 * time.Millisecond)
	for task := range r.running() {
		if task.Step != 1 {
			t.Errorf("%s runs again", task)
		}
	}
	r.endAllRuns(cluster.OutcomeDone)
	r.runFor(200 * time.Millisecond)
	r.wantState(cluster.StateRunning)
	r.persist(make(map[string]scheduler.Record))
	r.wantState(cluster.StateSucceeded)
}

// TestCapacityIsNotExceeded checks that a worker never gets more than its capacity, counting
// runs that are being stopped.
func TestCapacityIsNotExceeded(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	for i := range 20 {
		r.shard.AddJob(r.now, batch(fmt.Sprintf("j%02d", i), tasks(3, 1500)), nil, false)
	}
	for range 30 {
		r.runFor(100 * time.Millisecond)
		for id, f := range r.workers {
			if len(f.running) > 2 {
				t.Fatalf("%s runs %d tasks of 1.5 cores on 4 cores, want at most 2", id, len(f.running))
			}
		}
		for _, id := range r.workerIDs() {
			if f := r.workers[id]; len(f.running) > 0 {
				r.endRun(id, f.running[0].Task, f.running[0].Run, cluster.OutcomeDone)
			}
		}
	}
}

// TestFailureIsCountedOnce checks that a failed run that an earlier owner has counted and
// persisted does not count again when the worker lists it to the next owner.
func TestFailureIsCountedOnce(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	job := batch("j", tasks(1, 1000))
	r.shard.AddJob(r.now, job, nil, false)
	r.runFor(200 * time.Millisecond)
	r.endAllRuns(cluster.OutcomeFailed)
	r.reportAll()
	rows := make(map[string]scheduler.Record)
	b := r.shard.NextBatch(r.now, 10, unlimitedBytes)
	for _, rec := range b.Records {
		rows[rec.Job] = rec
	}
	// The owner is replaced before the worker learns that the end is persisted.
	r.takeOver()
	p, err := scheduler.ParseProgress(rows["j"].Value, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.shard.AddJob(r.now, job, p, true)
	r.upsertWorkers()
	r.runFor(300 * time.Millisecond)
	r.wantState(cluster.StateRunning)
	if got := len(r.running()); got != 1 {
		t.Errorf("%d tasks run, want one, the second attempt", got)
	}
	r.endAllRuns(cluster.OutcomeFailed)
	r.runFor(200 * time.Millisecond)
	r.persist(rows)
	r.wantState(cluster.StateFailed)
}

// TestTasksRestartAfterLeaseOfSilentWorker checks that the tasks of a worker that does not
// answer start elsewhere once its lease has certainly expired, and not before.
func TestTasksRestartAfterLeaseOfSilentWorker(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.shard.AddJob(r.now, batch("j", tasks(4, 1500)), nil, false)
	r.runFor(300 * time.Millisecond)
	r.workers["w0"].silent = true
	lost := r.workers["w0"].running
	for _, id := range r.workerIDs()[1:] {
		for _, s := range slices.Clone(r.workers[id].running) {
			r.endRun(id, s.Task, s.Run, cluster.OutcomeDone)
		}
	}
	r.runFor(testLease - 500*time.Millisecond)
	if got := len(r.workers["w1"].running); got != 0 {
		t.Fatalf("%d tasks started again while the lease may be valid", got)
	}
	r.runFor(time.Second)
	if got := len(r.workers["w1"].running); got != len(lost) {
		t.Errorf("%d tasks run again after the lease, want %d", got, len(lost))
	}
}

// TestNoCopyOfCancelled checks that a run on a silent worker is not copied once its job has
// been cancelled.
func TestNoCopyOfCancelled(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	step := tasks(2, 1500)
	step.Speculative = true
	r.shard.AddJob(r.now, batch("j", step), nil, false)
	r.runFor(300 * time.Millisecond)
	for _, id := range r.workerIDs() {
		r.workers[id].silent = len(r.workers[id].running) > 0
	}
	r.shard.EndJob(r.now, "j", cluster.StateCancelled)
	for range 20 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.reportAll()
		for _, c := range r.round() {
			if start, ok := c.(scheduler.Start); ok {
				t.Fatalf("%s starts after its job was cancelled", start.Task)
			}
		}
	}
}

// TestTakeoverWaitsForAllWorkers checks that a new owner starts no task of an earlier job while
// a live worker has not answered, even if the directory does not list that worker and others
// have room.
func TestTakeoverWaitsForAllWorkers(t *testing.T) {
	r := newRig(t, 3)
	r.upsertWorkers()
	job := batch("j", tasks(2, 3000))
	r.shard.AddJob(r.now, job, nil, false)
	r.runFor(300 * time.Millisecond)
	// The directory lists only one of the two workers for the next owner.
	r.takeOver()
	r.shard.AddJob(r.now, job, nil, true)
	lost := ""
	for _, id := range r.workerIDs() {
		if len(r.workers[id].running) > 0 {
			lost = id
		}
	}
	hidden := r.workers[lost]
	delete(r.workers, lost)
	r.upsertWorkers()
	r.runFor(2 * time.Second)
	if got := r.running(); len(got) != 1 {
		t.Fatalf("%v runs on the listed workers, want the one task that was there", got)
	}
	r.workers[lost] = hidden
	r.upsertWorkers()
	r.runFor(300 * time.Millisecond)
	for task, n := range r.running() {
		if n != 1 {
			t.Errorf("%s runs %d times", task, n)
		}
	}
}

// TestFailedTaskGoesElsewhere checks that a failed task is retried on another worker, so that
// one bad worker does not use up its attempts.
func TestFailedTaskGoesElsewhere(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.shard.AddJob(r.now, batch("j", tasks(1, 1000)), nil, false)
	r.runFor(200 * time.Millisecond)
	first := ""
	for id, f := range r.workers {
		if len(f.running) > 0 {
			first = id
		}
	}
	r.endAllRuns(cluster.OutcomeFailed)
	r.runFor(300 * time.Millisecond)
	if len(r.workers[first].running) > 0 {
		t.Errorf("the task is retried on %s, where it failed", first)
	}
	if len(r.running()) != 1 {
		t.Error("the task is not retried")
	}
}

// TestLongTaskIsMovedOnce checks that a task that takes far longer than its siblings by nature
// is stopped at most once.
func TestLongTaskIsMovedOnce(t *testing.T) {
	r := newRig(t, 3)
	r.upsertWorkers()
	r.shard.AddJob(r.now, batch("j", tasks(4, 1000)), nil, false)
	long := cluster.TaskID{Job: "j", Index: 3}
	stops := 0
	for range 200 {
		r.now = r.now.Add(100 * time.Millisecond)
		for _, id := range r.workerIDs() {
			f := r.workers[id]
			for i := range f.running {
				step := 10
				if f.running[i].Task == long {
					step = 1
				}
				f.running[i].Percent = min(100, f.running[i].Percent+step)
			}
			for _, s := range slices.Clone(f.running) {
				if s.Percent == 100 {
					r.endRun(id, s.Task, s.Run, cluster.OutcomeDone)
				}
			}
		}
		r.reportAll()
		for _, c := range r.round() {
			if stop, ok := c.(scheduler.Stop); ok && stop.Task == long {
				stops++
			}
		}
	}
	if stops > 1 {
		t.Errorf("the long task was stopped %d times, want at most once", stops)
	}
	r.persist(make(map[string]scheduler.Record))
	r.wantState(cluster.StateSucceeded)
}

// TestLastAttemptOnProvenWorker checks that a task with one attempt left goes to a worker whose
// last run succeeded.
func TestLastAttemptOnProvenWorker(t *testing.T) {
	r := newRig(t, 3)
	r.upsertWorkers()
	// Each task fills a worker, so that each worker gets one of each job.
	r.shard.AddJob(r.now, batch("a", tasks(3, 4000)), nil, false)
	r.runFor(200 * time.Millisecond)
	r.endAllRuns(cluster.OutcomeDone)
	r.reportAll()
	r.shard.AddJob(r.now, batch("b", tasks(3, 4000)), nil, false)
	r.runFor(200 * time.Millisecond)
	for _, id := range r.workerIDs() {
		how := cluster.OutcomeFailed
		if id == "w2" {
			how = cluster.OutcomeDone
		}
		for _, s := range slices.Clone(r.workers[id].running) {
			r.endRun(id, s.Task, s.Run, how)
		}
	}
	r.runFor(400 * time.Millisecond)
	for _, id := range []string{"w0", "w1"} {
		if len(r.workers[id].running) > 0 {
			t.Errorf("a last attempt runs on %s, whose last run failed", id)
		}
	}
	if len(r.workers["w2"].running) != 1 {
		t.Error("no last attempt runs on the worker whose last run succeeded")
	}
}

// pacesSet returns the paces that the rounds within a time set, in order.
func (r *rig) pacesSet(d time.Duration, usage int64) []int {
	var paces []int
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(100 * time.Millisecond)
		for _, f := range r.workers {
			for i := range f.running {
				f.running[i].Usage = usage
				f.running[i].Percent = 100
			}
		}
		r.reportAll()
		for _, c := range r.round() {
			if p, ok := c.(scheduler.SetPace); ok {
				paces = append(paces, p.Percent)
			}
		}
	}
	return paces
}

// TestBestEffortTasksArePaced checks that a best-effort task is slowed down while the serving
// task beside it exceeds its latency target, and gets its pace back afterwards.
func TestBestEffortTasksArePaced(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	serving, bestEffort := tasks(1, 1000), tasks(1, 1000)
	serving.LongRunning, serving.LatencyTargetMS = true, 100
	bestEffort.BestEffortCPU = true
	r.shard.AddJob(r.now, batch("serves", serving), nil, false)
	r.shard.AddJob(r.now, batch("fills", bestEffort), nil, false)
	r.runFor(300 * time.Millisecond)
	if got := len(r.running()); got != 2 {
		t.Fatalf("%d tasks run beside each other, want 2", got)
	}
	if got := r.pacesSet(3*time.Second, 150); len(got) == 0 || got[len(got)-1] != 0 {
		t.Errorf("paces are %v while the serving task exceeds its target, want 0 at the end", got)
	}
	if got := r.pacesSet(10*time.Second, 20); len(got) == 0 || got[len(got)-1] != 100 {
		t.Errorf("paces are %v while the serving task meets its target, want 100 at the end", got)
	}
}

// TestPaceAfterTakeover checks that the next owner sets the pace of a best-effort task that an
// earlier owner may have slowed down.
func TestPaceAfterTakeover(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	bestEffort := tasks(1, 1000)
	bestEffort.BestEffortCPU = true
	job := batch("fills", bestEffort)
	r.shard.AddJob(r.now, job, nil, false)
	r.runFor(300 * time.Millisecond)
	r.takeOver()
	r.shard.AddJob(r.now, job, nil, true)
	r.upsertWorkers()
	if got := r.pacesSet(2*time.Second, 20); len(got) != 1 || got[0] != 100 {
		t.Errorf("paces are %v after a takeover, want 100 once", got)
	}
}
