// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// violations judges the starts by the rules that need nothing but what the servers have seen: TWICE,
// LIMIT, ORDER, BUDGET, UNASKED.
func (c *cell) violations() (list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	type rk struct {
		task string
		run  int64
	}
	running, done, failed := map[string]string{}, map[string]int{}, map[string]int{}
	doneRun := map[string][]rk{}
	startedAfterDone := map[rk]bool{}
	add := func(e event, format string, args ...any) {
		list = append(list, fmt.Sprintf("%8.3f  ", e.at.Sub(c.began).Seconds())+fmt.Sprintf(format, args...))
	}
	finished := func(id string, k, s int) bool {
		j := c.jobs[id]
		for i := range j.Steps[s].Count {
			if done[fmt.Sprintf("%s.%d.%d.%d", id, k, s, i)] == 0 {
				return j.Steps[s].Gang && done[fmt.Sprintf("%s.%d.%d.gang", id, k, s)] > 0
			}
		}
		return true
	}
	for _, e := range c.events {
		p := strings.Split(e.task, ".")
		if len(p) != 4 {
			continue
		}
		k, _ := strconv.Atoi(p[1])
		s, _ := strconv.Atoi(p[2])
		j := c.jobs[p[0]]
		switch e.what {
		case "unasked":
			add(e, "UNASKED %s %s", e.task, e.note)
		case "over":
			add(e, "LIMIT %s on %s: %s", e.task, e.worker, e.note)
		case "start":
			if s >= len(j.Steps) {
				continue
			}
			if w, ok := running[e.task]; ok && !j.Steps[s].Speculative {
				add(e, "TWICE %s run %d starts on %s while it runs on %s", e.task, e.run, e.worker, w)
			}
			running[e.task] = e.worker
			for _, d := range doneRun[e.task] {
				startedAfterDone[d] = true
			}
			for _, d := range j.Steps[s].DependsOn {
				if !finished(p[0], k, d) {
					add(e, "ORDER %s before step %d", e.task, d)
				}
			}
			if j.RepeatCount > 0 {
				if due := time.UnixMilli(j.StartAtMS + int64(k)*j.IntervalMS); due.Sub(e.at) > 250*time.Millisecond {
					add(e, "ORDER %s starts %s before its time", e.task, due.Sub(e.at))
				}
			}
			if failed[e.task] >= 3 && !j.Steps[s].LongRunning && !j.Steps[s].Gang {
				add(e, "BUDGET %s starts after %d failed runs", e.task, failed[e.task])
			}
		case "done":
			delete(running, e.task)
			done[e.task]++
			if j.Steps[s].Gang {
				done[p[0]+"."+p[1]+"."+p[2]+".gang"]++
			}
			doneRun[e.task] = append(doneRun[e.task], rk{e.task, e.run})
		case "failed", "stopped", "lapsed", "broken", "alone", "crashed", "left":
			delete(running, e.task)
			if e.what == "failed" {
				failed[e.task]++
			}
		case "noted":
			if e.note == "done" && startedAfterDone[rk{e.task, e.run}] && !j.Steps[s].Speculative {
				add(e, "TWICE %s was started again after run %d was done", e.task, e.run)
			}
		}
	}
	return list
}
