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

// longerThanLease is longer than the leases of nodes (1.5 s) and of tasks (6 s).
const longerThanLease = 9 * time.Second

// processFault is a fault of a process that is injected under load.
type processFault struct {
	name        string
	relayedNode int
	inject      func(c *cell, l *loadGenerator)
	// lossless is set if the fault must not interrupt any request: each one must be
	// answered, refused or reported as not run.
	lossless bool
}

var processFaults = []processFault{
	{name: "node SIGKILL", relayedNode: noRelayedNode, inject: func(c *cell, l *loadGenerator) {
		c.nodes[1].kill()
		l.excludeNode(1)
	}},
	{name: "node SIGSTOP beyond its lease", relayedNode: noRelayedNode, inject: func(c *cell, _ *loadGenerator) {
		c.nodes[1].signal(syscall.SIGSTOP)
		sleep(c, longerThanLease)
		c.nodes[1].signal(syscall.SIGCONT)
	}},
	{name: "worker SIGKILL", relayedNode: noRelayedNode, inject: func(c *cell, _ *loadGenerator) {
		c.workers[0].kill()
		c.workers[0].killed = true
	}},
	{name: "worker SIGSTOP beyond its lease", relayedNode: noRelayedNode, inject: func(c *cell, _ *loadGenerator) {
		c.workers[0].signal(syscall.SIGSTOP)
		sleep(c, longerThanLease+longerThanLease)
		c.workers[0].signal(syscall.SIGCONT)
	}},
	{name: "platform SIGSTOP", relayedNode: noRelayedNode, inject: func(c *cell, _ *loadGenerator) {
		c.platformProc.signal(syscall.SIGSTOP)
		sleep(c, longerThanLease)
		c.platformProc.signal(syscall.SIGCONT)
	}},
	{name: "node cut from the platform", relayedNode: 1, inject: func(c *cell, _ *loadGenerator) {
		c.relay.setCut(true)
		sleep(c, longerThanLease)
		c.relay.setCut(false)
	}},
	{name: "planned stop", relayedNode: noRelayedNode, lossless: true, inject: func(c *cell, l *loadGenerator) {
		c.nodes[1].signal(syscall.SIGTERM)
		// Callers stop using the node within its drain delay of 500 ms, as a load balancer would.
		sleep(c, 200*time.Millisecond)
		l.excludeNode(1)
		_ = c.nodes[1].cmd.Wait()
	}},
}

// TestFaults injects each fault under load and checks that no guarantee is violated.
func TestFaults(t *testing.T) {
	for _, f := range processFaults {
		t.Run(f.name, func(t *testing.T) {
			c := newCell(t, 3, 8, f.relayedNode)
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
			summary := summarizeEvents(c.workerEvents(), ids...)
			summary.checkInvariants(t)
			n := l.countOutcomes(summary.requestRuns)
			n.checkInvariants(t)
			if f.lossless && n.noReply+n.unknown > 0 {
				t.Errorf("a planned stop interrupted requests: %+v", n)
			}
		})
	}
}

// latencyStats holds the numbers and latencies of the requests of one phase of an outage.
type latencyStats struct {
	sent, done int
	p50, p99   time.Duration
}

// stats returns the figures of the requests sent in a period, either of those with a key or
// of those without.
func (l *loadGenerator) stats(from, to time.Time, keyed bool) latencyStats {
	var stats latencyStats
	var latencies []time.Duration
	for _, r := range l.records {
		if r.sent.Before(from) || !r.sent.Before(to) || (r.key != "") != keyed {
			continue
		}
		stats.sent++
		if r.outcome == string(api.OutcomeDone) {
			stats.done++
			latencies = append(latencies, r.latency)
		}
	}
	slices.Sort(latencies)
	if len(latencies) > 0 {
		stats.p50, stats.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
	return stats
}

// TestStoreOutage makes the store unavailable for longer than every lease. Requests without
// a key must all be answered, requests with a key are refused, running tasks continue, and
// nothing is lost or runs twice.
func TestStoreOutage(t *testing.T) {
	const outage = 15 * time.Second
	c := newCell(t, 3, 8, noRelayedNode)
	c.acceptBundle()
	service := c.startService()
	l := startLoad(c, service.Service)
	began := time.Now()
	sleep(c, 3*time.Second)
	down := time.Now()
	c.setFaults(standin.Faults{Down: true})
	sleep(c, outage)
	up := time.Now()
	c.setFaults(standin.Faults{})
	sleep(c, 5*time.Second)
	ids := submitBatches(t, c, c.client(0, "inkasoft"))
	for _, id := range ids {
		if _, err := c.client(0, "inkasoft").Wait(c.ctx, id, func(s api.Status) bool { return s.State.Final() }); err != nil {
			t.Fatal(err)
		}
	}
	l.stop()
	summary := summarizeEvents(c.workerEvents(), append(ids, service.ID)...)
	summary.checkInvariants(t)
	l.countOutcomes(summary.requestRuns).checkInvariants(t)
	during := l.stats(down.Add(time.Second), up, false)
	t.Logf("plain: before %+v, during %+v, after %+v", l.stats(began, down, false), during, l.stats(up.Add(time.Second), time.Now(), false))
	t.Logf("keyed: before %+v, during %+v, after %+v", l.stats(began, down, true), l.stats(down.Add(time.Second), up, true), l.stats(up.Add(time.Second), time.Now(), true))
	if during.done < during.sent {
		t.Errorf("of %d requests without a key, %d were answered during the outage", during.sent, during.done)
	}
}

// TestPlatformKilled kills the platform permanently. Requests without a key must all be
// answered, requests with a key are refused, and nothing runs twice. The test doesn't
// restart the platform: the stand-in stores nothing on disk, so the cell can't recover.
func TestPlatformKilled(t *testing.T) {
	c := newCell(t, 3, 8, noRelayedNode)
	c.acceptBundle()
	service := c.startService()
	l := startLoad(c, service.Service)
	sleep(c, 2*time.Second)
	killed := time.Now()
	c.platformProc.kill()
	sleep(c, longerThanLease)
	l.stop()
	summary := summarizeEvents(c.workerEvents(), service.ID)
	summary.checkInvariants(t)
	l.countOutcomes(summary.requestRuns).checkInvariants(t)
	after := l.stats(killed.Add(time.Second), time.Now(), false)
	t.Logf("requests without a key after the kill: %+v", after)
	if after.done < after.sent || after.sent == 0 {
		t.Errorf("of %d requests without a key, %d were answered after the kill", after.sent, after.done)
	}
}
