// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// TestSearchCuts searches random schedules for tasks that run twice, or never, when nodes and
// workers are on different sides of cuts that begin and end while others last, together with owners
// that are killed, paused, stopped or restarted, workers that crash, and a store that is silent.
// MODEL=full runs many seeds.
func TestSearchCuts(t *testing.T) {
	const fullSeeds = 1000
	seeds := sampleSeeds
	if fullSearch() {
		seeds = fullSeeds
	}
	envs := slices.Sorted(maps.Keys(envBuilders))
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { searchCuts(t, envBuilders[envs[seed%len(envs)]], uint64(seed)) })
		})
	}
}

const (
	// cutSteps is the number of steps of a schedule, and maxCutStep the longest time between two.
	cutSteps   = 14
	maxCutStep = 6 * time.Second
	// healedTime is how long a schedule goes on after its last fault: longer than any owner may go
	// on that is cut off.
	healedTime = 60 * time.Second
)

func searchCuts(t *testing.T, build func(*testing.T) *testEnv, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // The same seed must give the same run.
	env, lasting := newLoadedEnv(t, build)
	defer env.close()
	var ends []func()
	for range cutSteps {
		switch rng.IntN(6) {
		case 0:
			env.submit("batch", "2500 cpu=500", stepBody{Count: 1 + rng.IntN(6), CPU: 500, MemoryMB: 10, EstimateMS: 2500})
		case 1, 2:
			ends = append(ends, env.randomCut(rng).begin(env))
		case 3:
			ends = append(ends, env.randomFault(rng))
		default:
			if n := len(ends); n > 0 {
				i := rng.IntN(n)
				ends[i]()
				ends = append(ends[:i], ends[i+1:]...)
			}
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxCutStep))))
	}
	for _, end := range ends {
		end()
	}
	env.healCuts()
	env.waitAndRecordSuccesses(healedTime)
	env.checkNoViolations()
	if n := env.runningTasks(lasting); n != lastingTasks {
		t.Errorf("%d tasks run after the cuts, want the %d that last", n, lastingTasks)
	}
	for _, id := range env.accepted {
		if state := env.state("batch", id); id != lasting && !env.succeeded[id] && state != "succeeded" {
			t.Errorf("job %s is %q", id, state)
		}
	}
}

// randomCut returns a cut that leaves some nodes and workers on one side.
func (env *testEnv) randomCut(rng *rand.Rand) (c cut) {
	owner := env.owner()
	for _, n := range env.nodeNames() {
		if chance := rng.IntN(4); chance == 0 || (n == owner && chance < 3) {
			c.nodes = append(c.nodes, n)
		}
	}
	for i := range env.workers {
		if rng.IntN(2) == 0 {
			c.workers = append(c.workers, i)
		}
	}
	return c
}

// randomFault starts a random fault of a node, a worker or the store, and returns a function that
// ends it.
func (env *testEnv) randomFault(rng *rand.Rand) (end func()) {
	names := env.nodeNames()
	name := names[rng.IntN(len(names))]
	switch rng.IntN(5) {
	case 0:
		env.net.Pause(name)
		return func() { env.net.Resume(name) }
	case 1:
		if len(names) < cellNodes {
			return func() {}
		}
		env.kill(name)
		return func() {
			env.net.SetPartitioned(name, "*", false)
			env.startNode(name)
		}
	case 2:
		if len(names) < cellNodes {
			return func() {}
		}
		env.drain(name)
		return func() { env.startNode(name) }
	case 3:
		i := rng.IntN(len(env.workers))
		env.crashAndRestart(i, time.Duration(rng.IntN(2000))*time.Millisecond, 0)
		return func() {}
	default:
		env.site.Store.SetFaults(site.StoreFaults{Down: true})
		return func() { env.site.Store.SetFaults(site.StoreFaults{}) }
	}
}

// healCuts ends all partitions.
func (env *testEnv) healCuts() {
	hosts := []string{storeHost, "machines", "advice"}
	for i := range env.workers {
		hosts = append(hosts, fmt.Sprintf("w%d", i))
		env.worker(i).SetAnnouncementsPaused(false)
	}
	names := env.nodeNames()
	hosts = append(hosts, names...)
	for _, n := range names {
		for _, h := range hosts {
			env.net.SetPartitioned(n, h, false)
		}
	}
}
