// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"switchbank.example/switchbank/internal/resource"
)

// Reservations are for large tasks and gangs that wait in a full shard. Room comes free
// in small pieces, which the next small task takes, so that a large task, and a gang even
// more, would find room only by chance or by preemption. Room is therefore reserved for
// the most urgent waiting steps, on the workers where it will be free the soonest. Only a
// step that would be late by waiting preempts others.

const (
	// reservationTTL is how long a reservation lasts before it is computed anew: runs end
	// earlier or later than expected, and a report is up to 0.5 s old.
	reservationTTL = 300 * time.Millisecond
	// maxReservingSteps is how many steps may reserve room in one round, the most urgent
	// first: each looks at all runs of the shard.
	maxReservingSteps = 8
	// reserveRetryDelay is after what time a step that found no room tries again: steps
	// that never find any would otherwise use up the turns of all others.
	reserveRetryDelay = 500 * time.Millisecond
	// maxReserveWait is the longest wait for which room is reserved; beyond it, more is
	// lost by keeping room empty than by waiting on.
	maxReserveWait = 4 * time.Second
	// preemptAfter is the wait from which a long-running task preempts less urgent work
	// instead: it should be running within seconds, and its tickets are valid for a few
	// seconds only.
	preemptAfter = time.Second
	// maxGangReserveWait is the longest wait for the most urgent gang of a shard, whose
	// members find room at once only by reservation: the tasks beside it take up to 15 s,
	// and those that end before the gang's time may use the room meanwhile.
	maxGangReserveWait = 15 * time.Second
	// slackMargin is subtracted from the time for which a step may wait: the ends of
	// other runs are known from reports that are up to 0.5 s old.
	slackMargin = 300 * time.Millisecond
)

// reservation is room that is reserved for a step until a time.
type reservation struct {
	amount resource.Amount
	until  time.Time
	// neededAt is when the step is expected to use it; zero: it is being freed by
	// preemption.
	neededAt time.Time
	// yields is set if jobs of the same priority that come before the step's may use the room.
	// In an overloaded shard, steps that have just become ready would else wait for room that
	// jobs behind them have reserved, and far more jobs would be under way than fit.
	yields bool
}

// blocks reports whether a step's reservation is unavailable to another step, which is
// neither more urgent nor expected to end before the room is needed.
func (res *reservation) blocks(now time.Time, owner, other *step) bool {
	switch {
	case owner == other:
		return false
	case res.neededAt.IsZero():
		return true
	case other.job.rank.Priority < owner.job.rank.Priority:
		return false
	case res.yields && other.job.rank.Priority == owner.job.rank.Priority && other.job.rank.Before(owner.job.rank):
		return false
	}
	return now.Add(other.estimate()).After(res.neededAt)
}

// reserve reserves room for n waiting tasks of a step, as far as it comes free within the
// given time.
func (s *Shard) reserve(now time.Time, st *step, n int, within time.Duration) {
	if s.reservingSteps >= maxReservingSteps || (!st.spec.LongRunning && now.Sub(st.noRoomAt) < reserveRetryDelay) {
		return
	}
	if n -= s.reservedTasks(now, st); n <= 0 {
		return
	}
	s.reservingSteps++
	places := s.soonestPlacements(now, st, n, within)
	if len(places) == 0 {
		st.noRoomAt = now
	}
	for _, p := range places {
		p.w.reserve(st, now.Add(reservationTTL), now.Add(p.in))
		p.w.setYields(st, s.overloaded && s.ordering.reservationsYield && st.mayYield())
	}
}

// reserveGang reserves room for all members of a gang, or none.
func (s *Shard) reserveGang(now time.Time, st *step) {
	if s.reservedTasks(now, st) >= st.spec.Count {
		s.gangReserved = true
		return
	}
	if s.reservingSteps >= maxReservingSteps && s.gangReserved {
		return
	}
	s.reservingSteps++
	s.releaseReservations(st)
	within := maxReserveWait
	if !s.gangReserved {
		s.gangReserved, within = true, maxGangReserveWait
	}
	places := s.soonestPlacements(now, st, st.spec.Count, within)
	if len(places) < st.spec.Count {
		return
	}
	longest := places[len(places)-1].in
	for _, p := range places {
		p.w.reserve(st, now.Add(reservationTTL), now.Add(longest))
	}
}

// releaseReservations gives up all reservations of a step.
func (s *Shard) releaseReservations(st *step) {
	for _, w := range st.reservedOn {
		delete(w.reserved, st)
	}
	st.reservedOn = nil
}

// reserve reserves room for one more task of a step until a time; neededAt is when the
// step is expected to use it, or zero while the room is being freed by preemption.
func (w *worker) reserve(st *step, until, neededAt time.Time) {
	res, ok := w.reserved[st]
	if !ok {
		st.reservedOn = append(st.reservedOn, w)
	}
	res.amount = res.amount.Add(st.spec.Allocation())
	res.until, res.neededAt = until, neededAt
	w.reserved[st] = res
}

// mayYield reports whether the step's reservations may yield. Those of the most urgent jobs do
// not: such jobs are short, and would wait more often for the runs of others.
func (st *step) mayYield() bool {
	return st.job.hasObjective() && st.job.rank.Priority > mostUrgentPriority
}

// setYields sets whether a step's reservation yields to jobs before the step's.
func (w *worker) setYields(st *step, yields bool) {
	res := w.reserved[st]
	res.yields = yields
	w.reserved[st] = res
}

// placement is room for one task on a worker, and in what time it will be free.
type placement struct {
	w  *worker
	in time.Duration
}

// soonestPlacements returns where up to n more tasks of a step will find room the
// soonest, in that order, as far as they do within the given time, in addition to the
// step's reservations.
func (s *Shard) soonestPlacements(now time.Time, st *step, n int, within time.Duration) []placement {
	var list []placement
	for _, w := range s.workerList {
		if !s.usableAfterWait(now, w, st) || !st.mayBeApproved(w) {
			continue
		}
		for _, in := range s.placementTimes(now, w, st, n, within) {
			list = append(list, placement{w, in})
		}
	}
	slices.SortStableFunc(list, func(a, b placement) int { return cmp.Compare(a.in, b.in) })
	return list[:min(n, len(list))]
}

// mayBeApproved reports whether room on a worker may be reserved for the step: the worker
// is approved or, for long-running tasks, the advice service is being asked about it, so
// that others don't take the room until it answers.
func (st *step) mayBeApproved(w *worker) bool {
	return !st.needsTicket() || st.advice.answers[w.info.ID].approved || (st.spec.LongRunning && st.advice.pending[w.info.ID])
}

// expectedEnd is the room that a run frees, and in what time.
type expectedEnd struct {
	room resource.Amount
	in   time.Duration
}

// placementTimes returns in what time a worker will have room for each of up to n more
// tasks of a step, by the expected ends of its runs.
func (s *Shard) placementTimes(now time.Time, w *worker, st *step, n int, within time.Duration) (times []time.Duration) {
	need, reserved := st.spec.Allocation(), w.reserved[st].amount
	free, reservedCount := w.freeFor(now, st).Sub(reserved), countFits(reserved, need)
	ends, at := s.expectedRunEnds(now, w), time.Duration(0)
	for len(times) < n && s.spreadAllows(w, st, reservedCount+len(times)) {
		for !free.Fits(need) {
			if len(ends) == 0 || ends[0].in > within {
				return times
			}
			free, at, ends = free.Add(ends[0].room), max(at, ends[0].in), ends[1:]
		}
		free = free.Sub(need)
		times = append(times, at)
	}
	return times
}

// expectedRunEnds returns when the runs on a worker are expected to end, the soonest
// first. It is computed once in a round, since many steps wait and each asks.
func (s *Shard) expectedRunEnds(now time.Time, w *worker) []expectedEnd {
	if w.expectedEndsRound == s.round {
		return w.expectedEnds
	}
	ends := w.expectedEnds[:0]
	for _, r := range w.runs {
		spec := r.task.step.spec
		switch {
		case r.stopping:
			ends = append(ends, expectedEnd{spec.Allocation(), s.params.StopTime})
		case !spec.LongRunning:
			ends = append(ends, expectedEnd{spec.Allocation(), s.remainingTime(now, r)})
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.in, b.in) })
	w.expectedEnds, w.expectedEndsRound = ends, s.round
	return ends
}
