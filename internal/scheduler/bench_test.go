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

// BenchmarkRoundOfFullShard measures one scheduling round in a shard of 280 full workers in
// which most of 520 steps wait. Skipping full workers and computing the expected ends of runs
// once per round keep it near 1 ms; without them it took nine times as long.
func BenchmarkRoundOfFullShard(b *testing.B) {
	const workers, jobs = 280, 520
	now := time.Unix(1_000, 0)
	s := scheduler.New(scheduler.Params{Epoch: 1, Lease: testLease, StopTime: 200 * time.Millisecond, UncertainFor: 10 * time.Second, FinishedRetention: time.Minute}, now, zap.NewNop())
	s.ExpectWorkers(nil)
	for i := range workers {
		s.UpsertWorker(now, cluster.Worker{
			ID: fmt.Sprintf("w%03d", i), Address: "a", Service: "svc", Rack: fmt.Sprintf("r%d", i/8),
			Capacity: resource.Amount{CPUMilli: 16_000, MemoryMB: 32_000}, ClockMS: 1,
		})
	}
	running := make(map[string][]cluster.RunStatus)
	reportAll := func() {
		for i := range workers {
			id := fmt.Sprintf("w%03d", i)
			seq, _, _, _ := s.BeginHold(now, id)
			s.Observe(now, id, seq, cluster.Report{ClockMS: now.UnixMilli(), Running: running[id]})
		}
	}
	reportAll()
	for i := range jobs {
		step := tasks(10, 4500)
		step.EstimateMS = 6000
		s.AddJob(now, batch(fmt.Sprintf("j%03d", i), step), nil, false)
	}
	for _, c := range s.Schedule(now) {
		if start, ok := c.(scheduler.Start); ok {
			running[start.Worker] = append(running[start.Worker], cluster.RunStatus{Task: start.Task, Run: start.Run, Percent: 10})
			s.StartReplied(now, start.Worker, start.Task, start.Run, cluster.ReplyOK)
		}
	}
	reportAll()
	for b.Loop() {
		now = now.Add(4 * time.Millisecond)
		if now.UnixMilli()%500 < 4 {
			b.StopTimer()
			for id := range running {
				for i := range running[id] {
					running[id][i].Percent = min(99, running[id][i].Percent+1)
				}
			}
			reportAll()
			b.StartTimer()
		}
		s.Schedule(now)
	}
}
