// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// unplaceableJob returns a job that no worker of the rig can run.
func unplaceableJob(id string) cluster.Job {
	step := tasks(1, 500)
	step.Label = "rare"
	return batch(id, step)
}

// TestMovedJobIsNotTakenBack checks that a job which went to another shard doesn't come
// back by a message or a feed that is behind, but does when it is moved back.
func TestMovedJobIsNotTakenBack(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.runFor(time.Second)
	job := unplaceableJob("a")
	r.shard.AddJob(r.now, job, nil, false)
	moves := r.shard.BeginMoves(r.now, 1)
	if len(moves) != 1 || !moves[0].Unfit {
		t.Fatalf("moves of a job that can't run here: %+v", moves)
	}
	r.shard.CompleteMove(r.now, "a")
	r.shard.AddJob(r.now, job, nil, false)
	if r.shard.HasJob("a") {
		t.Error("the job comes back by an old message")
	}
	job.Moves = 2
	r.shard.AddJob(r.now, job, nil, false)
	if !r.shard.HasJob("a") {
		t.Error("a job that was moved back isn't taken")
	}
}

// TestJobsThatMove checks which jobs may move: not begun ones, whole ones, and for
// want of room only from a full shard.
func TestJobsThatMove(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.runFor(time.Second)
	r.shard.AddJob(r.now, batch("begun", tasks(8, 1000)), nil, false)
	r.runFor(time.Second)
	if len(r.running()) != 8 {
		t.Fatalf("%d tasks run, want 8", len(r.running()))
	}
	r.shard.AddJob(r.now, batch("waits", tasks(1, 1000)), nil, false)
	part := unplaceableJob("part")
	part.Share = cluster.Share{Index: 0, Of: 2}
	r.shard.AddJob(r.now, part, nil, false)
	if moves := r.shard.BeginMoves(r.now, 9); len(moves) != 0 {
		t.Errorf("moves at once: %+v", moves)
	}
	r.runFor(time.Second)
	moves := r.shard.BeginMoves(r.now, 9)
	if len(moves) != 1 || moves[0].Job.ID != "waits" || moves[0].Unfit {
		t.Fatalf("moves: %+v", moves)
	}
	r.endAllRuns(cluster.OutcomeDone)
	r.runFor(time.Second)
	waits := cluster.TaskID{Job: "waits"}
	if r.running()[waits] != 0 {
		t.Error("a task starts while its job may be on its way")
	}
	r.shard.CancelMove("waits")
	r.runFor(time.Second)
	if r.running()[waits] != 1 {
		t.Errorf("a job that stays doesn't run: %v", r.running())
	}
}

// TestShareOfJob checks that a shard starts only its own tasks of a split job, also
// after a takeover.
func TestShareOfJob(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.runFor(time.Second)
	step := tasks(5, 500)
	step.LongRunning = true
	job := batch("a", step)
	job.Share = cluster.Share{Index: 1, Of: 2}
	r.shard.AddJob(r.now, job, nil, false)
	r.runFor(time.Second)
	if got := r.running(); len(got) != 2 || got[cluster.TaskID{Job: "a", Index: 1}] != 1 || got[cluster.TaskID{Job: "a", Index: 3}] != 1 {
		t.Errorf("runs %v, want tasks 1 and 3", got)
	}
	if n := r.shard.Waiting(job.Queue); n != 0 {
		t.Errorf("%d jobs wait", n)
	}
}

// TestStartedJobStays checks that a job of which an earlier owner began something
// doesn't move, although nothing of it is persisted and nothing runs: a worker's end
// tells it, or a worker that hasn't answered yet may.
func TestStartedJobStays(t *testing.T) {
	t.Run("an end is listed", func(t *testing.T) {
		r := newRig(t, 2)
		r.upsertWorkers()
		r.workers["w0"].lastEnd = 1
		r.workers["w0"].ended = []cluster.RunEnd{{N: 1, Task: cluster.TaskID{Job: "a"}, Run: 1, Outcome: cluster.OutcomeDone}}
		job := unplaceableJob("a")
		job.Steps = append([]cluster.Step{tasks(1, 500)}, job.Steps...)
		job.Steps[1].After = []int{0}
		r.shard.AddJob(r.now, job, nil, true)
		r.runFor(time.Second)
		if moves := r.shard.BeginMoves(r.now, 1); len(moves) != 0 {
			t.Errorf("moves: %+v", moves)
		}
	})
	t.Run("a worker is silent", func(t *testing.T) {
		r := newRig(t, 2)
		r.upsertWorkers()
		r.workers["w1"].silent = true
		r.shard.AddJob(r.now, unplaceableJob("a"), nil, true)
		r.runFor(15 * time.Second)
		if moves := r.shard.BeginMoves(r.now, 1); len(moves) != 0 {
			t.Errorf("moves: %+v", moves)
		}
	})
	t.Run("all have answered", func(t *testing.T) {
		r := newRig(t, 2)
		r.upsertWorkers()
		r.shard.AddJob(r.now, unplaceableJob("a"), nil, true)
		r.runFor(time.Second)
		if moves := r.shard.BeginMoves(r.now, 1); len(moves) != 1 {
			t.Errorf("moves: %+v, want the job", moves)
		}
	})
}

// TestUnmovableJobsDoNotBlockOthers lets six jobs wait that no worker here can run, and
// asks for two at a time, for which no other shard is found. Each is offered in turn.
//
// The first ones were offered each time: jobs that no shard could run kept all others of
// theirs from moving for good.
func TestUnmovableJobsDoNotBlockOthers(t *testing.T) {
	const jobs, atOnce = 6, 2
	r := newRig(t, 1)
	r.upsertWorkers()
	for i := range jobs {
		step := tasks(1, 500)
		step.Label = "none here has it"
		r.shard.AddJob(r.now, batch(fmt.Sprintf("j%d", i), step), nil, false)
	}
	r.runFor(time.Second)
	offered := make(map[string]bool)
	for range jobs {
		r.runFor(200 * time.Millisecond)
		for _, m := range r.shard.BeginMoves(r.now, atOnce) {
			offered[m.Job.ID] = true
			r.shard.CancelMove(m.Job.ID)
		}
	}
	if len(offered) != jobs {
		t.Errorf("%d of %d jobs were offered to other shards: %v", len(offered), jobs, offered)
	}
}
