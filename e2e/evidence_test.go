// SPDX-License-Identifier: Apache-2.0

//go:build e2e || slopes

package e2e_test

import (
	"slices"
	"testing"

	"switchbank.example/switchbank/standin/worker"
)

// taskName names a task, whatever its attempt.
type taskName struct {
	job  string
	task int
}

// verdict counts what must never happen, from what the workers saw.
type verdict struct {
	twoPlaces int
	overloads int
	ranTwice  int
	// runs counts by body how often a request was run.
	runs map[string]int
}

// judge reads the workers' evidence: starts and ends of all workers are on one
// machine's clock. once names the jobs whose tasks must start at most once.
func judge(sights []worker.Event, once ...string) verdict {
	slices.SortStableFunc(sights, func(a, b worker.Event) int { return a.At.Compare(b.At) })
	v := verdict{runs: make(map[string]int)}
	running := make(map[taskName]int)
	started := make(map[taskName]int)
	for _, s := range sights {
		name := taskName{s.Attempt.Job, s.Attempt.Task}
		switch s.Kind {
		case worker.EventStart:
			running[name]++
			started[name]++
			if running[name] > 1 {
				v.twoPlaces++
			}
			if started[name] > 1 && slices.Contains(once, name.job) {
				v.ranTwice++
			}
		case worker.EventDone, worker.EventFailed, worker.EventStopped, worker.EventLapsed:
			running[name]--
		case worker.EventOverload:
			v.overloads++
		case worker.EventRequest:
			v.runs[s.Body]++
		case worker.EventCheckpoint, worker.EventSlotsExceeded, worker.EventThrottle, worker.EventNewOwner:
		}
	}
	return v
}

// mustBeClean fails the test when the evidence shows a broken promise.
func (v verdict) mustBeClean(t *testing.T) {
	t.Helper()
	if v.twoPlaces > 0 {
		t.Errorf("%d tasks ran in two places", v.twoPlaces)
	}
	if v.overloads > 0 {
		t.Errorf("%d times a worker or instance was given more than it has", v.overloads)
	}
	if v.ranTwice > 0 {
		t.Errorf("%d tasks that must run at most once started twice", v.ranTwice)
	}
}
