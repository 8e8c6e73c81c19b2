// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"switchbank.example/switchbank/internal/resource"
)

// This file chooses the worker on which a task starts.
//
// It answers a service full of large tasks of unlike shapes: the worker is taken on which the
// task leaves the least room over, so that whole workers stay free for the largest tasks.

const (
	// avoidDuration is how long a task that failed or was slow on a worker waits for
	// another one.
	avoidDuration = time.Second
	// avoidBeforeLastAttempt is the same before the task's last attempt, unless no other worker
	// could ever run it. Where the other
	// workers accepted nothing for a while, one job in 300 used up all its attempts on a
	// worker that fails everything.
	avoidBeforeLastAttempt = 4 * time.Second
)

// bestWorkerFor returns the worker on which a task should start. A long-running task that
// has waited may start on a quarantined worker if there is no other: with 30 of 48
// workers quarantined (70% of them failed what they started for 60 s), tasks that should
// be running within seconds waited for 21 s.
func (s *Shard) bestWorkerFor(now time.Time, t *task) *worker {
	w := s.bestHealthyWorkerFor(now, t)
	if w == nil && t.step.spec.LongRunning && now.Sub(t.waitingSince) >= quarantineOverrideWait {
		return s.bestAmong(now, t.step, nil, func(w *worker) bool { return s.eligible(now, w, t.step) })
	}
	return w
}

// bestHealthyWorkerFor returns the worker on which a task should start, of those that are
// not quarantined. A task that has failed or was slow goes to another worker for a while.
// With its last attempt it prefers a proven worker, and takes none that is on probation or
// has had a failure since the last success of a newer run.
func (s *Shard) bestHealthyWorkerFor(now time.Time, t *task) *worker {
	isLast := len(t.failed) > 0 && !t.step.spec.LongRunning && t.attemptsLeft() <= 1
	avoid := avoidDuration
	if isLast && s.hasAlternative(t) {
		avoid = avoidBeforeLastAttempt
	}
	if t.avoidWorker == "" || now.Sub(t.avoidSince) >= avoid {
		return s.bestWorker(now, t.step, nil, anyWorker)
	}
	elsewhere := func(w *worker) bool { return w.info.ID != t.avoidWorker }
	if !isLast {
		return s.bestWorker(now, t.step, nil, elsewhere)
	}
	if w := s.bestWorker(now, t.step, nil, func(w *worker) bool { return elsewhere(w) && w.health.proven }); w != nil {
		return w
	}
	return s.bestWorker(now, t.step, nil, func(w *worker) bool {
		return elsewhere(w) && w.health.sinceNewSuccess.failures() == 0 && !w.health.probing
	})
}

// hasAlternative reports whether a worker other than the one that the task avoids could run it, whether
// it is available now or not.
func (s *Shard) hasAlternative(t *task) bool {
	spec := t.step.spec
	return slices.ContainsFunc(s.workerList, func(w *worker) bool {
		return w.info.ID != t.avoidWorker && (spec.Label == "" || w.info.HasLabel(spec.Label)) && w.info.Capacity.Fits(spec.Allocation())
	})
}

// anyWorker accepts all workers.
func anyWorker(*worker) bool { return true }

// bestWorker returns the worker on which the next task of the step should start: one near
// its data first, then the one on which the least room is left over, or the most for a
// best-effort task. extra counts the tasks that this decision has already placed, by
// worker.
func (s *Shard) bestWorker(now time.Time, st *step, extra map[*worker]int, allowed func(*worker) bool) *worker {
	return s.bestAmong(now, st, extra, func(w *worker) bool { return allowed(w) && s.usable(now, w, st) })
}

// bestAmong is bestWorker among the workers that are allowed, healthy or not.
func (s *Shard) bestAmong(now time.Time, st *step, extra map[*worker]int, allowed func(*worker) bool) *worker {
	var best *worker
	bestScore := 0.0
	need := st.spec.Allocation()
	for _, w := range s.workerList {
		// This cheap check comes first: most workers of a busy shard are full, and each
		// waiting step tries all of them.
		if !w.info.Capacity.Sub(w.used).Fits(need) || !allowed(w) {
			continue
		}
		rest, ok := s.roomAfter(now, w, st, extra[w])
		if !ok {
			continue
		}
		if score := s.score(w, st, rest); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// roomAfter returns the room that one more task of a step would leave on a worker, in
// addition to extra ones; ok is false if it can't start there for want of room or of a
// ticket.
func (s *Shard) roomAfter(now time.Time, w *worker, st *step, extra int) (rest resource.Amount, ok bool) {
	need := st.spec.Allocation()
	if st.needsTicket() {
		if _, valid := st.ticket(now, w.info.ID); !valid {
			return resource.Amount{}, false
		}
	}
	free := w.freeFor(now, st).Sub(need.Times(int64(extra)))
	if !free.Fits(need) || !s.spreadAllows(w, st, extra) {
		return resource.Amount{}, false
	}
	return free.Sub(need), true
}

// spreadAllows reports whether the step's MaxPerWorker allows one more task on a worker, in
// addition to extra ones.
func (s *Shard) spreadAllows(w *worker, st *step, extra int) bool {
	limit := st.spec.MaxPerWorker
	if limit == 0 {
		return true
	}
	n := extra
	for _, r := range w.runs {
		if r.task.step == st {
			n++
		}
	}
	return n < limit
}

const (
	// dataRackBonus makes the rack of a step's data outweigh any saving of room, which
	// counts at most 1.
	dataRackBonus = 10.0
	// interferencePenalty keeps best-effort tasks and serving tasks apart.
	interferencePenalty = 5.0
)

// score rates a worker on which rest would be left over; the highest score wins.
func (s *Shard) score(w *worker, st *step, rest resource.Amount) float64 {
	score := -rest.DominantShare(w.info.Capacity)
	if st.spec.BestEffortCPU {
		score = -score
	}
	score += speedWeight * w.speedScore(st)
	if st.spec.DataRack != "" && st.spec.DataRack == w.info.Rack {
		score += dataRackBonus
	}
	if st.spec.BestEffortCPU || st.spec.LatencyTargetMS > 0 {
		for _, r := range w.runs {
			other := r.task.step.spec
			if (st.spec.BestEffortCPU && other.LatencyTargetMS > 0) || (st.spec.LatencyTargetMS > 0 && other.BestEffortCPU) {
				score -= interferencePenalty
			}
		}
	}
	return score
}
