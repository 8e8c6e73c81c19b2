// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
)

// Move is a job that would better run on another shard.
type Move struct {
	Job cluster.Job
	// Version is that of the job's progress row; 0: there is none. Mark is the progress
	// that says that the job is moving.
	Version int64
	Mark    []byte
	// Unfit is set if no worker of this shard can ever run one of its steps.
	Unfit bool
}

const (
	// moveAfter is how long a job waits for room before it may move: a move costs two
	// writes, and room comes free all the time.
	moveAfter = 400 * time.Millisecond
	// moveFrom is the load from which jobs move away for want of room.
	moveFrom = 1.0
	// movesMost is how often a job may move.
	movesMost = 8
)

// Moves returns jobs of which no task may have run and which would better run
// elsewhere, at most n. Each must be answered by Moved or Stays; until then
// nothing of it starts.
func (s *Shard) Moves(now time.Time, n int) []Move {
	if s.takeover.open {
		return nil
	}
	var list []Move
	for _, j := range s.active {
		if len(list) == n {
			break
		}
		if !s.mayMove(j) {
			continue
		}
		unfit := s.unfit(j)
		if !unfit && (s.load < moveFrom || !j.waitsSince(now, moveAfter)) {
			continue
		}
		j.moving = true
		list = append(list, Move{Job: j.spec, Version: j.version, Mark: s.moveMark(j), Unfit: unfit})
	}
	return list
}

// moveMark returns the progress that says that a job is moving. It is newer than any
// that was persisted of the job.
func (s *Shard) moveMark(j *job) []byte {
	j.changed++
	p := j.progress()
	p.Moving = true
	return s.encodeProgress(j, p)
}

// mayMove reports whether the job is whole, no task of it may have run, and it has
// moves left. While progress of it is being written it waits, since that write would
// replace the mark.
func (s *Shard) mayMove(j *job) bool {
	if j.begun || j.moving || s.dirty[j.spec.ID] != nil || !j.spec.Share.Whole() || j.spec.Moves >= movesMost {
		return false
	}
	return !j.inherited || s.takeover.complete
}

// movedJob is what is remembered of a job that went to another shard.
type movedJob struct {
	// moves is the job's count of moves when it went.
	moves int
	at    time.Time
}

// Moved forgets a job that belongs to another shard now. Its row may still come by
// the feed, and its acceptance from a slow node: neither brings it back. Moved returns
// the version of its progress row, or 0.
func (s *Shard) Moved(now time.Time, id string) (version int64) {
	j := s.jobs[id]
	if j == nil || !j.moving {
		return 0
	}
	s.movedAway[id] = movedJob{j.spec.Moves, now}
	delete(s.jobs, id)
	delete(s.dirty, id)
	s.active = slices.DeleteFunc(s.active, func(o *job) bool { return o == j })
	return j.version
}

// Stays lets a job that didn't move start here.
func (s *Shard) Stays(id string) {
	if j := s.jobs[id]; j != nil {
		j.moving = false
	}
}

// waitsSince reports whether a step of the job has waited for room for so long.
func (j *job) waitsSince(now time.Time, d time.Duration) bool {
	return slices.ContainsFunc(j.reps, func(rep *repeat) bool {
		return slices.ContainsFunc(rep.steps, func(st *step) bool {
			return !st.waitingSince.IsZero() && now.Sub(st.waitingSince) >= d
		})
	})
}

// unfit reports whether a step of the job can never run here: no worker has its
// label and size, or all of them together have less room than its gang needs.
func (s *Shard) unfit(j *job) bool {
	if len(s.order) == 0 {
		return false
	}
	for i := range j.spec.Steps {
		if !s.fits(&j.spec.Steps[i]) {
			return true
		}
	}
	return false
}

// fits reports whether the shard's workers could run a step if they were free.
func (s *Shard) fits(spec *cluster.Step) bool {
	var total resource.Amount
	fits := false
	for _, w := range s.order {
		if !w.info.Draining && !w.entryInvalid && (spec.Label == "" || w.info.HasLabel(spec.Label)) && w.info.Capacity.Fits(spec.Room()) {
			fits = true
			total = total.Add(w.info.Capacity)
		}
	}
	return fits && (!spec.Gang || total.Fits(spec.Room().Times(int64(spec.Count))))
}
