// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/standin/site"
)

// answerDelay is how long after a write has taken effect its answer comes: by then the
// feed has shown the write to all nodes.
const answerDelay = 400 * time.Millisecond

// slowAnswerDelay is how long the answer to a write of two parts takes while the store is 60 to
// 100 times slower.
const slowAnswerDelay = 900 * time.Millisecond

// TestHandoverTakesShardOnce hands the shard over while the store's answers come late,
// those of writes alone or all of them: the node that takes it has it, says so, and
// doesn't take it from itself again.
func TestHandoverTakesShardOnce(t *testing.T) {
	for name, f := range map[string]site.StoreFaults{
		"writes": {AnswerDelay: answerDelay},
		"all":    {AnswerDelay: answerDelay, Delay: answerDelay / 4},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testHandover(t, f) }) })
	}
}

// TestHandoverWithSlowStore hands the shard over while the write that takes it has
// no answer for longer than the node that hands it over waits.
func TestHandoverWithSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testHandover(t, site.StoreFaults{AnswerDelay: slowAnswerDelay, Delay: answerDelay / 4})
	})
}

func testHandover(t *testing.T, f site.StoreFaults) {
	w := newEnv(t)
	defer w.close()
	time.Sleep(2 * time.Second)
	w.submit("batch", longRunningSpec, stepBody{Count: 1, CPU: 500, MemoryMB: 100, LongRunning: true})
	time.Sleep(time.Second)
	w.site.Store.SetFaults(f)
	w.drain(w.liveOwner())
	time.Sleep(5 * time.Second)
	w.site.Store.SetFaults(site.StoreFaults{})
	w.checkEpoch(cluster.ShardID{Service: service}, 2)
}
