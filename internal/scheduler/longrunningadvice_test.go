// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// The two tests below come from a play in which a step of eleven tasks that last, one a
// worker, waited for workers that came into use one after the other, and one of its tasks
// was away for 7.7 s:
//
//	21.0 worker found w16    21.4 worker found w17
//	21.5 starting run task=j13.0.0.2 worker=w17 (a gang, which can't be stopped)
//	21.8 advice given job=j2 asked=1 good=1    22.1 worker found w18
//	22.9 advice given job=j2 asked=1 good=1    23.7 advice given job=j2 asked=1 good=1
//	26.0 starting run task=j2.0.0.5 worker=w17
//
// Each worker was asked about once the call about the one before had ended, and until the
// answer came, other work took its room.

// longRunningJobWithAdvice returns a job of tasks that last, one a worker, for which advice is needed.
func longRunningJobWithAdvice(n int) cluster.Job {
	st := longRunningTasks(n, 1000)
	st.MaxPerWorker = 1
	job := batch("lasts", st)
	job.Policy.Advice = &cluster.AdviceCost{BaseMS: 800, ValidMS: 2500}
	return job
}

// TestCapacityIsReservedDuringAdviceCall lets a gang come that would fill the worker about which
// advice is being asked for a task that lasts. The task must have its room.
func TestCapacityIsReservedDuringAdviceCall(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	r.addLongRunning(longRunningJobWithAdvice(1))
	r.runFor(100 * time.Millisecond)
	calls := commandsOf[scheduler.RequestAdvice](r.lastCommands)
	if len(calls) != 1 {
		t.Fatalf("%d calls for advice, want one", len(calls))
	}
	gang := tasks(1, 4000)
	gang.Gang = true
	r.shard.AddJob(r.now, batch("gang", gang), nil, false)
	r.runFor(800 * time.Millisecond)
	r.shard.AdviceReplied(r.now, calls[0].Step, calls[0].Workers, []cluster.Ticket{{Worker: "w0", Value: "t"}}, 0, nil)
	r.runFor(200 * time.Millisecond)
	if !r.isRunning("lasts") {
		t.Error("the task that lasts does not run on the worker that advice allows")
	}
}

// TestNewWorkerIsAskedAboutDuringAdviceCall lets a second worker come while advice on
// the first one is awaited. It must be asked about without waiting for that.
func TestNewWorkerIsAskedAboutDuringAdviceCall(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	r.addLongRunning(longRunningJobWithAdvice(2))
	r.runFor(100 * time.Millisecond)
	if calls := commandsOf[scheduler.RequestAdvice](r.lastCommands); len(calls) != 1 || !slices.Equal(calls[0].Workers, []string{"w0"}) {
		t.Fatalf("calls for advice: %v, want one on w0", calls)
	}
	r.workers["w1"] = &fakeWorker{}
	r.upsertWorkers()
	r.runFor(100 * time.Millisecond)
	if calls := commandsOf[scheduler.RequestAdvice](r.lastCommands); len(calls) != 1 || !slices.Equal(calls[0].Workers, []string{"w1"}) {
		t.Errorf("calls for advice once w1 has come: %v, want one on w1", calls)
	}
}
