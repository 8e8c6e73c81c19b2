// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/standin/site"
)

const (
	// longOutage is an outage of the store in which all leases expire, and shortOutage one in which
	// those expire that aren't renewed.
	longOutage  = 30 * time.Second
	shortOutage = 12 * time.Second
	// loadTime is about how long the load takes with the slow store before the outage.
	loadTime = 240 * time.Millisecond
	// answerLag is how late the workers' answers are at first after that.
	answerLag = 250 * time.Millisecond
)

// TestLateLoadStartsEndedTasks guards against work that is done again since its owner was replaced
// and the next one could load the shard only long after: it took all workers for empty before they
// had told what had ended there.
func TestLateLoadStartsEndedTasks(t *testing.T) {
	duringLoad(t, func(t *testing.T, after time.Duration) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(settledOwnerAge)
		const count = 12
		job := env.submit("batch", "3000 cpu=800", stepBody{Count: count, CPU: 800, MemoryMB: 10, EstimateMS: 3000})
		time.Sleep(time.Second)
		env.outageDuringLoad(after, longOutage, func(owner string) { env.kill(owner) })
		time.Sleep(afterCut)
		if n, _ := env.starts(job); n != count {
			t.Errorf("%d starts, want one for each of the %d tasks", n, count)
		}
		env.checkNoViolations()
	})
}

// TestLateLoadBesideCutOffOwner guards against tasks that run twice since their owner goes on, cut
// off from the store and the other nodes, while the next one can't load the shard.
func TestLateLoadBesideCutOffOwner(t *testing.T) {
	duringLoad(t, func(t *testing.T, after time.Duration) {
		env, lasting := newLoadedEnv(t, newEnv)
		defer env.close()
		var hosts []string
		env.outageDuringLoad(after, shortOutage, func(owner string) {
			hosts = append(otherNodes(env, owner), storeHost)
			for _, h := range hosts {
				env.net.SetPartitioned(owner, h, true)
			}
		})
		time.Sleep(afterCut)
		env.checkNoViolations()
		if n := env.runningTasks(lasting); n != lastingTasks {
			t.Errorf("%d tasks run, want the %d that last", n, lastingTasks)
		}
	})
}

// duringLoad runs a test in virtual time for several moments of a load.
func duringLoad(t *testing.T, test func(t *testing.T, after time.Duration)) {
	const moments = 6
	for i := range time.Duration(moments) {
		after := i * loadTime / moments
		t.Run(after.String(), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { test(t, after) }) })
	}
}

// outageDuringLoad removes the owner, and makes the store silent for some time after another node
// has taken the shard, while that node loads it. The workers answer late after that.
func (env *testEnv) outageDuringLoad(after, lasts time.Duration, remove func(owner string)) {
	shard := cluster.ShardID{Service: service}
	epoch := env.epoch(shard)
	env.site.Store.SetFaults(site.StoreFaults{Delay: 240 * time.Millisecond})
	remove(env.owner())
	for env.epoch(shard) == epoch {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(after)
	env.site.Store.SetFaults(site.StoreFaults{Down: true})
	time.Sleep(lasts)
	stall := func(change func(from, to string)) {
		for i := range env.workers {
			for _, n := range env.nodeNames() {
				change(n, fmt.Sprintf("w%d", i))
			}
		}
	}
	stall(env.net.Stall)
	env.site.Store.SetFaults(site.StoreFaults{})
	time.Sleep(answerLag)
	stall(env.net.Release)
}
