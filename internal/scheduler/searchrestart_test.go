// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

const (
	// firstStartMS is the start time of the workers, as they report it first.
	firstStartMS = 1_764_742_000_000
	// restartChance is the probability that a worker restarts in a tick.
	restartChance = 0.02
	// maxEntryDelay is the longest time until the directory entry of a restarted worker is read.
	maxEntryDelay = 1500 * time.Millisecond
	// fullRestartSeeds is the number of seeds with MODEL=full.
	fullRestartSeeds = 4000
)

// TestSearchWorkersStartAgain runs the simulations of TestSearchTasksStart with workers that
// restart under their IDs, with their hosts' clocks set back or ahead, until the faults end. No
// task may run twice, and all tasks with room must run at the end, whichever of a restarted
// worker's entry, its list of runs and an order comes first.
//
// SEARCH_SEED=n runs one seed and prints its trace, and MODEL=full runs 4,000.
func TestSearchWorkersStartAgain(t *testing.T) {
	searchSeeds(t, fullRestartSeeds, func(seed uint64, traced bool) (failure, trace string) {
		return newRestartSimulation(t, seed, traced).run()
	})
}

// searchSeeds runs the first seeds in parallel, or only SEARCH_SEED with its trace. With
// MODEL=full there are as many seeds as given.
func searchSeeds(t *testing.T, fullSeeds int64, run func(seed uint64, traced bool) (failure, trace string)) {
	if value := os.Getenv("SEARCH_SEED"); value != "" {
		seed, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		failure, trace := run(seed, true)
		if t.Logf("%s\nseed %d: %s", trace, seed, failure); failure != "" {
			t.Fail()
		}
		return
	}
	seeds := int64(defaultSeeds)
	if os.Getenv("MODEL") == "full" {
		seeds = fullSeeds
	}
	var next, failed atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := next.Add(1) - 1; seed < seeds; seed = next.Add(1) - 1 {
				if failure, _ := run(uint64(seed), false); failure != "" {
					failed.Add(1)
					t.Errorf("SEARCH_SEED=%d: %s", seed, failure)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d seeds failed", failed.Load(), seeds)
}

// newRestartSimulation derives a simulation in which workers restart from a seed.
func newRestartSimulation(t *testing.T, seed uint64, traced bool) *simulation {
	s := newSimulation(t, seed, traced)
	s.restarts = rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // Each seed must be reproducible.
	return s
}

// restartWorkers restarts some workers and reads the entries of restarted ones.
func (s *simulation) restartWorkers() {
	if s.restarts == nil {
		return
	}
	for _, id := range s.workerIDs() {
		m := s.workerStates[id]
		switch {
		case !m.entryReadAt.IsZero() && !s.now.Before(m.entryReadAt):
			m.entryReadAt = time.Time{}
			s.readEntry(id)
		case m.info.Started == 0:
			m.info.Started = firstStartMS
			s.readEntry(id)
		case !s.faultsEnded() && m.drainedAt.IsZero() && s.restarts.Float64() < restartChance:
			s.restartWorker(id)
		}
	}
}

// restartWorker restarts a worker under its ID.
func (s *simulation) restartWorker(id string) {
	m, f := s.workerStates[id], s.workers[id]
	for _, e := range f.running {
		s.clearRunning(e.Task)
	}
	*f = fakeWorker{silent: f.silent}
	m.info.Started += s.restarts.Int64N(7_000) - 3_000
	m.lastEndedRun = make(map[cluster.TaskID]int64)
	m.deadline, m.clockZero = 0, s.now
	s.tracef("%s restarts, started %d", id, m.info.Started)
	if s.restarts.IntN(2) == 0 {
		s.readEntry(id)
		return
	}
	m.entryReadAt = s.now.Add(time.Duration(s.restarts.Float64() * float64(maxEntryDelay)))
}
