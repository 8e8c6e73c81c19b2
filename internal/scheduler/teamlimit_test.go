// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/team"
)

// teamJob returns a job of a team, accepted now.
func (r *rig) teamJob(id, teamName string, steps ...cluster.Step) cluster.Job {
	j := batch(id, steps...)
	j.Team, j.AcceptedMS = teamName, r.now.UnixMilli()
	return j
}

// runningOf returns how many tasks of a job run.
func (r *rig) runningOf(job string) (n int) {
	for task := range r.running() {
		if task.Job == job {
			n++
		}
	}
	return n
}

// TestTeamSendingBeyondWeightDelaysOthers lets one team send eight times its weight to a full
// shard, for 4 s. A job of another team, and one that the first team sends later, have to start
// before what was beyond the weight.
func TestTeamSendingBeyondWeightDelaysOthers(t *testing.T) {
	r := newRig(t, 4)
	r.upsertWorkers()
	r.shard.SetTeams(r.now, []team.Team{{Name: "hot", Weight: 2}, {Name: "calm", Weight: 2}})
	r.reportAll()
	const perSecond, seconds = 16, 4
	for i := range perSecond * seconds {
		r.now = r.now.Add(time.Second / perSecond)
		r.shard.AddJob(r.now, r.teamJob(fmt.Sprintf("hot%d", i), "hot", tasks(1, 4000)), nil, false)
		r.reportAll()
		r.round()
	}
	r.now = r.now.Add(3 * time.Second)
	r.shard.AddJob(r.now, r.teamJob("calm", "calm", tasks(1, 4000)), nil, false)
	r.shard.AddJob(r.now, r.teamJob("later", "hot", tasks(1, 4000)), nil, false)
	for range 3 {
		r.endAllRuns(cluster.OutcomeDone)
		r.runFor(100 * time.Millisecond)
	}
	for _, job := range []string{"calm", "later"} {
		if state, _ := r.shard.Job(job); state == cluster.StatePending {
			t.Errorf("job %s waits behind what a team sent beyond its weight", job)
		}
	}
	for range perSecond * seconds {
		r.endAllRuns(cluster.OutcomeDone)
		r.runFor(100 * time.Millisecond)
	}
	for i := range perSecond * seconds {
		if state, _ := r.shard.Job(fmt.Sprintf("hot%d", i)); state == cluster.StatePending {
			t.Errorf("job hot%d never starts", i)
		}
	}
}

// newRigAtLimit returns a rig of four workers in which team red may run six tasks, and the teams.
func newRigAtLimit(t *testing.T) (*rig, []team.Team) {
	limited := []team.Team{{Name: "red", Weight: 1, Limit: resource.Amount{CPUMilli: 6000}}}
	r := newRig(t, 4)
	r.upsertWorkers()
	r.shard.SetTeams(r.now, limited)
	r.reportAll()
	return r, limited
}

// silenceBusyWorker silences the first worker on which something runs.
func (r *rig) silenceBusyWorker() {
	for _, id := range r.workerIDs() {
		if w := r.workers[id]; len(w.running) > 0 {
			w.silent = true
			return
		}
	}
	r.t.Fatal("nothing runs")
}

// checkLimit checks for a time that at most so many tasks run.
func (r *rig) checkLimit(d time.Duration, most int) {
	r.t.Helper()
	for end := r.now.Add(d); r.now.Before(end); {
		r.runFor(100 * time.Millisecond)
		if n := len(r.running()); n > most {
			r.t.Fatalf("%d tasks run, which exceeds the limit of %d", n, most)
		}
	}
}

// TestEarlierOwnersRunsExceedLimit replaces the owner while a team is at its limit and one worker
// doesn't answer the new owner. What may run there counts.
func TestEarlierOwnersRunsExceedLimit(t *testing.T) {
	r, limited := newRigAtLimit(t)
	first, second := r.teamJob("first", "red", tasks(6, 1000)), r.teamJob("second", "red", tasks(6, 1000))
	r.shard.AddJob(r.now, first, nil, false)
	r.runFor(time.Second)
	if n := r.runningOf("first"); n != 6 {
		t.Fatalf("%d tasks run, want the limit of 6", n)
	}
	r.silenceBusyWorker()
	r.takeOver()
	r.upsertWorkers()
	r.shard.SetTeams(r.now, limited)
	r.shard.AddJob(r.now, first, nil, true)
	r.shard.AddJob(r.now, second, nil, true)
	r.checkLimit(3*time.Second, 6)
}

// TestCancelledJobsRunsExceedLimit is the same for a job that is cancelled meanwhile: it counts as
// long as it may run on the worker that doesn't answer.
func TestCancelledJobsRunsExceedLimit(t *testing.T) {
	r, limited := newRigAtLimit(t)
	first, second := r.teamJob("first", "red", tasks(6, 1000)), r.teamJob("second", "red", tasks(6, 1000))
	r.shard.AddJob(r.now, first, nil, false)
	r.runFor(time.Second)
	r.silenceBusyWorker()
	r.takeOver()
	r.upsertWorkers()
	r.shard.SetTeams(r.now, limited)
	r.shard.AddJob(r.now, first, nil, true)
	second.Epoch = r.epoch
	r.shard.AddJob(r.now, second, nil, false)
	r.shard.EndJob(r.now, "first", cluster.StateCancelled)
	r.checkLimit(3*time.Second, 6)
}

// TestRunsStayAboveReducedLimit lowers a limit below what runs. Long-running tasks are stopped
// last, and a new owner waits until it knows the shard's part.
func TestRunsStayAboveReducedLimit(t *testing.T) {
	r := newRig(t, 4)
	r.upsertWorkers()
	limit := func(cpu int64) {
		r.shard.SetTeams(r.now, []team.Team{{Name: "red", Weight: 1, Limit: resource.Amount{CPUMilli: cpu}}})
	}
	limit(8000)
	r.reportAll()
	lasting := tasks(4, 1000)
	lasting.LongRunning = true
	r.longRunning["lasting"] = true
	r.shard.AddJob(r.now, r.teamJob("lasting", "red", lasting), nil, false)
	r.shard.AddJob(r.now, r.teamJob("short", "red", tasks(4, 1000)), nil, false)
	r.runFor(time.Second)
	if n := len(r.running()); n != 8 {
		t.Fatalf("%d tasks run, want 8", n)
	}
	limit(3000)
	r.runFor(1200 * time.Millisecond)
	if short, long := r.runningOf("short"), r.runningOf("lasting"); short != 0 || long != 3 {
		t.Errorf("%d short and %d long-running tasks run, want 0 and 3", short, long)
	}
}

// BenchmarkRoundOfFullShardWithTeams is BenchmarkRoundOfFullShard with 192 workers and 40 teams, half
// of which are at their limits.
func BenchmarkRoundOfFullShardWithTeams(b *testing.B) { benchmarkTeams(b, 40) }

// BenchmarkRoundOfFullShardWithoutTeams is the same without teams.
func BenchmarkRoundOfFullShardWithoutTeams(b *testing.B) { benchmarkTeams(b, 0) }

func benchmarkTeams(b *testing.B, teams int) {
	const workers, jobs = 192, 400
	f := newFullShard(b, workers, jobs, func(s *scheduler.Shard, i int, j *cluster.Job) {
		if teams > 0 {
			j.Team = fmt.Sprintf("team%d", i%teams)
		}
	}, func(s *scheduler.Shard, now time.Time) {
		var list []team.Team
		for i := range teams {
			x := team.Team{Name: fmt.Sprintf("team%d", i), Weight: 1}
			if i%2 == 0 {
				x.Limit = resource.Amount{CPUMilli: 50_000}
			}
			list = append(list, x)
		}
		s.SetTeams(now, list)
	})
	f.run(b)
}
