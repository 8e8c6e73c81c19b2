// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// periodic returns a job whose steps run the given number of times.
func periodic(id string, start time.Time, repeats int, interval time.Duration, steps ...cluster.Step) cluster.Job {
	j := batch(id, steps...)
	j.Repeats, j.StartMS, j.IntervalMS = repeats, start.UnixMilli(), interval.Milliseconds()
	return j
}

// heapInUse returns the bytes of all reachable objects.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// chainOfSteps returns n steps of which each depends on the one before.
func chainOfSteps(n, count int, cpu int64) (steps []cluster.Step) {
	for i := range n {
		st := tasks(count, cpu)
		if i > 0 {
			st.After = []int{i - 1}
		}
		steps = append(steps, st)
	}
	return steps
}

// TestJobsExhaustMemory guards against an owner whose memory grows with what accepted jobs may mean:
// a few jobs of a hundred thousand tasks each took more than its host has, and the next owner that
// loaded them ended in turn.
func TestJobsExhaustMemory(t *testing.T) {
	const jobs, maxBytesPerJob = 6, 2 << 20
	gang := tasks(100_000, 100)
	gang.Gang = true
	for name, newJob := range map[string]func(now time.Time, id string) cluster.Job{
		"repeats due later": func(now time.Time, id string) cluster.Job {
			return periodic(id, now.Add(time.Minute), 100_000, time.Minute, tasks(1, 1000))
		},
		"repeats all due": func(now time.Time, id string) cluster.Job {
			return periodic(id, now.Add(-time.Hour), 100_000, 0, tasks(1, 1000))
		},
		"repeats that fit nowhere": func(now time.Time, id string) cluster.Job {
			return periodic(id, now, 100_000, time.Millisecond, tasks(1, 20_000))
		},
		"repeats of many steps": func(now time.Time, id string) cluster.Job {
			return periodic(id, now, 1000, time.Millisecond, chainOfSteps(100, 1, 1000)...)
		},
		"wide step": func(_ time.Time, id string) cluster.Job { return batch(id, tasks(100_000, 1000)) },
		"wide step that fits nowhere": func(_ time.Time, id string) cluster.Job {
			return batch(id, tasks(100_000, 20_000))
		},
		"wide steps that wait":   func(_ time.Time, id string) cluster.Job { return batch(id, chainOfSteps(20, 5000, 1000)...) },
		"gang that fits nowhere": func(_ time.Time, id string) cluster.Job { return batch(id, gang) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 4)
			r.upsertWorkers()
			before := heapInUse()
			for i := range jobs {
				r.shard.AddJob(r.now, newJob(r.now, fmt.Sprintf("j%d", i)), nil, false)
			}
			for range 5 {
				r.runFor(300 * time.Millisecond)
				r.endAllRuns(cluster.OutcomeDone)
			}
			if used := heapInUse() - before; used > jobs*maxBytesPerJob {
				t.Errorf("%d jobs take %d bytes, at most %d are allowed", jobs, used, jobs*maxBytesPerJob)
			}
			runtime.KeepAlive(r)
		})
	}
}

// TestRepeatsRunOnce guards against repeats that never run or run twice, since their state is made
// when they are due and released when they have ended, also by the next owner. They end in any order.
func TestRepeatsRunOnce(t *testing.T) {
	const repeats = 3000
	r := newRig(t, 10)
	r.upsertWorkers()
	j := periodic("j", r.now, repeats, 10*time.Millisecond, chainOfSteps(2, 1, 100)...)
	r.shard.AddJob(r.now, j, nil, false)
	rows, done := make(map[string]scheduler.Record), make(map[cluster.TaskID]int)
	for i := range 2000 {
		r.runFor(100 * time.Millisecond)
		for task := range r.running() {
			if due := time.UnixMilli(j.StartMS + int64(task.Repeat)*j.IntervalMS); r.now.Before(due) {
				t.Fatalf("%v runs %v before it is due", task, due.Sub(r.now))
			}
		}
		for _, id := range r.workerIDs() {
			for _, s := range slices.Clone(r.workers[id].running) {
				if (s.Task.Repeat+i)%3 > 0 {
					r.endRun(id, s.Task, s.Run, cluster.OutcomeDone)
					done[s.Task]++
				}
			}
		}
		r.persist(rows)
		if i%50 == 49 {
			r.takeOver()
			r.upsertWorkers()
			r.loadJob(j, rows)
		}
		if state, _ := r.shard.Job("j"); state.Finished() {
			break
		}
	}
	r.wantState(cluster.StateSucceeded)
	for task, n := range done {
		if n != 1 {
			t.Errorf("%v has ended as done %d times, want once", task, n)
		}
	}
	if len(done) != 2*repeats {
		t.Errorf("%d tasks are done, want %d", len(done), 2*repeats)
	}
	if size := len(rows["j"].Value); size > 1000 {
		t.Errorf("the last row has %d bytes", size)
	}
}

// TestWideStepRunsOnce is TestRepeatsRunOnce for the tasks of one step, some of which fail once and
// which end in any order.
func TestWideStepRunsOnce(t *testing.T) {
	const count = 6000
	r := newRig(t, 20)
	r.upsertWorkers()
	j := batch("j", tasks(count, 20))
	r.shard.AddJob(r.now, j, nil, false)
	rows, done, failed := make(map[string]scheduler.Record), make(map[cluster.TaskID]int), make(map[cluster.TaskID]bool)
	for i := range 400 {
		r.runFor(100 * time.Millisecond)
		for _, id := range r.workerIDs() {
			for _, s := range slices.Clone(r.workers[id].running) {
				switch {
				case s.Task.Index%7 == 0 && !failed[s.Task]:
					r.endRun(id, s.Task, s.Run, cluster.OutcomeFailed)
					failed[s.Task] = true
				case (s.Task.Index+i)%3 > 0:
					r.endRun(id, s.Task, s.Run, cluster.OutcomeDone)
					done[s.Task]++
				}
			}
		}
		r.persist(rows)
		if i%10 == 9 {
			r.takeOver()
			r.upsertWorkers()
			r.loadJob(j, rows)
		}
		if state, _ := r.shard.Job("j"); state.Finished() {
			break
		}
	}
	r.wantState(cluster.StateSucceeded)
	for task, n := range done {
		if n != 1 {
			t.Errorf("%v has ended as done %d times, want once", task, n)
		}
	}
	if len(done) != count {
		t.Errorf("%d tasks are done, want %d", len(done), count)
	}
}

// TestWideGangEndsAsOne guards against a gang of which only some members count as done, since the others
// had no state yet when a new owner learned of the end of one, which stands for all.
func TestWideGangEndsAsOne(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	gang := tasks(2000, 1)
	gang.Gang, gang.Need.MemoryMB = true, 1
	r.shard.AddJob(r.now, batch("j", gang), nil, true)
	f := r.workers["w0"]
	f.lastEnd++
	f.ended = append(f.ended, cluster.RunEnd{N: f.lastEnd, Task: cluster.TaskID{Job: "j", Index: 3}, Run: 7, Outcome: cluster.OutcomeDone})
	r.runFor(300 * time.Millisecond)
	r.persist(make(map[string]scheduler.Record))
	r.wantState(cluster.StateSucceeded)
}

// TestLateRunOfEndedRepeatIsStopped guards against a worker that is kept from other work by a run of a
// repeat whose state was released: the run is stopped and the worker goes on.
func TestLateRunOfEndedRepeatIsStopped(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	r.shard.AddJob(r.now, periodic("j", r.now, 100, time.Second, tasks(1, 4000)), nil, false)
	r.runFor(300 * time.Millisecond)
	late := r.workers["w0"].running[0]
	r.endAllRuns(cluster.OutcomeDone)
	r.runFor(500 * time.Millisecond)
	r.workers["w0"].running = append(r.workers["w0"].running, cluster.RunStatus{Task: late.Task, Run: late.Run + 1})
	r.runFor(300 * time.Millisecond)
	if n := r.running()[late.Task]; n > 0 {
		t.Errorf("%d runs of the ended task %v go on", n, late.Task)
	}
	r.runFor(time.Second)
	if n := len(r.workers["w0"].running); n != 1 {
		t.Errorf("%d runs on the worker, want that of the next repeat", n)
	}
}

// BenchmarkAddPeriodicJob measures the time and the bytes for which a job is added, by its repeats.
func BenchmarkAddPeriodicJob(b *testing.B) {
	for _, repeats := range []int{1, 100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("repeats=%d", repeats), func(b *testing.B) {
			now := time.Unix(1_000, 0)
			s := scheduler.New(scheduler.Params{Epoch: 1, Lease: testLease}, now, zap.NewNop())
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				s.AddJob(now, periodic(fmt.Sprintf("j%08d", n), now.Add(time.Minute), repeats, time.Minute, tasks(1, 1000)), nil, false)
				if n%100 == 0 {
					s = scheduler.New(scheduler.Params{Epoch: 1, Lease: testLease}, now, zap.NewNop())
				}
			}
		})
	}
}
