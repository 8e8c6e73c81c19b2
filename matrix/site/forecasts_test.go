// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cell"
	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/forecast"
)

// node returns a running node; nil if it has ended.
func (env *testEnv) node(name string) *cell.Node {
	env.mu.Lock()
	defer env.mu.Unlock()
	if n := env.nodes[name]; n != nil {
		return n.cell
	}
	return nil
}

// owners returns the node that owns each shard.
func (env *testEnv) owners(shards []cluster.ShardID) []string {
	list := make([]string, len(shards))
	for _, name := range env.nodeNames() {
		for i, f := range env.node(name).ShardForecasts(shards) {
			if f.Local {
				list[i] = name
			}
		}
	}
	return list
}

// knows reports whether a node has a forecast for a job in a shard.
func knows(f cell.ShardForecast) bool {
	return f.Summary.Estimate(forecast.Job{Queue: "batch", Priority: 2, CriticalPath: time.Second, Due: 2 * time.Second}, f.Age).Known
}

// TestForecastsReachAllNodes guards against nodes that decide by nothing, by the summary of an owner
// that was replaced, or by one that does not answer any more.
func TestForecastsReachAllNodes(t *testing.T) {
	const settled, lost, replaced = 15 * time.Second, 2500 * time.Millisecond, 15 * time.Second
	synctest.Test(t, func(t *testing.T) {
		env := newShardedEnv(t)
		defer env.close()
		shards := []cluster.ShardID{{Service: service, Index: 0}, {Service: service, Index: 1}}
		for range 10 {
			env.submit("batch", "500 cpu=1000", stepBody{Count: 2, EstimateMS: 500, CPU: 1000, MemoryMB: 100})
		}
		time.Sleep(settled)
		epochs := make([]int64, len(shards))
		for _, name := range env.nodeNames() {
			for i, f := range env.node(name).ShardForecasts(shards) {
				if !knows(f) {
					t.Errorf("%s has no forecast for %v: %+v", name, f.Shard, f)
					continue
				}
				epochs[i] = f.Summary.Epoch
			}
		}
		owner := env.owners(shards)[0]
		_, page := env.get(owner+":4", "/metrics")
		if !strings.Contains(string(page), `switchbank_forecast_error_ratio{queue="batch",quantile="0.9"}`) {
			t.Errorf("the owner %s has no metric of the errors of queue batch", owner)
		}
		env.kill(owner)
		time.Sleep(lost)
		for _, name := range env.nodeNames() {
			for i, f := range env.node(name).ShardForecasts(shards) {
				if f.Summary != nil && knows(f) && f.Summary.Epoch == epochs[i] && i == 0 {
					t.Errorf("%s decides by a summary of the lost owner: %+v", name, f)
				}
			}
		}
		time.Sleep(replaced)
		for _, name := range env.nodeNames() {
			f := env.node(name).ShardForecasts(shards)[0]
			if !knows(f) || f.Summary.Epoch <= epochs[0] {
				t.Errorf("%s has no forecast of the new owner: %+v", name, f)
			}
		}
	})
}
