// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = runMemory }

// memoryMB is the limit of the settings, above which the platform kills a process.
const memoryMB = 284

// finishTime is for how long jobs are asked for after the traffic; finish_s is 14.
const finishTime = 25 * time.Second

// rssMB returns how much memory the process of a node uses.
func (n *node) rssMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// guardMemory kills processes that go over their memory, and starts them again after a short delay,
// as the platform does. It returns the number of kills, and the most memory used.
func (c *cell) guardMemory(stop chan struct{}) (kills, peak *atomic.Int64) {
	kills, peak = new(atomic.Int64), new(atomic.Int64)
	for _, n := range c.nodes {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				mb := n.rssMB()
				peak.Store(max(peak.Load(), int64(mb)))
				if mb <= memoryMB && !n.hasExited() {
					continue
				}
				c.logf("platform: process %s uses %d MB of %d and is killed", n.name, mb, memoryMB)
				kills.Add(1)
				n.kill()
				time.Sleep(500 * time.Millisecond)
				c.start(n)
			}
		}()
	}
	return kills, peak
}

// runMemory hands in scheduled jobs that can never be done: their task needs more than any worker has.
// With the disruption they are to run each minute for 69 days, and else for 100 minutes.
func runMemory(trouble bool, record string) int {
	const hopeless = 4
	c := newCell(7, 48, 16000, 32768)
	stop := make(chan struct{})
	defer c.stopAll()
	defer func() { c.writeRecord(record, false) }()
	defer func() { close(stop); time.Sleep(700 * time.Millisecond) }()
	c.workMS = func(string) int64 { return 300 }
	c.store.put("op", "config", configuration(7, route("r-small", "/small/", 0, 3, 250), route("r-big", "/big/", 2, 3, 1200)))
	if !c.startAll() {
		c.logf("the nodes aren't ready")
		return cantRun
	}
	kills, peak := c.guardMemory(stop)
	time.Sleep(3 * time.Second)
	times := 100
	if trouble {
		times = 100_000
	}
	accepted := make(map[string]string)
	small := func(i int) {
		id := fmt.Sprintf("%016x", 0xabc0000+i)
		if c.submit("/small/", id, job{Spec: "small", Steps: []step{{Count: 3, CPU: 400, MemMB: 100, EstimateMS: 300}}}) {
			accepted[id] = ""
		}
	}
	for i := range 10 {
		small(i)
	}
	for i := range hopeless {
		c.submit("/big/", fmt.Sprintf("%016x", 0xb000+i), job{Spec: "hopeless", Steps: []step{{Count: 1, CPU: 20000, MemMB: 100, EstimateMS: 2000}},
			RepeatCount: times, StartAtMS: time.Now().Add(time.Minute).UnixMilli(), IntervalMS: 60_000})
		time.Sleep(time.Second)
		small(100 + i)
	}
	for i := range 10 {
		small(200 + i)
		time.Sleep(300 * time.Millisecond)
	}
	c.logf("end of the traffic: %d small jobs accepted, %d kills, peak %d MB", len(accepted), kills.Load(), peak.Load())
	// Jobs are asked for finish_s after the end of the traffic, and longer.
	end := time.Now().Add(finishTime)
	for {
		open, gone := 0, 0
		for id, state := range accepted {
			if state == "succeeded" {
				continue
			}
			var status int
			if accepted[id], status = c.state("/small/", id); accepted[id] != "succeeded" {
				open++
			}
			if status == http.StatusGone {
				gone++
			}
		}
		c.logf("clients: accepted small jobs not shown as succeeded: %d, of which answered 410: %d; kills %d, peak %d MB", open, gone, kills.Load(), peak.Load())
		switch {
		case open == 0:
			return held
		case time.Now().After(end):
			c.logf("BROKEN LOST: %d accepted jobs have waited for over %s beside free workers", open, finishTime)
			return broken
		}
		time.Sleep(time.Second)
	}
}
