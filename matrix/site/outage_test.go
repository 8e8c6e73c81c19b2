// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// outageCase is an outage of the store in which no node can take a shard over.
type outageCase struct {
	lasts time.Duration
	// lose removes a node that owns no shard, and returns a function that brings it back.
	lose func(env *testEnv, name string) (back func())
}

// outageCases returns the outages of TestWorkGoesOnInOutage. Those in which a node is lost are
// shorter than the time for which owners go on without a confirmation.
func outageCases() map[string]outageCase {
	const long, short = 45 * time.Second, 16 * time.Second
	return map[string]outageCase{
		"all nodes answer": {long, func(*testEnv, string) func() { return func() {} }},
		"a node is dead": {short, func(env *testEnv, name string) func() {
			env.kill(name)
			return func() { env.startNode(name + "x") }
		}},
		"a node is cut off": {short, func(env *testEnv, name string) func() {
			env.net.SetPartitioned(name, "*", true)
			return func() { env.net.SetPartitioned(name, "*", false) }
		}},
		"a node hangs": {short, func(env *testEnv, name string) func() {
			env.net.Pause(name)
			return func() { env.net.Resume(name) }
		}},
		"a node restarts": {short, func(env *testEnv, name string) func() {
			env.kill(name)
			env.net.SetPartitioned(name, "*", false)
			env.startNode(name)
			return func() {}
		}},
	}
}

// TestWorkGoesOnInOutage guards against owners that let work end, or start it again, in an outage of
// the store for all: an owner can't tell that from being cut off by itself.
func TestWorkGoesOnInOutage(t *testing.T) {
	forEachCase(t, outageCases(), func(t *testing.T, build func(*testing.T) *testEnv, c outageCase) {
		env, _ := newLoadedEnv(t, build)
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
}
