// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// recoveryTime is how long the effects of a fault may last: a lease, and the restart of the
	// tasks that ran under it.
	recoveryTime = 12 * time.Second
	// observedTime is how long the long-running tasks are observed, under load and without a fault.
	observedTime = 18 * time.Second
)

// longRunningJobs returns the long-running jobs that are submitted beside the load: one whose tasks
// never fail, so that no worker becomes idle, and others whose tasks fail by themselves, one of
// them in the queue that needs tickets.
func longRunningJobs() []longRunningJob {
	const perTask = 500
	step := func(n, maxPerWorker int) stepBody {
		return stepBody{Count: n, CPU: perTask, MemoryMB: 100, LongRunning: true, MaxPerWorker: maxPerWorker}
	}
	return []longRunningJob{
		{"batch", "100 lasting cpu=500", step(6, 1)},
		{"batch", "100 lasting cpu=500 fails_after=3000", step(3, 0)},
		{"batch", "100 lasting cpu=500 fails_after=2000", step(2, 1)},
		{"urgent", "100 lasting cpu=500 fails_after=4000", step(2, 1)},
	}
}

type longRunningJob struct {
	queue, spec string
	step        stepBody
}

// longRunningFault is a fault that affects what an owner knows about its workers, or that replaces
// the owner, with the environment in which it is injected.
type longRunningFault struct {
	fault
	layout string
	build  func(*testing.T) *testEnv
}

// longRunningFaults returns a small selection, since each takes a minute of virtual time under
// load.
func longRunningFaults() []longRunningFault {
	byName := make(map[string]fault)
	for _, f := range append(faults(), fault{"all workers fail everything", failAllWorkers}) {
		byName[f.name] = f
	}
	one := func(name string) longRunningFault { return longRunningFault{byName[name], "one shard", newEnv} }
	two := func(name string) longRunningFault { return longRunningFault{byName[name], "two shards", newShardedEnv} }
	return []longRunningFault{
		one("all workers fail everything"), one("owner killed"), two("all workers fail everything"),
		two("owner partitioned from half of the workers"), two("worker's tasks hang"), two("another program corrupts entries"),
	}
}

// failAllWorkers makes every task that isn't long-running fail on all workers.
func failAllWorkers(env *testEnv) func() {
	set := func(f site.WorkerFaults) {
		for i := range env.workers {
			env.worker(i).SetFaults(f)
		}
	}
	set(site.WorkerFaults{FailAll: true})
	return func() { set(site.WorkerFaults{}) }
}

// TestLongRunningTasksRestartAfterFaults runs long-running tasks that fail by themselves, some
// every few seconds, under load and beside others that never fail. After a fault each must be
// restarted in time.
//
// It guards against workers that stay quarantined: a worker on which runs of two jobs had failed
// was quarantined for as long as a long-running task ran there.
func TestLongRunningTasksRestartAfterFaults(t *testing.T) {
	for _, f := range longRunningFaults() {
		t.Run(f.layout+"/"+f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLongRunning(t, f.build(t), f.fault) })
		})
	}
}

// testLongRunning runs the load with a fault, and checks the long-running tasks in the time after
// it.
func testLongRunning(t *testing.T, env *testEnv, f fault) {
	defer env.close()
	time.Sleep(2 * time.Second)
	var expected []site.LongRunningJob
	for _, j := range longRunningJobs() {
		expected = append(expected, site.LongRunningJob{Job: env.submit(j.queue, j.spec, j.step), Tasks: j.step.Count})
	}
	var wg sync.WaitGroup
	wg.Go(func() { env.load(faultStart + faultDuration + recoveryTime + observedTime) })
	env.injectFault(f, faultStart)
	time.Sleep(recoveryTime)
	from := time.Now()
	time.Sleep(observedTime)
	for i := range expected {
		expected[i].From, expected[i].Until = from, time.Now()
	}
	wg.Wait()
	for _, violation := range env.site.Violations(site.Expectations{Refused: env.refused, CancelledAt: env.cancelled, DrainedAt: env.site.DrainedAt(), LongRunning: expected}) {
		t.Error(violation)
	}
}
