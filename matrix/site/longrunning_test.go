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
	// recoveryTime is how long after a fault its traces may last: a lease, and the start
	// of what ran under it.
	recoveryTime = 12 * time.Second
	// observedTime is the time that is judged, with load and no fault.
	observedTime = 18 * time.Second
)

// longRunningJobs are the jobs that last beside the load: one whose tasks stay, so that the
// workers are never empty, and some whose tasks fail by themselves, one of a queue that
// needs tickets.
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

// longRunningFault is a fault that leaves traces in what an owner thinks of its workers, or
// that takes that from it, with the world in which it is played.
type longRunningFault struct {
	fault
	layout string
	build  func(*testing.T) *testEnv
}

// longRunningFaults are few: each is a minute of two shards or one under load.
func longRunningFaults() []longRunningFault {
	byName := make(map[string]fault)
	for _, f := range append(faults(), fault{"all workers fail everything", failAllWorkers}) {
		byName[f.name] = f
	}
	one := func(name string) longRunningFault { return longRunningFault{byName[name], "one shard", newEnv} }
	two := func(name string) longRunningFault { return longRunningFault{byName[name], "two shards", newShardedEnv} }
	return []longRunningFault{
		one("all workers fail everything"), one("owner killed"), two("all workers fail everything"),
		two("owner cut from half of the workers"), two("worker's tasks stand still"), two("another writer spoils entries"),
	}
}

// failAllWorkers lets all workers fail all that ends.
func failAllWorkers(w *testEnv) func() {
	set := func(f site.WorkerFaults) {
		for i := range w.workers {
			w.worker(i).SetFaults(f)
		}
	}
	set(site.WorkerFaults{FailAll: true})
	return func() { set(site.WorkerFaults{}) }
}

// TestLongRunningTasksRestartAfterFaults lets tasks that last fail by themselves, some every
// few seconds, under load and beside others that stay at work. After a fault each is at
// work again in time.
//
// Workers on which runs of two jobs had failed were set aside, and stayed so as long as a
// task that lasts was at work there.
func TestLongRunningTasksRestartAfterFaults(t *testing.T) {
	for _, f := range longRunningFaults() {
		t.Run(f.layout+"/"+f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLongRunning(t, f.build(t), f.fault) })
		})
	}
}

// testLongRunning plays load with a fault and judges the calm time after it.
func testLongRunning(t *testing.T, w *testEnv, f fault) {
	defer w.close()
	time.Sleep(2 * time.Second)
	var expected []site.LongRunningJob
	for _, j := range longRunningJobs() {
		expected = append(expected, site.LongRunningJob{Job: w.submit(j.queue, j.spec, j.step), Tasks: j.step.Count})
	}
	var wg sync.WaitGroup
	wg.Go(func() { w.load(faultStart + faultDuration + recoveryTime + observedTime) })
	w.injectFault(f, faultStart)
	time.Sleep(recoveryTime)
	from := time.Now()
	time.Sleep(observedTime)
	for i := range expected {
		expected[i].From, expected[i].Until = from, time.Now()
	}
	wg.Wait()
	for _, violation := range w.site.Violations(site.Expectations{Refused: w.refused, CancelledAt: w.cancelled, DrainedAt: w.site.DrainedAt(), LongRunning: expected}) {
		t.Error(violation)
	}
}
