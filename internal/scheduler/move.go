// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// Move is a job that another shard may run better.
type Move struct {
	Job cluster.Job
	// Version is that of the job's progress row; 0: there is none. Mark is the progress
	// to write first, which says that the job is moving.
	Version int64
	Mark    []byte
	// Carried is the progress that goes with the job; nil: it has not begun.
	Carried []byte
	// Unfit is set if the workers of this shard can never run one of the job's steps.
	Unfit bool
	// Joint is set if all shards should run the job's gangs together.
	Joint bool
	// Spread is set if a gang of the job has waited for long: all shards should run it
	// together if others have more room, or if this one should have had room for it.
	Spread bool
}

const (
	// moveDelay is how long a job waits for room before it may move: a move costs two
	// writes, and room comes free all the time.
	moveDelay = 400 * time.Millisecond
	// moveGangDelay is the same for a job whose gang waits: advice on all workers of
	// another shard takes up to two seconds.
	moveGangDelay = 4 * time.Second
	// moveMinLoad is the load from which jobs move away for lack of room.
	moveMinLoad = 1.0
	// maxMoves is how often a job may move, unless its shard can never run it.
	maxMoves = 8
	// unfitMoveDelay is the pause before each further move of a job that its shards can't run,
	// and doubles up to maxUnfitMoveDelay: such a job may fit nowhere.
	unfitMoveDelay    = 500 * time.Millisecond
	maxUnfitMoveDelay = 32 * time.Second
	// jointDelay is how long a gang that fits its shard only while little else runs there
	// waits before all shards run it together.
	jointDelay = 1500 * time.Millisecond
	// jointMaxFit is how many times a gang must fit into its empty shard not to become
	// joint.
	jointMaxFit = 2
	// spreadDelay is how long a gang that fits its shard waits before all shards run it
	// together if others have more room: three seconds beside free room are too long.
	spreadDelay = 2500 * time.Millisecond
	// jointMinMoves is after how many moves a gang that its shard can't hold becomes
	// joint: another shard may hold it alone, which takes less time.
	jointMinMoves = 1
)

// BeginMoves returns at most n jobs that another shard may run better and of which
// nothing runs: jobs that have not begun, and others if the workers here can't run their
// next steps. Nothing of a returned job starts until CompleteMove or CancelMove is called
// for it. Jobs whose move was cancelled are offered after the others, since there may be
// no better shard for them.
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
		m := Move{Job: j.spec, Version: j.version, Mark: s.movingMark(j), Unfit: c.unfit, Joint: c.joint, Spread: c.spread}
		if j.begun {
			m.Carried = s.encodeProgress(j, j.progress())
		}
		list = append(list, m)
	}
	return list
}

// moveCandidate is a job that may move; unfit, joint and spread are as in Move.
type moveCandidate struct {
	job                  *job
	unfit, joint, spread bool
}

// moveCandidates returns the jobs that may move: first those that this shard can never
// run, and of each kind those first whose last offer was the longest ago.
func (s *Shard) moveCandidates(now time.Time) []moveCandidate {
	var list []moveCandidate
	for _, j := range s.active {
		if !s.mayMove(j) {
			continue
		}
		unfit := s.unfitStep(j)
		joint := s.shouldBeJoint(now, j, unfit)
		spread := s.params.Shards > 1 && !joint && unfit == nil && j.gangWaits(now, spreadDelay)
		if unfit != nil && !joint && now.Sub(j.offeredAt) < s.unfitDelay(j.spec.Moves) {
			continue
		}
		if unfit == nil && j.spec.Moves >= maxMoves {
			continue
		}
		if unfit != nil || joint || spread || (!j.begun && s.load >= moveMinLoad && j.waitsTooLong(now)) {
			list = append(list, moveCandidate{j, unfit != nil, joint, spread})
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

// movingMark returns the progress that says that a job is moving. It is newer than all
// progress of the job that was persisted before.
func (s *Shard) movingMark(j *job) []byte {
	j.changeCount++
	p := j.progress()
	p.Moving = true
	return s.encodeProgress(j, p)
}

// mayMove reports whether the job is not split over shards, nothing of it may be running,
// and no other write of it is under way. It does not move while its progress is being written, since that
// write would replace the mark, nor if its progress is too large to go with it.
func (s *Shard) mayMove(j *job) bool {
	if j.moving || j.isChunked || s.dirty[j.spec.ID] != nil || !j.spec.Share.Whole() || j.mayBeRunning() {
		return false
	}
	return !j.inherited || s.takeover.complete
}

// mayBeRunning reports whether any run of the job may be on a worker.
func (j *job) mayBeRunning() bool {
	if !j.begun {
		return false
	}
	for st := range j.steps() {
		if slices.ContainsFunc(st.tasks, (*task).hasRuns) {
			return true
		}
	}
	return false
}

// unfitDelay returns how long a job that this shard can't run stays before it moves on, after a
// number of moves. The first ones, which take it through all shards twice, are not delayed.
func (s *Shard) unfitDelay(moves int) time.Duration {
	further := moves - max(maxMoves, 2*s.params.Shards)
	if further < 0 {
		return 0
	}
	return min(unfitMoveDelay<<min(further, 10), maxUnfitMoveDelay)
}

// movedJob is what is remembered of a job that moved to another shard.
type movedJob struct {
	// moves is the job's number of moves when it left.
	moves int
	at    time.Time
}

// CompleteMove forgets a job that belongs to another shard now, and returns the version
// of its progress row, or 0. Neither the job's row, which the feed may still deliver, nor
// its acceptance by a slow node brings it back. moves is how often the job had moved before:
// it may have come back already.
func (s *Shard) CompleteMove(now time.Time, id string, moves int) (version int64) {
	j := s.movingJob(id, moves)
	if j == nil {
		return 0
	}
	s.movedAway[id] = movedJob{j.spec.Moves, now}
	delete(s.jobs, id)
	delete(s.dirty, id)
	s.active = slices.DeleteFunc(s.active, func(o *job) bool { return o == j })
	return j.version
}

// CancelMove lets a job that has not moved start here, and reports whether it is still here.
// moves is as for CompleteMove.
func (s *Shard) CancelMove(id string, moves int) bool {
	j := s.movingJob(id, moves)
	if j == nil {
		return false
	}
	j.moving = false
	return true
}

// movingJob returns the job that may be on its way to another shard after the given number of
// moves, or nil.
func (s *Shard) movingJob(id string, moves int) *job {
	if j := s.jobs[id]; j != nil && j.moving && j.spec.Moves == moves {
		return j
	}
	return nil
}

// hasComeBack reports whether a job's row shows that the known job has moved away and come back:
// rows are written in the order of their moves.
func (j *job) hasComeBack(spec *cluster.Job) bool {
	return j.moving && spec.Share.Whole() && spec.Moves > j.spec.Moves
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

// gangWaits reports whether a gang of the job has waited for room for at least d.
func (j *job) gangWaits(now time.Time, d time.Duration) bool {
	for st := range j.steps() {
		if st.spec.Gang && st.waitTime(now) >= d {
			return true
		}
	}
	return false
}

// shouldBeJoint reports whether all shards should run the job's gangs together; unfit is a
// step of the job that this shard can't hold, or nil.
func (s *Shard) shouldBeJoint(now time.Time, j *job, unfit *step) bool {
	if unfit != nil {
		return unfit.spec.Gang && j.spec.Moves >= jointMinMoves
	}
	return s.waitsForTightGang(now, j)
}

// waitsForTightGang reports whether a gang of the job has waited for jointDelay, and its
// shard holds it only while little else runs there.
func (s *Shard) waitsForTightGang(now time.Time, j *job) bool {
	for st := range j.steps() {
		enough := jointMaxFit * st.spec.Count
		if st.spec.Gang && st.waitTime(now) >= jointDelay && s.maxTasksHere(st, enough) < enough {
			return true
		}
	}
	return false
}

// unfitStep returns an unfinished step of the job that can never run here, or nil.
func (s *Shard) unfitStep(j *job) *step {
	if len(s.workerList) == 0 {
		return nil
	}
	for st := range j.steps() {
		if st.done < st.spec.Count && !s.canHold(st) {
			return st
		}
	}
	return nil
}

// canHold reports whether the shard's workers could run a step if they were empty: at
// least one task, or all tasks at once of a gang or a long-running step. Workers that the
// advice service has rejected don't count; those that it was not asked about do.
func (s *Shard) canHold(st *step) bool {
	need := 1
	if st.spec.Gang || st.spec.LongRunning {
		need = st.spec.Count - st.done
	}
	return s.maxTasksHere(st, need) >= need
}

// maxTasksHere returns how many tasks of a step the shard's workers could run if they
// were empty, for a gang but for the long-running tasks there. A gang never asks for advice
// about workers on which these leave no room; counted as if they were empty, such workers
// kept a gang in a shard whose approved workers could not hold it. It stops counting at
// enough.
func (s *Shard) maxTasksHere(st *step, enough int) (count int) {
	for _, w := range s.workerList {
		if w.info.Draining || w.leaving || w.entryInvalid || s.isEvacuated(w) || (st.spec.Label != "" && !w.info.HasLabel(st.spec.Label)) {
			continue
		}
		if ans, known := st.advice.answers[w.info.ID]; known && !ans.approved {
			continue
		}
		room := w.info.Capacity
		if st.spec.Gang {
			room = room.Sub(w.longRunningAllocation())
		}
		if count += int(fitsIn(room, st)); count >= enough {
			return count
		}
	}
	return count
}
