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

// inForceWithin is the users' bound from accepted to in force on every node.
const inForceWithin = 7 * time.Second

// TestRollOut accepts bundles one after the other, in quiet and under faults, and
// takes the time from accepted until the last node that serves applies each.
func TestRollOut(t *testing.T) {
	c := newCell(t, 3, 0, relayNone)
	c.acceptBundle()
	for i, f := range []struct {
		name          string
		inject, after func()
	}{
		{"quiet", func() {}, func() {}},
		{"again", func() {}, func() {}},
		{"a node paused", func() { c.nodes[2].signal(syscall.SIGSTOP) }, func() { c.nodes[2].signal(syscall.SIGCONT) }},
		{"the store slow", func() { c.setFaults(standin.Faults{DelayMS: 300}) }, func() { c.setFaults(standin.Faults{}) }},
		{"a node restarted", func() { c.nodes[1].kill() }, func() { c.startNode(1) }},
	} {
		f.inject()
		head, err := c.reviewer.Accept(c.ctx, c.client(0, ""), fmt.Sprintf("roll-out-%d", i))
		accepted := time.Now()
		f.after()
		if err != nil {
			t.Fatalf("%s: %v", f.name, err)
		}
		for n := range c.nodes {
			if took, ok := c.inForce(n, head.Version, accepted); !ok {
				t.Errorf("%s: node %d serves an older version after %s", f.name, n, took)
			} else {
				t.Logf("%s: node %d: %s", f.name, n, took.Round(time.Millisecond))
			}
		}
	}
}

// inForce waits until a node applies a version; a node that is gone, or that turns
// callers away, breaks nothing.
func (c *cell) inForce(n int, version int64, accepted time.Time) (time.Duration, bool) {
	cl := c.client(n, "")
	for {
		st, err := cl.Status(c.ctx)
		took := time.Since(accepted)
		if err != nil || st.Bundle.Version >= version {
			return took, true
		}
		if took > inForceWithin {
			return took, !st.Ready
		}
		wait(c, 5*time.Millisecond)
	}
}
