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
	// lastingSettles is how long after a fault its traces may last: a lease, and the start
	// of what ran under it.
	lastingSettles = 12 * time.Second
	// lastingCalm is the time that is judged, with load and no fault.
	lastingCalm = 18 * time.Second
)

// lastingJobs are the jobs that last beside the load: one whose tasks stay, so that the
// workers are never empty, and some whose tasks fail by themselves, one of a queue that
// needs tickets.
func lastingJobs() []lastingJob {
	const perTask = 500
	body := func(n, most int) stepBody {
		return stepBody{Count: n, CPU: perTask, MemoryMB: 100, Lasts: true, MostPerWorker: most}
	}
	return []lastingJob{
		{"batch", "100 lasting cpu=500", body(6, 1)},
		{"batch", "100 lasting cpu=500 fails_after=3000", body(3, 0)},
		{"batch", "100 lasting cpu=500 fails_after=2000", body(2, 1)},
		{"urgent", "100 lasting cpu=500 fails_after=4000", body(2, 1)},
	}
}

type lastingJob struct {
	queue, spec string
	step        stepBody
}

// lastingFault is a fault that leaves traces in what an owner thinks of its workers, or
// that takes that from it, with the world in which it is played.
type lastingFault struct {
	fault
	in    string
	build func(*testing.T) *world
}

// lastingFaults are few: each is a minute of two shards or one under load.
func lastingFaults() []lastingFault {
	byName := make(map[string]fault)
	for _, f := range append(faults(), fault{"all workers fail everything", allFail}) {
		byName[f.name] = f
	}
	one := func(name string) lastingFault { return lastingFault{byName[name], "one shard", newWorld} }
	two := func(name string) lastingFault { return lastingFault{byName[name], "two shards", newShardedWorld} }
	return []lastingFault{
		one("all workers fail everything"), one("owner killed"), two("all workers fail everything"),
		two("owner cut from half of the workers"), two("worker's tasks stand still"), two("another writer spoils entries"),
	}
}

// allFail lets all workers fail all that ends.
func allFail(w *world) func() {
	set := func(f site.WorkerFaults) {
		for i := range w.workers {
			w.worker(i).SetFaults(f)
		}
	}
	set(site.WorkerFaults{FailAll: true})
	return func() { set(site.WorkerFaults{}) }
}

// TestTasksThatLastRunAgainAfterFaults lets tasks that last fail by themselves, some every
// few seconds, under load and beside others that stay at work. After a fault each is at
// work again in time.
//
// Workers on which runs of two jobs had failed were set aside, and stayed so as long as a
// task that lasts was at work there.
func TestTasksThatLastRunAgainAfterFaults(t *testing.T) {
	for _, f := range lastingFaults() {
		t.Run(f.in+"/"+f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLasting(t, f.build(t), f.fault) })
		})
	}
}

// playLasting plays load with a fault and judges the calm time after it.
func playLasting(t *testing.T, w *world, f fault) {
	defer w.close()
	time.Sleep(2 * time.Second)
	var claims []site.LongRunningJob
	for _, j := range lastingJobs() {
		claims = append(claims, site.LongRunningJob{Job: w.submit(j.queue, j.spec, j.step), Tasks: j.step.Count})
	}
	var wg sync.WaitGroup
	wg.Go(func() { w.load(faultAt + outage + lastingSettles + lastingCalm) })
	w.strike(f, faultAt)
	time.Sleep(lastingSettles)
	from := time.Now()
	time.Sleep(lastingCalm)
	for i := range claims {
		claims[i].From, claims[i].Until = from, time.Now()
	}
	wg.Wait()
	for _, wrong := range w.site.Violations(site.Expectations{Refused: w.refused, CancelledAt: w.cancelled, DrainedAt: w.site.DrainedAt(), LongRunning: claims}) {
		t.Error(wrong)
	}
}
