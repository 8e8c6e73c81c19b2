// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

func init() { cases["refuse"] = runRefuse }

// owner returns the node that owns the service's shard, by what the nodes say.
func (c *cell) owner(except *node) *node {
	for _, n := range c.nodes {
		if n == except || n.hasExited() {
			continue
		}
		var reply struct {
			Owns []json.RawMessage `json:"owns"`
		}
		r, err := http.Post("http://"+n.peers+"/peer/v2/ping", "application/json", stringsReader("{}"))
		if err != nil {
			continue
		}
		_ = json.NewDecoder(r.Body).Decode(&reply)
		_ = r.Body.Close()
		if len(reply.Owns) > 0 {
			return n
		}
	}
	return nil
}

// runRefuse plays long tasks. With the disruption, one machine and a share of the workers are
// partitioned from the rest for 12 s: connections to the machine are refused, and the workers are
// reached by it alone.
func runRefuse(trouble bool, record string) int {
	const (
		cutFor  = 12 * time.Second
		workers = 48
		behind  = 8 // 0.17 of the workers
	)
	c := newLinkedCell(7, workers, 16000, 32768, true)
	defer c.stopAll()
	defer func() { c.writeRecord(record, true) }()
	c.workMS = func(string) int64 { return 40_000 }
	c.store.put("op", "config", configuration(7, route("r-big", "/big/", 2, 3, 1200)))
	if !c.startAll() {
		c.logf("the nodes aren't ready")
		return cantRun
	}
	time.Sleep(6 * time.Second)
	var ids []string
	for i := range 24 {
		id := fmt.Sprintf("%016x", 0xabc0000+i)
		if c.submit("/big/", id, job{Spec: "batch", Steps: []step{{Count: 10, CPU: 2700, MemMB: 3900, EstimateMS: 40_000, AntiAffinity: 2}}}) {
			ids = append(ids, id)
		}
	}
	c.await(5*time.Second, func() bool { return c.runningTasks() == 10*len(ids) })
	time.Sleep(3 * time.Second)
	a := c.owner(nil)
	if a == nil || len(ids) == 0 {
		c.logf("nobody owns the workers")
		return cantRun
	}
	c.logf("%d tasks run; %s gives the orders", c.runningTasks(), a.name)
	var behindCut []*worker
	for i := 0; i < workers; i += workers / behind {
		behindCut = append(behindCut, c.workers[i])
	}
	for _, w := range behindCut {
		w.mu.Lock()
		c.logf("worker %s (%d tasks) is on the side of %s", w.id, len(w.running), a.name)
		w.mu.Unlock()
	}
	if trouble {
		c.logf("the partition begins: connections to and from %s are refused, but to the workers on its side", a.name)
		highest := c.highestFence()
		for _, w := range c.workers {
			if slices.Contains(behindCut, w) {
				w.gate.shut(withOwner, highest)
			} else {
				w.gate.shut(withOthers, highest)
			}
		}
		// The ways from the machine come first, so that it learns of nothing that happens meanwhile.
		for _, k := range c.links {
			if k.node != a && k.direction == toNode {
				k.refuse(a)
			}
		}
		for _, direction := range []string{toPlatform, toNode} {
			for _, k := range c.links {
				if k.node == a && k.direction == direction {
					k.cut()
				}
			}
		}
	}
	for end := time.Now().Add(cutFor); time.Now().Before(end); time.Sleep(2 * time.Second) {
		c.logf("tasks that run: %d; owner on the other side: %s", c.runningTasks(), nameOf(c.owner(a)))
	}
	if trouble {
		for _, k := range c.links {
			if k.node == a {
				k.heal()
			} else if k.direction == toNode {
				k.refuse(nil)
			}
		}
		for _, w := range c.workers {
			w.gate.shut(everywhere, 0)
		}
		c.logf("the partition is over")
	}
	time.Sleep(4 * time.Second)
	list := c.violations()
	for _, v := range list {
		c.logf("BROKEN %s", v)
	}
	c.logf("starts that break a rule: %d", len(list))
	if len(list) > 0 {
		return broken
	}
	return held
}

func nameOf(n *node) string {
	if n == nil {
		return "none"
	}
	return n.name
}

// highestFence returns the highest fence that a worker has seen.
func (c *cell) highestFence() (highest int64) {
	for _, w := range c.workers {
		w.mu.Lock()
		highest = max(highest, w.fence)
		w.mu.Unlock()
	}
	return highest
}
