// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/standin/site"
)

// answerDelay is how long after a write has taken effect its response arrives: by then the feed has
// shown the write to all nodes.
const answerDelay = 400 * time.Millisecond

// slowAnswerDelay is how long the response to a write of two parts takes while the store is 60 to
// 100 times slower than usual.
const slowAnswerDelay = 900 * time.Millisecond

// TestHandoverTakesShardOnce hands the shard over while the responses of the store are delayed,
// either those to writes only or all of them. The node that takes the shard must notice that it
// owns it, and not take it a second time from itself.
func TestHandoverTakesShardOnce(t *testing.T) {
	for name, f := range map[string]site.StoreFaults{
		"writes": {AnswerDelay: answerDelay},
		"all":    {AnswerDelay: answerDelay, Delay: answerDelay / 4},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testHandover(t, f) }) })
	}
}

// TestHandoverWithSlowStore hands the shard over while the response to the write that takes it is
// delayed for longer than the previous owner waits.
func TestHandoverWithSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testHandover(t, site.StoreFaults{AnswerDelay: slowAnswerDelay, Delay: answerDelay / 4})
	})
}

func testHandover(t *testing.T, f site.StoreFaults) {
	env := newEnv(t)
	defer env.close()
	time.Sleep(2 * time.Second)
	env.submit("batch", longRunningSpec, stepBody{Count: 1, CPU: 500, MemoryMB: 100, LongRunning: true})
	time.Sleep(time.Second)
	env.site.Store.SetFaults(f)
	env.drain(env.liveOwner())
	time.Sleep(5 * time.Second)
	env.site.Store.SetFaults(site.StoreFaults{})
	env.checkEpoch(cluster.ShardID{Service: service}, 2)
}
