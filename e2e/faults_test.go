// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/api"
	standin "switchbank.example/switchbank/standin/platform"
)

// beyondLease is longer than the leases of nodes (1.5 s) and of tasks (6 s).
const beyondLease = 9 * time.Second

// realFault is a fault of real processes under a running load.
type realFault struct {
	name    string
	relayed int
	inject  func(c *cell, l *load)
	// quiet faults cut no request: every one is answered or truly refused.
	quiet bool
}

var realFaults = []realFault{
	{name: "node SIGKILL", relayed: relayNone, inject: func(c *cell, l *load) {
		c.nodes[1].kill()
		l.avoid(1)
	}},
	{name: "node SIGSTOP beyond its lease", relayed: relayNone, inject: func(c *cell, _ *load) {
		c.nodes[1].signal(syscall.SIGSTOP)
		wait(c, beyondLease)
		c.nodes[1].signal(syscall.SIGCONT)
	}},
	{name: "worker SIGKILL", relayed: relayNone, inject: func(c *cell, _ *load) {
		c.workers[0].kill()
		c.workers[0].dead = true
	}},
	{name: "worker SIGSTOP beyond its lease", relayed: relayNone, inject: func(c *cell, _ *load) {
		c.workers[0].signal(syscall.SIGSTOP)
		wait(c, beyondLease+beyondLease)
		c.workers[0].signal(syscall.SIGCONT)
	}},
	{name: "platform SIGSTOP", relayed: relayNone, inject: func(c *cell, _ *load) {
		c.store.signal(syscall.SIGSTOP)
		wait(c, beyondLease)
		c.store.signal(syscall.SIGCONT)
	}},
	{name: "node cut from the platform", relayed: 1, inject: func(c *cell, _ *load) {
		c.relay.setCut(true)
		wait(c, beyondLease)
		c.relay.setCut(false)
	}},
	{name: "planned stop", relayed: relayNone, quiet: true, inject: func(c *cell, l *load) {
		c.nodes[1].signal(syscall.SIGTERM)
		// The balancer notices within the drain delay of 500 ms.
		wait(c, 200*time.Millisecond)
		l.avoid(1)
		_ = c.nodes[1].cmd.Wait()
	}},
}

// TestFaults brings each fault about under load, and counts what must not happen.
func TestFaults(t *testing.T) {
	for _, f := range realFaults {
		t.Run(f.name, func(t *testing.T) {
			c := newCell(t, 3, 8, f.relayed)
			c.acceptBundle()
			service := c.startService()
			l := startLoad(c, service.Service)
			ids := submitBatches(t, c, c.client(0, "inkasoft"))
			f.inject(c, l)
			for _, id := range ids {
				if _, err := c.client(0, "inkasoft").Wait(c.ctx, id, func(s api.Status) bool { return s.State.Final() }); err != nil {
					t.Fatal(err)
				}
			}
			l.stop()
			v := judge(c.evidence(), ids...)
			v.mustBeClean(t)
			n := l.count(v.runs)
			n.mustBeClean(t)
			if f.quiet && n.cut+n.unknown > 0 {
				t.Errorf("a planned stop cut off requests: %+v", n)
			}
		})
	}
}

// phaseFigures are the figures of the requests of one phase of an outage.
type phaseFigures struct {
	sent, done int
	p50, p99   time.Duration
}

// figures returns those of the plain or keyed requests sent in a span of time.
func (l *load) figures(from, to time.Time, keyed bool) phaseFigures {
	var f phaseFigures
	var took []time.Duration
	for _, a := range l.calls {
		if a.sent.Before(from) || !a.sent.Before(to) || (a.key != "") != keyed {
			continue
		}
		f.sent++
		if a.outcome == string(api.OutcomeDone) {
			f.done++
			took = append(took, a.took)
		}
	}
	slices.Sort(took)
	if len(took) > 0 {
		f.p50, f.p99 = took[len(took)/2], took[len(took)*99/100]
	}
	return f
}

// TestStoreOutage takes the store away for longer than every lease: requests go
// on, keyed requests are refused, running tasks stay up, nothing is lost or doubled.
func TestStoreOutage(t *testing.T) {
	const outage = 15 * time.Second
	c := newCell(t, 3, 8, relayNone)
	c.acceptBundle()
	service := c.startService()
	l := startLoad(c, service.Service)
	began := time.Now()
	wait(c, 3*time.Second)
	down := time.Now()
	c.setFaults(standin.Faults{Down: true})
	wait(c, outage)
	up := time.Now()
	c.setFaults(standin.Faults{})
	wait(c, 5*time.Second)
	ids := submitBatches(t, c, c.client(0, "inkasoft"))
	for _, id := range ids {
		if _, err := c.client(0, "inkasoft").Wait(c.ctx, id, func(s api.Status) bool { return s.State.Final() }); err != nil {
			t.Fatal(err)
		}
	}
	l.stop()
	v := judge(c.evidence(), append(ids, service.ID)...)
	v.mustBeClean(t)
	l.count(v.runs).mustBeClean(t)
	during := l.figures(down.Add(time.Second), up, false)
	t.Logf("plain: before %+v, during %+v, after %+v", l.figures(began, down, false), during, l.figures(up.Add(time.Second), time.Now(), false))
	t.Logf("keyed: before %+v, during %+v, after %+v", l.figures(began, down, true), l.figures(down.Add(time.Second), up, true), l.figures(up.Add(time.Second), time.Now(), true))
	if during.done < during.sent {
		t.Errorf("of %d plain requests in the outage %d were answered", during.sent, during.done)
	}
}

// TestPlatformKilled kills the platform for good: plain requests go on, keyed ones
// are refused, and nothing runs twice. The stand-in keeps nothing, so that the cell
// can't come back from it.
func TestPlatformKilled(t *testing.T) {
	c := newCell(t, 3, 8, relayNone)
	c.acceptBundle()
	service := c.startService()
	l := startLoad(c, service.Service)
	wait(c, 2*time.Second)
	killed := time.Now()
	c.store.kill()
	wait(c, beyondLease)
	l.stop()
	v := judge(c.evidence(), service.ID)
	v.mustBeClean(t)
	l.count(v.runs).mustBeClean(t)
	after := l.figures(killed.Add(time.Second), time.Now(), false)
	t.Logf("plain requests after the kill: %+v", after)
	if after.done < after.sent || after.sent == 0 {
		t.Errorf("of %d plain requests after the kill %d were answered", after.sent, after.done)
	}
}
