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
	// firstStartMS is the start of the first lives of a play.
	firstStartMS = 1_764_742_000_000
	// restartChance is how likely a worker starts again in a tick.
	restartChance = 0.02
	// maxEntryDelay is by when the entry of a new life is read.
	maxEntryDelay = 1500 * time.Millisecond
	// fullRestartSeeds are the plays with MODEL=full.
	fullRestartSeeds = 4000
)

// TestSearchWorkersStartAgain plays the searches of TestSearchTasksStart with workers that
// start again under their IDs, their hosts' clocks set back or ahead, before the calm time:
// whichever of entry, list and order comes first, no task runs twice, and all that has room
// runs at the end.
//
// SEARCH_SEED=n plays one seed and prints its trace, MODEL=full 4,000.
func TestSearchWorkersStartAgain(t *testing.T) {
	if one := os.Getenv("SEARCH_SEED"); one != "" {
		seed, err := strconv.ParseUint(one, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		failure, trace := newRestartSimulation(t, seed, true).run()
		if t.Logf("%s\nseed %d: %s", trace, seed, failure); failure != "" {
			t.Fail()
		}
		return
	}
	seeds := int64(defaultSeeds)
	if os.Getenv("MODEL") == "full" {
		seeds = fullRestartSeeds
	}
	var next, failed atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := next.Add(1) - 1; seed < seeds; seed = next.Add(1) - 1 {
				if failure, _ := newRestartSimulation(t, uint64(seed), false).run(); failure != "" {
					failed.Add(1)
					t.Errorf("SEARCH_SEED=%d: %s", seed, failure)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d plays failed", failed.Load(), seeds)
}

// newRestartSimulation draws a play in which workers start again.
func newRestartSimulation(t *testing.T, seed uint64, traced bool) *simulation {
	s := newSimulation(t, seed, traced)
	s.restarts = rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // Each play must repeat.
	return s
}

// restartWorkers lets some workers start again under their IDs.
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

// restartWorker begins another life of a worker under its ID.
func (s *simulation) restartWorker(id string) {
	m, f := s.workerStates[id], s.workers[id]
	for _, e := range f.running {
		s.clearRunning(e.Task)
	}
	*f = fakeWorker{silent: f.silent}
	m.info.Started += s.restarts.Int64N(7_000) - 3_000
	m.lastEndedRun = make(map[cluster.TaskID]int64)
	m.deadline, m.clockZero = 0, s.now
	s.tracef("%s starts again, started %d", id, m.info.Started)
	if s.restarts.IntN(2) == 0 {
		s.readEntry(id)
		return
	}
	m.entryReadAt = s.now.Add(time.Duration(s.restarts.Float64() * float64(maxEntryDelay)))
}
