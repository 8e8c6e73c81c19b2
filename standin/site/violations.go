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

// maxCrashes is the number of workers that may crash under a task, and maxStartsAfterCrashes
// how often it may be started after that.
const (
	maxCrashes            = 3
	maxStartsAfterCrashes = 2
)

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
	// Teams are the limits of teams.
	Teams []TeamExpectation
	// LongRunning are the jobs whose tasks must run without long gaps.
	LongRunning []LongRunningJob
}

// checker holds the state that follows from the events checked so far.
type checker struct {
	expected Expectations
	// evacuations are the times in which a data centre was evacuated.
	evacuations []evacuation
	// running is the worker on which each task runs, highestFence the highest fence that each
	// worker has accepted.
	running      map[string]string
	highestFence map[string]int64
	// runningCPU is what each running task takes.
	runningCPU map[string]int64
	// succeeded are the runs of each task that succeeded, restartedAfter those of them after
	// which the task was started again, and confirmed the tasks with a confirmed success.
	succeeded      map[string][]int64
	restartedAfter map[runKey]bool
	confirmed      map[string]bool
	// crashes is the number of workers that each task has crashed, and startsAfterCrashes the
	// number of its starts after the last crash that is allowed.
	crashes, startsAfterCrashes map[string]int
	violations                  []string
}

// runKey identifies a run of a task.
type runKey struct {
	task string
	run  int64
}

// Violations checks the events on the workers against the scheduler's guarantees, and
// describes each violation.
func (s *Site) Violations(want Expectations) []string {
	c := &checker{expected: want, evacuations: s.evacuationsSoFar(), running: make(map[string]string), runningCPU: make(map[string]int64), highestFence: make(map[string]int64),
		succeeded: make(map[string][]int64), restartedAfter: make(map[runKey]bool), confirmed: make(map[string]bool),
		crashes: make(map[string]int), startsAfterCrashes: make(map[string]int)}
	for _, e := range s.Events() {
		c.check(e)
	}
	for _, l := range want.LongRunning {
		c.violations = append(c.violations, l.Violations(s.Events())...)
	}
	return c.violations
}

// addViolation adds the description of a violation.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// check checks one event.
func (c *checker) check(e Event) {
	switch e.Kind {
	case EventStart:
		c.checkStart(e)
	case EventEnd, EventGangTimeout:
		delete(c.running, e.Task)
		delete(c.runningCPU, e.Task)
	case EventCrash:
		c.crashes[e.Task]++
	case EventSuccess:
		delete(c.running, e.Task)
		delete(c.runningCPU, e.Task)
		c.succeeded[e.Task] = append(c.succeeded[e.Task], e.Run)
	case EventSuccessConfirmed:
		c.confirmed[e.Task] = true
		if c.restartedAfter[runKey{e.Task, e.Run}] {
			c.addViolation("%s was started again after a success that was confirmed", e.Task)
		}
	case EventOverload:
		c.addViolation("%s exceeds its capacity with %s", e.Worker, e.Task)
	case EventInvalidTicket:
		if c.expected.OrdersDelayed != nil && c.expected.OrdersDelayed(e.Worker, e.At) {
			return
		}
		c.addViolation("%s was ordered to start on %s without a valid ticket", e.Task, e.Worker)
	case EventStartWhileDraining:
		if at, ok := c.expected.DrainedAt[e.Worker]; ok && e.At.Sub(at) > maxStartAfterDrain {
			c.addViolation("%s starts on %s, which has been draining for %s", e.Task, e.Worker, e.At.Sub(at))
		}
	}
}

// checkStart checks a start against the other runs of the task, the refusal and the cancel of
// its job, and the fences that the worker has accepted.
func (c *checker) checkStart(e Event) {
	job, _, _ := strings.Cut(e.Task, ".")
	if worker, ok := c.running[e.Task]; ok {
		c.addViolation("%s runs on %s and starts on %s", e.Task, worker, e.Worker)
	}
	c.running[e.Task] = e.Worker
	c.runningCPU[e.Task] = e.CPUMilli
	c.checkTeams(e, job)
	c.checkEvacuations(e)
	for _, run := range c.succeeded[e.Task] {
		c.restartedAfter[runKey{e.Task, run}] = true
	}
	if c.confirmed[e.Task] {
		c.addViolation("%s starts on %s although its success was confirmed", e.Task, e.Worker)
	}
	if c.crashes[e.Task] >= maxCrashes {
		if c.startsAfterCrashes[e.Task]++; c.startsAfterCrashes[e.Task] == maxStartsAfterCrashes+1 {
			c.addViolation("%s was started %d times after %d workers had crashed under it", e.Task, maxStartsAfterCrashes+1, maxCrashes)
		}
	}
	if c.expected.Refused[job] {
		c.addViolation("%s starts although its job was refused", e.Task)
	}
	if at, ok := c.expected.CancelledAt[job]; ok && e.At.Sub(at) > maxStartAfterCancel {
		c.addViolation("%s starts %s after its job was cancelled", e.Task, e.At.Sub(at))
	}
	if e.Fence < c.highestFence[e.Worker] {
		c.addViolation("%s accepted fence %d after %d", e.Worker, e.Fence, c.highestFence[e.Worker])
	}
	c.highestFence[e.Worker] = max(c.highestFence[e.Worker], e.Fence)
}
