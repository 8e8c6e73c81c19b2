// SPDX-License-Identifier: Apache-2.0

//go:build e2e || slopes

package e2e_test

import (
	"slices"
	"testing"

	"switchbank.example/switchbank/standin/worker"
)

// taskID identifies a task in all its attempts.
type taskID struct {
	job  string
	task int
}

// eventSummary counts violations of guarantees, according to the events recorded by the workers.
type eventSummary struct {
	// concurrentRuns counts starts of a task that was running already.
	concurrentRuns int
	// overloads counts workers and instances that were given more than their capacity.
	overloads int
	// repeatedStarts counts second starts of tasks that must run at most once.
	repeatedStarts int
	// requestRuns counts how often each request was run, by its body.
	requestRuns map[string]int
}

// summarizeEvents counts violations in the workers' events. Sorting the events by time
// gives their order, because all workers use the clock of one machine. The tasks of the jobs
// atMostOnce must start at most once.
func summarizeEvents(events []worker.Event, atMostOnce ...string) eventSummary {
	slices.SortStableFunc(events, func(a, b worker.Event) int { return a.At.Compare(b.At) })
	summary := eventSummary{requestRuns: make(map[string]int)}
	running := make(map[taskID]int)
	started := make(map[taskID]int)
	for _, e := range events {
		id := taskID{e.Attempt.Job, e.Attempt.Task}
		switch e.Kind {
		case worker.EventStart:
			running[id]++
			started[id]++
			if running[id] > 1 {
				summary.concurrentRuns++
			}
			if started[id] > 1 && slices.Contains(atMostOnce, id.job) {
				summary.repeatedStarts++
			}
		case worker.EventDone, worker.EventFailed, worker.EventStopped, worker.EventLeaseExpired:
			running[id]--
		case worker.EventOverload:
			summary.overloads++
		case worker.EventRequest:
			summary.requestRuns[e.Body]++
		case worker.EventCheckpoint, worker.EventSlotsExceeded, worker.EventThrottle, worker.EventNewOwner:
		}
	}
	return summary
}

// checkInvariants fails the test if the events show a violation.
func (s eventSummary) checkInvariants(t *testing.T) {
	t.Helper()
	if s.concurrentRuns > 0 {
		t.Errorf("%d times a task was started while it ran already", s.concurrentRuns)
	}
	if s.overloads > 0 {
		t.Errorf("%d times a worker or instance was given more than its capacity", s.overloads)
	}
	if s.repeatedStarts > 0 {
		t.Errorf("%d times a task that must run at most once was started again", s.repeatedStarts)
	}
}
