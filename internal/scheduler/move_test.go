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

// TestMovedJobIsNotTakenBack checks that a shard does not take back a job that it has moved
// away because of an old message or a feed that lags behind, but does once the job is moved
// back.
func TestMovedJobIsNotTakenBack(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.runFor(time.Second)
	job := unplaceableJob("a")
	r.shard.AddJob(r.now, job, nil, false)
	moves := r.shard.BeginMoves(r.now, 1)
	if len(moves) != 1 || !moves[0].Unfit {
		t.Fatalf("moves are %+v, want the job that can't run here", moves)
	}
	r.shard.CompleteMove(r.now, "a", 0)
	r.shard.AddJob(r.now, job, nil, false)
	if r.shard.HasJob("a") {
		t.Error("the shard takes the job back from an old message")
	}
	job.Moves = 2
	r.shard.AddJob(r.now, job, nil, false)
	if !r.shard.HasJob("a") {
		t.Error("the shard doesn't take a job that was moved back")
	}
}

// TestJobsThatMove checks which jobs may move: only those that have not started and are not
// split, and for lack of room only out of a full shard.
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
		t.Errorf("moves are %+v right after the jobs were added, want none", moves)
	}
	r.runFor(time.Second)
	moves := r.shard.BeginMoves(r.now, 9)
	if len(moves) != 1 || moves[0].Job.ID != "waits" || moves[0].Unfit {
		t.Fatalf("moves are %+v, want the waiting job", moves)
	}
	r.endAllRuns(cluster.OutcomeDone)
	r.runFor(time.Second)
	waits := cluster.TaskID{Job: "waits"}
	if r.running()[waits] != 0 {
		t.Error("a task starts while its job may be moving")
	}
	r.shard.CancelMove("waits", 0)
	r.runFor(time.Second)
	if r.running()[waits] != 1 {
		t.Errorf("%v runs, want the task of the job that stays", r.running())
	}
}

// TestShareOfJob checks that a shard starts only its own tasks of a split job.
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
	if n := r.shard.WaitingJobs(job.Queue); n != 0 {
		t.Errorf("%d jobs wait, want none", n)
	}
}

// TestStartedJobStays checks that a job that an earlier owner has started does not move,
// although none of its progress is persisted and nothing of it runs: a listed end shows that it
// was started, and a worker that has not answered yet may show it.
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
			t.Errorf("moves are %+v, want none", moves)
		}
	})
	t.Run("a worker is silent", func(t *testing.T) {
		r := newRig(t, 2)
		r.upsertWorkers()
		r.workers["w1"].silent = true
		r.shard.AddJob(r.now, unplaceableJob("a"), nil, true)
		r.runFor(15 * time.Second)
		if moves := r.shard.BeginMoves(r.now, 1); len(moves) != 0 {
			t.Errorf("moves are %+v, want none", moves)
		}
	})
	t.Run("all have answered", func(t *testing.T) {
		r := newRig(t, 2)
		r.upsertWorkers()
		r.shard.AddJob(r.now, unplaceableJob("a"), nil, true)
		r.runFor(time.Second)
		if moves := r.shard.BeginMoves(r.now, 1); len(moves) != 1 {
			t.Errorf("moves are %+v, want the job", moves)
		}
	})
}

// TestUnmovableJobsDoNotBlockOthers checks that six jobs that no worker here can run are
// offered to other shards in turn, two at a time, although no shard takes any. If the first
// ones were offered each time, jobs that no shard can run would keep all others from moving.
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
			r.shard.CancelMove(m.Job.ID, m.Job.Moves)
		}
	}
	if len(offered) != jobs {
		t.Errorf("%d of %d jobs were offered to other shards: %v", len(offered), jobs, offered)
	}
}

// TestUnfitJobIsStuckAfterManyMoves guards against an accepted job that stays for good in a shard
// that can't run it: it had used up its moves on its way between a full shard and another one.
func TestUnfitJobIsStuckAfterManyMoves(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.runFor(time.Second)
	for moves, within := range map[int]time.Duration{0: 0, 7: 0, 8: time.Second, 9: 2 * time.Second, 40: time.Minute} {
		job := unplaceableJob(fmt.Sprintf("j%d", moves))
		job.Moves = moves
		r.shard.AddJob(r.now, job, nil, false)
		if got := r.shard.BeginMoves(r.now, 1); (len(got) == 1) != (within == 0) {
			t.Errorf("after %d moves %d jobs move at once", moves, len(got))
		}
		r.shard.CancelMove(job.ID, moves)
		r.now = r.now.Add(within)
		if got := r.shard.BeginMoves(r.now, 1); len(got) != 1 || !got[0].Unfit {
			t.Errorf("after %d moves and %v the moves are %+v, want the job that can't run here", moves, within, got)
		}
		r.shard.EndJob(r.now, job.ID, cluster.StateCancelled)
	}
}

// TestJobThatCameBackIsAdded checks that a job's row of a later move replaces the job that is still
// moving away, and that the end of the earlier move changes nothing any more.
func TestJobThatCameBackIsAdded(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.runFor(time.Second)
	job := unplaceableJob("a")
	r.shard.AddJob(r.now, job, nil, false)
	if got := r.shard.BeginMoves(r.now, 1); len(got) != 1 {
		t.Fatalf("%d jobs move, want 1", len(got))
	}
	r.shard.AddJob(r.now, job, nil, false)
	if !r.shard.IsMoving("a") {
		t.Error("an old row ends the move")
	}
	back := job
	back.Moves = 2
	r.shard.AddJob(r.now, back, nil, false)
	if r.shard.IsMoving("a") {
		t.Error("the job that came back is still taken for moving")
	}
	r.shard.CompleteMove(r.now, "a", 0)
	if !r.shard.HasJob("a") {
		t.Error("the end of the earlier move removes the job that came back")
	}
	if got := r.shard.BeginMoves(r.now, 1); len(got) != 1 || got[0].Job.Moves != 2 {
		t.Errorf("the moves are %+v, want the job after two moves", got)
	}
	if r.shard.CancelMove("a", 0); !r.shard.IsMoving("a") {
		t.Error("the end of the earlier move ends the next one")
	}
}
