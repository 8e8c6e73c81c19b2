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
	"switchbank.example/switchbank/internal/team"
)

// TestSplitJobWaitsForLimitInAllShards splits a long-running job over 15 shards. Each has a part of
// the team's limit that holds no task, but together they hold ten.
func TestSplitJobWaitsForLimitInAllShards(t *testing.T) {
	const (
		shards, taskCPU, tasksWithinLimit = 15, 3000, 10
		// rounding is what the parts of all shards may lose by being rounded down.
		rounding = 2 * shards
	)
	now := time.Unix(1_000, 0)
	var list []*scheduler.Shard
	running := make([][]cluster.RunStatus, shards)
	report := func(i int) {
		seq, _, _, _ := list[i].BeginHold(now, "w")
		list[i].Observe(now, "w", seq, cluster.Report{ClockMS: now.UnixMilli(), Running: running[i]})
	}
	job := batch("j", tasks(2*shards, taskCPU))
	job.Steps[0].LongRunning, job.Team, job.AcceptedMS = true, "red", now.UnixMilli()
	for i := range shards {
		s := scheduler.New(scheduler.Params{Epoch: 1, Lease: testLease, StopTime: 200 * time.Millisecond, UncertainFor: 10 * time.Second, FinishedRetention: time.Minute, Index: i, Shards: shards}, now, zap.NewNop())
		s.ExpectWorkers([]string{"w"})
		s.UpsertWorker(now, cluster.Worker{ID: "w", Address: "w", Service: "svc", Rack: fmt.Sprintf("r%d", i), Labels: []string{"a"}, Capacity: resource.Amount{CPUMilli: 16_000, MemoryMB: 32_000}, ClockMS: 1})
		s.SetTeams(now, []team.Team{{Name: "red", Weight: 1, Limit: resource.Amount{CPUMilli: taskCPU*tasksWithinLimit + rounding}}})
		list = append(list, s)
		report(i)
		part := job
		part.Shard, part.Share = i, cluster.Share{Index: i, Of: shards}
		s.AddJob(now, part, nil, false)
	}
	started := 0
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for i, s := range list {
			report(i)
			for _, c := range s.Schedule(now) {
				if start, ok := c.(scheduler.Start); ok {
					started++
					running[i] = append(running[i], cluster.RunStatus{Task: start.Task, Run: start.Run, Percent: 100})
					s.StartReplied(now, start.Worker, start.Task, start.Run, cluster.ReplyOK)
				}
			}
			for k, other := range list {
				if k != i {
					other.GiveTeamParts(now, i, s.TeamWants(now))
					s.ReceiveTeamParts(k, other.GivenTo(i))
				}
			}
		}
	}
	if started != tasksWithinLimit {
		t.Errorf("%d tasks run, want the limit of %d", started, tasksWithinLimit)
	}
}
