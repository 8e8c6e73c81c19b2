// SPDX-License-Identifier: Apache-2.0

package main

import (
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	watchPrefix = "/mandat/"
	watchID     = "5c0e7a21d94b36f8"
	// watchJob has eight tasks that last, each of a bit over three cores, at most two on a worker.
	watchJob   = `{"Spec":"400 lasting cpu=3400","Steps":[{"Count":8,"Cpu":3400,"MemMb":6200,"EstimateMs":400,"AntiAffinity":2,"LongRunning":true}]}`
	watchTasks = 8

	batchPrefix = "/upomienka/"
	batchID     = "00000bb87a21d94b"
	// batchJob has ten tasks of 11 s.
	batchJob   = `{"Spec":"11000 cpu=2700","Steps":[{"Count":10,"Cpu":2700,"MemMb":3900,"EstimateMs":11000}]}`
	batchTasks = 10

	// settleTime is how long the cell runs before the cut: an owner that is new is given more time
	// before it is replaced.
	settleTime = 12 * time.Second
	// cutTime is how long the cut lasts: as long as the longest cut of a standard day.
	cutTime = 12 * time.Second
	// afterTime is how long the cell runs after the cut.
	afterTime = 12 * time.Second
	// partitionWorkers is how many workers there are, and partitionCut how many of them are on the
	// owner's side of the cut: a third.
	partitionWorkers = 6
	partitionCut     = 2
)

// runPartition cuts the node that gives the orders off, together with two workers, from all other
// nodes and workers, from the store and from the list of machines. Both sides run on.
func runPartition(c *cell) []string {
	c.start(partitionWorkers,
		site.Route{Name: "mandat-watch", Host: callersHost, PathPrefix: watchPrefix, Priority: 1, MaxAttempts: 2, Stretch: 2.2, TargetMS: 2500, Upstream: "inkaso-core"},
		site.Route{Name: "upomienka-batch", Host: callersHost, PathPrefix: batchPrefix, Priority: 2, MaxAttempts: 3, Stretch: 2.2, TargetMS: 1200, Upstream: "inkaso-core"},
	)
	c.submit(watchPrefix, watchID, watchJob)
	c.waitUntil("all watches run", 10*time.Second, func() bool { return c.running() == watchTasks })
	time.Sleep(settleTime)
	first := c.owner(nil)
	if first == nil {
		panic(notRun("no node owns the shard"))
	}
	c.printf("%s gives the orders", first.name)
	c.submit(batchPrefix, batchID, batchJob)
	c.waitUntil("all tasks of the batch run", 5*time.Second, func() bool { return c.running() == watchTasks+batchTasks })
	if c.trouble {
		heal := c.partition(first)
		time.Sleep(cutTime)
		heal()
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(afterTime)
	for _, n := range c.nodes {
		c.state(n, watchPrefix, watchID)
		c.state(n, batchPrefix, batchID)
	}
	c.recordRuns()
	return append(c.overlaps(), c.restarts()...)
}

// partition cuts off a node and two workers, and returns a function that ends the cut.
func (c *cell) partition(first *node) (heal func()) {
	inside := make(map[string]bool)
	for i := range c.busiest(partitionCut) {
		inside[workerName(i)] = true
	}
	var links []link
	for _, n := range c.nodes {
		near := n == first
		for i := range c.workers {
			if inside[workerName(i)] != near {
				links = append(links, link{n.name, workerName(i)})
			}
		}
		for _, o := range c.nodes {
			if (o == first) != near {
				links = append(links, link{n.name, o.name})
			}
		}
		if near {
			links = append(links, link{n.name, storeName}, link{n.name, machinesName}, link{n.name, "advice"})
		}
	}
	healNet := c.net.cut(links...)
	c.printf("cut: %s and the workers %v from everything else", first.name, sortedNames(inside))
	lapse := time.AfterFunc(entryLifetime, func() {
		for i, w := range c.workers {
			if inside[workerName(i)] {
				c.site.Store.Remove("servers", w.ID)
				c.printf("directory: the entry of %s lapses", workerName(i))
			}
		}
	})
	for i, w := range c.workers {
		if inside[workerName(i)] {
			w.SetAnnouncementsPaused(true)
		}
	}
	return func() {
		lapse.Stop()
		healNet()
		for i, w := range c.workers {
			if inside[workerName(i)] {
				w.SetAnnouncementsPaused(false)
			}
		}
		c.printf("the cut is over")
	}
}
