// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// workersAsked returns the number of workers in the first advice call of a job with four
// tasks, each of which needs a whole worker. A call takes more than half a second.
func workersAsked(t *testing.T, gang bool) int {
	const workers, members = 60, 4
	r := newRig(t, workers)
	r.upsertWorkers()
	r.reportAll()
	step := tasks(members, 4000)
	step.Gang = gang
	job := batch("j", step)
	job.Policy.Advice = &cluster.AdviceCost{BaseMS: 550, PerWorkerMS: 8, ValidMS: 2000}
	r.shard.AddJob(r.now, job, nil, false)
	calls := commandsOf[scheduler.RequestAdvice](r.shard.Schedule(r.now))
	if len(calls) != 1 {
		t.Fatalf("%d calls, want 1", len(calls))
	}
	return len(calls[0].Workers)
}

// TestGangAsksAboutMoreWorkers checks that a gang, whose members must all start at once,
// asks about more workers than tasks that start one by one. If the approved workers have too
// little room, another call costs half a second more.
func TestGangAsksAboutMoreWorkers(t *testing.T) {
	single, gang := workersAsked(t, false), workersAsked(t, true)
	if gang < 3*single/2 {
		t.Errorf("a gang asks about %d workers, want at least 1.5 times the %d of single tasks", gang, single)
	}
}
