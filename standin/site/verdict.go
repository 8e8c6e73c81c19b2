// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"strings"
	"time"
)

// cancelWithin is the platform's bound: after it nothing of a cancelled job starts.
const cancelWithin = 3 * time.Second

// drainWithin is the platform's bound for starts on a worker that is draining.
const drainWithin = 2 * time.Second

// Expectations is what callers and the directory said, against which the workers' sights
// are held. Times that are left out are not judged.
type Expectations struct {
	// Refused are the jobs of which every call was refused.
	Refused map[string]bool
	// CancelledAt is when a job's cancel was acknowledged, Drained when the store took a
	// worker's announcement that it drains.
	CancelledAt map[string]time.Time
	DrainedAt   map[string]time.Time
	// OrdersDelayed reports whether orders that reached a worker at a time may have been on
	// their way for seconds, so that their tickets ran out; nil: never.
	OrdersDelayed func(worker string, at time.Time) bool
	// LongRunning are jobs of one step whose tasks last, with times in which there was room
	// for them and no fault.
	LongRunning []LongRunningJob
}

// verdict is what the sights up to one have shown.
type verdict struct {
	claims Expectations
	// running is the worker on which each task runs, highest the highest epoch that
	// each worker took.
	running map[string]string
	highest map[string]int64
	// done are the runs of a task that have succeeded, again those of them after which it
	// has started, and confirmed the tasks of which a worker was told that a success was read.
	done      map[string][]int64
	again     map[taskRunKey]bool
	confirmed map[string]bool
	wrong     []string
}

// taskRunKey names one run of a task.
type taskRunKey struct {
	task string
	run  int64
}

// Violations holds what the workers saw against the promises, and describes each one broken.
func (s *Site) Violations(c Expectations) []string {
	v := &verdict{claims: c, running: make(map[string]string), highest: make(map[string]int64),
		done: make(map[string][]int64), again: make(map[taskRunKey]bool), confirmed: make(map[string]bool)}
	for _, e := range s.Events() {
		v.judge(e)
	}
	for _, l := range c.LongRunning {
		v.wrong = append(v.wrong, l.Violations(s.Events())...)
	}
	return v.wrong
}

// add describes a promise that was broken.
func (v *verdict) add(format string, args ...any) {
	v.wrong = append(v.wrong, fmt.Sprintf(format, args...))
}

// judge holds one sight against the promises.
func (v *verdict) judge(e Event) {
	switch e.Kind {
	case EventStart:
		v.judgeStart(e)
	case EventEnd, EventGangTimeout:
		delete(v.running, e.Task)
	case EventSuccess:
		delete(v.running, e.Task)
		v.done[e.Task] = append(v.done[e.Task], e.Run)
	case EventSuccessConfirmed:
		v.confirmed[e.Task] = true
		if v.again[taskRunKey{e.Task, e.Run}] {
			v.add("%s has started again after a success that was confirmed", e.Task)
		}
	case EventOverload:
		v.add("%s has more than its room with %s", e.Worker, e.Task)
	case EventInvalidTicket:
		if v.claims.OrdersDelayed != nil && v.claims.OrdersDelayed(e.Worker, e.At) {
			return
		}
		v.add("%s came to %s without a valid ticket", e.Task, e.Worker)
	case EventStartWhileDraining:
		if at, ok := v.claims.DrainedAt[e.Worker]; ok && e.At.Sub(at) > drainWithin {
			v.add("%s starts on %s, which drains since %s", e.Task, e.Worker, e.At.Sub(at))
		}
	}
}

// judgeStart holds a start against the task's other runs, its job's refusal and
// cancel, and the epochs that the worker took before.
func (v *verdict) judgeStart(e Event) {
	job, _, _ := strings.Cut(e.Task, ".")
	if where, ok := v.running[e.Task]; ok {
		v.add("%s runs on %s and starts on %s", e.Task, where, e.Worker)
	}
	v.running[e.Task] = e.Worker
	for _, run := range v.done[e.Task] {
		v.again[taskRunKey{e.Task, run}] = true
	}
	if v.confirmed[e.Task] {
		v.add("%s starts on %s, and its success was confirmed", e.Task, e.Worker)
	}
	if v.claims.Refused[job] {
		v.add("%s starts, and its job was refused", e.Task)
	}
	if at, ok := v.claims.CancelledAt[job]; ok && e.At.Sub(at) > cancelWithin {
		v.add("%s starts %s after its cancel", e.Task, e.At.Sub(at))
	}
	if e.Fence < v.highest[e.Worker] {
		v.add("%s took epoch %d after %d", e.Worker, e.Fence, v.highest[e.Worker])
	}
	v.highest[e.Worker] = max(v.highest[e.Worker], e.Fence)
}
