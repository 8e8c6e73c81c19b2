// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
)

// A worker may restart under the same ID. Each start makes a new incarnation, which knows
// nothing of the old one, and nothing that was known about the old one holds for it. The
// worker's own answer to a poll decides which incarnation is the present one, provided
// that the poll was sent after any answered before. Start times tell incarnations apart
// but don't order them, since they are times of day and clocks may be set. A directory
// entry that names another incarnation is a reason to poll the worker; until it answers,
// nothing new starts there.
//
// Each known incarnation has a generation, which is part of the fence of its orders. Once
// an incarnation has accepted an order of its generation, it refuses those meant for an
// earlier one, and its first report lists all of these that it accepted before.

// incarnationHistory is what is known about all incarnations of one worker ID.
type incarnationHistory struct {
	// generation counts the incarnations, and endedAt is when the last one ended; zero:
	// it has not.
	generation int64
	endedAt    time.Time
	// ended are the starts of the last few incarnations that were replaced: a directory
	// entry of one of them is late.
	ended []int64
}

// maxEndedKept is how many ended incarnations are remembered for each ID. Entries of
// older ones can't arrive any more.
const maxEndedKept = 8

// relation is how an incarnation that was named relates to the known one.
type relation uint8

const (
	sameIncarnation relation = iota
	newerIncarnation
	endedIncarnation
)

// relationTo returns how the incarnation with that start, named by a directory entry or
// by the worker's own answer to the latest poll, relates to the known one. No other place
// decides this.
func (w *worker) relationTo(started int64, answers bool) relation {
	switch {
	case started == w.started:
		return sameIncarnation
	case !answers && slices.Contains(w.history.ended, started):
		return endedIncarnation
	case !w.answered:
		// The known incarnation is only what an entry or the last owner named.
		return sameIncarnation
	}
	return newerIncarnation
}

// historyOf returns the history of a worker ID.
func (s *Shard) historyOf(id string) *incarnationHistory {
	h := s.incarnations[id]
	if h == nil {
		h = &incarnationHistory{generation: s.maxForgottenGeneration}
		s.incarnations[id] = h
	}
	return h
}

// newWorker adds an incarnation that has just become known.
func (s *Shard) newWorker(now time.Time, info cluster.Worker) *worker {
	h := s.historyOf(info.ID)
	h.generation++
	h.endedAt = time.Time{}
	w := &worker{
		info: info, started: info.Started, knownSince: now, history: h, generation: h.generation,
		runs: make(map[runKey]*run), unknownRuns: make(map[runKey]bool),
		reserved: make(map[*step]reservation), clockMS: info.ClockMS, clockAt: now,
	}
	s.workers[info.ID] = w
	s.workerList = workersByID(s.workers)
	return w
}

// replaceIncarnation records that a worker has answered as another incarnation, so that
// the known one has ended. The new one inherits only the numbers of the holds, by which
// late answers to the old one are ignored.
func (s *Shard) replaceIncarnation(now time.Time, old *worker, started int64) {
	old.history.ended = append(slices.DeleteFunc(old.history.ended, func(o int64) bool { return o == started }), old.started)
	old.history.ended = old.history.ended[max(0, len(old.history.ended)-maxEndedKept):]
	s.log.Warn("worker has restarted", events.WorkerRestarted, zap.Stringer("life", cluster.Incarnation{ID: old.info.ID, Started: started}),
		zap.Stringer("replaced", old.info.Incarnation()), zap.Duration("known_for", now.Sub(old.knownSince)), zap.Int("runs", len(old.runs)))
	info := cluster.Worker{ID: old.info.ID, Started: started, Address: old.address(), Service: old.info.Service}
	known := old.nextEntry != nil && old.nextEntry.Started == started
	if known {
		info = *old.nextEntry
	}
	s.endIncarnation(now, old, EvidenceRestarted, "worker has restarted")
	w := s.newWorker(now, info)
	w.holdsSent, w.lastReportedHold, w.unlisted, w.unlistedAt = old.holdsSent, old.holdsSent, old.unlisted, old.unlistedAt
	w.entryMissing = !known
}

// endIncarnation drops the runs of an incarnation that has ended. The runs that it
// accepted have ended with it. Those without a reply since they were ordered become in
// doubt: another incarnation may accept them until it has answered an order of its own
// generation.
func (s *Shard) endIncarnation(now time.Time, w *worker, evidence EndEvidence, cause string) {
	if evidence.isCrash() {
		s.recordCrash(now, w)
	}
	if w.started != 0 {
		for _, r := range sortedRuns(w.runs) {
			if !r.accepted {
				s.endIsolation(r)
				delete(w.runs, r.key())
				s.inDoubt[w.info.ID] = append(s.inDoubt[w.info.ID], r)
			}
		}
	}
	s.loseRuns(now, w, now, cause)
	for _, j := range s.active {
		for st := range j.steps() {
			st.forgetWorker(w.info.ID)
		}
	}
}

// forgetWorker forgets what a step knows about a worker.
func (st *step) forgetWorker(id string) {
	delete(st.advice.answers, id)
	delete(st.failedOn, id)
	delete(st.advice.pending, id)
}

// maxOrderAge is how long after it was sent an order may still be carried out.
const maxOrderAge = 13 * time.Second

// resolveInDoubt drops the runs in doubt of a worker once its present incarnation has
// answered an order of its own generation: its report lists those that it accepted, which
// are adopted from there, and it refuses the others from now on. Those that a report with a full
// list of ends doesn't name may have ended, and stay in doubt.
func (s *Shard) resolveInDoubt(now time.Time, w *worker, report reportedRuns) {
	id := w.info.ID
	if len(s.inDoubt[id]) == 0 {
		return
	}
	s.inDoubt[id] = slices.DeleteFunc(s.inDoubt[id], func(r *run) bool {
		resolved := report.complete || report.runs[r.key()]
		if resolved {
			s.dropInDoubt(now, r, "another incarnation has answered")
		}
		return resolved
	})
	if len(s.inDoubt[id]) == 0 {
		delete(s.inDoubt, id)
	}
}

// inDoubtStartReplied takes a late reply to a start that was sent to an incarnation that
// has ended. Unless the outcome is still unknown, the run is not running anywhere.
func (s *Shard) inDoubtStartReplied(now time.Time, r *run, reply cluster.Reply) {
	if reply == cluster.ReplyUnknown || reply == cluster.ReplyNewIncarnation {
		return
	}
	id := r.worker.info.ID
	s.inDoubt[id] = slices.DeleteFunc(s.inDoubt[id], func(o *run) bool { return o == r })
	s.dropInDoubt(now, r, "worker has ended")
}

// expireInDoubt drops runs in doubt whose order is too old to be carried out.
func (s *Shard) expireInDoubt(now time.Time) {
	for id, list := range s.inDoubt {
		s.inDoubt[id] = slices.DeleteFunc(list, func(r *run) bool {
			over := now.Sub(r.orderedAt) > maxOrderAge
			if over {
				s.dropInDoubt(now, r, "order has expired")
			}
			return over
		})
		if len(s.inDoubt[id]) == 0 {
			delete(s.inDoubt, id)
		}
	}
}

// forgetIncarnations forgets worker IDs whose last incarnation ended so long ago that no
// order to it can be carried out any more.
func (s *Shard) forgetIncarnations(now time.Time) {
	if len(s.incarnations) <= 2*len(s.workers)+spareIDs {
		return
	}
	for id, h := range s.incarnations {
		if !h.endedAt.IsZero() && now.Sub(h.endedAt) > maxOrderAge {
			s.maxForgottenGeneration = max(s.maxForgottenGeneration, h.generation)
			delete(s.incarnations, id)
		}
	}
}

// spareIDs is how many IDs beyond twice the number of workers are remembered before old
// ones are looked for.
const spareIDs = 100

// dropInDoubt drops a run that is certain not to be running.
func (s *Shard) dropInDoubt(now time.Time, r *run, cause string) {
	if s.runs[r.key()] == r {
		s.loseRun(now, r, now, cause)
	}
}

// WorkerKnownSince returns since when the present incarnation of a worker is known.
func (s *Shard) WorkerKnownSince(id string) time.Time {
	if w := s.workers[id]; w != nil {
		return w.knownSince
	}
	return time.Time{}
}

// OrderOutdated reports whether an order was meant for an earlier incarnation of its
// worker: its refusal does not show that another owner has taken over.
func (s *Shard) OrderOutdated(o cluster.Order) bool {
	h := s.incarnations[o.Worker]
	return h != nil && o.Generation < h.generation
}
