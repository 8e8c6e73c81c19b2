// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// TestWorkGoesOnInOutage guards against owners that let work end, or start it again, in an outage of
// the store in which no node can take a shard over: an owner can't tell that from being cut off by
// itself.
func TestWorkGoesOnInOutage(t *testing.T) {
	cases := []struct {
		name  string
		lasts time.Duration
		// lose removes a node that owns no shard, and returns a function that brings it back.
		lose func(env *testEnv, name string) (back func())
	}{
		{"all nodes answer", 45 * time.Second, func(*testEnv, string) func() { return func() {} }},
		{"a node is dead", 16 * time.Second, func(env *testEnv, name string) func() {
			env.kill(name)
			return func() { env.startNode(name + "x") }
		}},
		{"a node is cut off", 16 * time.Second, func(env *testEnv, name string) func() {
			env.net.SetPartitioned(name, "*", true)
			return func() { env.net.SetPartitioned(name, "*", false) }
		}},
		{"a node hangs", 16 * time.Second, func(env *testEnv, name string) func() {
			env.net.Pause(name)
			return func() { env.net.Resume(name) }
		}},
		{"a node restarts", 16 * time.Second, func(env *testEnv, name string) func() {
			env.kill(name)
			env.net.SetPartitioned(name, "*", false)
			env.startNode(name)
			return func() {}
		}},
	}
	for build, newEnv := range envBuilders {
		for _, c := range cases {
			t.Run(build+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					env, _ := newLoadedEnv(t, newEnv)
					defer env.close()
					began := len(env.site.Events())
					env.site.Store.SetFaults(site.StoreFaults{Down: true})
					back := c.lose(env, env.nodesWithoutShards(len(env.workers) / env.workersPerShard)[0])
					time.Sleep(c.lasts)
					env.site.Store.SetFaults(site.StoreFaults{})
					back()
					time.Sleep(afterCut)
					for _, e := range env.site.Events()[began:] {
						if e.Kind == site.EventStart || e.Kind == site.EventEnd {
							t.Errorf("%s: %s of run %d on %s in the outage", e.Kind, e.Task, e.Run, e.Worker)
						}
					}
					env.checkNoViolations()
				})
			})
		}
	}
}
