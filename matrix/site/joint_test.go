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

// jointGangSize is one member more than a shard of perShard workers holds, where each needs
// a whole worker.
const jointGangSize = workersPerShard + 1

// gangJob returns the Spec and the step of a gang that needs so many whole workers.
func gangJob(durationMS, members int) (spec string, step stepBody) {
	return fmt.Sprintf("%d cpu=%d gang=0:%d", durationMS, workerCores, members),
		stepBody{Count: members, CPU: workerCores, MemoryMB: 100, EstimateMS: int64(durationMS), Gang: true}
}

// countEvents counts what workers countEvents of one kind.
func (w *testEnv) countEvents(kind string) (n int) {
	for _, e := range w.site.Events() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// TestJointGangsStart hands in two gangs at once, each of which needs workers of both
// shards and of which only one fits the service at a time, beside small jobs that never
// leave all workers empty by themselves. Both must end, whole each time that they start.
//
// Each needs what the other one could take: two that had a part of it each would wait for
// each other, and small jobs would take each worker that comes free.
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
	w := newShardedEnv(t)
	defer w.close()
	w.site.SetRejectOneIn(1 << 30)
	time.Sleep(4 * time.Second)
	spec, step := gangJob(400, jointGangSize)
	ids := []string{w.submit(queue, spec, step), w.submit(queue, spec, step)}
	for range smallJobs {
		w.submit("batch", "900 cpu=1000", stepBody{Count: 2, CPU: 1000, MemoryMB: 10, EstimateMS: 900})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(settleTime)
	for _, id := range ids {
		if state := w.state(queue, id); state != "succeeded" {
			t.Errorf("gang %s is %q", id, state)
		}
	}
	if timeouts := w.countEvents(site.EventGangTimeout); timeouts > 0 {
		t.Errorf("%d members waited for the others in vain", timeouts)
	}
	w.checkNoViolations()
	w.checkJobsSucceeded()
}

// checkJobsSucceeded checks that all accepted jobs have succeeded.
func (w *testEnv) checkJobsSucceeded() {
	w.t.Helper()
	for _, id := range w.accepted {
		if _, cancelled := w.cancelled[id]; cancelled || w.succeeded[id] {
			continue
		}
		if state := w.state("batch", id); state != "succeeded" {
			w.t.Errorf("job %s is %q", id, state)
		}
	}
}

// fullSearch reports whether all plays are wanted, which MODEL=full says, and not a sample.
func fullSearch() bool { return os.Getenv("MODEL") == "full" }

// TestJointGangInFaults lets each fault befall a gang that runs in both shards: before it
// is handed in, while it is made one of both shards, or while it runs; at each of these
// moments if all plays are wanted. It must end.
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
					w := newShardedEnv(t)
					defer w.close()
					w.site.SetRejectOneIn(1 << 30)
					time.Sleep(4 * time.Second)
					spec, step := gangJob(3000, jointGangSize)
					if after > 0 {
						w.submit("batch", spec, step)
						time.Sleep(after)
					}
					endFault := f.begin(w)
					if after == 0 {
						w.submit("batch", spec, step)
					}
					time.Sleep(faultDuration)
					if endFault != nil {
						endFault()
					}
					time.Sleep(40 * time.Second)
					w.checkNoViolations()
					w.checkJobsSucceeded()
				})
			})
		}
	}
}

// TestJointGangCancelled cancels a gang that runs in both shards, and one that waits in
// both: nothing of it may run on or start.
func TestJointGangCancelled(t *testing.T) {
	for _, after := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := newShardedEnv(t)
			defer w.close()
			w.site.SetRejectOneIn(1 << 30)
			time.Sleep(4 * time.Second)
			spec, step := gangJob(20_000, jointGangSize)
			id := w.submit("batch", spec, step)
			time.Sleep(after)
			if status, _ := w.call("n1", http.MethodDelete, "/batch/"+id, ""); status != http.StatusOK {
				t.Errorf("a cancel was answered %d", status)
			}
			w.cancelled[id] = time.Now()
			time.Sleep(10 * time.Second)
			for _, k := range w.workers {
				if n := k.RunningTasks(); n > 0 {
					t.Errorf("cancelled after %s: %d tasks run on %s", after, n, k.ID)
				}
			}
			if state := w.state("batch", id); state != "cancelled" {
				t.Errorf("cancelled after %s: the job is %q", after, state)
			}
			w.checkNoViolations()
		})
	}
}

// TestFailingJointGang hands in a gang that can't be done: each of its runs fails, and
// after as many as its queue allows the job has failed, wherever its members were.
func TestFailingJointGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShardedEnv(t)
		defer w.close()
		time.Sleep(4 * time.Second)
		spec, step := gangJob(400, jointGangSize)
		id := w.submit("batch", spec+" failing", step)
		time.Sleep(30 * time.Second)
		if state := w.state("batch", id); state != "failed" {
			t.Errorf("the job is %q", state)
		}
		runs := make(map[int64]bool)
		for _, e := range w.site.Events() {
			if e.Kind == site.EventStart && strings.HasPrefix(e.Task, id) {
				runs[e.Run] = true
			}
		}
		if len(runs) != batchAttempts {
			t.Errorf("the gang had %d runs, its queue allows %d", len(runs), batchAttempts)
		}
		w.checkNoViolations()
	})
}

// TestSearchJointGangs searches for gangs of several shards that don't end or that run
// twice, in plays drawn by their seeds: gangs of different widths and small jobs come,
// owners are killed, cut off or paused, workers crash, answer late or not at all, the store
// fails, in series that overlap. Then all is put right. MODEL=full plays many.
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
	rng := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // Each play must repeat.
	candidates := faults()
	w := newShardedEnv(t)
	defer w.close()
	w.site.SetRejectOneIn(4)
	time.Sleep(4 * time.Second)
	var endFaults []func()
	for range 12 {
		switch rng.IntN(4) {
		case 0:
			spec, step := gangJob(300+rng.IntN(3000), 2+rng.IntN(shardedWorkers-2))
			w.submit("batch", spec, step)
		case 1:
			w.submit("batch", "700 cpu=1500", stepBody{Count: 1 + rng.IntN(6), CPU: 1500, MemoryMB: 10, EstimateMS: 700})
		case 2:
			if endFault := candidates[rng.IntN(len(candidates))].begin(w); endFault != nil {
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
	w.waitAndRecordSuccesses(90 * time.Second)
	w.checkNoViolations()
	w.checkJobsSucceeded()
}

// waitAndRecordSuccesses waits, and notes which jobs succeed meanwhile: states are kept for two minutes
// only, which some plays last.
func (w *testEnv) waitAndRecordSuccesses(d time.Duration) {
	const interval = 10 * time.Second
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		for _, id := range w.accepted {
			if !w.succeeded[id] && w.state("batch", id) == "succeeded" {
				w.succeeded[id] = true
			}
		}
	}
}
