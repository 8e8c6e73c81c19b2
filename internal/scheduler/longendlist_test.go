// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/scheduler"
)

// manyEnds is a shard whose owner is lost while workers have more ends than they list at once.
type manyEnds struct {
	*rig
	specs map[string]cluster.Job
	rows  map[string]scheduler.Record
}

// newManyEnds runs jobs of tiny tasks, of which all end while the shard has no owner.
func newManyEnds(t *testing.T, workers, jobs, tasksPerJob int) *manyEnds {
	m := &manyEnds{newRig(t, workers), make(map[string]cluster.Job), make(map[string]scheduler.Record)}
	m.upsertWorkers()
	for i := range jobs {
		j := batch(fmt.Sprintf("j%02d", i), tasks(tasksPerJob, 1))
		j.Steps[0].Need.MemoryMB = 1
		m.specs[j.ID] = j
		m.shard.AddJob(m.now, j, nil, false)
	}
	m.runFor(300 * time.Millisecond)
	if n := len(m.running()); n != jobs*tasksPerJob {
		t.Fatalf("%d tasks run, want %d", n, jobs*tasksPerJob)
	}
	m.persist(m.rows)
	m.endAllRuns(cluster.OutcomeDone)
	return m
}

// replaceOwner replaces the owner by one that has loaded the jobs and what was persisted of them.
func (m *manyEnds) replaceOwner() {
	m.takeOver()
	m.upsertWorkers()
	for _, j := range m.specs {
		m.loadJob(j, m.rows)
	}
}

// run advances the time and persists all changes, and reports the tasks that start.
func (m *manyEnds) run(d time.Duration) {
	m.t.Helper()
	for end := m.now.Add(d); m.now.Before(end); {
		m.runFor(100 * time.Millisecond)
		if n := len(m.running()); n > 0 {
			m.t.Fatalf("%d done tasks were started again", n)
		}
		m.persist(m.rows)
	}
}

// TestDoneTasksStartAgainAfterLongEndList guards against done tasks that run twice: a worker lists
// at most 500 ends at a time, and a new owner took the first list for the whole one.
func TestDoneTasksStartAgainAfterLongEndList(t *testing.T) {
	for name, play := range map[string]func(m *manyEnds){
		"all are read": func(m *manyEnds) { m.replaceOwner() },
		"a worker falls silent between two lists": func(m *manyEnds) {
			m.replaceOwner()
			m.run(200 * time.Millisecond)
			m.workers["w0"].silent = true
			m.run(testLease / 2)
			m.workers["w0"].silent = false
		},
		"the owner is replaced between two lists": func(m *manyEnds) {
			for range 3 {
				m.replaceOwner()
				m.run(100 * time.Millisecond)
			}
		},
		"jobs were cancelled": func(m *manyEnds) {
			m.replaceOwner()
			for i := range 5 {
				id := fmt.Sprintf("j%02d", 2*i)
				m.shard.EndJob(m.now, id, cluster.StateCancelled)
				delete(m.specs, id)
			}
		},
		"jobs are read late": func(m *manyEnds) {
			late := m.specs["j00"]
			delete(m.specs, "j00")
			m.replaceOwner()
			m.shard.SetUnreadFunc(func(id string) bool { return id == "j00" })
			m.run(2 * time.Second)
			m.shard.SetUnreadFunc(nil)
			m.shard.AddJob(m.now, late, nil, true)
			m.shard.JobsRead(m.now)
			m.specs["j00"] = late
		},
	} {
		for _, workers := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d workers", name, workers), func(t *testing.T) {
				m := newManyEnds(t, workers, 10, 240)
				play(m)
				m.run(5 * time.Second)
				for id := range m.specs {
					if state, _ := m.shard.Job(id); state != cluster.StateSucceeded {
						t.Errorf("job %s is %q, want succeeded", id, state)
					}
				}
				// The takeover has ended, and new work starts.
				m.shard.AddJob(m.now, batch("new", tasks(1, 1000)), nil, false)
				m.runFor(time.Second)
				if n := len(m.running()); n != 1 {
					t.Errorf("%d tasks of a new job run, want 1", n)
				}
			})
		}
	}
}

// TestLostTaskStartsAfterLongEndList guards against tasks that wait for good beside a long list: a
// task that neither runs nor has ended anywhere starts once all ends are read.
func TestLostTaskStartsAfterLongEndList(t *testing.T) {
	m := newManyEnds(t, 1, 10, 240)
	// The end of one task is lost, as if it had never started.
	f := m.workers["w0"]
	f.ended = f.ended[:len(f.ended)-1]
	m.replaceOwner()
	for range 8 {
		m.runFor(100 * time.Millisecond)
		m.persist(m.rows)
	}
	if n := len(m.running()); n != 1 {
		t.Errorf("%d tasks run, want the one that has not ended", n)
	}
}

// TestRunInDoubtStartsAgainAfterLongEndList guards against a task that runs twice because its start
// was not answered before the worker restarted: the next incarnation may have accepted it, and
// names it only after the ends that fit into its first list.
func TestRunInDoubtStartsAgainAfterLongEndList(t *testing.T) {
	r := newRig(t, 1)
	entry := func(started int64) cluster.Worker {
		return cluster.Worker{ID: "w0", Address: "w0", Service: "svc", Started: started, Capacity: resource.Amount{CPUMilli: 4000, MemoryMB: 8000}, ClockMS: r.now.UnixMilli()}
	}
	observe := func(started int64, ends []cluster.RunEnd) {
		r.now = r.now.Add(100 * time.Millisecond)
		seq, _, _, _ := r.shard.BeginHold(r.now, "w0")
		r.shard.Observe(r.now, "w0", seq, cluster.Report{ClockMS: r.now.UnixMilli(), Started: started, Ended: ends})
	}
	startsOf := func() []scheduler.Start { return commandsOf[scheduler.Start](r.shard.Schedule(r.now)) }
	r.shard.UpsertWorker(r.now, entry(1))
	observe(1, nil)
	r.shard.AddJob(r.now, batch("j", tasks(1, 500)), nil, false)
	starts := startsOf()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	r.shard.UpsertWorker(r.now, entry(2))
	observe(2, nil) // an answer of the next incarnation, which ends the first one
	var ends []cluster.RunEnd
	for n := range int64(listedEnds) {
		ends = append(ends, cluster.RunEnd{N: n + 1, Task: cluster.TaskID{Job: "old", Index: int(n)}, Run: 1, Outcome: cluster.OutcomeDone})
	}
	for range 3 {
		observe(2, ends)
		if n := len(startsOf()); n != 0 {
			t.Fatalf("the task was started again %d times although its end may not be listed yet", n)
		}
	}
	observe(2, []cluster.RunEnd{{N: listedEnds + 1, Task: starts[0].Task, Run: starts[0].Run, Outcome: cluster.OutcomeDone}})
	if n := len(startsOf()); n != 0 {
		t.Errorf("the done task was started again %d times", n)
	}
	r.persist(make(map[string]scheduler.Record))
	r.wantState(cluster.StateSucceeded)
}
