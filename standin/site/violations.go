// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"strings"
	"time"
)

// maxStartAfterCancel is the platform's bound: after it nothing of a cancelled job starts.
const maxStartAfterCancel = 3 * time.Second

// maxStartAfterDrain is the platform's bound for starts on a worker that is draining.
const maxStartAfterDrain = 2 * time.Second

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

// checker is what the sights up to one have shown.
type checker struct {
	expected Expectations
	// running is the worker on which each task runs, highest the highest epoch that
	// each worker took.
	running      map[string]string
	highestFence map[string]int64
	// succeeded are the runs of a task that have succeeded, again those of them after which it
	// has started, and confirmed the tasks of which a worker was told that a success was read.
	succeeded      map[string][]int64
	restartedAfter map[runKey]bool
	confirmed      map[string]bool
	violations     []string
}

// runKey names one run of a task.
type runKey struct {
	task string
	run  int64
}

// Violations holds what the workers saw against the promises, and describes each one broken.
func (s *Site) Violations(c Expectations) []string {
	v := &checker{expected: c, running: make(map[string]string), highestFence: make(map[string]int64),
		succeeded: make(map[string][]int64), restartedAfter: make(map[runKey]bool), confirmed: make(map[string]bool)}
	for _, e := range s.Events() {
		v.check(e)
	}
	for _, l := range c.LongRunning {
		v.violations = append(v.violations, l.Violations(s.Events())...)
	}
	return v.violations
}

// addViolation describes a promise that was broken.
func (v *checker) addViolation(format string, args ...any) {
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

// check holds one sight against the promises.
func (v *checker) check(e Event) {
	switch e.Kind {
	case EventStart:
		v.checkStart(e)
	case EventEnd, EventGangTimeout:
		delete(v.running, e.Task)
	case EventSuccess:
		delete(v.running, e.Task)
		v.succeeded[e.Task] = append(v.succeeded[e.Task], e.Run)
	case EventSuccessConfirmed:
		v.confirmed[e.Task] = true
		if v.restartedAfter[runKey{e.Task, e.Run}] {
			v.addViolation("%s has started again after a success that was confirmed", e.Task)
		}
	case EventOverload:
		v.addViolation("%s has more than its room with %s", e.Worker, e.Task)
	case EventInvalidTicket:
		if v.expected.OrdersDelayed != nil && v.expected.OrdersDelayed(e.Worker, e.At) {
			return
		}
		v.addViolation("%s came to %s without a valid ticket", e.Task, e.Worker)
	case EventStartWhileDraining:
		if at, ok := v.expected.DrainedAt[e.Worker]; ok && e.At.Sub(at) > maxStartAfterDrain {
			v.addViolation("%s starts on %s, which drains since %s", e.Task, e.Worker, e.At.Sub(at))
		}
	}
}

// checkStart holds a start against the task's other runs, its job's refusal and
// cancel, and the epochs that the worker took before.
func (v *checker) checkStart(e Event) {
	job, _, _ := strings.Cut(e.Task, ".")
	if where, ok := v.running[e.Task]; ok {
		v.addViolation("%s runs on %s and starts on %s", e.Task, where, e.Worker)
	}
	v.running[e.Task] = e.Worker
	for _, run := range v.succeeded[e.Task] {
		v.restartedAfter[runKey{e.Task, run}] = true
	}
	if v.confirmed[e.Task] {
		v.addViolation("%s starts on %s, and its success was confirmed", e.Task, e.Worker)
	}
	if v.expected.Refused[job] {
		v.addViolation("%s starts, and its job was refused", e.Task)
	}
	if at, ok := v.expected.CancelledAt[job]; ok && e.At.Sub(at) > maxStartAfterCancel {
		v.addViolation("%s starts %s after its cancel", e.Task, e.At.Sub(at))
	}
	if e.Fence < v.highestFence[e.Worker] {
		v.addViolation("%s took epoch %d after %d", e.Worker, e.Fence, v.highestFence[e.Worker])
	}
	v.highestFence[e.Worker] = max(v.highestFence[e.Worker], e.Fence)
}
