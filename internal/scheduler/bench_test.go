// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/scheduler"
)

// fullShard is a shard of full workers in which most steps wait.
type fullShard struct {
	*scheduler.Shard
	workers int
	now     time.Time
	running map[string][]cluster.RunStatus
}

// newFullShard fills a shard with jobs of ten tasks each, after it was prepared.
func newFullShard(b *testing.B, workers, jobs int, change func(*scheduler.Shard, int, *cluster.Job), prepare func(*scheduler.Shard, time.Time)) *fullShard {
	b.Helper()
	now := time.Unix(1_000, 0)
	s := scheduler.New(scheduler.Params{Epoch: 1, Lease: testLease, StopTime: 200 * time.Millisecond, UncertainFor: 10 * time.Second, FinishedRetention: time.Minute}, now, zap.NewNop())
	f := &fullShard{s, workers, now, make(map[string][]cluster.RunStatus)}
	s.ExpectWorkers(nil)
	for i := range workers {
		s.UpsertWorker(now, cluster.Worker{
			ID: fmt.Sprintf("w%03d", i), Address: "a", Service: "svc", Rack: fmt.Sprintf("r%d", i/8),
			Capacity: resource.Amount{CPUMilli: 16_000, MemoryMB: 32_000}, ClockMS: 1,
		})
	}
	f.reportAll()
	prepare(s, now)
	for i := range jobs {
		step := tasks(10, 4500)
		step.EstimateMS = 6000
		j := batch(fmt.Sprintf("j%03d", i), step)
		change(s, i, &j)
		s.AddJob(now, j, nil, false)
	}
	for _, c := range s.Schedule(now) {
		if start, ok := c.(scheduler.Start); ok {
			f.running[start.Worker] = append(f.running[start.Worker], cluster.RunStatus{Task: start.Task, Run: start.Run, Percent: 10})
			s.StartReplied(now, start.Worker, start.Task, start.Run, cluster.ReplyOK)
		}
	}
	f.reportAll()
	return f
}

func (f *fullShard) reportAll() {
	for i := range f.workers {
		id := fmt.Sprintf("w%03d", i)
		seq, _, _, _ := f.BeginHold(f.now, id)
		f.Observe(f.now, id, seq, cluster.Report{ClockMS: f.now.UnixMilli(), Running: f.running[id]})
	}
}

// endOneRunEach ends one run on each worker.
func (f *fullShard) endOneRunEach() {
	for id, list := range f.running {
		seq, _, _, _ := f.BeginHold(f.now, id)
		end := cluster.RunEnd{N: 1, Task: list[0].Task, Run: list[0].Run, Outcome: cluster.OutcomeDone}
		f.running[id] = list[1:]
		f.Observe(f.now, id, seq, cluster.Report{ClockMS: f.now.UnixMilli(), Running: list[1:], Ended: []cluster.RunEnd{end}})
	}
}

// run measures scheduling rounds, with reports of all workers each 0.5 s between them.
func (f *fullShard) run(b *testing.B) {
	for b.Loop() {
		f.now = f.now.Add(4 * time.Millisecond)
		if f.now.UnixMilli()%500 < 4 {
			b.StopTimer()
			for id := range f.running {
				for i := range f.running[id] {
					f.running[id][i].Percent = min(99, f.running[id][i].Percent+1)
				}
			}
			f.reportAll()
			b.StartTimer()
		}
		f.Schedule(f.now)
	}
}

// BenchmarkRoundOfFullShard measures one scheduling round in a shard of 280 full workers in
// which most of 520 steps wait. Skipping full workers and computing the expected ends of runs
// once per round keep it near 1 ms; without them it took nine times as long.
func BenchmarkRoundOfFullShard(b *testing.B) {
	const workers, jobs = 280, 520
	newFullShard(b, workers, jobs, func(*scheduler.Shard, int, *cluster.Job) {}, func(*scheduler.Shard, time.Time) {}).run(b)
}

// maxSummaryTime bounds the time in which the summary is built: ten times a second, it is half a
// percent of a processor.
const maxSummaryTime = 500 * time.Microsecond

// BenchmarkSummary measures how long the summary of a full shard of 192 workers with 400 jobs of 30
// tasks takes, and fails above maxSummaryTime.
func BenchmarkSummary(b *testing.B) {
	const workers, jobs, tasksPerStep, queues = 192, 400, 15, 32
	f := newFullShard(b, workers, jobs, func(_ *scheduler.Shard, i int, j *cluster.Job) {
		first := tasks(tasksPerStep, 4500)
		first.EstimateMS = 6000
		second := first
		second.After = []int{0}
		j.Queue, j.Steps, j.Policy.Priority = fmt.Sprintf("q%d", i/8%queues), []cluster.Step{first, second}, i%8
	}, func(*scheduler.Shard, time.Time) {})
	f.endOneRunEach()
	b.ReportAllocs()
	for b.Loop() {
		f.now = f.now.Add(100 * time.Millisecond)
		if s, _ := f.Forecast(f.now); s == nil || len(s.Queues) != queues || len(s.Lanes) != 8 {
			b.Fatalf("summary %+v, want %d queues and 8 priorities", s, queues)
		}
	}
	if each := b.Elapsed() / time.Duration(b.N); each > maxSummaryTime {
		b.Errorf("building a summary takes %v, want %v at most", each, maxSummaryTime)
	}
}
