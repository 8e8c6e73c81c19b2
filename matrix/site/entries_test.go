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
	// detectedWithin is by when a change of an entry has been noticed: the directory's
	// feed has a pause of 0.2 s.
	detectedWithin = 500 * time.Millisecond
	// jobTime is how long an entry stays spoilt after that; a job is run meanwhile.
	jobTime = 4 * time.Second
)

// corruptEntries are some of the ways in which an entry can be corruptEntries, one of each kind, and one
// that names a service which nobody has configured.
func corruptEntries() []site.CorruptEntry {
	names := []string{"bytes that can't be read", "an unknown state", "without Capacity", "a text for the labels", "no port"}
	list := slices.DeleteFunc(site.CorruptEntries(), func(s site.CorruptEntry) bool { return !slices.Contains(names, s.Name) })
	return append(list, site.UnknownServiceEntry())
}

// TestCorruptEntry spoils the entry of one worker that runs something, while the others'
// hold. Nothing new starts on it, by the feed as by a list; what runs there runs on; and
// once the entry is right again the worker is used again.
//
// A row of the feed that could not be read was skipped, so that the worker it had named
// before went on getting orders.
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
	w := newEnv(t)
	defer w.close()
	time.Sleep(4 * time.Second)
	longRunning := w.submit("batch", "100 lasting cpu=200", stepBody{Count: 1, CPU: 200, MemoryMB: 100, LongRunning: true})
	time.Sleep(time.Second)
	_, workerID := w.starts(longRunning)
	victim := w.workers[slices.IndexFunc(w.workers, func(k *site.Worker) bool { return k.ID == workerID })]
	if listed {
		w.site.Store.SetFaults(site.StoreFaults{NoHistory: true})
	}
	victim.SetAnnouncementsPaused(true)
	victim.OverwriteEntry(kind)
	time.Sleep(detectedWithin)
	detectedAt := time.Now().Add(-time.Millisecond)
	w.runOnAllWorkers()
	if n := w.startsOn(victim.ID, detectedAt); n != 0 {
		t.Errorf("%d runs began on a worker whose entry names none", n)
	}
	if n, now := w.starts(longRunning); n != 1 || now != victim.ID || victim.RunningTasks() != 1 {
		t.Errorf("what ran there was started %d times, last on %s, and %d runs go on there; want it to go on on %s", n, now, victim.RunningTasks(), victim.ID)
	}
	victim.SetAnnouncementsPaused(false)
	repairedAt := time.Now()
	time.Sleep(detectedWithin)
	w.runOnAllWorkers()
	if w.startsOn(victim.ID, repairedAt) == 0 {
		t.Error("nothing was started on the worker once its entry was right again")
	}
	w.site.Store.SetFaults(site.StoreFaults{})
	w.checkNoViolations()
}

// runOnAllWorkers hands in a job that takes all the room that is left, and awaits its end.
func (w *testEnv) runOnAllWorkers() {
	w.t.Helper()
	const tasks = cellWorkers*workerCores/1000 - 1
	id := w.submit("batch", "400 cpu=1000", stepBody{Count: tasks, CPU: 1000, MemoryMB: 100, EstimateMS: 400})
	time.Sleep(jobTime)
	if got := w.state("batch", id); got != "succeeded" {
		w.t.Errorf("a job for all workers is %q", got)
	}
}

// TestCorruptEntryIsCountedOnce checks that an entry which stays spoilt is counted, and so
// logged, once by each owner, however often it is listed or written again.
func TestCorruptEntryIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newEnv(t)
		defer w.close()
		time.Sleep(4 * time.Second)
		owner := w.site.Owner()
		const refused = `switchbank_worker_entries_refused_total{reason="invalid"}`
		bad := site.CorruptEntries()
		bad = slices.DeleteFunc(bad, func(s site.CorruptEntry) bool { return s.Name != "an unknown state" })
		w.workers[0].SetAnnouncementsPaused(true)
		w.site.Store.SetFaults(site.StoreFaults{NoHistory: true})
		for range 5 {
			w.workers[0].OverwriteEntry(bad[0])
			time.Sleep(2 * time.Second)
		}
		if got := w.metric(owner, refused); got != 1 {
			t.Errorf("an entry that stays spoilt is counted %v times, want once", got)
		}
		w.workers[0].SetAnnouncementsPaused(false)
		time.Sleep(2 * time.Second)
		w.workers[0].SetAnnouncementsPaused(true)
		w.workers[0].OverwriteEntry(bad[0])
		time.Sleep(2 * time.Second)
		if got := w.metric(owner, refused); got != 2 {
			t.Errorf("an entry that is spoilt again is counted %v times, want twice", got)
		}
	})
}

// TestCorruptEntriesUnderLoad lets another writer spoil entries all the while, of workers and under
// names that no worker has, beside load and the loss of the owner.
func TestCorruptEntriesUnderLoad(t *testing.T) {
	const (
		seeds    = 5
		pause    = 300 * time.Millisecond
		duration = 12 * time.Second
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newShardedEnv(t)
				defer w.close()
				rng := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // A seed must give the same play.
				time.Sleep(4 * time.Second)
				load := w.startLoad(duration, pause)
				for elapsed := time.Duration(0); elapsed < duration; elapsed += pause {
					w.site.CorruptSomeEntries(rng)
					if elapsed == duration/2 {
						w.kill(w.site.Owner())
					}
					time.Sleep(pause)
				}
				load.Wait()
				w.checkJobsSettled()
				w.checkNoViolations()
			})
		})
	}
}

// TestUnconfiguredService checks that workers of a service which no configuration
// names start no shard, and are used once a configuration names it.
func TestUnconfiguredService(t *testing.T) {
	const later = "later"
	synctest.Test(t, func(t *testing.T) {
		w := newEnv(t)
		defer w.close()
		worker := w.site.AddWorker(site.WorkerConfig{Rack: "r9-9", CPUMilli: workerCores, MemoryMB: 32000, Service: later})
		w.workers = append(w.workers, worker)
		time.Sleep(6 * time.Second)
		for _, key := range w.site.Store.Keys("cell") {
			if key == "layout/"+later || key == "owner/"+later+"/0" {
				t.Errorf("there is a row %s for a service that nobody has named", key)
			}
		}
		w.submit("urgent", urgentSpec, urgentSteps()...)
		route := site.Route{Name: later, Host: "h", PathPrefix: "/later/", MaxAttempts: 3, Stretch: 2, TargetMS: 1200, Upstream: later}
		w.site.Configure(2, append(routes(), route)...)
		time.Sleep(3 * time.Second)
		id := w.submit(later, "400 cpu=500", stepBody{Count: 2, CPU: 500, MemoryMB: 100, EstimateMS: 400})
		time.Sleep(3 * time.Second)
		if got := w.state(later, id); got != "succeeded" {
			t.Errorf("a job of the service is %q once it is named", got)
		}
		if w.startsOn(worker.ID, time.Time{}) == 0 {
			t.Error("nothing was started on the service's worker")
		}
		w.checkNoViolations()
	})
}
