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

	"switchbank.example/switchbank/standin/site"
)

// restartTime is how long a worker is down that a task has crashed.
const restartTime = 2500 * time.Millisecond

// restartCrashed restarts a worker that a task has crashed, under its old ID if it reports its start
// time.
func (env *testEnv) restartCrashed(old *site.Worker) {
	time.Sleep(restartTime)
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.closed {
		return
	}
	next := env.startReplacement(old, 0)
	if i := slices.Index(env.workers, old); i >= 0 {
		env.workers[i] = next
	}
}

// crashingSpec returns the spec of a job whose tasks crash their workers.
func crashingSpec(after time.Duration) string {
	return fmt.Sprintf("900 cpu=500 crashes_after=%d", after.Milliseconds())
}

// submitCrashing submits a job with tasks that crash their workers.
func (env *testEnv) submitCrashing(spec string, step stepBody) {
	id := env.submit("batch", spec, step)
	env.mu.Lock()
	env.crashing[id] = true
	env.mu.Unlock()
}

// crashLoad describes a run in which some jobs have tasks that crash their workers.
type crashLoad struct {
	name string
	// after is the time from the start of a task to the crash, sameID makes workers restart under
	// their IDs, and jobs is the number of plain jobs with two such tasks each.
	after  time.Duration
	sameID bool
	jobs   int
	// gang adds a gang, oneOfThree a job of which one task of three crashes its workers, and
	// longRunning a job of two long-running tasks.
	gang, oneOfThree, longRunning bool
	// disturb is repeated every five seconds while the load lasts; nil: nothing is.
	disturb func(env *testEnv)
}

func crashLoads() []crashLoad {
	return []crashLoad{
		{name: "two jobs", after: 5 * time.Millisecond, jobs: 2},
		{name: "same ID", after: 5 * time.Millisecond, jobs: 2, sameID: true},
		{name: "after 400 ms", after: 400 * time.Millisecond, jobs: 2},
		{name: "after 2 s", after: 2 * time.Second, longRunning: true},
		{name: "owner killed", after: 5 * time.Millisecond, jobs: 2, disturb: func(env *testEnv) { env.killOwner()() }},
		{name: "all nodes restarted", after: 100 * time.Millisecond, jobs: 2, disturb: func(env *testEnv) {
			for _, n := range env.killAll() {
				env.startNode(n + "x")
			}
		}},
		{name: "gang and plain job", after: 50 * time.Millisecond, jobs: 1, gang: true},
		{name: "one task of three", after: 5 * time.Millisecond, oneOfThree: true},
		{name: "long-running job", after: 50 * time.Millisecond, longRunning: true},
		{name: "six jobs", after: 50 * time.Millisecond, jobs: 6},
	}
}

const (
	// ordinaryJobs are submitted over crashLoadDuration beside those that crash workers.
	ordinaryJobs      = 80
	crashLoadDuration = 40 * time.Second
	// crashSettleTime is the time after the load within which every job must have ended.
	crashSettleTime = 20 * time.Second
)

// TestTaskCrashesWorkersWithoutEnd runs jobs whose tasks crash each worker that starts them, beside
// others that must all succeed. A task that was started without end took one worker after the other
// away from all jobs.
func TestTaskCrashesWorkersWithoutEnd(t *testing.T) {
	for _, l := range crashLoads() {
		t.Run(l.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testCrashLoad(t, l) })
		})
	}
}

func testCrashLoad(t *testing.T, l crashLoad) {
	env := newEnvWith(t, 0, workersPerShard, func(env *testEnv) { env.site.Configure(1, routes()...) })
	defer env.close()
	for i := range shardedWorkers {
		env.workers = append(env.workers, env.site.AddWorker(site.WorkerConfig{
			Rack: fmt.Sprintf("r1-%d", i/2), CPUMilli: workerCores, MemoryMB: 32000, ReportStartTime: l.sameID,
		}))
	}
	env.site.SetRejectOneIn(1 << 30)
	time.Sleep(4 * time.Second)
	var load sync.WaitGroup
	load.Go(func() { env.submitOrdinaryJobs() })
	load.Go(func() {
		time.Sleep(3 * time.Second)
		env.submitCrashLoad(l)
	})
	if l.disturb != nil {
		const disturbInterval = 5 * time.Second
		load.Go(func() {
			for range crashLoadDuration / disturbInterval {
				time.Sleep(disturbInterval)
				l.disturb(env)
			}
		})
	}
	load.Wait()
	env.waitAndRecordSuccesses(crashSettleTime)
	env.checkJobsSucceeded()
	env.checkNoViolations()
}

// submitOrdinaryJobs submits jobs over crashLoadDuration, each of three short tasks, and waits for
// the answers.
func (env *testEnv) submitOrdinaryJobs() {
	var calls sync.WaitGroup
	for range ordinaryJobs {
		calls.Go(func() {
			env.submit("batch", "900 cpu=500", stepBody{Count: 3, CPU: 500, MemoryMB: 10, EstimateMS: 900})
		})
		time.Sleep(crashLoadDuration / ordinaryJobs)
	}
	calls.Wait()
}

// submitCrashLoad submits the jobs whose tasks crash their workers.
func (env *testEnv) submitCrashLoad(l crashLoad) {
	spec, step := crashingSpec(l.after), stepBody{Count: 2, CPU: 500, MemoryMB: 10, EstimateMS: 900}
	for range l.jobs {
		env.submitCrashing(spec, step)
	}
	if l.oneOfThree {
		step.Count = 3
		env.submitCrashing(spec+" crashing=0", step)
	}
	if l.gang {
		step.Count, step.Gang = 2, true
		env.submitCrashing(spec+" gang=0:2", step)
	}
	if l.longRunning {
		env.submitCrashing(strings.Replace(spec, "900", "900 lasting", 1), stepBody{Count: 2, CPU: 500, MemoryMB: 10, EstimateMS: 900, LongRunning: true})
	}
}
