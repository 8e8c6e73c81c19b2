// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"time"
)

func init() { cases["rowsize"] = runRowSize }

// runRowSize plays one wide job whose tasks write checkpoints, and small jobs beside it. With the
// disruption, 3 of 48 workers drain and leave while the wide job runs.
func runRowSize(trouble bool, record string) int {
	const (
		bigID    = "5c0e7a21d94b36f8"
		bigTasks = 1600
		bigWork  = 75 * time.Second
		leaving  = 3 // of 48: 0.0625; the site's scale_in takes a share of 0.065
		ackMS    = 4 * time.Second
		settleMS = 3 * time.Second // ContactMs
	)
	c := newCell(7, 48, 16000, 32768)
	defer c.stopAll()
	defer func() { c.writeRecord(record, true) }()
	c.workMS = func(task string) int64 {
		if task[:16] == bigID {
			return bigWork.Milliseconds()
		}
		return 300
	}
	c.store.put("op", "config", configuration(7, route("r-small", "/small/", 0, 3, 250), route("r-big", "/big/", 2, 3, 1200)))
	if !c.startAll() {
		c.logf("the nodes aren't ready")
		return cantRun
	}
	time.Sleep(3 * time.Second)
	if !c.submit("/big/", bigID, job{Spec: "big", Steps: []step{{Count: bigTasks, CPU: 400, MemMB: 500, EstimateMS: bigWork.Milliseconds(), Checkpointing: true}}}) {
		c.logf("the wide job isn't accepted")
		return cantRun
	}
	if !c.await(15*time.Second, func() bool { return c.runningTasks() == bigTasks }) {
		c.logf("only %d tasks of the wide job run", c.runningTasks())
		return cantRun
	}
	c.logf("all tasks of the wide job run")
	time.Sleep(2 * time.Second)
	if trouble {
		for _, w := range c.workers[:leaving] {
			c.logf("worker %s says that it is draining, and leaves after 6 s", w.id)
			w.drain(6 * time.Second)
		}
	}
	time.Sleep(8*time.Second + settleMS)
	// From here on nothing is disrupted.
	ids := make(map[string]bool)
	doneAt := make(map[string]time.Time)
	calm := time.Now()
	for i := 0; time.Since(calm) < 40*time.Second; i++ {
		id := fmt.Sprintf("%016x", 0xabc0000+i)
		if i < 20 && c.submit("/small/", id, job{Spec: "small", Steps: []step{{Count: 3, CPU: 400, MemMB: 100, EstimateMS: 300}}}) {
			ids[id] = true
		}
		for id := range ids {
			if state, _ := c.state("/small/", id); state == "succeeded" && doneAt[id].IsZero() {
				doneAt[id] = time.Now()
				c.logf("client: GET /small/%s -> succeeded", id)
			}
		}
		time.Sleep(time.Second)
	}
	// Ends that minions have listed for more than AckMs, among those since the calm began.
	ended, unnoted := c.endsSince(calm, ackMS)
	c.store.mu.Lock()
	rejected := c.store.rejected["row_bytes"]
	c.store.mu.Unlock()
	c.logf("ends of the last 40 s that minions listed for over %s: %d, not taken note of: %d", ackMS, ended, unnoted)
	c.logf("small jobs accepted: %d, shown as succeeded: %d; writes that the store refused for row_bytes: %d", len(ids), len(doneAt), rejected)
	if len(ids) < 10 || ended == 0 {
		return cantRun
	}
	if 5*unnoted > ended {
		c.logf("BROKEN Acks: more than a fifth of the ends that minions list aren't taken note of")
		return broken
	}
	return held
}

// runningTasks returns how many tasks run.
func (c *cell) runningTasks() (n int) {
	for _, w := range c.workers {
		w.mu.Lock()
		n += len(w.running)
		w.mu.Unlock()
	}
	return n
}

// endsSince returns how many ends minions have listed since a time and for at least d, and how many
// of them have not been taken note of.
func (c *cell) endsSince(since time.Time, d time.Duration) (ended, unnoted int) {
	type key struct {
		worker, task string
		run          int64
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	noted := make(map[key]bool)
	for _, e := range c.events {
		if e.what == "noted" {
			noted[key{e.worker, e.task, e.run}] = true
		}
	}
	for _, e := range c.events {
		if e.what != "done" && e.what != "failed" && e.what != "stopped" || e.at.Before(since) || time.Since(e.at) < d {
			continue
		}
		ended++
		if !noted[key{e.worker, e.task, e.run}] {
			unnoted++
		}
	}
	return ended, unnoted
}
