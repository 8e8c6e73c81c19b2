// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/standin/site"
)

const (
	// teamLimit is the limit of the team that submits the load, in thousandths of a core: a
	// third of what the workers have, and about what the load takes.
	teamLimit = 9000
	// reducedLimit still holds a gang of the load, though no shard's part of it does.
	reducedLimit = 4000
	redKey       = "red-1"
)

// limitedTeams returns a team with a limit and one without.
func limitedTeams(limit int64) []site.Team {
	return []site.Team{
		{Name: "red", Keys: []string{redKey}, Weight: 2, Limit: site.TeamLimit{CPUMilli: limit}},
		{Name: "blue", Keys: []string{"blue-1"}, Weight: 1},
	}
}

// newLimitedEnv returns an environment with two shards in which the caller's team has a limit.
func newLimitedEnv(t *testing.T) *testEnv { return newLimitedEnvWith(t, teamLimit) }

func newLimitedEnvWith(t *testing.T, limit int64) *testEnv {
	return newEnvWith(t, shardedWorkers, workersPerShard, func(env *testEnv) {
		env.key = redKey
		env.configureLimit(1, limit)
	})
}

// awaitStore waits until the store answers the operators, whose write is acknowledged only then.
func (env *testEnv) awaitStore() {
	for {
		ctx, cancel := context.WithTimeout(env.t.Context(), time.Second)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+storeHost+":1/api/rows-get?table=op", nil)
		if err != nil {
			env.t.Fatal(err)
		}
		status, _ := env.send(r)
		cancel()
		if status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// configureLimit sets the limit of the caller's team.
func (env *testEnv) configureLimit(version, limit int64) {
	env.site.ConfigureTeams(version, limitedTeams(limit), keyedRoutes()...)
	if len(env.teams) == 0 {
		env.teams = []site.TeamExpectation{{Name: "red"}}
	}
	env.teams[0].Limits = append(env.teams[0].Limits, site.LimitChange{At: time.Now(), CPUMilli: limit})
}

// checkTeamLimit checks all guarantees, and that the team did not exceed its limit.
func (env *testEnv) checkTeamLimit() {
	env.t.Helper()
	env.setTeamJobs()
	env.checkNoViolations()
}

// checkNoStallsWithinLimit checks that no accepted job has waited beside room on workers and within
// the limit of its team since a time. It suits times at which teams are at their limits, as
// checkNoStallsSince doesn't.
func (env *testEnv) checkNoStallsWithinLimit(since time.Time) {
	env.t.Helper()
	env.setTeamJobs()
	for _, stall := range env.site.Stalls(site.StallCheck{Jobs: env.stallJobsSoFar(), From: since, Until: time.Now(), Teams: env.teams}) {
		env.t.Error(stall)
	}
}

// setTeamJobs sets the jobs of the team with a limit: it has sent all of them.
func (env *testEnv) setTeamJobs() {
	jobs := make(map[string]bool)
	for _, e := range env.site.Events() {
		jobs[e.Task[:len(e.Task)-len(afterJob(e.Task))]] = true
	}
	for _, j := range env.stallJobsSoFar() {
		jobs[j.ID] = true
	}
	env.teams[0].Jobs = jobs
}

// afterJob returns the part of a task's name after its job.
func afterJob(task string) string {
	const jobIDDigits = 16
	return task[jobIDDigits:]
}

// TestTeamExceedsLimitInFaults injects each fault while a team is at its limit, which spans two
// shards. No start may take it over the limit, and all of its jobs have to end.
func TestTeamExceedsLimitInFaults(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newLimitedEnv(t)
				defer env.close()
				load := env.startLoad(loadDuration, 0)
				env.injectFault(f, faultStart)
				load.Wait()
				env.checkJobsSettled()
				env.checkTeamLimit()
			})
		})
	}
}

// TestTeamExceedsReducedLimit lowers the limit of a team below what it runs, while each fault lasts,
// and raises it again.
func TestTeamExceedsReducedLimit(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newLimitedEnv(t)
				defer env.close()
				load := env.startLoad(loadDuration, faultStart)
				end := f.begin(env)
				time.Sleep(time.Second)
				var change sync.WaitGroup
				change.Go(func() {
					env.awaitStore()
					env.configureLimit(2, reducedLimit)
				})
				time.Sleep(faultDuration)
				if end != nil {
					end()
				}
				change.Wait()
				load.Wait()
				time.Sleep(5 * time.Second)
				env.configureLimit(3, teamLimit)
				env.checkJobsSettled()
				env.checkTeamLimit()
			})
		})
	}
}

// TestGangWaitsForPartsOfLimit submits gangs that a team's limit holds, though no shard's part of it
// does. They have to start within seconds.
func TestGangWaitsForPartsOfLimit(t *testing.T) {
	const limit, gangs = 4500, 6
	synctest.Test(t, func(t *testing.T) {
		env := newLimitedEnvWith(t, limit)
		defer env.close()
		time.Sleep(2 * time.Second)
		began := time.Now()
		var ids []string
		for i := range gangs {
			id := fmt.Sprintf("%016x", i+1)
			env.submitTo("n0", "batch", id, batchSpec, stepBody{Count: 4, CPU: 1000, MemoryMB: 500, EstimateMS: 1500, Gang: true})
			ids = append(ids, id)
		}
		time.Sleep(gangs * 3 * time.Second)
		for _, id := range ids {
			if got := env.state("batch", id); got != "succeeded" {
				t.Errorf("gang %s is %q", id, got)
			}
		}
		env.checkNoStallsWithinLimit(began)
		env.checkTeamLimit()
	})
}

// TestPartOfLimitLeftIdle submits jobs that take a team's whole limit one after the other, to shards
// that have a part of it each. All tasks of a job have to run within seconds.
func TestPartOfLimitLeftIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newLimitedEnv(t)
		defer env.close()
		time.Sleep(2 * time.Second)
		began := time.Now()
		const tasks = 9
		for i := range 2 {
			id := fmt.Sprintf("%016x", i+1)
			env.submitTo("n0", "batch", id, "4000 cpu=1000", stepBody{Count: tasks, CPU: 1000, MemoryMB: 500, EstimateMS: 4000})
			time.Sleep(2 * time.Second)
			if got := env.runningTasks(id); got < tasks-1 {
				t.Errorf("%d tasks run, want %d at least", got, tasks-1)
			}
			if cores := env.teamCores(); cores < tasks-1 {
				t.Errorf("the metrics show %v cores of the team, want %d at least", cores, tasks-1)
			}
			time.Sleep(6 * time.Second)
		}
		env.checkNoStallsWithinLimit(began)
		env.checkTeamLimit()
	})
}

// TestUnreadablePartsExceedLimit makes unreadable what a shard has given of a team's limit, under
// load, and kills the owners. The team may not exceed its limit, and its jobs have to end with the
// half of it that the other shard has.
func TestUnreadablePartsExceedLimit(t *testing.T) {
	const limit = 12_000
	for _, value := range []string{`{"given":5`, `{"given":{"red":[0,-900000]}}`} {
		synctest.Test(t, func(t *testing.T) {
			env := newLimitedEnvWith(t, limit)
			defer env.close()
			load := env.startLoad(loadDuration, faultStart)
			shard := cluster.ShardID{Service: service}
			env.site.Store.PutRaw(owner.TableProgress, owner.ProgressPart(shard), "!teams", []byte(value))
			for _, name := range env.killAll() {
				env.startNode(name + "b")
			}
			load.Wait()
			env.checkJobsSettled()
			env.checkTeamLimit()
		})
	}
}

// teamCores returns the cores that the team uses according to the metrics of all nodes.
func (env *testEnv) teamCores() (sum float64) {
	for _, name := range env.nodeNames() {
		_, page := env.get(name+":4", "/metrics")
		for line := range strings.Lines(string(page)) {
			if value, ok := strings.CutPrefix(line, `switchbank_team_cores{team="red"} `); ok {
				cores, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
				if err != nil {
					env.t.Fatal(err)
				}
				sum += cores
			}
		}
	}
	return sum
}

// TestGangWiderThanLimitAccepted submits a gang that its team may never run. It has to be refused at
// once, and nothing of it may run.
func TestGangWiderThanLimitAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newLimitedEnv(t)
		defer env.close()
		time.Sleep(2 * time.Second)
		wide := map[string]stepBody{
			"gang": {Count: 10, CPU: 1000, MemoryMB: 500, EstimateMS: 1500, Gang: true},
			"task": {Count: 1, CPU: 9500, MemoryMB: 500, EstimateMS: 1500},
		}
		for name, step := range wide {
			began := time.Now()
			status, data := env.call("n0", http.MethodPost, "/batch/"+keyedJob, env.encodeJob(batchSpec, step))
			if status != http.StatusTooManyRequests || time.Since(began) > time.Second {
				t.Errorf("a %s above the limit is answered with %d %s after %v", name, status, data, time.Since(began))
			}
		}
		time.Sleep(5 * time.Second)
		if slices.ContainsFunc(env.site.Events(), func(e site.Event) bool { return e.Kind == site.EventStart }) {
			t.Error("a task of a refused job has started")
		}
	})
}

// TestPartOfLimitArrivesLate submits a short urgent job to a shard that has none of its team's limit
// left, while the other shard has. Its deadline leaves little time for asking the other shard.
func TestPartOfLimitArrivesLate(t *testing.T) {
	const maxWait = 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		env := newLimitedEnvWith(t, 4000)
		defer env.close()
		time.Sleep(5 * time.Second)
		began := time.Now()
		for i := range 8 {
			id := fmt.Sprintf("%016x", i+1)
			accepted := time.Now()
			env.submitTo("n0", "batch", id, batchSpec, stepBody{Count: 3, CPU: 1000, MemoryMB: 500, EstimateMS: 1500})
			time.Sleep(4 * time.Second)
			for _, e := range env.site.Events() {
				if wait := e.At.Sub(accepted); e.Kind == site.EventStart && wait > maxWait && wait < 4*time.Second {
					t.Errorf("%s starts %v after its job was submitted", e.Task, wait)
				}
			}
		}
		env.checkNoStallsWithinLimit(began)
		env.checkTeamLimit()
	})
}

// TestTeamExceedsLimitOfManyShards runs faults of nodes on a service of 15 shards of one rack each.
// No shard's part of the team's limit holds a task of its batches.
func TestTeamExceedsLimitOfManyShards(t *testing.T) {
	for _, f := range nodeFaults() {
		if f.name != allNodesKilled.name {
			t.Run(f.name, func(t *testing.T) { runLimitOfManyShards(t, f) })
		}
	}
}

// TestLimitOfManyShardsStallsJobs guards against a gang that waits for parts of its team's limit from
// other shards after all nodes were killed, although the team has room within its limit.
func TestLimitOfManyShardsStallsJobs(t *testing.T) {
	runLimitOfManyShards(t, allNodesKilled)
}

func runLimitOfManyShards(t *testing.T, f fault) {
	const shards, workersOfShard = 15, 2
	synctest.Test(t, func(t *testing.T) {
		env := newEnvWith(t, shards*workersOfShard, workersOfShard, func(env *testEnv) {
			env.key = redKey
			env.configureLimit(1, teamLimit)
		})
		defer env.close()
		load := env.startLoad(loadDuration, 0)
		env.injectFault(f, faultStart)
		load.Wait()
		for i := range shards {
			if env.ownerRow(cluster.ShardID{Service: service, Index: i}).Epoch == 0 {
				t.Errorf("there is no shard %d", i)
			}
		}
		env.checkJobsSettled()
		env.checkTeamLimit()
	})
}
