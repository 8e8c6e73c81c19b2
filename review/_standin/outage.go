// SPDX-License-Identifier: Apache-2.0

package main

import (
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// longBatchJob has ten tasks of 12 s.
	longBatchJob = `{"Spec":"12000 cpu=2700","Steps":[{"Count":10,"Cpu":2700,"MemMb":3900,"EstimateMs":12000}]}`
	// ownerCutTime is how long the owner is cut off from the store and the other nodes: twice the
	// longest cut of that kind in the site file.
	ownerCutTime = 11 * time.Second
	// outageCut is how many workers are cut off from all nodes: a third. workersCutAfter is how long
	// after the owner they are cut off, and workersCutTime for how long: twice the longest cut of
	// workers in the site file.
	outageCut       = 8
	workersCutAfter = 6 * time.Second
	workersCutTime  = 11 * time.Second
	// outageTime is how long the store is down: twice its longest outage in the site file.
	outageTime    = 10400 * time.Millisecond
	outageWorkers = 24
	// ownerTable and ownerKey name the row that says which node owns the shard.
	ownerTable = "cell"
	ownerKey   = "owner/inkaso-core/0"
)

// runOutage cuts the node that gives the orders off from the store and from the other nodes, and takes
// the store away as soon as another node is named as the owner. Some seconds later a third of the workers
// are cut off from all nodes. All of them run on.
func runOutage(c *cell) []string {
	c.start(outageWorkers,
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
	c.submit(batchPrefix, batchID, longBatchJob)
	c.waitUntil("all tasks of the batch run", 5*time.Second, func() bool { return c.running() == watchTasks+batchTasks })
	if c.trouble {
		c.outage(first)
	} else {
		time.Sleep(outageTime)
	}
	time.Sleep(afterTime)
	for _, n := range c.nodes {
		c.state(n, watchPrefix, watchID)
		c.state(n, batchPrefix, batchID)
	}
	c.recordRuns()
	return append(c.overlaps(), c.restarts()...)
}

// outage brings the disruptions about, and returns when the last of them is over.
func (c *cell) outage(first *node) {
	before := c.site.Store.Version(ownerTable, "", ownerKey)
	links := []link{{first.name, storeName}}
	for _, n := range c.nodes {
		if n != first {
			links = append(links, link{first.name, n.name}, link{n.name, first.name})
		}
	}
	heal := c.net.cut(links...)
	c.printf("cut: %s from the store and the other nodes", first.name)
	time.AfterFunc(ownerCutTime, func() {
		heal()
		c.printf("%s is no longer cut off", first.name)
	})
	workersOver := make(chan struct{})
	time.AfterFunc(workersCutAfter, func() { c.cutWorkersOff(workersOver) })
	c.waitUntil("another node is named as the owner", 5*time.Second, func() bool { return c.site.Store.Version(ownerTable, "", ownerKey) != before })
	c.site.Store.SetFaults(site.StoreFaults{Down: true})
	c.printf("another node is named as the owner; the store is down")
	time.Sleep(outageTime)
	c.site.Store.SetFaults(site.StoreFaults{})
	c.printf("the store is back")
	<-workersOver
}

// cutWorkersOff cuts workers off from all nodes for some time, and then closes over.
func (c *cell) cutWorkersOff(over chan<- struct{}) {
	var links []link
	var names []string
	for i := range c.busiest(outageCut) {
		names = append(names, workerName(i))
		for _, n := range c.nodes {
			links = append(links, link{n.name, workerName(i)})
		}
	}
	heal := c.net.cut(links...)
	c.printf("cut: the workers %v from all nodes", names)
	time.Sleep(workersCutTime)
	heal()
	c.printf("the workers are no longer cut off")
	close(over)
}
