// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["waiting"] = runWaiting }

// runWaiting hands in jobs that need a label that four workers have. With the disruption these four
// answer 503 to all starts for a while.
func runWaiting(trouble bool, record string) int {
	const (
		rare      = 4 // of 48: 0.083
		busyFor   = 6500 * time.Millisecond
		visibleMS = 3 * time.Second
		jobs      = 5
	)
	c := newCell(7, 44, 16000, 32768)
	defer c.stopAll()
	defer func() { c.writeRecord(record, true) }()
	for i := range rare {
		w := c.addWorker(44+i, "r1-5", 16000, 32768)
		w.mu.Lock()
		w.rare = true
		w.mu.Unlock()
		w.beat()
	}
	c.workMS = func(string) int64 { return 800 }
	c.store.put("op", "config", configuration(7, route("r-big", "/big/", 2, 3, 1200)))
	if !c.startAll() {
		c.logf("the nodes aren't ready")
		return cantRun
	}
	time.Sleep(5 * time.Second)
	set := func(busy bool) {
		for _, w := range c.workers[44:] {
			w.mu.Lock()
			w.busy = busy
			w.mu.Unlock()
		}
	}
	if trouble {
		set(true)
		c.logf("the four workers with label b answer 503 to starts")
		time.AfterFunc(busyFor, func() { set(false); c.logf("the four workers are sound again") })
	}
	accepted := make(map[string]time.Time)
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xabc0000+i)
		if c.submit("/big/", id, job{Spec: "rare", Steps: []step{{Count: 4, CPU: 1000, MemMB: 500, EstimateMS: 800, Constraints: "b"}}}) {
			accepted[id] = time.Now()
		}
	}
	bad := 0
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		// Jobs that began at any time until the answer count as begun.
		asked := time.Now()
		var reply struct{ Waiting int }
		c.next++
		n := c.nodes[c.next%len(c.nodes)]
		status := c.call(n, http.MethodGet, "/big/", nil, &reply)
		if status != http.StatusOK {
			continue
		}
		begun := c.begun()
		waiting := 0
		for id, at := range accepted {
			if asked.Sub(at) > visibleMS+2*time.Second && !begun[id] {
				waiting++
			}
		}
		c.logf("client: GET /big/ at %s -> Waiting %d; jobs accepted over 5 s before that haven't begun: %d", n.name, reply.Waiting, waiting)
		if 2*reply.Waiting < waiting {
			bad++
		}
	}
	c.logf("answers that give under half of the waiting jobs: %d", bad)
	if len(accepted) == 0 {
		return cantRun
	}
	if bad > 0 {
		c.logf("BROKEN MIXED")
		return broken
	}
	return held
}

// begun returns the jobs of which a task has begun.
func (c *cell) begun() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := make(map[string]bool)
	for _, e := range c.events {
		if e.what == "start" {
			begun[e.task[:16]] = true
		}
	}
	return begun
}
