// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// jointGangSize is one more than a shard has workers, where each member needs a whole worker.
const jointGangSize = workersPerShard + 1

// gangJob returns the spec and the step of a gang whose members need a whole worker each.
func gangJob(durationMS, members int) (spec string, step stepBody) {
	return fmt.Sprintf("%d cpu=%d gang=0:%d", durationMS, workerCores, members),
		stepBody{Count: members, CPU: workerCores, MemoryMB: 100, EstimateMS: int64(durationMS), Gang: true}
}

// countEvents returns how many events of one kind the workers observed.
func (env *testEnv) countEvents(kind string) (n int) {
	for _, e := range env.site.Events() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// TestJointGangsStart submits two gangs at once, each of which needs workers of both shards and of
// which only one fits the service at a time, beside small jobs that never leave all workers idle.
// Both gangs must succeed, and each start must include all members.
//
// It guards against a deadlock, in which each gang holds a part of the workers that the other one
// needs, and against starvation, in which small jobs take every worker that becomes free.
func TestJointGangsStart(t *testing.T) {
	for _, queue := range []string{"batch", "urgent"} {
		t.Run(queue, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testJointGangs(t, queue) })
		})
	}
}

func testJointGangs(t *testing.T, queue string) {
	const (
		smallJobs  = 120
		settleTime = 40 * time.Second
	)
	env := newShardedEnv(t)
	defer env.close()
	env.site.SetRejectOneIn(1 << 30)
	time.Sleep(4 * time.Second)
	spec, step := gangJob(400, jointGangSize)
	ids := []string{env.submit(queue, spec, step), env.submit(queue, spec, step)}
	for range smallJobs {
		env.submit("batch", "900 cpu=1000", stepBody{Count: 2, CPU: 1000, MemoryMB: 10, EstimateMS: 900})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(settleTime)
	for _, id := range ids {
		if state := env.state(queue, id); state != "succeeded" {
			t.Errorf("gang %s is %q", id, state)
		}
	}
	if timeouts := env.countEvents(site.EventGangTimeout); timeouts > 0 {
		t.Errorf("%d gang members timed out waiting for the others", timeouts)
	}
	env.checkNoViolations()
	env.checkJobsSucceeded()
}

// checkJobsSucceeded checks that all accepted jobs have succeeded, but for those that were
// cancelled, and that those with a task that crashes its workers have failed.
func (env *testEnv) checkJobsSucceeded() {
	env.t.Helper()
	for _, id := range env.accepted {
		if _, cancelled := env.cancelled[id]; cancelled || env.succeeded[id] {
			continue
		}
		want := "succeeded"
		if env.crashing[id] {
			want = "failed"
		}
		if state := env.state("batch", id); state != want {
			env.t.Errorf("job %s is %q, want %q", id, state, want)
		}
	}
}

// fullSearch reports whether to run all cases instead of a sample, as set by MODEL=full.
func fullSearch() bool { return os.Getenv("MODEL") == "full" }

// TestJointGangInFaults injects each fault before a gang that spans both shards is submitted, while
// it is being turned into a gang of both shards, or while it runs; at each of these moments with
// MODEL=full, and at one of them otherwise. The gang must succeed.
func TestJointGangInFaults(t *testing.T) {
	moments := []time.Duration{0, 300 * time.Millisecond, 1700 * time.Millisecond, 2500 * time.Millisecond}
	for i, f := range faults() {
		selected := moments
		if !fullSearch() {
			selected = []time.Duration{moments[i%len(moments)]}
		}
		for _, after := range selected {
			t.Run(fmt.Sprintf("%s/%s", f.name, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					env := newShardedEnv(t)
					defer env.close()
					env.site.SetRejectOneIn(1 << 30)
					time.Sleep(4 * time.Second)
					spec, step := gangJob(3000, jointGangSize)
					if after > 0 {
						env.submit("batch", spec, step)
						time.Sleep(after)
					}
					endFault := f.begin(env)
					if after == 0 {
						env.submit("batch", spec, step)
					}
					time.Sleep(faultDuration)
					if endFault != nil {
						endFault()
					}
					time.Sleep(40 * time.Second)
					env.checkNoViolations()
					env.checkJobsSucceeded()
				})
			})
		}
	}
}

// TestJointGangCancelled cancels a gang that runs in both shards, and one that waits in both: no
// member may go on running or start.
func TestJointGangCancelled(t *testing.T) {
	for _, after := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			env := newShardedEnv(t)
			defer env.close()
			env.site.SetRejectOneIn(1 << 30)
			time.Sleep(4 * time.Second)
			spec, step := gangJob(20_000, jointGangSize)
			id := env.submit("batch", spec, step)
			time.Sleep(after)
			if status, _ := env.call("n1", http.MethodDelete, "/batch/"+id, ""); status != http.StatusOK {
				t.Errorf("cancellation answered with status %d", status)
			}
			env.cancelled[id] = time.Now()
			time.Sleep(10 * time.Second)
			for _, k := range env.workers {
				if n := k.RunningTasks(); n > 0 {
					t.Errorf("cancelled after %s: %d tasks run on %s", after, n, k.ID)
				}
			}
			if state := env.state("batch", id); state != "cancelled" {
				t.Errorf("cancelled after %s: the job is %q", after, state)
			}
			env.checkNoViolations()
		})
	}
}

// TestFailingJointGang submits a gang each run of which fails. After as many runs as its queue
// allows the job must have failed, in whichever shards its members ran.
func TestFailingJointGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newShardedEnv(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		spec, step := gangJob(400, jointGangSize)
		id := env.submit("batch", spec+" failing", step)
		time.Sleep(30 * time.Second)
		if state := env.state("batch", id); state != "failed" {
			t.Errorf("the job is %q", state)
		}
		runs := make(map[int64]bool)
		for _, e := range env.site.Events() {
			if e.Kind == site.EventStart && strings.HasPrefix(e.Task, id) {
				runs[e.Run] = true
			}
		}
		if len(runs) != batchAttempts {
			t.Errorf("the gang had %d runs, its queue allows %d", len(runs), batchAttempts)
		}
		env.checkNoViolations()
	})
}

// TestSearchJointGangs searches random schedules for gangs of several shards that don't end or that
// run twice. Gangs of different sizes and small jobs are submitted while owners are killed,
// partitioned or paused, workers crash, respond late or not at all, and the store fails, in
// overlapping sequences. Then all faults are ended. MODEL=full runs many seeds.
func TestSearchJointGangs(t *testing.T) {
	const fullSeeds = 1000
	seeds := sampleSeeds
	if fullSearch() {
		seeds = fullSeeds
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { searchJointGangs(t, uint64(seed)) })
		})
	}
}

func searchJointGangs(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // The same seed must give the same run.
	candidates := faults()
	env := newShardedEnv(t)
	defer env.close()
	env.site.SetRejectOneIn(4)
	time.Sleep(4 * time.Second)
	var endFaults []func()
	for range 12 {
		switch rng.IntN(4) {
		case 0:
			spec, step := gangJob(300+rng.IntN(3000), 2+rng.IntN(shardedWorkers-2))
			env.submit("batch", spec, step)
		case 1:
			env.submit("batch", "700 cpu=1500", stepBody{Count: 1 + rng.IntN(6), CPU: 1500, MemoryMB: 10, EstimateMS: 700})
		case 2:
			if endFault := candidates[rng.IntN(len(candidates))].begin(env); endFault != nil {
				endFaults = append(endFaults, endFault)
			}
		case 3:
			if n := len(endFaults); n > 0 {
				endFaults[n-1]()
				endFaults = endFaults[:n-1]
			}
		}
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
	}
	for _, endFault := range endFaults {
		endFault()
	}
	env.waitAndRecordSuccesses(90 * time.Second)
	env.checkNoViolations()
	env.checkJobsSucceeded()
}

// waitAndRecordSuccesses waits after the last fault, and records which jobs succeed meanwhile: states are
// kept for two minutes only, and some schedules last longer. No job may stall.
func (env *testEnv) waitAndRecordSuccesses(d time.Duration) {
	const interval = 10 * time.Second
	calmSince := time.Now()
	defer func() { env.checkNoStallsSince(calmSince.Add(site.CalmBeforeStall)) }()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		for _, id := range env.accepted {
			if !env.succeeded[id] && env.state("batch", id) == "succeeded" {
				env.succeeded[id] = true
			}
		}
	}
}
