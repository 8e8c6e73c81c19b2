// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"iter"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// takeover is what a new owner does not know yet. Tasks of the jobs that it has loaded
// may run, or have ended, on any worker that has not answered, or has more ends than it lists
// at a time. They wait until every worker has listed all ends or can't be running them any
// more.
type takeover struct {
	// open is set until everything is known, or the leases that earlier owners granted have expired.
	open bool
	// loadedAt is when the shard was loaded, and earlierOwnersEndedAt a time by which all earlier
	// owners had ended; zero: that isn't known.
	loadedAt, earlierOwnersEndedAt time.Time
	// jobsLoadedAt is when jobs were last loaded.
	jobsLoadedAt time.Time
	// machinesListed is set once the platform's machines have been listed, and expected
	// are the workers alive there. The directory alone is not enough: its entries expire
	// while the store is unavailable.
	machinesListed bool
	expected       map[string]bool
	// loggedAt is when the log last told what the takeover waits for.
	loggedAt time.Time
	// complete is set once every worker has listed all ends, even if the takeover ended before:
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
		// A takeover that ended by time is complete once the last worker has listed all.
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
		j.uncertain = false
		for st := range j.steps() {
			for _, t := range st.tasks {
				t.uncertain = false
				s.assumeCrashBeforeTakeover(now, t)
			}
		}
	}
}

// TakeoverWait is what a takeover that is not complete waits for, and what it holds back.
type TakeoverWait struct {
	// Workers is how many workers haven't listed all of their runs and ends, and Example names one
	// of them.
	Workers int
	Example string
	// Tasks is how many tasks wait since they may run on these workers.
	Tasks int
}

// TakeoverWait returns what the takeover waits for; all is zero once it has ended.
func (s *Shard) TakeoverWait() (wait TakeoverWait) {
	if !s.takeover.open {
		return wait
	}
	for id := range s.unlistedWorkers() {
		wait.Workers++
		wait.Example = id
	}
	for _, j := range s.active {
		for st := range j.steps() {
			if j.uncertain {
				wait.Tasks += st.pristine
			}
			for _, t := range st.tasks {
				if t.uncertain && !t.done {
					wait.Tasks++
				}
			}
		}
	}
	return wait
}

// takeoverLogInterval is the time after which the log tells again what a takeover waits for.
const takeoverLogInterval = time.Second

// logTakeover logs what a takeover waits for.
func (s *Shard) logTakeover(now time.Time) {
	if !s.takeover.open || now.Sub(latest(s.takeover.loggedAt, s.takeover.loadedAt)) < takeoverLogInterval {
		return
	}
	s.takeover.loggedAt = now
	wait := s.TakeoverWait()
	s.log.Info("takeover waits", events.TakeoverWaits, zap.Int64("epoch", s.params.Epoch), zap.Duration("since", now.Sub(s.startedAt)), zap.Int("workers", wait.Workers),
		zap.String("one_is", wait.Example), zap.Int("tasks", wait.Tasks), zap.Bool("machines_listed", s.takeover.machinesListed),
		zap.Duration("at_most", s.earlierLeasesEnd().Sub(now)))
}

// firstAnswerTime is how long after the load of a shard the workers may take for their first answers,
// however long ago earlier owners ended: a load can take longer than all leases.
const firstAnswerTime = 1500 * time.Millisecond

// Loaded records that the shard has been loaded: no earlier owner's ownership can be confirmed for a
// later time.
func (s *Shard) Loaded(now time.Time) {
	s.takeover.loadedAt, s.takeover.jobsLoadedAt = now, now
}

// EarlierOwnersEnded records that all earlier owners had ended by the given time: they grant no
// leases any more.
func (s *Shard) EarlierOwnersEnded(at time.Time) {
	if s.takeover.earlierOwnersEndedAt.IsZero() {
		s.takeover.earlierOwnersEndedAt = at
	}
}

// earlierLeasesEnd returns when all leases that earlier owners granted have certainly expired.
func (s *Shard) earlierLeasesEnd() time.Time {
	end := s.takeover.loadedAt.Add(s.params.UncertainFor)
	if at := s.takeover.earlierOwnersEndedAt; !at.IsZero() {
		end = earliest(end, at.Add(s.params.UncertainAfterEnd))
	}
	return latest(end, s.takeover.loadedAt.Add(firstAnswerTime))
}

// mayHaveUnknownRuns reports whether a worker may have runs that this owner doesn't know.
func (s *Shard) mayHaveUnknownRuns(now time.Time) bool {
	if !s.takeover.machinesListed && now.Sub(s.takeover.jobsLoadedAt) < machineListTimeout {
		return true
	}
	for id := range s.takeover.expected {
		if s.workers[id] == nil && !s.hasExpired(now, s.earlierLeasesEnd()) {
			return true
		}
	}
	// A worker that answers lists the rest of its ends, whatever becomes of its lease.
	return slices.ContainsFunc(s.workerList, func(w *worker) bool {
		return !w.endsKnown && (w.responsive() || !s.leaseExpired(now, w))
	})
}

// allKnown reports whether the workers alive are known, and all have listed their runs and ends.
func (s *Shard) allKnown() bool { return s.takeover.machinesListed && s.allListed() }

// allListed reports whether every worker that is known or expected has listed its runs and ends.
func (s *Shard) allListed() bool {
	for range s.unlistedWorkers() {
		return false
	}
	return true
}

// unlistedWorkers iterates over the IDs of the workers that are known or expected, and have not
// listed all of their runs and ends since the shard was loaded.
func (s *Shard) unlistedWorkers() iter.Seq[string] {
	return func(yield func(id string) bool) {
		for id := range s.takeover.expected {
			if s.workers[id] == nil && !yield(id) {
				return
			}
		}
		for _, w := range s.workerList {
			if !w.endsKnown && !yield(w.info.ID) {
				return
			}
		}
	}
}
