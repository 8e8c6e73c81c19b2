// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// detectedWithin is the time in which the nodes have seen a change of an entry: the directory's
	// feed is read every 0.2 s.
	detectedWithin = 500 * time.Millisecond
	// jobTime is the time in which the job of runOnAllWorkers ends.
	jobTime = 4 * time.Second
)

// corruptEntries returns one way of corrupting an entry of each kind, and a valid entry that names
// a service without a configuration.
func corruptEntries() []site.CorruptEntry {
	names := []string{"bytes that can't be read", "an unknown state", "without Capacity", "a text for the labels", "no port", "absurdly many processors", "deep nesting in an unknown field"}
	list := slices.DeleteFunc(site.CorruptEntries(), func(s site.CorruptEntry) bool { return !slices.Contains(names, s.Name) })
	return append(list, site.UnknownServiceEntry())
}

// TestCorruptEntry corrupts the directory entry of a worker that runs a task, whether nodes read
// the directory by its feed or by listing it. Nothing new may start on that worker, the running
// task must go on, and once the entry is valid again the worker must be used again.
//
// It guards against skipping a row of the feed that can't be read: the worker that the row had
// named before went on getting orders.
func TestCorruptEntry(t *testing.T) {
	for _, kind := range corruptEntries() {
		for _, listed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, listed %t", kind.Name, listed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testCorruptEntry(t, kind, listed) })
			})
		}
	}
}

func testCorruptEntry(t *testing.T, kind site.CorruptEntry, listed bool) {
	env := newEnv(t)
	defer env.close()
	time.Sleep(4 * time.Second)
	longRunning := env.submit("batch", "100 lasting cpu=200", stepBody{Count: 1, CPU: 200, MemoryMB: 100, LongRunning: true})
	time.Sleep(time.Second)
	_, workerID := env.starts(longRunning)
	victim := env.workers[slices.IndexFunc(env.workers, func(k *site.Worker) bool { return k.ID == workerID })]
	if listed {
		env.site.Store.SetFaults(site.StoreFaults{NoHistory: true})
	}
	victim.SetAnnouncementsPaused(true)
	victim.OverwriteEntry(kind)
	time.Sleep(detectedWithin)
	detectedAt := time.Now().Add(-time.Millisecond)
	env.runOnAllWorkers()
	if n := env.startsOn(victim.ID, detectedAt); n != 0 {
		t.Errorf("%d runs started on a worker whose entry is not usable", n)
	}
	if n, lastWorker := env.starts(longRunning); n != 1 || lastWorker != victim.ID || victim.RunningTasks() != 1 {
		t.Errorf("the long-running task was started %d times, last on %s, and %d tasks run there; want it to go on running on %s", n, lastWorker, victim.RunningTasks(), victim.ID)
	}
	victim.SetAnnouncementsPaused(false)
	repairedAt := time.Now()
	time.Sleep(detectedWithin)
	env.runOnAllWorkers()
	if env.startsOn(victim.ID, repairedAt) == 0 {
		t.Error("no run started on the worker after its entry was valid again")
	}
	env.site.Store.SetFaults(site.StoreFaults{})
	env.checkNoViolations()
}

// runOnAllWorkers submits a job that takes all the remaining CPU of the workers, and checks that it
// succeeds within jobTime.
func (env *testEnv) runOnAllWorkers() {
	env.t.Helper()
	const tasks = cellWorkers*workerCores/1000 - 1
	id := env.submit("batch", "400 cpu=1000", stepBody{Count: tasks, CPU: 1000, MemoryMB: 100, EstimateMS: 400})
	time.Sleep(jobTime)
	if got := env.state("batch", id); got != "succeeded" {
		env.t.Errorf("a job for all workers is %q", got)
	}
}

// TestCorruptEntryIsCountedOnce checks that an owner counts, and so logs, an entry that stays
// corrupt only once, however often the entry is listed or written again.
func TestCorruptEntryIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		owner := env.site.Owner()
		const refused = `switchbank_worker_entries_refused_total{reason="invalid"}`
		bad := site.CorruptEntries()
		bad = slices.DeleteFunc(bad, func(s site.CorruptEntry) bool { return s.Name != "an unknown state" })
		env.workers[0].SetAnnouncementsPaused(true)
		env.site.Store.SetFaults(site.StoreFaults{NoHistory: true})
		for range 5 {
			env.workers[0].OverwriteEntry(bad[0])
			time.Sleep(2 * time.Second)
		}
		if got := env.metric(owner, refused); got != 1 {
			t.Errorf("an entry that stays corrupt is counted %v times, want once", got)
		}
		env.workers[0].SetAnnouncementsPaused(false)
		time.Sleep(2 * time.Second)
		env.workers[0].SetAnnouncementsPaused(true)
		env.workers[0].OverwriteEntry(bad[0])
		time.Sleep(2 * time.Second)
		if got := env.metric(owner, refused); got != 2 {
			t.Errorf("an entry that is corrupted again is counted %v times, want twice", got)
		}
	})
}

// TestCorruptEntriesUnderLoad lets another program corrupt entries of workers, and add corrupt
// entries of workers that don't exist, under load and while the owner is killed.
func TestCorruptEntriesUnderLoad(t *testing.T) {
	const (
		seeds    = 5
		pause    = 300 * time.Millisecond
		duration = 12 * time.Second
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newShardedEnv(t)
				defer env.close()
				rng := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // The same seed must give the same run.
				time.Sleep(4 * time.Second)
				load := env.startLoad(duration, pause)
				for elapsed := time.Duration(0); elapsed < duration; elapsed += pause {
					env.site.CorruptSomeEntries(rng)
					if elapsed == duration/2 {
						env.kill(env.site.Owner())
					}
					time.Sleep(pause)
				}
				load.Wait()
				env.checkJobsSettled()
				env.checkNoViolations()
			})
		})
	}
}

// TestUnconfiguredService checks that workers of a service without a configuration create no shard,
// and are used once the service is configured.
func TestUnconfiguredService(t *testing.T) {
	const later = "later"
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		worker := env.site.AddWorker(site.WorkerConfig{Rack: "r9-9", CPUMilli: workerCores, MemoryMB: 32000, Service: later})
		env.workers = append(env.workers, worker)
		time.Sleep(6 * time.Second)
		for _, key := range env.site.Store.Keys("cell") {
			if key == "layout/"+later || key == "owner/"+later+"/0" {
				t.Errorf("row %s exists for a service without a configuration", key)
			}
		}
		env.submit("urgent", urgentSpec, urgentSteps()...)
		route := site.Route{Name: later, Host: "h", PathPrefix: "/later/", MaxAttempts: 3, Stretch: 2, TargetMS: 1200, Upstream: later}
		env.site.Configure(2, append(routes(), route)...)
		time.Sleep(3 * time.Second)
		id := env.submit(later, "400 cpu=500", stepBody{Count: 2, CPU: 500, MemoryMB: 100, EstimateMS: 400})
		time.Sleep(3 * time.Second)
		if got := env.state(later, id); got != "succeeded" {
			t.Errorf("a job of the service is %q once it is configured", got)
		}
		if env.startsOn(worker.ID, time.Time{}) == 0 {
			t.Error("no run started on the service's worker")
		}
		env.checkNoViolations()
	})
}
