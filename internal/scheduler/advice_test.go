// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// workersAsked returns how many workers the first call of a job of four tasks names, each of
// which needs a whole worker, at a price of half a second a call.
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

// TestGangAsksAboutMoreWorkers checks that a gang, all of whose members must find room at
// once, asks about more workers than tasks that start one by one: a call that finds too
// little room for it costs half a second more.
func TestGangAsksAboutMoreWorkers(t *testing.T) {
	alone, together := workersAsked(t, false), workersAsked(t, true)
	if together < 3*alone/2 {
		t.Errorf("a gang asks about %d workers, tasks of the same size about %d", together, alone)
	}
}
