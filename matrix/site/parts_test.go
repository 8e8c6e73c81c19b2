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
func (env *testEnv) progressParts() []string {
	var parts []string
	for i := range len(env.workers) / env.workersPerShard {
		parts = append(parts, owner.ProgressPart(cluster.ShardID{Service: service, Index: i}))
	}
	return parts
}

// TestProgressPartUnavailable makes the parts that hold the shards' progress unavailable. Jobs must
// go on, and their ends must be reported, since progress is written to fallback rows in other parts
// meanwhile.
func TestProgressPartUnavailable(t *testing.T) {
	runInEnvs(t, testProgressPartUnavailable)
}

func testProgressPartUnavailable(t *testing.T, env *testEnv) {
	defer env.close()
	load := env.startLoad(2*unavailableFor, unavailableFor/2)
	env.site.Store.SetUnavailableParts(env.progressParts()...)
	var jobs sync.WaitGroup
	for i, node := range env.nodeNames() {
		jobs.Go(func() { env.checkJobServed(node, fmt.Sprintf("%016x", 0xb000+i)) })
	}
	time.Sleep(unavailableFor)
	jobs.Wait()
	env.site.Store.SetUnavailableParts()
	load.Wait()
	env.checkJobsSettled()
	if left := env.site.Store.Keys("spill"); len(left) > 0 {
		t.Errorf("%d fallback rows are left, such as %s", len(left), left[0])
	}
	env.checkNoViolations()
}

// TestFallbackRowsOutliveOwner kills the owner while progress is in fallback rows. The next owner
// must continue from them, and jobs that were reported as ended must stay ended.
func TestFallbackRowsOutliveOwner(t *testing.T) {
	runInEnvs(t, testOwnerLostWithFallbackRows)
}

func testOwnerLostWithFallbackRows(t *testing.T, env *testEnv) {
	defer env.close()
	load := env.startLoad(3*unavailableFor, unavailableFor/2)
	env.site.Store.SetUnavailableParts(env.progressParts()...)
	time.Sleep(unavailableFor)
	ended := env.endedJobs()
	restart := env.killOwner()
	env.site.Store.SetUnavailableParts()
	for range 10 {
		env.checkStillEnded(ended)
		time.Sleep(unavailableFor / 20)
	}
	restart()
	load.Wait()
	env.checkJobsSettled()
	env.checkStillEnded(ended)
	env.checkNoViolations()
}

// endedJob is a job that was reported as ended, and how often its tasks had been started by then.
type endedJob struct {
	id, state string
	starts    int
}

// endedJobs returns the jobs that are reported as ended.
func (env *testEnv) endedJobs() []endedJob {
	env.mu.Lock()
	accepted := slices.Clone(env.accepted)
	env.mu.Unlock()
	var ended []endedJob
	for _, id := range accepted {
		if state := env.state("batch", id); state == "succeeded" || state == "cancelled" {
			n, _ := env.starts(id)
			ended = append(ended, endedJob{id, state, n})
		}
	}
	return ended
}

// checkStillEnded checks that jobs are reported in the same state as before, if a node responds,
// and that none of their tasks was started again.
func (env *testEnv) checkStillEnded(jobs []endedJob) {
	env.t.Helper()
	for _, j := range jobs {
		if got := env.state("batch", j.id); got != j.state && got != "no answer" {
			env.t.Errorf("job %s was %s and is %q after the takeover", j.id, j.state, got)
		}
		if n, _ := env.starts(j.id); n != j.starts {
			env.t.Errorf("job %s was %s, and its tasks were started %d times after that", j.id, j.state, n-j.starts)
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

func testTakeoverWithUnavailableParts(t *testing.T, env *testEnv, kill func(*testEnv) func()) {
	defer env.close()
	time.Sleep(2 * time.Second)
	var load sync.WaitGroup
	load.Go(func() { env.load(4 * unavailableFor) })
	unavailable := everyThirdJobPart()
	chain := jobIDsWhere(func(part string) bool { return slices.Contains(unavailable, part) }, 1)[0]
	env.submitChain(chain)
	time.Sleep(unavailableFor / 2)
	unavailable = append(unavailable, owner.JobPart(env.longRunningJobID()))
	env.site.Store.SetUnavailableParts(unavailable...)
	restart := kill(env)
	time.Sleep(unavailableFor / 3)
	var jobs sync.WaitGroup
	readable := func(part string) bool { return !slices.Contains(unavailable, part) }
	for i, id := range jobIDsWhere(readable, len(env.nodeNames())) {
		jobs.Go(func() { env.checkJobServed(env.nodeNames()[i], id) })
	}
	time.Sleep(unavailableFor)
	jobs.Wait()
	env.site.Store.SetUnavailableParts()
	restart()
	load.Wait()
	env.checkJobsSettled()
	if n, _ := env.starts(env.longRunning); n != 2 {
		t.Errorf("the long-running job's tasks were started %d times, want 2", n)
	}
	if n := env.successes(chain); n != chainSteps {
		t.Errorf("tasks of a job of %d steps in sequence succeeded %d times", chainSteps, n)
	}
	env.checkNoViolations()
}

const (
	// chainSteps is the number of steps, of chainStepMS milliseconds each, of a job that goes on
	// running while its part of the store is unavailable.
	chainSteps  = 8
	chainStepMS = 1200
)

// submitChain submits a job whose steps depend on each other in sequence.
func (env *testEnv) submitChain(id string) {
	steps := make([]stepBody, chainSteps)
	for i := range steps {
		steps[i] = stepBody{Count: 1, CPU: 500, MemoryMB: 100, EstimateMS: chainStepMS}
		if i > 0 {
			steps[i].DependsOn = []int{i - 1}
		}
	}
	env.submitTo(env.nodeNames()[0], "batch", id, fmt.Sprintf("%d cpu=500", chainStepMS), steps...)
	env.mu.Lock()
	env.accepted = append(env.accepted, id)
	env.mu.Unlock()
}

// successes returns how often tasks of a job succeeded.
func (env *testEnv) successes(job string) int {
	n := 0
	for _, e := range env.site.Events() {
		if e.Kind == site.EventSuccess && strings.HasPrefix(e.Task, job) {
			n++
		}
	}
	return n
}

// longRunningJobID returns the long-running job that the load has submitted.
func (env *testEnv) longRunningJobID() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.longRunning
}

// restartAll kills all nodes and starts replacements.
func (env *testEnv) restartAll() func() {
	for _, n := range env.nodeNames() {
		env.kill(n)
		env.startNode(n + "x")
	}
	return func() {}
}

// jobIDsWhere returns n IDs of jobs whose parts of the store match.
func jobIDsWhere(match func(part string) bool, n int) []string {
	var ids []string
	for i := 0xc000; len(ids) < n; i++ {
		if id := fmt.Sprintf("%016x", i); match(owner.JobPart(id)) {
			ids = append(ids, id)
		}
	}
	return ids
}
