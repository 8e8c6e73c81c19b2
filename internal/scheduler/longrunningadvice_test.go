// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// The tests below guard against long-running tasks that miss workers which come into use one
// after the other. Each worker was asked about only after the call about the one before had
// ended, and until the answer came, other work that can't be preempted took its room.

// longRunningJobWithAdvice returns a job of n long-running tasks, at most one per worker,
// that need advice.
func longRunningJobWithAdvice(n int) cluster.Job {
	st := longRunningTasks(n, 1000)
	st.MaxPerWorker = 1
	job := batch("lasts", st)
	job.Policy.Advice = &cluster.AdviceCost{BaseMS: 800, ValidMS: 2500}
	return job
}

// TestRoomIsReservedDuringAdviceCall checks that room for a long-running task stays reserved on a
// worker during the advice call about it, although a gang that would fill the worker waits.
func TestRoomIsReservedDuringAdviceCall(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	r.addLongRunning(longRunningJobWithAdvice(1))
	r.runFor(100 * time.Millisecond)
	calls := commandsOf[scheduler.RequestAdvice](r.lastCommands)
	if len(calls) != 1 {
		t.Fatalf("%d advice calls, want 1", len(calls))
	}
	gang := tasks(1, 4000)
	gang.Gang = true
	r.shard.AddJob(r.now, batch("gang", gang), nil, false)
	r.runFor(800 * time.Millisecond)
	r.shard.AdviceReplied(r.now, calls[0].Step, calls[0].Workers, []cluster.Ticket{{Worker: "w0", Value: "t"}}, 0, nil)
	r.runFor(200 * time.Millisecond)
	if !r.isRunning("lasts") {
		t.Error("the long-running task does not run on the approved worker")
	}
}

// TestNewWorkerIsAskedAboutDuringAdviceCall checks that a new worker is asked about at once,
// while the call about another worker is still open.
func TestNewWorkerIsAskedAboutDuringAdviceCall(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	r.addLongRunning(longRunningJobWithAdvice(2))
	r.runFor(100 * time.Millisecond)
	if calls := commandsOf[scheduler.RequestAdvice](r.lastCommands); len(calls) != 1 || !slices.Equal(calls[0].Workers, []string{"w0"}) {
		t.Fatalf("advice calls: %v, want one about w0", calls)
	}
	r.workers["w1"] = &fakeWorker{}
	r.upsertWorkers()
	r.runFor(100 * time.Millisecond)
	if calls := commandsOf[scheduler.RequestAdvice](r.lastCommands); len(calls) != 1 || !slices.Equal(calls[0].Workers, []string{"w1"}) {
		t.Errorf("advice calls after w1 was added: %v, want one about w1", calls)
	}
}
