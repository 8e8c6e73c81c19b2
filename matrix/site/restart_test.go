// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// cellRestarts is how often all nodes are lost, each time with one of the workers.
	cellRestarts = 4
	// jobEndsWithin is by when after the nodes' start a job has ended that was accepted
	// before; its two steps take 0.8 s.
	jobEndsWithin = 1060 * time.Millisecond
	// peersKnownWithin is by when each node knows the others to be up.
	peersKnownWithin = 300 * time.Millisecond
)

// TestRestartIsFast loses all nodes, and meanwhile a worker: the next owner doesn't
// wait for long to learn that the worker is gone, and goes on with what was accepted.
func TestRestartIsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEnv(t)
		defer w.close()
		time.Sleep(2 * time.Second)
		for round := range cellRestarts {
			id := fmt.Sprintf("%016x", 0xd000+round)
			w.submitAndKillAll(id)
			w.worker(round).Crash()
			time.Sleep(closeTime)
			startedAt := time.Now()
			for _, n := range []string{"n0", "n1", "n2"} {
				w.net.SetPartitioned(n, "*", false)
				w.startNode(n)
			}
			for w.state("urgent", id) != "succeeded" && time.Since(startedAt) < settleTimeout {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(startedAt); took > jobEndsWithin {
				t.Errorf("round %d: the job has ended %s after the start, want %s", round, took, jobEndsWithin)
			}
		}
	})
}

// submitAndKillAll hands a job in, and kills all nodes as soon as it is accepted.
func (w *testEnv) submitAndKillAll(id string) {
	w.submitTo("n0", "urgent", id, urgentSpec, urgentSteps()...)
	w.killAll()
}

// TestPeersAreKnownSoon checks that nodes that start together know each other soon:
// a new owner calls the advice service from those that it knows to be up.
func TestPeersAreKnownSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEnv(t)
		defer w.close()
		time.Sleep(peersKnownWithin)
		for _, n := range w.nodeNames() {
			if up := w.metric(n, "switchbank_peers_up"); up != cellNodes-1 {
				t.Errorf("%s knows %g nodes to be up after %s, want %d", n, up, peersKnownWithin, cellNodes-1)
			}
		}
	})
}
