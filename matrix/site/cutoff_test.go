// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// cut is a partition that leaves some nodes and workers on one side, and all others, the store,
// the list of machines and the advice service on the other side.
type cut struct {
	nodes []string
	// workers are positions in testEnv.workers.
	workers []int
	// refuses is set if connections from the other side to the nodes are refused after some time.
	refuses      bool
	refusesAfter time.Duration
}

// entryLifetime is how long a worker's entry in the directory outlasts its last announcement.
const entryLifetime = 4500 * time.Millisecond

// begin starts a cut and returns a function that ends it. The directory drops the workers that
// are cut off for long.
func (c cut) begin(env *testEnv) (end func()) {
	inside := slices.Clone(c.nodes)
	outside := []string{storeHost, "machines", "advice"}
	for i := range env.workers {
		if slices.Contains(c.workers, i) {
			inside = append(inside, fmt.Sprintf("w%d", i))
		} else {
			outside = append(outside, fmt.Sprintf("w%d", i))
		}
	}
	for _, n := range env.nodeNames() {
		if !slices.Contains(c.nodes, n) {
			outside = append(outside, n)
		}
	}
	set := func(partitioned bool) {
		for _, a := range inside {
			for _, b := range outside {
				env.net.SetPartitioned(a, b, partitioned)
			}
		}
		for _, i := range c.workers {
			env.worker(i).SetAnnouncementsPaused(partitioned)
		}
	}
	refuse := func(refused bool) {
		for _, a := range c.nodes {
			for _, b := range outside {
				env.net.SetRefused(b, a, refused && c.refuses)
			}
		}
	}
	set(true)
	refusal := time.AfterFunc(c.refusesAfter, func() { refuse(true) })
	lapse := time.AfterFunc(entryLifetime, func() {
		for _, i := range c.workers {
			env.site.Store.Remove("servers", env.worker(i).ID)
		}
	})
	return func() {
		lapse.Stop()
		refusal.Stop()
		refuse(false)
		set(false)
	}
}

// hold keeps a cut up for some time, calls during at its begin, and goes on for some time after it.
func (c cut) hold(env *testEnv, lasts time.Duration, during func()) {
	end := c.begin(env)
	began := time.Now()
	during()
	time.Sleep(lasts - time.Since(began))
	end()
	time.Sleep(afterCut)
}

const (
	// settledOwnerAge is how long nodes run before a cut: an owner that is new is given more time
	// before it is replaced.
	settledOwnerAge = 12 * time.Second
	// cutWithinUncertainty is longer than a lease of a worker, and shorter than the time for which a
	// new owner waits for workers that it doesn't reach.
	cutWithinUncertainty = 9500 * time.Millisecond
	// cutShort is within every lease of an owner, and cutLong longer than all of them.
	cutShort = 12 * time.Second
	cutLong  = 45 * time.Second
	// afterCut is how long a test goes on after a cut.
	afterCut = 15 * time.Second
)

// The load of these tests: tasks that last, and a batch whose tasks take 11 s each.
const (
	lastingTasks = 8
	batchTasks   = 10
)

// newLoadedEnv returns an environment in which the tasks of the load run on all workers.
func newLoadedEnv(t *testing.T, build func(*testing.T) *testEnv) (env *testEnv, lasting string) {
	env = build(t)
	time.Sleep(2 * time.Second)
	lasting = env.submit("batch", "400 lasting cpu=800", stepBody{Count: lastingTasks, CPU: 800, MemoryMB: 10, EstimateMS: 400, LongRunning: true, MaxPerWorker: 2})
	time.Sleep(settledOwnerAge)
	env.submitBatch()
	time.Sleep(time.Second)
	if n := len(env.site.RunningRuns()); n != lastingTasks+batchTasks {
		t.Fatalf("%d tasks run before the cut, want %d", n, lastingTasks+batchTasks)
	}
	return env, lasting
}

// submitBatch submits the batch of the load.
func (env *testEnv) submitBatch() string {
	return env.submit("batch", "11000 cpu=700", stepBody{Count: batchTasks, CPU: 700, MemoryMB: 10, EstimateMS: 11_000})
}

// cutOffCase is a cut around the owner of the shard.
type cutOffCase struct {
	// nodes is how many nodes besides the owner are cut off, and workers how many workers.
	nodes, workers int
	// lasts is how long the cut lasts.
	lasts time.Duration
	// during is what else happens while the cut lasts; nil: nothing.
	during func(env *testEnv, owner string)
	// before is what happens just before the cut; nil: nothing.
	before func(env *testEnv, owner string)
	// refuses and refusesAfter are as in cut.
	refuses      bool
	refusesAfter time.Duration
}

// TestReplacedOwnerStartsRunsAgain guards against an owner that has been replaced without learning
// of it and starts again what the next owner keeps running: it took the leases that it no longer
// renews for expired. The cut ends before the next owner does anything about the workers that it
// doesn't reach.
func TestReplacedOwnerStartsRunsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { testCutOff(t, newEnv, cutOffCase{workers: 2, lasts: cutWithinUncertainty}) })
}

// cutOffCases returns the cuts of TestOwnerCutOffWithWorkers.
func cutOffCases() map[string]cutOffCase {
	return map[string]cutOffCase{
		"a third of the workers":                         {workers: 2, lasts: cutShort},
		"a third of the workers, for long":               {workers: 2, lasts: cutLong},
		"most workers":                                   {workers: 4, lasts: cutShort},
		"most workers, for long":                         {workers: 4, lasts: cutLong},
		"no workers, for long":                           {workers: 0, lasts: cutLong},
		"all workers, for long":                          {workers: cellWorkers, lasts: cutLong},
		"two nodes and a third of the workers":           {nodes: 1, workers: 2, lasts: cutShort},
		"two nodes and a third of the workers, for long": {nodes: 1, workers: 2, lasts: cutLong},
		"two nodes and most workers, for long":           {nodes: 1, workers: 4, lasts: cutLong},
		"the cut begins while a takeover runs": {workers: 2, lasts: cutLong, before: func(env *testEnv, owner string) {
			env.kill(owner)
			for env.liveOwner() == "" {
				time.Sleep(50 * time.Millisecond)
			}
		}},
		"the cut ends while a takeover runs": {workers: 2, lasts: 900 * time.Millisecond},
		"the owner is paused as well": {workers: 2, lasts: cutLong, during: func(env *testEnv, owner string) {
			time.Sleep(500 * time.Millisecond)
			env.net.Pause(owner)
			time.Sleep(14 * time.Second)
			env.net.Resume(owner)
		}},
		"the owner is told to stop": {workers: 2, lasts: cutLong, during: func(env *testEnv, owner string) {
			time.Sleep(3 * time.Second)
			env.drain(owner)
		}},
		"the next owner is killed, too": {workers: 2, lasts: cutLong, during: func(env *testEnv, owner string) {
			env.awaitOtherOwner(owner)
			time.Sleep(2 * time.Second)
			restart := env.killOwner()
			time.Sleep(time.Second)
			restart()
		}},
		"the next owner is told to stop": {workers: 2, lasts: cutLong, during: func(env *testEnv, owner string) {
			env.awaitOtherOwner(owner)
			time.Sleep(2 * time.Second)
			env.drain(env.owner())
		}},
		"a worker of the next owner crashes": {workers: 2, lasts: cutLong, during: func(env *testEnv, owner string) {
			env.awaitOtherOwner(owner)
			time.Sleep(3 * time.Second)
			env.worker(cellWorkers - 1).Crash()
		}},
		"a worker of the first owner crashes": {workers: 2, lasts: cutLong, during: func(env *testEnv, _ string) {
			time.Sleep(3 * time.Second)
			env.worker(0).Crash()
		}},
		"a worker of the first owner restarts": {workers: 2, lasts: cutLong, during: func(env *testEnv, owner string) {
			env.awaitOtherOwner(owner)
			time.Sleep(3 * time.Second)
			env.crashAndRestart(0, 30*time.Millisecond, 0)
		}},
		"the store is silent at first": {workers: 2, lasts: cutLong, before: func(env *testEnv, _ string) {
			env.site.Store.SetFaults(site.StoreFaults{Down: true})
			time.AfterFunc(9*time.Second, func() { env.site.Store.SetFaults(site.StoreFaults{}) })
		}},
		"the store goes silent after the takeover": {workers: 2, lasts: cutLong, during: func(env *testEnv, owner string) {
			env.awaitOtherOwner(owner)
			env.site.Store.SetFaults(site.StoreFaults{Down: true})
			time.Sleep(12 * time.Second)
			env.site.Store.SetFaults(site.StoreFaults{})
		}},
	}
}

// awaitOtherOwner waits until another node gives the orders.
func (env *testEnv) awaitOtherOwner(than string) {
	for env.owner() == than {
		time.Sleep(50 * time.Millisecond)
	}
}

// TestOwnerCutOffWithWorkers guards against tasks that run twice while an owner and some workers
// are cut off from everything else: the owner went on without end, and its successor took the
// workers that it didn't reach for empty.
func TestOwnerCutOffWithWorkers(t *testing.T) {
	forEachCase(t, cutOffCases(), testCutOff)
}

// TestRefusedConnectionEndsOwner guards against tasks that run twice while connections to an owner are
// refused which is cut off with some workers: its successor took it for ended, and these workers for
// empty, before the leases that it went on to renew had expired.
func TestRefusedConnectionEndsOwner(t *testing.T) {
	cases := make(map[string]cutOffCase)
	for name, c := range cutOffCases() {
		c.refuses = true
		cases[name] = c
		c.refusesAfter = 6 * time.Second
		cases[name+", silent at first"] = c
	}
	forEachCase(t, cases, testCutOff)
}

func testCutOff(t *testing.T, build func(*testing.T) *testEnv, c cutOffCase) {
	env, _ := newLoadedEnv(t, build)
	defer env.close()
	if c.before != nil {
		c.before(env, env.owner())
	}
	owner := env.owner()
	nodes := append([]string{owner}, otherNodes(env, owner)[:c.nodes]...)
	var workers []int
	for i := range c.workers {
		workers = append(workers, i)
	}
	cut{nodes: nodes, workers: workers, refuses: c.refuses, refusesAfter: c.refusesAfter}.hold(env, c.lasts, func() {
		if c.during != nil {
			c.during(env, owner)
		}
	})
	env.checkNoViolations()
	if n := len(env.site.RunningRuns()); n != lastingTasks {
		t.Errorf("%d tasks run after the cut, want the %d that last", n, lastingTasks)
	}
}
