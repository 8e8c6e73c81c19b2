// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// newWorkerRestartEnv returns an environment with two shards whose workers report their start time.
func newWorkerRestartEnv(t *testing.T) *testEnv {
	env := newEnvWith(t, 0, workersPerShard, func(env *testEnv) { env.site.Configure(1, routes()...) })
	for i := range shardedWorkers {
		env.workers = append(env.workers, env.site.AddWorker(site.WorkerConfig{
			Rack: fmt.Sprintf("r1-%d", i/2), CPUMilli: workerCores, MemoryMB: 32000, ReportStartTime: true,
		}))
	}
	return env
}

// crashAndRestart crashes the i-th worker and restarts it after a pause, under its old ID if it
// reports its start time. Its host's clock is shifted by clockShift meanwhile.
func (env *testEnv) crashAndRestart(i int, pause, clockShift time.Duration) {
	old := env.worker(i)
	if old.Crashed() {
		return
	}
	old.Crash()
	time.Sleep(pause)
	next := env.startReplacement(old, clockShift)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.workers[i] = next
}

// startReplacement starts a worker on the machine of a crashed one: under the old ID if the worker
// reports its start time, and under a new one otherwise.
func (env *testEnv) startReplacement(old *site.Worker, clockShift time.Duration) *site.Worker {
	if old.ReportsStartTime() {
		return env.site.RestartSameID(old, clockShift)
	}
	return env.site.Restart(old)
}

// restartRounds is how often workers restart in a run, and jobsPerRound how many jobs are submitted
// before each round.
const (
	restartRounds = 6
	jobsPerRound  = 24
)

// TestWorkersRestartUnderSameID crashes six of eight workers and restarts them under their old IDs,
// in six rounds and after pauses from 0 to 1 s, under a load of jobs of three tasks. Every job must
// succeed, and no task may succeed twice whose success was confirmed.
//
// It guards against mixing up two incarnations of a worker. Sequence numbers that were confirmed
// for the ends of the old one covered ends of the new one, which were skipped, or deleted by the
// worker before they were read, and runs of the new one were compared with those of the old one.
// With pauses of up to 20 ms, 8 or 9 of the 24 jobs of a round had not ended after 12 s, and 23 to
// 56 of 425 tasks were done more than once. From pauses of 50 ms on, the list of machines showed
// the crash first.
func TestWorkersRestartUnderSameID(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 80 * time.Millisecond, time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const settleTime = 12 * time.Second
				env := newWorkerRestartEnv(t)
				defer env.close()
				env.site.SetRejectOneIn(1 << 30)
				time.Sleep(4 * time.Second)
				for round := range restartRounds {
					for range jobsPerRound {
						env.submit("batch", "900 cpu=500", stepBody{Count: 3, CPU: 500, MemoryMB: 10, EstimateMS: 900})
					}
					time.Sleep(time.Duration(200+100*round) * time.Millisecond)
					for i := range 6 {
						go env.crashAndRestart(i, pause, time.Duration(round%3-1)*3*time.Second)
					}
					time.Sleep(settleTime)
					env.checkJobsSucceeded()
				}
				env.checkNoViolations()
			})
		})
	}
}

// TestSearchRebornWorkers searches random schedules for jobs that don't end and tasks that run
// twice while workers restart under their old IDs or under new ones. The load has short and
// long-running tasks, gangs of one and of two shards, and steps that need tickets; owners are
// killed, partitioned and replaced, and orders are executed late, held back in the network or not
// answered. With some seeds some workers, or all, don't report their start time.
//
// REBORN_SEED=n runs a single seed, and MODEL=full many.
func TestSearchRebornWorkers(t *testing.T) {
	const fullSeeds = 1000
	first, last := 0, sampleSeeds
	if fullSearch() {
		last = fullSeeds
	}
	if n, err := strconv.Atoi(os.Getenv("REBORN_SEED")); err == nil {
		first, last = n, n+1
	}
	for seed := first; seed < last; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { searchWorkerRestarts(t, uint64(seed)) })
		})
	}
}

// restartRandomWorkers restarts random workers one after the other, mostly within milliseconds.
func (env *testEnv) restartRandomWorkers(rng *rand.Rand) {
	for range 1 + rng.IntN(4) {
		i := rng.IntN(shardedWorkers)
		pause := time.Duration(rng.IntN(30)) * time.Millisecond
		if rng.IntN(4) == 0 {
			pause = time.Duration(rng.IntN(3000)) * time.Millisecond
		}
		env.crashAndRestart(i, pause, time.Duration(rng.IntN(7)-3)*time.Second)
		time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
	}
}

// delayRandomOrders makes a random worker execute its next orders late, possibly after it has
// crashed.
func (env *testEnv) delayRandomOrders(rng *rand.Rand) {
	env.worker(rng.IntN(shardedWorkers)).SetFaults(site.WorkerFaults{
		Late: 1 + rng.IntN(3), LateBy: time.Duration(500+rng.IntN(11_500)) * time.Millisecond,
	})
}

// stallRandomWorker holds what the nodes send to a random worker back in the network for a while.
func (env *testEnv) stallRandomWorker(rng *rand.Rand) {
	host := fmt.Sprintf("w%d", rng.IntN(shardedWorkers))
	names, from := env.nodeNames(), time.Now()
	for _, n := range names {
		env.net.Stall(n, host)
	}
	time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
	for _, n := range names {
		env.net.Release(n, host)
	}
	env.stalls = append(env.stalls, stall{initialWorkerID(host), from, time.Now()})
}

// stall is a period in which orders to a worker were held back in the network.
type stall struct {
	worker      string
	from, until time.Time
}

// initialWorkerID returns the ID of the first worker on a host. Workers that report their start
// time keep it.
func initialWorkerID(host string) string {
	n, err := strconv.Atoi(host[1:])
	if err != nil {
		panic("a worker's host ends with its number: " + host)
	}
	return "i-" + strconv.Itoa(n+1)
}

// mayBeDelayed reports whether an order that reached a worker at a time may have been held back.
func (env *testEnv) mayBeDelayed(worker string, at time.Time) bool {
	const arrivesWithin = time.Second
	return slices.ContainsFunc(env.stalls, func(s stall) bool {
		return s.worker == worker && !at.Before(s.from) && at.Before(s.until.Add(arrivesWithin))
	})
}

func searchWorkerRestarts(t *testing.T, seed uint64) {
	const (
		steps      = 16
		settleTime = 60 * time.Second
		// longRunningTasks leaves enough workers free for any gang.
		longRunningTasks = shardedWorkers - maxGangSize
	)
	rng := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // The same seed must give the same run.
	env := newEnvWith(t, 0, workersPerShard, func(env *testEnv) { env.site.Configure(1, routes()...) })
	defer env.close()
	reporting := rng.IntN(4)
	for i := range shardedWorkers {
		env.workers = append(env.workers, env.site.AddWorker(site.WorkerConfig{
			Rack: fmt.Sprintf("r1-%d", i/2), CPUMilli: workerCores, MemoryMB: 32000, ReportStartTime: reporting > 0 || i%2 == 0,
		}))
	}
	env.site.SetRejectOneIn(1 << 30)
	time.Sleep(4 * time.Second)
	longRunning := env.submit("batch", "500 lasting cpu=500", stepBody{Count: longRunningTasks, CPU: 500, MemoryMB: 10, EstimateMS: 500, LongRunning: true})
	for range steps {
		env.randomStep(rng)
		time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
	}
	for i := range shardedWorkers {
		env.worker(i).SetFaults(site.WorkerFaults{})
	}
	env.waitAndRecordSuccesses(settleTime)
	if n := env.runningTasks(longRunning); n != longRunningTasks {
		t.Errorf("%d of %d long-running tasks run", n, longRunningTasks)
	}
	env.checkNoViolations()
	env.accepted = env.accepted[1:] // The long-running job doesn't end.
	env.checkJobsSucceeded()
}

// maxGangSize is the size of the largest gang in a run: more than a shard has workers.
const maxGangSize = 6

// randomStep submits a random job or injects a random fault.
func (env *testEnv) randomStep(rng *rand.Rand) {
	switch rng.IntN(8) {
	case 0, 1:
		env.restartRandomWorkers(rng)
	case 2:
		spec, step := gangJob(300+rng.IntN(2000), 2+rng.IntN(maxGangSize-1))
		env.submit("batch", spec, step)
	case 3:
		env.delayRandomOrders(rng)
	case 4:
		env.stallRandomWorker(rng)
	case 5:
		if startNode := env.killOwner(); rng.IntN(2) == 0 {
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			startNode()
		} else {
			startNode()
		}
	default:
		queue := []string{"batch", "urgent"}[rng.IntN(2)]
		env.submit(queue, "700 cpu=800", stepBody{Count: 1 + rng.IntN(8), CPU: 800, MemoryMB: 10, EstimateMS: 700})
	}
}

// runningTasks returns how many tasks of a job run, as the workers observed.
func (env *testEnv) runningTasks(job string) int {
	tasks := make(map[string]bool)
	for _, r := range env.site.RunningRuns() {
		if strings.HasPrefix(r.Task, job+".") {
			tasks[r.Task] = true
		}
	}
	return len(tasks)
}

// TestLongRunningTasksRestartWithWorkers restarts half of the workers under their old IDs while
// long-running tasks run on all of them. Each task must run again within 3 s.
func TestLongRunningTasksRestartWithWorkers(t *testing.T) {
	const (
		longRunningTasks = 2 * shardedWorkers
		restartedWithin  = 3 * time.Second
	)
	for _, pause := range []time.Duration{0, 10 * time.Millisecond, 500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			env := newWorkerRestartEnv(t)
			defer env.close()
			time.Sleep(4 * time.Second)
			id := env.submit("batch", "500 lasting cpu=1500", stepBody{Count: longRunningTasks, CPU: 1500, MemoryMB: 10, EstimateMS: 500, LongRunning: true})
			time.Sleep(3 * time.Second)
			if n := env.runningTasks(id); n != longRunningTasks {
				t.Fatalf("%d of %d tasks run", n, longRunningTasks)
			}
			for i := range shardedWorkers / 2 {
				go env.crashAndRestart(2*i, pause, time.Duration(i-2)*time.Second)
			}
			time.Sleep(restartedWithin)
			if n := env.runningTasks(id); n != longRunningTasks {
				t.Errorf("%s after workers restarted after a pause of %s, %d of %d tasks run", restartedWithin, pause, n, longRunningTasks)
			}
			env.checkNoViolations()
		})
	}
}
