// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// The specs of the jobs of the load. A spec repeats a task's CPU request, so that workers can check
// it.
const (
	urgentSpec      = "400 cpu=500"
	batchSpec       = "1500 cpu=1000"
	longRunningSpec = "100 lasting cpu=500"
)

func urgentSteps() []stepBody {
	return []stepBody{{Count: 2, CPU: 500, MemoryMB: 100, EstimateMS: 400}, {Count: 2, CPU: 500, MemoryMB: 100, EstimateMS: 400, DependsOn: []int{0}}}
}

// load submits jobs for a time: urgent ones, batch jobs, gangs, a long-running one, and some that
// are cancelled.
func (env *testEnv) load(d time.Duration) {
	var wg sync.WaitGroup
	longRunning := env.submit("batch", longRunningSpec, stepBody{Count: 2, CPU: 500, MemoryMB: 100, LongRunning: true})
	env.mu.Lock()
	env.longRunning = longRunning
	env.mu.Unlock()
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		wg.Go(func() { env.submit("urgent", urgentSpec, urgentSteps()...) })
		if i%6 == 1 {
			wg.Go(func() {
				env.submit("batch", batchSpec, stepBody{Count: 3, CPU: 1000, MemoryMB: 500, EstimateMS: 1500, Checkpoints: true})
			})
		}
		if i%12 == 3 {
			wg.Go(func() {
				env.submit("batch", batchSpec, stepBody{Count: 3, CPU: 1000, MemoryMB: 500, EstimateMS: 1500, Gang: true})
			})
		}
		if i%10 == 5 {
			wg.Go(env.submitAndCancel)
		}
		time.Sleep(400 * time.Millisecond)
	}
	wg.Wait()
}

func (env *testEnv) submitAndCancel() {
	id := env.submit("batch", "60000 cpu=1000", stepBody{Count: 1, CPU: 1000, MemoryMB: 500, EstimateMS: 60_000})
	time.Sleep(time.Second)
	env.endStallCheck(id)
	for range 20 {
		for _, n := range env.nodeNames() {
			status, _ := env.call(n, http.MethodDelete, "/batch/"+id, "")
			if status == http.StatusOK || status == http.StatusGone {
				env.mu.Lock()
				env.cancelled[id] = time.Now()
				env.mu.Unlock()
				return
			}
		}
		time.Sleep(time.Second)
	}
	env.t.Errorf("cancellation of %s was not accepted", id)
}

// startLoad waits until the nodes have started, starts the load for a duration, and returns once it
// has run for delay.
func (env *testEnv) startLoad(d, delay time.Duration) *sync.WaitGroup {
	time.Sleep(2 * time.Second)
	var load sync.WaitGroup
	load.Go(func() { env.load(d) })
	time.Sleep(delay)
	return &load
}

// checkJobsSettled waits until every accepted job is in its expected final state, and checks that
// only the two tasks of the load's long-running job still run, and that no job waits beside room.
func (env *testEnv) checkJobsSettled() {
	env.t.Helper()
	calmSince := time.Now()
	env.waitUntilSettled()
	env.checkNoStallsSince(calmSince.Add(site.CalmBeforeStall))
}

// waitUntilSettled is checkJobsSettled for a load above its team's limit, whose jobs may wait.
func (env *testEnv) waitUntilSettled() {
	env.t.Helper()
	unsettled := fmt.Errorf("not checked yet")
	for end := time.Now().Add(settleTimeout); unsettled != nil && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		unsettled = env.unsettledJob()
	}
	if unsettled != nil {
		env.t.Errorf("%s after the load: %v", settleTimeout, unsettled)
	}
	running := 0
	for _, k := range env.workers {
		running += k.RunningTasks()
	}
	if running != 2 {
		env.t.Errorf("%d tasks run at the end, want the 2 long-running ones", running)
	}
}

// unsettledJob returns an error that describes the first job which is not in its expected final
// state.
func (env *testEnv) unsettledJob() error {
	env.mu.Lock()
	accepted, crashing := append([]string(nil), env.accepted...), maps.Clone(env.crashing)
	env.mu.Unlock()
	for _, id := range accepted {
		want := "succeeded"
		if crashing[id] {
			want = "failed"
		}
		if _, ok := env.cancelled[id]; ok {
			want = "cancelled"
		}
		if id == env.longRunning {
			want = "running"
		}
		// The path of any queue of the service leads to the job.
		if got := env.state("batch", id); got != want {
			return fmt.Errorf("job %s is %q, want %q", id, got, want)
		}
	}
	return nil
}
