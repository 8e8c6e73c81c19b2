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

const (
	// In each workTick a healthy worker does healthyPercent of a task, so that a task takes 1 s,
	// and a slow worker slowPercent, so that it takes 8 s.
	workTick       = 50 * time.Millisecond
	healthyPercent = 5
	slowPercent    = 0.625
)

// slowRig is a rig whose workers make progress, some of them slowly.
type slowRig struct {
	*rig
	slow map[string]bool
	// percent holds the speed of other workers that aren't healthy ones, in percent for each tick.
	percent map[string]float64
	done    map[workerRun]float64
	// started holds the workers on which each task was started, in order.
	started map[cluster.TaskID][]string
}

type workerRun struct {
	worker string
	task   cluster.TaskID
	run    int64
}

func newSlowRig(t *testing.T, workers int, slow ...string) *slowRig {
	r := &slowRig{rig: newRig(t, workers), slow: make(map[string]bool), percent: make(map[string]float64), done: make(map[workerRun]float64), started: make(map[cluster.TaskID][]string)}
	for _, id := range slow {
		r.slow[id] = true
	}
	r.upsertWorkers()
	r.reportAll()
	r.round()
	return r
}

// simulate advances the time while all workers make progress.
func (r *slowRig) simulate(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(workTick)
		for _, id := range r.workerIDs() {
			r.advanceWorker(id)
		}
		r.reportAll()
		for _, c := range r.round() {
			if s, ok := c.(scheduler.Start); ok {
				r.started[s.Task] = append(r.started[s.Task], s.Worker)
			}
		}
	}
}

func (r *slowRig) advanceWorker(id string) {
	f := r.workers[id]
	for i := range f.running {
		s := &f.running[i]
		on := workerRun{id, s.Task, s.Run}
		switch {
		case r.slow[id]:
			r.done[on] += slowPercent
		case r.percent[id] > 0:
			r.done[on] += r.percent[id]
		default:
			r.done[on] += healthyPercent
		}
		s.Percent = int(min(100, r.done[on]))
	}
	for _, s := range slices.Clone(f.running) {
		if s.Percent == 100 {
			r.endRun(id, s.Task, s.Run, cluster.OutcomeDone)
		}
	}
}

// add submits a job of one step of n tasks, each of which takes a core.
func (r *slowRig) add(id string, n int) {
	r.shard.AddJob(r.now, batch(id, tasks(n, 1000)), nil, false)
}

// TestSlowTaskMoves checks that a task that was stopped because it was slow starts on another
// worker, even if the slow one has the least room.
func TestSlowTaskMoves(t *testing.T) {
	r := newSlowRig(t, 3, "w0")
	r.add("j", 9)
	r.simulate(3 * time.Second)
	moved := 0
	for task, on := range r.started {
		if on[0] != "w0" {
			continue
		}
		moved++
		if len(on) != 2 || on[1] == "w0" {
			t.Errorf("%s was started on %v, want w0 and then another worker", task, on)
		}
	}
	if moved == 0 {
		t.Error("no task was started on the slow worker")
	}
	r.persist(make(map[string]scheduler.Record))
	r.wantState(cluster.StateSucceeded)
}

// TestStepOnOneSlowWorker checks that slowness is detected for a step whose tasks all run on
// one slow worker, by comparison with earlier tasks of its queue.
func TestStepOnOneSlowWorker(t *testing.T) {
	r := newSlowRig(t, 3)
	for i := range 6 {
		r.add(fmt.Sprintf("before%d", i), 3)
	}
	r.simulate(3 * time.Second)
	r.persist(make(map[string]scheduler.Record))
	for _, id := range r.workerIDs() {
		r.slow[id] = true
	}
	r.add("j", 3)
	r.simulate(workTick)
	for _, id := range r.workerIDs() {
		r.slow[id] = len(r.workers[id].running) == 3
	}
	r.simulate(3 * time.Second)
	r.persist(make(map[string]scheduler.Record))
	r.wantState(cluster.StateSucceeded)
}

// TestSlowWorkerIsQuarantined checks that a worker on which the tasks of several steps are slow
// gets no new tasks for a while, and only one probe at a time after that.
func TestSlowWorkerIsQuarantined(t *testing.T) {
	r := newSlowRig(t, 3, "w0")
	for i := range 6 {
		r.add(fmt.Sprintf("j%d", i), 9)
		r.simulate(4 * time.Second)
	}
	if n := r.shard.Counts().Quarantines; n == 0 {
		t.Error("the slow worker was never quarantined")
	}
	onSlow := 0
	for task, on := range r.started {
		if task.Job >= "j2" && slices.Contains(on, "w0") {
			onSlow++
		}
	}
	// Without a quarantine it would get one in four tasks of each job at the first attempt.
	const probes = 4
	if onSlow > probes {
		t.Errorf("%d tasks of the last four jobs were started on the slow worker, want at most %d probes", onSlow, probes)
	}
}

// TestSlowTaskRestartedInFullShard keeps all workers full while the tasks of some jobs are slow on
// one of them. A copy, or a restart, would take room from the work that waits.
func TestSlowTaskRestartedInFullShard(t *testing.T) {
	const jobs = 40
	r := newSlowRig(t, 4, "w0")
	for i := range jobs {
		r.add(fmt.Sprintf("j%d", i), 9)
	}
	r.simulate(8 * time.Second)
	for task, on := range r.started {
		if len(on) > 1 {
			t.Errorf("%s was started on %v", task, on)
		}
	}
}

// TestLongTasksEnd guards against tasks that are started again without end, since a percent of them takes
// longer than a run may show no progress: nothing of 96 tasks of 200 s ever ended, and their workers were
// quarantined meanwhile.
func TestLongTasksEnd(t *testing.T) {
	const takes = 200 * time.Second
	for name, c := range map[string]struct {
		estimate time.Duration
		// starts is how often a task starts at most, and within the time in which all have ended.
		starts int
		within time.Duration
	}{
		"right estimate":    {takes, 1, takes + 5*time.Second},
		"half the estimate": {takes / 2, 1, takes + 5*time.Second},
		"far too low":       {time.Second, 4, takes + 30*time.Second},
		"not given":         {0, 4, takes + 30*time.Second},
		"far too high":      {10 * takes, 1, takes + 5*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			r := newSlowRig(t, 6)
			for _, id := range r.workerIDs() {
				r.percent[id] = 100 * float64(workTick) / float64(takes)
			}
			step := tasks(8, 2000)
			step.EstimateMS = c.estimate.Milliseconds()
			r.shard.AddJob(r.now, batch("j", step), nil, false)
			r.simulate(c.within)
			r.persist(make(map[string]scheduler.Record))
			r.wantState(cluster.StateSucceeded)
			for task, workers := range r.started {
				if len(workers) > c.starts {
					t.Errorf("%v has started %d times, at most %d are allowed", task, len(workers), c.starts)
				}
			}
		})
	}
}
