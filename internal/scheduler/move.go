// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// Move is a job that would better run on another shard.
type Move struct {
	Job cluster.Job
	// Version is that of the job's progress row; 0: there is none. Mark is the progress
	// that says that the job is moving.
	Version int64
	Mark    []byte
	// Carried is the progress that goes with the job; nil: it hasn't begun.
	Carried []byte
	// Unfit is set if the workers of this shard can never run one of its steps.
	Unfit bool
	// Joint is set if all shards should run the job's gangs together.
	Joint bool
}

const (
	// moveDelay is how long a job waits for room before it may move: a move costs two
	// writes, and room comes free all the time.
	moveDelay = 400 * time.Millisecond
	// moveGangDelay is the same for a job whose gang waits: advice on all workers of
	// another shard takes up to two seconds.
	moveGangDelay = 4 * time.Second
	// moveMinLoad is the load from which jobs move away for want of room.
	moveMinLoad = 1.0
	// maxMoves is how often a job may move.
	maxMoves = 8
	// jointDelay is how long a gang waits that fits its shard only while little else runs
	// there, before all shards run it together.
	jointDelay = 1500 * time.Millisecond
	// jointMaxFit is how many times a gang must fit a shard not to count as such.
	jointMaxFit = 2
	// jointMinMoves is after how many moves a gang that its shard can't hold is run by all
	// shards together: another shard may hold it alone, which takes less.
	jointMinMoves = 1
)

// BeginMoves returns jobs of which nothing runs and which would better run elsewhere, at most
// n: those that have not begun, and others if the workers here can't run their next steps.
// Each must be answered by CompleteMove or CancelMove; until then nothing of it starts. Those that
// stayed go behind the others: there may be no better shard for them at all.
func (s *Shard) BeginMoves(now time.Time, n int) []Move {
	if s.takeover.open {
		return nil
	}
	var list []Move
	for _, c := range s.moveCandidates(now) {
		if len(list) == n {
			break
		}
		j := c.job
		j.moving, j.offeredAt = true, now
		m := Move{Job: j.spec, Version: j.version, Mark: s.movingMark(j), Unfit: c.unfit, Joint: c.joint}
		if j.begun {
			m.Carried = s.encodeProgress(j, j.progress())
		}
		list = append(list, m)
	}
	return list
}

// moveCandidate is a job that may move; unfit and join are as in Move.
type moveCandidate struct {
	job          *job
	unfit, joint bool
}

// moveCandidates returns the jobs that may move: those first that this shard can never run,
// and of each kind those that were offered, or taken, the longest ago.
func (s *Shard) moveCandidates(now time.Time) []moveCandidate {
	var list []moveCandidate
	for _, j := range s.active {
		if !s.mayMove(j) {
			continue
		}
		unfit := s.unfitStep(j)
		joint := s.needsJoint(now, j, unfit)
		if unfit != nil || joint || (!j.begun && s.load >= moveMinLoad && j.waitsTooLong(now)) {
			list = append(list, moveCandidate{j, unfit != nil, joint})
		}
	}
	slices.SortStableFunc(list, func(a, b moveCandidate) int {
		if a.unfit != b.unfit {
			if a.unfit {
				return -1
			}
			return 1
		}
		return a.job.offeredAt.Compare(b.job.offeredAt)
	})
	return list
}

// movingMark returns the progress that says that a job is moving. It is newer than any
// that was persisted of the job.
func (s *Shard) movingMark(j *job) []byte {
	j.changeCount++
	p := j.progress()
	p.Moving = true
	return s.encodeProgress(j, p)
}

// mayMove reports whether the job is whole, nothing of it may run, and it has moves left.
// While progress of it is being written it waits, since that write would replace the mark.
func (s *Shard) mayMove(j *job) bool {
	if j.moving || s.dirty[j.spec.ID] != nil || !j.spec.Share.Whole() || j.spec.Moves >= maxMoves || j.mayBeRunning() {
		return false
	}
	return !j.inherited || s.takeover.complete
}

// mayBeRunning reports whether anything of the job may run.
func (j *job) mayBeRunning() bool {
	if !j.begun {
		return false
	}
	for st := range j.steps() {
		if slices.ContainsFunc(st.tasks, func(t *task) bool { return len(t.runs) > 0 }) {
			return true
		}
	}
	return false
}

// movedJob is what is remembered of a job that went to another shard.
type movedJob struct {
	// moves is the job's count of moves when it went.
	moves int
	at    time.Time
}

// CompleteMove forgets a job that belongs to another shard now. Its row may still come by
// the feed, and its acceptance from a slow node: neither brings it back. CompleteMove returns
// the version of its progress row, or 0.
func (s *Shard) CompleteMove(now time.Time, id string) (version int64) {
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

// CancelMove lets a job that didn't move start here.
func (s *Shard) CancelMove(id string) {
	if j := s.jobs[id]; j != nil {
		j.moving = false
	}
}

// waitsTooLong reports whether a step of the job has waited for room for so long that the
// job may move.
func (j *job) waitsTooLong(now time.Time) bool {
	for st := range j.steps() {
		delay := moveDelay
		if st.spec.Gang {
			delay = moveGangDelay
		}
		if !st.waitingSince.IsZero() && now.Sub(st.waitingSince) >= delay {
			return true
		}
	}
	return false
}

// needsJoint reports whether all shards should run the job's gangs together; unfit is a step of
// it that this shard can't hold, or nil.
func (s *Shard) needsJoint(now time.Time, j *job, unfit *step) bool {
	if unfit != nil {
		return unfit.spec.Gang && j.spec.Moves >= jointMinMoves
	}
	return s.waitsForTightGang(now, j)
}

// waitsForTightGang reports whether a gang of the job has waited for a while, and its
// shard holds it only while little else runs there.
func (s *Shard) waitsForTightGang(now time.Time, j *job) bool {
	for st := range j.steps() {
		enough := jointMaxFit * len(st.tasks)
		if st.spec.Gang && st.waitTime(now) >= jointDelay && s.maxTasksHere(st, enough) < enough {
			return true
		}
	}
	return false
}

// unfitStep returns a step of the job that is left and can never run here, or nil.
func (s *Shard) unfitStep(j *job) *step {
	if len(s.workerList) == 0 {
		return nil
	}
	for st := range j.steps() {
		if st.done < len(st.tasks) && !s.canHold(st) {
			return st
		}
	}
	return nil
}

// canHold reports whether the shard's workers could run a step if they were free: one task
// at least, and all together of a gang or of tasks that last. Workers that advice rejects
// don't count; those that it was not asked about do.
func (s *Shard) canHold(st *step) bool {
	need := 1
	if st.spec.Gang || st.spec.LongRunning {
		need = len(st.tasks) - st.done
	}
	return s.maxTasksHere(st, need) >= need
}

// maxTasksHere returns how many tasks of a step the shard's workers could run if they were
// free, or so many as are enough.
func (s *Shard) maxTasksHere(st *step, enough int) (room int) {
	for _, w := range s.workerList {
		if w.info.Draining || w.leaving || w.entryInvalid || (st.spec.Label != "" && !w.info.HasLabel(st.spec.Label)) {
			continue
		}
		if ans, known := st.advice.answers[w.info.ID]; known && !ans.approved {
			continue
		}
		if room += int(fitsIn(w.info.Capacity, st)); room >= enough {
			return room
		}
	}
	return room
}
