// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// cellRestarts is how often all nodes are killed, each time together with a worker.
	cellRestarts = 4
	// jobEndsWithin is the time after the start of the nodes in which a job that was accepted
	// before must have ended; its two steps take 0.8 s.
	jobEndsWithin = 1060 * time.Millisecond
	// peersKnownWithin is the time in which each node must consider the others up.
	peersKnownWithin = 300 * time.Millisecond
)

// TestRestartIsFast kills all nodes and a worker. The next owner must detect soon that the worker
// is gone, and continue with the jobs that were accepted.
func TestRestartIsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(2 * time.Second)
		for round := range cellRestarts {
			id := fmt.Sprintf("%016x", 0xd000+round)
			env.submitAndKillAll(id)
			env.worker(round).Crash()
			time.Sleep(closeTime)
			startedAt := time.Now()
			for _, n := range []string{"n0", "n1", "n2"} {
				env.net.SetPartitioned(n, "*", false)
				env.startNode(n)
			}
			for env.state("urgent", id) != "succeeded" && time.Since(startedAt) < settleTimeout {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(startedAt); took > jobEndsWithin {
				t.Errorf("round %d: the job ended %s after the start, want %s", round, took, jobEndsWithin)
			}
		}
	})
}

// submitAndKillAll submits a job and kills all nodes as soon as it is accepted.
func (env *testEnv) submitAndKillAll(id string) {
	env.submitTo("n0", "urgent", id, urgentSpec, urgentSteps()...)
	env.killAll()
}

// TestPeersAreKnownSoon checks that nodes which start together soon know each other: a new owner
// calls the advice service through the nodes that it considers up.
func TestPeersAreKnownSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(peersKnownWithin)
		for _, n := range env.nodeNames() {
			if up := env.metric(n, "switchbank_peers_up"); up != cellNodes-1 {
				t.Errorf("%s considers %g nodes up after %s, want %d", n, up, peersKnownWithin, cellNodes-1)
			}
		}
	})
}
