// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// takeover is what a new owner does not know yet. Tasks of the jobs that it has loaded
// may run, or have ended, on any worker that has not answered. They wait until every
// worker has answered or can't be running them any more.
type takeover struct {
	// open is set until everything is known, or Params.UncertainFor has passed.
	open bool
	// jobsLoadedAt is when jobs were last loaded.
	jobsLoadedAt time.Time
	// machinesListed is set once the platform's machines have been listed, and expected
	// are the workers alive there. The directory alone is not enough: its entries expire
	// while the store is unavailable.
	machinesListed bool
	expected       map[string]bool
	// complete is set once every worker has answered, even if the takeover ended before:
	// then all is known that an earlier owner started. Until then a worker may still
	// report more.
	complete bool
}

// machineListTimeout is how long a new owner waits for the platform's list of machines:
// after an outage of the store the directory's entries are back within two seconds.
const machineListTimeout = 3 * time.Second

// ExpectWorkers records which workers are alive according to the platform's machines;
// only the first call counts.
func (s *Shard) ExpectWorkers(ids []string) {
	if s.takeover.machinesListed {
		return
	}
	s.takeover.machinesListed = true
	s.takeover.expected = make(map[string]bool, len(ids))
	for _, id := range ids {
		s.takeover.expected[id] = true
	}
}

// updateTakeover ends the takeover once nothing is uncertain.
func (s *Shard) updateTakeover(now time.Time) {
	if !s.takeover.open {
		// A takeover that ended by time is complete once the last worker has answered.
		s.takeover.complete = s.takeover.complete || s.allKnown()
		return
	}
	if s.mayHaveUnknownRuns(now) {
		return
	}
	s.takeover.open = false
	s.takeover.complete = s.allKnown()
	s.log.Info("takeover complete", events.TakeoverDone, zap.Int64("epoch", s.params.Epoch), zap.Int("workers", len(s.workerList)),
		zap.Bool("machines_listed", s.takeover.machinesListed), zap.Duration("took", now.Sub(s.startedAt)))
	// A job that fails leaves the active ones.
	for _, j := range slices.Clone(s.active) {
		for st := range j.steps() {
			for _, t := range st.tasks {
				t.uncertain = false
				s.assumeCrashBeforeTakeover(now, t)
			}
		}
	}
}

// mayHaveUnknownRuns reports whether a worker may have runs that this owner doesn't know.
func (s *Shard) mayHaveUnknownRuns(now time.Time) bool {
	if now.Sub(s.takeover.jobsLoadedAt) > s.params.UncertainFor {
		return false
	}
	if !s.takeover.machinesListed && now.Sub(s.takeover.jobsLoadedAt) < machineListTimeout {
		return true
	}
	return !s.allAnswered()
}

// allKnown reports whether the workers alive are known, and all have answered.
func (s *Shard) allKnown() bool { return s.takeover.machinesListed && s.allAnswered() }

// allAnswered reports whether every worker that is known or expected has answered.
func (s *Shard) allAnswered() bool {
	for id := range s.takeover.expected {
		if w := s.workers[id]; w == nil || !w.answeredSinceLoad {
			return false
		}
	}
	for _, w := range s.workerList {
		if !w.answeredSinceLoad {
			return false
		}
	}
	return true
}
