// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/standin/site"
)

// unavailableFor is how long parts of the store don't respond.
const unavailableFor = 6 * time.Second

// progressParts returns the store's parts that hold the progress of the shards.
func (w *testEnv) progressParts() []string {
	var parts []string
	for i := range len(w.workers) / w.workersPerShard {
		parts = append(parts, owner.ProgressPart(cluster.ShardID{Service: service, Index: i}))
	}
	return parts
}

// TestProgressPartUnavailable makes the parts that hold the shards' progress unavailable. Jobs must
// go on, and their ends must be reported, since progress is spilled to other parts meanwhile.
func TestProgressPartUnavailable(t *testing.T) {
	runInEnvs(t, testProgressPartUnavailable)
}

func testProgressPartUnavailable(t *testing.T, w *testEnv) {
	defer w.close()
	load := w.startLoad(2*unavailableFor, unavailableFor/2)
	w.site.Store.SetUnavailableParts(w.progressParts()...)
	var jobs sync.WaitGroup
	for i, node := range w.nodeNames() {
		jobs.Go(func() { w.checkJobServed(node, fmt.Sprintf("%016x", 0xb000+i)) })
	}
	time.Sleep(unavailableFor)
	jobs.Wait()
	w.site.Store.SetUnavailableParts()
	load.Wait()
	w.checkJobsSettled()
	if left := w.site.Store.Keys("spill"); len(left) > 0 {
		t.Errorf("%d rows of spilled progress are left, such as %s", len(left), left[0])
	}
	w.checkNoViolations()
}

// TestSpilledProgressOutlivesOwner kills the owner while progress is spilled. The next owner must
// continue from the spilled progress, and jobs that were reported as ended must stay ended.
func TestSpilledProgressOutlivesOwner(t *testing.T) {
	runInEnvs(t, testOwnerLostWhileSpilling)
}

func testOwnerLostWhileSpilling(t *testing.T, w *testEnv) {
	defer w.close()
	load := w.startLoad(3*unavailableFor, unavailableFor/2)
	w.site.Store.SetUnavailableParts(w.progressParts()...)
	time.Sleep(unavailableFor)
	ended := w.endedJobs()
	restart := w.killOwner()
	w.site.Store.SetUnavailableParts()
	for range 10 {
		w.checkStillEnded(ended)
		time.Sleep(unavailableFor / 20)
	}
	restart()
	load.Wait()
	w.checkJobsSettled()
	w.checkStillEnded(ended)
	w.checkNoViolations()
}

// endedJob is a job that was reported as ended, and how often its tasks had been started by then.
type endedJob struct {
	id, state string
	starts    int
}

// endedJobs returns the jobs that are reported as ended.
func (w *testEnv) endedJobs() []endedJob {
	w.mu.Lock()
	accepted := slices.Clone(w.accepted)
	w.mu.Unlock()
	var ended []endedJob
	for _, id := range accepted {
		if state := w.state("batch", id); state == "succeeded" || state == "cancelled" {
			n, _ := w.starts(id)
			ended = append(ended, endedJob{id, state, n})
		}
	}
	return ended
}

// checkStillEnded checks that jobs are reported in the same state as before, if a node responds,
// and that none of their tasks was started again.
func (w *testEnv) checkStillEnded(jobs []endedJob) {
	w.t.Helper()
	for _, j := range jobs {
		if got := w.state("batch", j.id); got != j.state && got != "no answer" {
			w.t.Errorf("job %s was %s and is %q after the takeover", j.id, j.state, got)
		}
		if n, _ := w.starts(j.id); n != j.starts {
			w.t.Errorf("job %s was %s, and its tasks were started %d times after that", j.id, j.state, n-j.starts)
		}
	}
}

// TestTakeoverWithUnavailableParts kills the owner, or all nodes, while some of the store's parts
// are unavailable. The next owner must continue with the jobs that it can read, and must not touch
// running tasks of the jobs that it can't read.
func TestTakeoverWithUnavailableParts(t *testing.T) {
	for name, build := range envBuilders {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testTakeoverWithUnavailableParts(t, build(t), (*testEnv).killOwner) })
		})
		t.Run(name+", all nodes lost", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testTakeoverWithUnavailableParts(t, build(t), (*testEnv).restartAll) })
		})
	}
}

func testTakeoverWithUnavailableParts(t *testing.T, w *testEnv, kill func(*testEnv) func()) {
	defer w.close()
	time.Sleep(2 * time.Second)
	var load sync.WaitGroup
	load.Go(func() { w.load(4 * unavailableFor) })
	unavailable := everyThirdJobPart()
	chain := jobIDsWhere(func(part string) bool { return slices.Contains(unavailable, part) }, 1)[0]
	w.submitChain(chain)
	time.Sleep(unavailableFor / 2)
	unavailable = append(unavailable, owner.JobPart(service, w.longRunningJobID()))
	w.site.Store.SetUnavailableParts(unavailable...)
	restart := kill(w)
	time.Sleep(unavailableFor / 3)
	var jobs sync.WaitGroup
	readable := func(part string) bool { return !slices.Contains(unavailable, part) }
	for i, id := range jobIDsWhere(readable, len(w.nodeNames())) {
		jobs.Go(func() { w.checkJobServed(w.nodeNames()[i], id) })
	}
	time.Sleep(unavailableFor)
	jobs.Wait()
	w.site.Store.SetUnavailableParts()
	restart()
	load.Wait()
	w.checkJobsSettled()
	if n, _ := w.starts(w.longRunning); n != 2 {
		t.Errorf("the long-running job's tasks were started %d times, want 2", n)
	}
	if n := w.successes(chain); n != chainSteps {
		t.Errorf("tasks of a job of %d steps in sequence succeeded %d times", chainSteps, n)
	}
	w.checkNoViolations()
}

const (
	// chainSteps is the number of steps, of chainStepMS milliseconds each, of a job that goes on
	// running while its part of the store is unavailable.
	chainSteps  = 8
	chainStepMS = 1200
)

// submitChain submits a job whose steps depend on each other in sequence.
func (w *testEnv) submitChain(id string) {
	steps := make([]stepBody, chainSteps)
	for i := range steps {
		steps[i] = stepBody{Count: 1, CPU: 500, MemoryMB: 100, EstimateMS: chainStepMS}
		if i > 0 {
			steps[i].DependsOn = []int{i - 1}
		}
	}
	w.submitTo(w.nodeNames()[0], "batch", id, fmt.Sprintf("%d cpu=500", chainStepMS), steps...)
	w.mu.Lock()
	w.accepted = append(w.accepted, id)
	w.mu.Unlock()
}

// successes returns how often tasks of a job succeeded.
func (w *testEnv) successes(job string) int {
	n := 0
	for _, e := range w.site.Events() {
		if e.Kind == site.EventSuccess && strings.HasPrefix(e.Task, job) {
			n++
		}
	}
	return n
}

// longRunningJobID returns the long-running job that the load has submitted.
func (w *testEnv) longRunningJobID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longRunning
}

// restartAll kills all nodes and starts replacements.
func (w *testEnv) restartAll() func() {
	for _, n := range w.nodeNames() {
		w.kill(n)
		w.startNode(n + "x")
	}
	return func() {}
}

// jobIDsWhere returns n IDs of jobs whose parts of the store match.
func jobIDsWhere(match func(part string) bool, n int) []string {
	var ids []string
	for i := 0xc000; len(ids) < n; i++ {
		if id := fmt.Sprintf("%016x", i); match(owner.JobPart(service, id)) {
			ids = append(ids, id)
		}
	}
	return ids
}
