// SPDX-License-Identifier: Apache-2.0

package main

import (
	"syscall"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// spreadJob has sixteen tasks that last, each on a worker of its own.
	spreadJob   = `{"Spec":"400 lasting cpu=3400","Steps":[{"Count":16,"Cpu":3400,"MemMb":6200,"EstimateMs":400,"AntiAffinity":1,"LongRunning":true}]}`
	spreadTasks = 16
	// freezeWorkers is how many workers there are, and freezeCut how many of them are cut off from the
	// other nodes: a third.
	freezeWorkers = 24
	freezeCut     = 8
)

const (
	// freezeTime is how long the owner is frozen, and storeCutTime how long it is cut off from the
	// store: as long as in the deployment's list of troubles.
	freezeTime   = 4 * time.Second
	storeCutTime = 5500 * time.Millisecond
)

// runFreeze freezes the node that gives the orders, cuts it off from the store and cuts a third of
// the workers off from the other nodes. The node wakes after some seconds, and later reaches the store
// again; the workers stay cut off for longer.
func runFreeze(c *cell) []string {
	c.start(freezeWorkers, site.Route{Name: "mandat-watch", Host: callersHost, PathPrefix: watchPrefix, Priority: 1, MaxAttempts: 2, Stretch: 2.2, TargetMS: 2500, Upstream: "inkaso-core"})
	c.submit(watchPrefix, watchID, spreadJob)
	c.waitUntil("all watches run", 10*time.Second, func() bool { return c.running() == spreadTasks })
	time.Sleep(settleTime)
	first := c.owner(nil)
	if first == nil {
		panic(notRun("no node owns the shard"))
	}
	c.printf("%s gives the orders", first.name)
	if c.trouble {
		c.freeze(first)
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(afterTime)
	for _, n := range c.nodes {
		c.state(n, watchPrefix, watchID)
	}
	c.recordRuns()
	return append(c.overlaps(), c.restarts()...)
}

// freeze brings the disruptions about, and returns when the last of them is over.
func (c *cell) freeze(first *node) {
	var links []link
	for i := range c.busiest(freezeCut) {
		for _, n := range c.nodes {
			if n != first {
				links = append(links, link{n.name, workerName(i)})
			}
		}
	}
	healWorkers := c.net.cut(links...)
	c.printf("cut: %v", links)
	healStore := c.net.cut(link{first.name, storeName})
	c.printf("cut: %s from the store", first.name)
	_ = first.cmd.Process.Signal(syscall.SIGSTOP)
	c.printf("%s is frozen", first.name)
	time.Sleep(freezeTime)
	_ = first.cmd.Process.Signal(syscall.SIGCONT)
	c.printf("%s wakes", first.name)
	time.Sleep(storeCutTime - freezeTime)
	healStore()
	c.printf("%s reaches the store again", first.name)
	time.Sleep(cutTime - storeCutTime)
	healWorkers()
	c.printf("the workers are no longer cut off")
}
