// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	standin "switchbank.example/switchbank/standin/platform"
)

// rolloutBound is the time that users allow from the acceptance of a bundle until it is in
// force on every node.
const rolloutBound = 7 * time.Second

// TestRollOut accepts bundles one after the other, with and without faults, and measures
// for each node the time from acceptance until the bundle is in force there.
func TestRollOut(t *testing.T) {
	c := newCell(t, 3, 0, noRelayedNode)
	c.acceptBundle()
	for i, f := range []struct {
		name            string
		inject, restore func()
	}{
		{"no fault", func() {}, func() {}},
		{"no fault again", func() {}, func() {}},
		{"a node paused", func() { c.nodes[2].signal(syscall.SIGSTOP) }, func() { c.nodes[2].signal(syscall.SIGCONT) }},
		{"the store slow", func() { c.setFaults(standin.Faults{DelayMS: 300}) }, func() { c.setFaults(standin.Faults{}) }},
		{"a node restarted", func() { c.nodes[1].kill() }, func() { c.startNode(1) }},
	} {
		f.inject()
		head, err := c.reviewer.Accept(c.ctx, c.client(0, ""), fmt.Sprintf("roll-out-%d", i))
		accepted := time.Now()
		f.restore()
		if err != nil {
			t.Fatalf("%s: %v", f.name, err)
		}
		for n := range c.nodes {
			if took, ok := c.waitInForce(n, head.Version, accepted); !ok {
				t.Errorf("%s: node %d serves an older version after %s", f.name, n, took)
			} else {
				t.Logf("%s: node %d: %s", f.name, n, took.Round(time.Millisecond))
			}
		}
	}
}

// waitInForce waits until a version is in force on a node and returns the time since its
// acceptance. It returns false if the node still serves callers with an older version after
// rolloutBound; a node that doesn't answer or is not ready is no violation.
func (c *cell) waitInForce(n int, version int64, accepted time.Time) (time.Duration, bool) {
	cl := c.client(n, "")
	for {
		st, err := cl.Status(c.ctx)
		took := time.Since(accepted)
		if err != nil || st.Bundle.Version >= version {
			return took, true
		}
		if took > rolloutBound {
			return took, !st.Ready
		}
		sleep(c, 5*time.Millisecond)
	}
}
