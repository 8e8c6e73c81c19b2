// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/scheduler"
)

// rig drives a shard in virtual time and plays its workers: it reports the runs that
// were started and ends those that the test selects.
type rig struct {
	t     *testing.T
	shard *scheduler.Shard
	now   time.Time
	epoch int64
	// ownershipLease is that of the shard; 0: its ownership needs no confirmation.
	ownershipLease time.Duration
	workers        map[string]*fakeWorker
	// longRunning holds the jobs with long-running tasks.
	longRunning map[string]bool
	log         *zap.Logger
	// lastCommands are the commands of the last round.
	lastCommands []scheduler.Command
	// chunks are the rows that persist has written beside those of the jobs, by key.
	chunks map[string][]byte
}

// fakeWorker is the state that a worker itself knows.
type fakeWorker struct {
	running      []cluster.RunStatus
	ended        []cluster.RunEnd
	confirmedEnd int64
	lastEnd      int64
	silent       bool
	// started is when its incarnation started; 0: it doesn't tell.
	started int64
}

// unlimitedBytes exceeds the size of every batch in the tests.
const unlimitedBytes = 1 << 20

// listedEnds is how many ends a worker lists in one report.
const listedEnds = 500

const testLease = 8 * time.Second

func newRig(t *testing.T, workers int) *rig {
	r := &rig{t: t, now: time.Unix(1_000, 0), workers: make(map[string]*fakeWorker), longRunning: make(map[string]bool), log: zap.NewNop(), chunks: make(map[string][]byte)}
	for i := range workers {
		r.workers[fmt.Sprintf("w%d", i)] = &fakeWorker{}
	}
	r.takeOver()
	return r
}

// takeOver replaces the shard by that of a new owner, which knows only the list of
// workers.
func (r *rig) takeOver() {
	r.takeOverUnlisted()
	r.shard.ExpectWorkers(r.workerIDs())
}

// takeOverUnlisted is takeOver while the platform's list of machines is unavailable.
func (r *rig) takeOverUnlisted() {
	r.epoch++
	r.shard = scheduler.New(scheduler.Params{
		Epoch: r.epoch, Lease: testLease, StopTime: 200 * time.Millisecond, UncertainFor: 10 * time.Second,
		FinishedRetention: time.Minute, OwnershipLease: r.ownershipLease,
	}, r.now, r.log)
}

func (r *rig) workerIDs() []string {
	var names []string
	for id := range r.workers {
		names = append(names, id)
	}
	slices.Sort(names)
	return names
}

// upsertWorkers adds or updates the entries of all workers, with four cores and 8 GB each.
func (r *rig) upsertWorkers() {
	for i, id := range r.workerIDs() {
		r.shard.UpsertWorker(r.now, cluster.Worker{
			ID: id, Address: id, Service: "svc", Rack: fmt.Sprintf("r1-%d", i/2), Labels: []string{"a"},
			Capacity: resource.Amount{CPUMilli: 4000, MemoryMB: 8000}, ClockMS: r.now.UnixMilli(),
		})
	}
}

// reportAll delivers a report of every worker that is not silent. Long-running tasks are at
// 100% in it.
func (r *rig) reportAll() {
	for _, id := range r.workerIDs() {
		f := r.workers[id]
		seq, order, lastSeen, ok := r.shard.BeginHold(r.now, id)
		if !ok {
			continue
		}
		if f.silent {
			r.shard.HoldFailed(r.now, id, "silent")
			continue
		}
		if order.Fence != r.epoch {
			r.t.Fatalf("the order has fence %d, want the epoch %d", order.Fence, r.epoch)
		}
		f.confirmedEnd = max(f.confirmedEnd, lastSeen)
		for i := range f.running {
			if e := &f.running[i]; r.longRunning[e.Task.Job] {
				e.Percent = 100
			}
		}
		f.ended = slices.DeleteFunc(f.ended, func(e cluster.RunEnd) bool { return e.N <= f.confirmedEnd })
		r.shard.Observe(r.now, id, seq, cluster.Report{
			ClockMS: r.now.UnixMilli(), Running: slices.Clone(f.running), Ended: slices.Clone(f.ended[:min(len(f.ended), listedEnds)]), Started: f.started,
		})
	}
}

// round runs one scheduling round and executes its commands.
func (r *rig) round() []scheduler.Command {
	r.lastCommands = r.shard.Schedule(r.now)
	for _, c := range r.lastCommands {
		switch c := c.(type) {
		case scheduler.Start:
			if f := r.workers[c.Worker]; f != nil && !f.silent {
				f.running = append(f.running, cluster.RunStatus{Task: c.Task, Run: c.Run})
				r.shard.StartReplied(r.now, c.Worker, c.Task, c.Run, cluster.ReplyOK)
			}
		case scheduler.Stop:
			if f := r.workers[c.Worker]; f != nil && !f.silent {
				r.endRun(c.Worker, c.Task, c.Run, cluster.OutcomeStopped)
				r.shard.StopReplied(r.now, c.Worker, c.Task, c.Run, cluster.ReplyOK)
			}
		}
	}
	return r.lastCommands
}

// runFor advances the time in steps of 0.1 s, with a report of all workers and a
// scheduling round in each.
func (r *rig) runFor(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(100 * time.Millisecond)
		r.reportAll()
		r.round()
	}
}

// endRun ends a run on a worker, if it runs there.
func (r *rig) endRun(worker string, task cluster.TaskID, run int64, how cluster.Outcome) {
	f := r.workers[worker]
	before := len(f.running)
	f.running = slices.DeleteFunc(f.running, func(s cluster.RunStatus) bool { return s.Task == task && s.Run == run })
	if len(f.running) < before {
		f.lastEnd++
		f.ended = append(f.ended, cluster.RunEnd{N: f.lastEnd, Task: task, Run: run, Outcome: how})
	}
}

// endAllRuns ends all runs on all workers.
func (r *rig) endAllRuns(how cluster.Outcome) {
	for _, id := range r.workerIDs() {
		for _, s := range slices.Clone(r.workers[id].running) {
			r.endRun(id, s.Task, s.Run, how)
		}
	}
}

// persist writes all pending changes and stores the rows by job.
func (r *rig) persist(rows map[string]scheduler.Record) {
	b := r.shard.NextBatch(r.now, 100, unlimitedBytes)
	r.store(b, rows)
	r.shard.Persisted(r.now, b, 1)
}

// store stores the rows of a batch.
func (r *rig) store(b scheduler.Batch, rows map[string]scheduler.Record) {
	for _, rec := range b.Records {
		rows[rec.Job] = rec
		for _, c := range rec.Chunks {
			if r.chunks[c.Key] = c.Value; len(c.Value) == 0 {
				delete(r.chunks, c.Key)
			}
		}
	}
}

// chunksOf returns the rows with chunks of a job.
func (r *rig) chunksOf(id string) map[string][]byte {
	list := make(map[string][]byte)
	for key, value := range r.chunks {
		if job, _ := scheduler.ChunkOwner(key); job == id {
			list[key] = value
		}
	}
	return list
}

// loadJob adds a job to a new owner's shard, with its progress if that is among the persisted rows.
func (r *rig) loadJob(job cluster.Job, rows map[string]scheduler.Record) {
	r.t.Helper()
	var progress *scheduler.Progress
	if row, ok := rows[job.ID]; ok {
		var err error
		if progress, err = scheduler.ParseProgress(row.Value, 1); err != nil {
			r.t.Fatal(err)
		}
		if err := progress.JoinChunks(r.chunksOf(job.ID)); err != nil {
			r.t.Fatal(err)
		}
	}
	r.shard.AddJob(r.now, job, progress, true)
}

// running returns the number of runs of each task.
func (r *rig) running() map[cluster.TaskID]int {
	m := make(map[cluster.TaskID]int)
	for _, f := range r.workers {
		for _, s := range f.running {
			m[s.Task]++
		}
	}
	return m
}

func batch(id string, steps ...cluster.Step) cluster.Job {
	return cluster.Job{ID: id, Queue: "q", Service: "svc", Policy: cluster.Policy{Priority: 2, MaxAttempts: 2, Stretch: 2}, Steps: steps}
}

func tasks(n int, cpu int64) cluster.Step {
	return cluster.Step{Count: n, Need: resource.Amount{CPUMilli: cpu, MemoryMB: 100}, EstimateMS: 1000}
}

func (r *rig) wantState(want cluster.State) {
	r.t.Helper()
	if got, ok := r.shard.Job("j"); !ok || got != want {
		r.t.Errorf("job j is %q (known: %v), want %q", got, ok, want)
	}
}
