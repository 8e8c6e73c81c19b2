// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"strings"
	"time"
)

// maxStartAfterCancel is the platform's bound for the time between the acknowledgement of a
// cancel and the last start of one of the job's tasks.
const maxStartAfterCancel = 3 * time.Second

// maxStartAfterDrain is the platform's bound for the time between a worker's announcement that
// it is draining and the last start on it.
const maxStartAfterDrain = 2 * time.Second

// Expectations are what callers and the directory have been told. The events on the workers
// are checked against them; a time that is missing isn't checked.
type Expectations struct {
	// Refused are the jobs for which every submission was refused.
	Refused map[string]bool
	// CancelledAt is when each job's cancel was acknowledged, DrainedAt when each worker's
	// announcement that it is draining was stored.
	CancelledAt map[string]time.Time
	DrainedAt   map[string]time.Time
	// OrdersDelayed reports whether orders that reached a worker at a certain time may have
	// been in transit for so long that their tickets expired; nil: never.
	OrdersDelayed func(worker string, at time.Time) bool
	// LongRunning are the jobs whose tasks must run without long gaps.
	LongRunning []LongRunningJob
}

// checker holds the state that follows from the events checked so far.
type checker struct {
	expected Expectations
	// running is the worker on which each task runs, highestFence the highest fence that each
	// worker has accepted.
	running      map[string]string
	highestFence map[string]int64
	// succeeded are the runs of each task that succeeded, restartedAfter those of them after
	// which the task was started again, and confirmed the tasks with a confirmed success.
	succeeded      map[string][]int64
	restartedAfter map[runKey]bool
	confirmed      map[string]bool
	violations     []string
}

// runKey identifies a run of a task.
type runKey struct {
	task string
	run  int64
}

// Violations checks the events on the workers against the platform's guarantees, and describes
// each violation.
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

// addViolation adds the description of a violation.
func (v *checker) addViolation(format string, args ...any) {
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

// check checks one event.
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
			v.addViolation("%s was started again after a success that was confirmed", e.Task)
		}
	case EventOverload:
		v.addViolation("%s exceeds its capacity with %s", e.Worker, e.Task)
	case EventInvalidTicket:
		if v.expected.OrdersDelayed != nil && v.expected.OrdersDelayed(e.Worker, e.At) {
			return
		}
		v.addViolation("%s was ordered to start on %s without a valid ticket", e.Task, e.Worker)
	case EventStartWhileDraining:
		if at, ok := v.expected.DrainedAt[e.Worker]; ok && e.At.Sub(at) > maxStartAfterDrain {
			v.addViolation("%s starts on %s, which has been draining for %s", e.Task, e.Worker, e.At.Sub(at))
		}
	}
}

// checkStart checks a start against the other runs of the task, the refusal and the cancel of
// its job, and the fences that the worker has accepted.
func (v *checker) checkStart(e Event) {
	job, _, _ := strings.Cut(e.Task, ".")
	if worker, ok := v.running[e.Task]; ok {
		v.addViolation("%s runs on %s and starts on %s", e.Task, worker, e.Worker)
	}
	v.running[e.Task] = e.Worker
	for _, run := range v.succeeded[e.Task] {
		v.restartedAfter[runKey{e.Task, run}] = true
	}
	if v.confirmed[e.Task] {
		v.addViolation("%s starts on %s although its success was confirmed", e.Task, e.Worker)
	}
	if v.expected.Refused[job] {
		v.addViolation("%s starts although its job was refused", e.Task)
	}
	if at, ok := v.expected.CancelledAt[job]; ok && e.At.Sub(at) > maxStartAfterCancel {
		v.addViolation("%s starts %s after its job was cancelled", e.Task, e.At.Sub(at))
	}
	if e.Fence < v.highestFence[e.Worker] {
		v.addViolation("%s accepted fence %d after %d", e.Worker, e.Fence, v.highestFence[e.Worker])
	}
	v.highestFence[e.Worker] = max(v.highestFence[e.Worker], e.Fence)
}
