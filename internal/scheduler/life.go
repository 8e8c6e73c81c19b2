// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
)

// A worker may start again under the ID that it had. Its new life knows nothing of the old
// one, and nothing that was known of the old one holds for it. What settles which life is
// the present one is the worker's own answer to a question that was asked later than any
// answered before; starts are times of day, which may be set, so that they tell lives apart
// but don't order them. An entry of the directory that names another life is a reason to
// ask, and until then nothing new starts there.
//
// Each life that is known has a generation, which is part of the fence of its orders: once
// a life has taken an order of its generation it refuses those that were meant for an
// earlier one, and its first list holds all of these that it has taken before.

// incarnationHistory is what is known of the incarnationHistory that had one ID.
type incarnationHistory struct {
	// generation counts them, and goneAt is when the last one was over; zero: it isn't.
	generation int64
	endedAt    time.Time
	// ended are the starts of those that were replaced, the last few: an entry of one of them
	// is late.
	ended []int64
}

// maxEndedKept is how many lives that are over are remembered for each ID: entries of older
// ones are not on their way any more.
const maxEndedKept = 8

// relation is how a life that was named is to the one that is known.
type relation uint8

const (
	sameIncarnation relation = iota
	newerIncarnation
	endedIncarnation
)

// relationTo returns how a life of the worker with that start is to the present one: one that
// an entry names, or, if it answers, one that was asked later than any that has answered.
// It is the one place that decides this.
func (w *worker) relationTo(started int64, answers bool) relation {
	switch {
	case started == w.started:
		return sameIncarnation
	case !answers && slices.Contains(w.history.ended, started):
		return endedIncarnation
	case !w.answered:
		// Nothing of it is known but what an entry or the last owner said.
		return sameIncarnation
	}
	return newerIncarnation
}

// historyOf returns what is known of the lives that had an ID.
func (s *Shard) historyOf(id string) *incarnationHistory {
	l := s.incarnations[id]
	if l == nil {
		l = &incarnationHistory{generation: s.maxForgottenGeneration}
		s.incarnations[id] = l
	}
	return l
}

// newWorker returns a life that has just become known.
func (s *Shard) newWorker(now time.Time, info cluster.Worker) *worker {
	l := s.historyOf(info.ID)
	l.generation++
	l.endedAt = time.Time{}
	w := &worker{
		info: info, started: info.Started, knownSince: now, history: l, generation: l.generation,
		runs: make(map[runKey]*run), unknownRuns: make(map[runKey]bool),
		reserved: make(map[*step]reservation), clockMS: info.ClockMS, clockAt: now,
	}
	s.workers[info.ID] = w
	s.workerList = workersByID(s.workers)
	return w
}

// replaceIncarnation notes that a worker has answered as another life than the one known, which is
// over. The new one has nothing of it but the numbers of holds, by which answers to the old
// one are passed over.
func (s *Shard) replaceIncarnation(now time.Time, old *worker, started int64) {
	old.history.ended = append(slices.DeleteFunc(old.history.ended, func(o int64) bool { return o == started }), old.started)
	old.history.ended = old.history.ended[max(0, len(old.history.ended)-maxEndedKept):]
	s.log.Warn("worker has started again", events.WorkerRestarted, zap.Stringer("life", cluster.Incarnation{ID: old.info.ID, Started: started}),
		zap.Stringer("replaced", old.info.Incarnation()), zap.Duration("known_for", now.Sub(old.knownSince)), zap.Int("runs", len(old.runs)))
	info := cluster.Worker{ID: old.info.ID, Started: started, Address: old.address(), Service: old.info.Service}
	known := old.nextEntry != nil && old.nextEntry.Started == started
	if known {
		info = *old.nextEntry
	}
	s.endIncarnation(now, old, "worker has started again")
	w := s.newWorker(now, info)
	w.holdsSent, w.lastReportedHold, w.unlisted, w.unlistedAt = old.holdsSent, old.holdsSent, old.unlisted, old.unlistedAt
	w.entryMissing = !known
}

// endIncarnation takes all off a life that is over. Runs that it has taken have ended. Whether it
// took those of which nothing was heard since they were ordered isn't known: another life of
// the ID may, as long as it has not answered an order of its own generation.
func (s *Shard) endIncarnation(now time.Time, w *worker, cause string) {
	if w.started != 0 {
		for _, r := range sortedRuns(w.runs) {
			if !r.accepted {
				delete(w.runs, r.key())
				s.inDoubt[w.info.ID] = append(s.inDoubt[w.info.ID], r)
			}
		}
	}
	s.loseRuns(now, w, cause)
	for _, j := range s.active {
		for st := range j.steps() {
			st.forgetWorker(w.info.ID)
		}
	}
}

// forgetWorker forgets what a step knows of a worker.
func (st *step) forgetWorker(id string) {
	delete(st.advice.answers, id)
	delete(st.failedOn, id)
	delete(st.advice.pending, id)
}

// maxOrderAge is how long an order may be on its way, or be carried out late, where nothing
// else tells what became of it.
const maxOrderAge = 13 * time.Second

// resolveInDoubt drops the orders to earlier lives of a worker once its present one has
// answered an order of its own generation: those that it has taken are in its list, from
// which they are taken over, and the others it refuses from now on.
func (s *Shard) resolveInDoubt(now time.Time, id string) {
	for _, r := range s.inDoubt[id] {
		s.dropInDoubt(now, r, "another life has answered")
	}
	delete(s.inDoubt, id)
}

// inDoubtStartReplied takes the reply to a start that was ordered from a life that is over: either
// that life took it, or nobody did, or it isn't known.
func (s *Shard) inDoubtStartReplied(now time.Time, r *run, reply cluster.Reply) {
	if reply == cluster.ReplyUnknown || reply == cluster.ReplyNewIncarnation {
		return
	}
	id := r.worker.info.ID
	s.inDoubt[id] = slices.DeleteFunc(s.inDoubt[id], func(o *run) bool { return o == r })
	s.dropInDoubt(now, r, "worker's life is over")
}

// expireInDoubt drops orders of which nothing was heard for so long that they can't act any more.
func (s *Shard) expireInDoubt(now time.Time) {
	for id, list := range s.inDoubt {
		s.inDoubt[id] = slices.DeleteFunc(list, func(r *run) bool {
			over := now.Sub(r.orderedAt) > maxOrderAge
			if over {
				s.dropInDoubt(now, r, "order is too old to act")
			}
			return over
		})
		if len(s.inDoubt[id]) == 0 {
			delete(s.inDoubt, id)
		}
	}
}

// forgetIncarnations forgets IDs of which no life has been known for so long that no order to one
// can act any more.
func (s *Shard) forgetIncarnations(now time.Time) {
	if len(s.incarnations) <= 2*len(s.workers)+spareIDs {
		return
	}
	for id, l := range s.incarnations {
		if !l.endedAt.IsZero() && now.Sub(l.endedAt) > maxOrderAge {
			s.maxForgottenGeneration = max(s.maxForgottenGeneration, l.generation)
			delete(s.incarnations, id)
		}
	}
}

// spareIDs is how many IDs more than twice those of the workers are remembered before the
// oldest are looked for.
const spareIDs = 100

func (s *Shard) dropInDoubt(now time.Time, r *run, cause string) {
	if s.runs[r.key()] == r {
		s.loseRun(now, r, cause)
	}
}

// KnownSince returns since when the present life of a worker is known.
func (s *Shard) KnownSince(id string) time.Time {
	if w := s.workers[id]; w != nil {
		return w.knownSince
	}
	return time.Time{}
}

// OrderOutdated reports whether an order was meant for an earlier life of its worker than the
// one known: that it was refused tells nothing of another owner.
func (s *Shard) OrderOutdated(o cluster.Order) bool {
	l := s.incarnations[o.Worker]
	return l != nil && o.Generation < l.generation
}
