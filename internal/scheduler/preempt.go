// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"switchbank.example/switchbank/internal/resource"
)

// reservationSlack is how much longer than a stop takes the room that it frees is
// reserved.
const reservationSlack = 500 * time.Millisecond

// preempt stops less urgent runs to make room for n tasks of a step, less those with a
// reservation.
func (s *Shard) preempt(now time.Time, st *step, n int) {
	n -= s.reservedTasks(now, st)
	for range n {
		w, victims := s.cheapestVictims(now, st)
		if w == nil {
			return
		}
		for _, r := range victims {
			s.counts.Preempted++
			s.stop(now, r, "preempted by "+st.id.Job)
		}
		w.reserve(st, now.Add(s.params.StopTime+reservationSlack), time.Time{})
	}
}

// reservedTasks returns for how many tasks of the step room is reserved.
func (s *Shard) reservedTasks(now time.Time, st *step) int {
	n := 0
	st.reservedOn = slices.DeleteFunc(st.reservedOn, func(w *worker) bool {
		res, ok := w.reserved[st]
		if !ok || !now.Before(res.until) || s.workers[w.info.ID] != w {
			delete(w.reserved, st)
			return true
		}
		n += countFits(res.amount, st.spec.Allocation())
		return false
	})
	return n
}

// countFits returns how many times the allocation of one task is contained in a total that
// is a multiple of it.
func countFits(total, one resource.Amount) int {
	switch {
	case one.CPUMilli > 0:
		return int(total.CPUMilli / one.CPUMilli)
	case one.MemoryMB > 0:
		return int(total.MemoryMB / one.MemoryMB)
	}
	return 1
}

// cheapestVictims returns the worker where making room for one task loses the least work,
// and the runs to stop there.
func (s *Shard) cheapestVictims(now time.Time, st *step) (*worker, []*run) {
	var best *worker
	var bestRuns []*run
	bestCost := 0.0
	for _, w := range s.workerList {
		if !s.usableAfterWait(now, w, st) || !s.spreadAllows(w, st, countFits(w.reserved[st].amount, st.spec.Allocation())) {
			continue
		}
		if st.needsTicket() {
			if _, ok := st.ticket(now, w.info.ID); !ok {
				continue
			}
		}
		runs, cost, ok := s.victimsOn(now, w, st)
		if ok && (best == nil || cost < bestCost) {
			best, bestRuns, bestCost = w, runs, cost
		}
	}
	return best, bestRuns
}

// victimsOn returns the runs on a worker to stop for one more task of the step, the
// cheapest first, and the work that is lost; ok is false if stopping runs makes no room.
func (s *Shard) victimsOn(now time.Time, w *worker, st *step) ([]*run, float64, bool) {
	free := w.freeFor(now, st).Sub(w.reserved[st].amount)
	var list []*run
	for _, r := range w.runs {
		if r.stopping || r.isolated {
			// The room of a stopping run is being freed already, and reserved by the step that
			// stopped it. An isolated run is about to show whether it crashes its worker.
			continue
		}
		other := r.task.step
		if other.job.rank.Priority > st.job.rank.Priority && !other.spec.LongRunning && !other.spec.Gang && r.state == runRunning {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return nil, 0, false
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(cmp.Compare(s.stopCost(now, a), s.stopCost(now, b)), compareRun(a, b))
	})
	cost := 0.0
	var victims []*run
	for _, r := range list {
		if free.Fits(st.spec.Allocation()) {
			break
		}
		free = free.Add(r.task.step.spec.Allocation())
		cost += s.stopCost(now, r)
		victims = append(victims, r)
	}
	return victims, cost, free.Fits(st.spec.Allocation()) && len(victims) > 0
}

// stopCost is the work, in core-seconds, that is lost by stopping a run.
func (s *Shard) stopCost(now time.Time, r *run) float64 {
	cores := float64(r.task.step.spec.Need.CPUMilli) / 1000
	lost := now.Sub(r.startedAt).Seconds()
	if r.task.step.spec.Checkpoints {
		lost = min(lost, checkpointLoss)
	}
	return cores * (lost + restartCost)
}

const (
	// checkpointLoss is the work in seconds that a checkpointing task loses when it is
	// stopped: little, since it writes a checkpoint then.
	checkpointLoss = 0.1
	// restartCost is the time in seconds that a restart takes: restoring takes 0.25 to
	// 0.6 s.
	restartCost = 0.4
)
