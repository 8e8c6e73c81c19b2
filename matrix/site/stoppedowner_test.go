// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// leaseOfEndedOwner is for how long a worker that doesn't answer may go on after the end of its
	// owner: the longest lease, on slow clocks. leaseOfUnknownOwner is the same if nothing shows that
	// the owner has ended, which may go on itself for 20 s.
	leaseOfEndedOwner   = 10800 * time.Millisecond
	leaseOfUnknownOwner = 21200 * time.Millisecond
	// settleSlack is the time in which a new owner learns that the earlier one has ended, once that
	// shows, and starts the tasks again.
	settleSlack = 1500 * time.Millisecond
)

// TestEndedOwnerDelaysTasks guards against tasks of workers that don't answer which wait for longer than
// their leases last, though the earlier owner has ended and that shows: by its own word, which may come
// only by the store, or by the next process at its address. An owner of which nothing is known but that
// it refuses connections may go on.
func TestEndedOwnerDelaysTasks(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(env *testEnv, owner string)
		most time.Duration
	}{
		"stops": {func(env *testEnv, owner string) { env.drain(owner) }, leaseOfEndedOwner},
		"stops, not reached by others": {func(env *testEnv, owner string) {
			for _, n := range otherNodes(env, owner) {
				env.net.SetPartitioned(n, owner, true)
			}
			env.drain(owner)
		}, leaseOfEndedOwner},
		"killed, starts again": {func(env *testEnv, owner string) { env.killProcess(owner)() }, leaseOfEndedOwner},
		"killed for good":      {func(env *testEnv, owner string) { _ = env.killProcess(owner) }, leaseOfUnknownOwner},
		"all killed, start again": {func(env *testEnv, _ string) {
			var restarts []func()
			for _, name := range env.nodeNames() {
				restarts = append(restarts, env.killProcess(name))
			}
			for _, restart := range restarts {
				restart()
			}
		}, leaseOfEndedOwner},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env, lasting := newLoadedEnv(t, newEnv)
				defer env.close()
				end := cut{workers: []int{0, 1}}.begin(env)
				defer end()
				began := time.Now()
				c.end(env, env.owner())
				ended := time.Now()
				time.Sleep(leaseOfUnknownOwner + 2*settleSlack)
				took := env.lastRestart(lasting, began).Sub(ended)
				t.Logf("the tasks of the silent workers start %v after the end", took)
				if took > c.most+settleSlack {
					t.Errorf("the tasks of the silent workers start %v after the end, at most %v are allowed", took, c.most+settleSlack)
				}
				env.checkNoViolations()
			})
		})
	}
}

// killProcess ends a node as a kill of its process does: nothing that it sends from now on arrives, and its
// address refuses connections until the returned function starts the next process there.
func (env *testEnv) killProcess(name string) (restart func()) {
	env.mu.Lock()
	node := env.nodes[name]
	env.mu.Unlock()
	others := append(otherNodes(env, name), callerHost)
	env.kill(name)
	for _, other := range others {
		env.net.SetRefused(other, name, true)
	}
	return func() {
		<-node.done
		for _, other := range others {
			env.net.SetRefused(other, name, false)
		}
		env.net.SetPartitioned(name, "*", false)
		env.startNode(name)
	}
}

// lastRestart returns when the last of the lasting tasks that ran on the first two workers has started
// elsewhere, or the far future if one has not.
func (env *testEnv) lastRestart(job string, since time.Time) time.Time {
	env.t.Helper()
	waiting := make(map[string]bool)
	for _, e := range env.site.Events() {
		if e.Kind == site.EventStart && e.At.Before(since) && (e.Worker == env.worker(0).ID || e.Worker == env.worker(1).ID) && strings.HasPrefix(e.Task, job+".") {
			waiting[e.Task] = true
		}
	}
	if len(waiting) == 0 {
		env.t.Fatal("no lasting task ran on the workers that don't answer")
	}
	last := since
	for _, e := range env.site.Events() {
		if e.Kind == site.EventStart && e.At.After(since) && waiting[e.Task] {
			delete(waiting, e.Task)
			last = e.At
		}
	}
	if len(waiting) > 0 {
		env.t.Errorf("%d tasks have not started again", len(waiting))
	}
	return last
}
