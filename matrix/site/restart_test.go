// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// restarts is how often all nodes are lost, each time with one of the workers.
	restarts = 4
	// servedAfter is by when after the nodes' start a job has ended that was accepted
	// before; its two steps take 0.8 s.
	servedAfter = 1060 * time.Millisecond
	// peersKnownAfter is by when each node knows the others to be up.
	peersKnownAfter = 300 * time.Millisecond
)

// TestRestartIsFast loses all nodes, and meanwhile a worker: the next owner doesn't
// wait for long to learn that the worker is gone, and goes on with what was accepted.
func TestRestartIsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		time.Sleep(2 * time.Second)
		for round := range restarts {
			id := fmt.Sprintf("%016x", 0xd000+round)
			w.submitAndLoseAll(id)
			w.worker(round).Crash()
			time.Sleep(closeTime)
			began := time.Now()
			for _, n := range []string{"n0", "n1", "n2"} {
				w.net.SetPartitioned(n, "*", false)
				w.startNode(n)
			}
			for w.state("urgent", id) != "succeeded" && time.Since(began) < settled {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(began); took > servedAfter {
				t.Errorf("round %d: the job has ended %s after the start, want %s", round, took, servedAfter)
			}
		}
	})
}

// submitAndLoseAll hands a job in, and kills all nodes as soon as it is accepted.
func (w *world) submitAndLoseAll(id string) {
	w.handIn("n0", "urgent", id, urgentSpec, urgentSteps()...)
	w.killAll()
}

// TestPeersAreKnownSoon checks that nodes that start together know each other soon:
// a new owner calls the advice service from those that it knows to be up.
func TestPeersAreKnownSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		time.Sleep(peersKnownAfter)
		for _, n := range w.names() {
			if up := w.metric(n, "switchbank_peers_up"); up != cellNodes-1 {
				t.Errorf("%s knows %g nodes to be up after %s, want %d", n, up, peersKnownAfter, cellNodes-1)
			}
		}
	})
}
