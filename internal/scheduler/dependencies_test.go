// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// dense returns n steps, each of which depends on all earlier ones.
func dense(n int) []cluster.Step {
	steps := []cluster.Step{tasks(60, 4000)}
	for i := 1; i < n; i++ {
		st := tasks(1, 1000)
		for k := range i {
			st.After = append(st.After, k)
		}
		steps = append(steps, st)
	}
	return steps
}

// layered returns layers of steps, each of which depends on all steps of the layer before.
func layered(layers, width int) []cluster.Step {
	var steps []cluster.Step
	for l := range layers {
		for range width {
			st := tasks(10, 4000)
			for k := (l - 1) * width; l > 0 && k < l*width; k++ {
				st.After = append(st.After, k)
			}
			steps = append(steps, st)
		}
	}
	return steps
}

// chainOf returns n steps, each of which depends on the one before.
func chainOf(n int) []cluster.Step {
	steps := []cluster.Step{tasks(60, 4000)}
	for i := 1; i < n; i++ {
		st := tasks(1, 1000)
		st.After = []int{i - 1}
		steps = append(steps, st)
	}
	return steps
}

// gangs returns the steps with every other one as a gang.
func gangs(steps []cluster.Step) []cluster.Step {
	for i := 1; i < len(steps); i += 2 {
		steps[i].Gang = true
	}
	return steps
}

// maxDecisionTime is far more than the decisions of the tests below take on a busy machine, and
// far less than a walk over every path of their jobs would.
const maxDecisionTime = 60 * time.Second

// TestManyDependenciesStallOwner guards against an owner that stands still: the number of paths
// through a job's steps grows exponentially with its steps, and a walk over each of them for a
// step that finds no room kept the owner's lock until it was replaced, and its successors too.
func TestManyDependenciesStallOwner(t *testing.T) {
	for name, steps := range map[string][]cluster.Step{
		"dense": dense(300), "layered": layered(40, 8), "chain": chainOf(1000),
		"dense with gangs": gangs(dense(300)), "layered with gangs": gangs(layered(40, 8)),
	} {
		for _, repeats := range []int{0, 3} {
			t.Run(fmt.Sprintf("%s repeats=%d", name, repeats), func(t *testing.T) {
				done := make(chan struct{})
				go func() {
					defer close(done)
					runDependentSteps(t, steps, repeats)
				}()
				select {
				case <-done:
				case <-time.After(maxDecisionTime):
					t.Fatalf("ten seconds of decisions take longer than %v", maxDecisionTime)
				}
			})
		}
	}
}

// runDependentSteps plays 10 s of a shard that is too small for the job's first step, cancels
// the job and checks that another one then ends.
func runDependentSteps(t *testing.T, steps []cluster.Step, repeats int) {
	r := newRig(t, 4)
	r.upsertWorkers()
	j := batch("large", steps...)
	j.Repeats, j.StartMS, j.IntervalMS = repeats, r.now.UnixMilli(), 100
	r.shard.AddJob(r.now, j, nil, false)
	for range 10 {
		r.runFor(time.Second)
		r.endAllRuns(cluster.OutcomeDone)
	}
	r.shard.EndJob(r.now, "large", cluster.StateCancelled)
	r.shard.AddJob(r.now, batch("j", tasks(1, 1000)), nil, false)
	r.runFor(time.Second)
	r.endAllRuns(cluster.OutcomeDone)
	r.runFor(300 * time.Millisecond)
	r.persist(make(map[string]scheduler.Record))
	r.wantState(cluster.StateSucceeded)
}

// TestDependentStepsRunInOrder guards against a step that starts before another that it depends
// on is done: which dependencies are done is remembered, while they end in any order.
func TestDependentStepsRunInOrder(t *testing.T) {
	for name, steps := range map[string][]cluster.Step{"dense": dense(12), "layered": layered(4, 3), "chain": chainOf(12), "gangs": gangs(layered(4, 3))} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 12)
			r.upsertWorkers()
			r.shard.AddJob(r.now, batch("j", steps...), nil, false)
			left := make([]int, len(steps))
			for i, st := range steps {
				left[i] = st.Count
			}
			for range 200 {
				r.runFor(100 * time.Millisecond)
				for id := range r.running() {
					for _, k := range steps[id.Step].After {
						if left[k] > 0 {
							t.Fatalf("a task of step %d runs while step %d has %d tasks left", id.Step, k, left[k])
						}
					}
				}
				for id := range r.running() {
					if left[id.Step]--; left[id.Step] < 0 {
						t.Fatalf("a task of step %d runs again", id.Step)
					}
				}
				r.endAllRuns(cluster.OutcomeDone)
			}
			r.persist(make(map[string]scheduler.Record))
			r.wantState(cluster.StateSucceeded)
		})
	}
}
