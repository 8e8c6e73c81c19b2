// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// This file creates the state of a job's repeats and tasks when it is needed, and releases it once
// they have ended. A job of a few hundred bytes may mean a hundred thousand tasks, over all of its
// times or in one wide step, so that what the owner holds must grow with what is due or runs. A
// repeat without state has not been started by this owner, or it has ended.

const (
	// maxUnbegunTasks bounds the tasks of a job's open repeats of which nothing has started, unless
	// it is one repeat; further ones are opened as these start.
	maxUnbegunTasks = 1024
	// maxOpenTasks bounds the tasks of all open repeats of a job, unless it is one repeat. It is
	// above the number of tasks that a shard runs at once.
	maxOpenTasks = 8192
	// maxWaitingTasks bounds the tasks of a step that have state and wait; further ones get state
	// as these start.
	maxWaitingTasks = 1024
	// releaseTasksAbove is the size of a step above which tasks are released once they are done. The
	// tasks of smaller steps stay, since their run times show which of the others are slow.
	releaseTasksAbove = 4 * maxWaitingTasks
)

// repeat is one execution of all steps of a job.
type repeat struct {
	number int
	due    time.Time
	steps  []*step
	paths  paths
	// begun is set once a task of it was started.
	begun bool
}

// numRepeats returns how many times the job's steps run.
func (j *job) numRepeats() int { return max(1, j.spec.Repeats) }

// dueAt returns when the k-th repeat is due; zero: when the job was accepted.
func (j *job) dueAt(k int) time.Time {
	if j.spec.Repeats == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.spec.StartMS + int64(k)*j.spec.IntervalMS)
}

// tasksHere returns how many tasks of a step run on this shard.
func (j *job) tasksHere(spec *cluster.Step) (n int) {
	if j.spec.Share.Whole() {
		return spec.Count
	}
	for x := range spec.Count {
		if j.spec.MayRun(spec, x) {
			n++
		}
	}
	return n
}

// tasksPerRepeat returns how many tasks of a repeat run on this shard.
func (j *job) tasksPerRepeat() (n int) {
	for i := range j.spec.Steps {
		n += j.tasksHere(&j.spec.Steps[i])
	}
	return n
}

// findRepeat returns the index at which the k-th repeat is, or would be, among the open ones.
func (j *job) findRepeat(k int) (i int, open bool) {
	return slices.BinarySearchFunc(j.repeats, k, func(r *repeat, k int) int { return cmp.Compare(r.number, k) })
}

// openStep returns a step of an open repeat, or nil.
func (j *job) openStep(id StepID) *step {
	i, open := j.findRepeat(id.Repeat)
	if !open || id.Step < 0 || id.Step >= len(j.repeats[i].steps) {
		return nil
	}
	return j.repeats[i].steps[id.Step]
}

// step returns a step of any repeat, which it opens if need be, or nil if the job has no such step or
// its state was dropped after its end.
func (s *Shard) step(id StepID) *step {
	j := s.jobs[id.Job]
	if j == nil || j.finalPersisted || id.Repeat < 0 || id.Repeat >= j.numRepeats() || id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return nil
	}
	return s.openRepeat(j, id.Repeat).steps[id.Step]
}

// openRepeat returns the k-th repeat of a job, and creates its steps unless they are there. All
// tasks of one that has ended are done.
func (s *Shard) openRepeat(j *job, k int) *repeat {
	at, open := j.findRepeat(k)
	if open {
		return j.repeats[at]
	}
	rep := &repeat{number: k, due: j.dueAt(k)}
	ended := j.ended.has(k)
	for i := range j.spec.Steps {
		st := &step{id: StepID{j.spec.ID, k, i}, job: j, repeat: rep, spec: &j.spec.Steps[i], lastGangRun: s.params.Epoch * runsPerEpoch}
		if !ended {
			st.pristine = j.tasksHere(st.spec)
		}
		st.done = st.spec.Count - st.pristine
		if st.spec.Gang && st.spec.Count <= maxWaitingTasks {
			s.createTasks(st, st.spec.Count)
		}
		rep.steps = append(rep.steps, st)
	}
	j.repeats = slices.Insert(j.repeats, at, rep)
	return rep
}

// createTasks creates the state of the first n tasks of a step, unless it is there. Those that
// another shard runs count as done here. Those of a job that an earlier owner may have started may
// run on a worker until the takeover is complete.
func (s *Shard) createTasks(st *step, n int) {
	for x := len(st.tasks); x < n; x++ {
		t := st.newTask(s, x)
		if st.pristine > 0 && st.job.spec.MayRun(st.spec, x) {
			st.pristine--
			t.done, t.uncertain = false, st.job.uncertain
		}
		st.tasks = append(st.tasks, t)
	}
}

// newTask returns the task of the given index as one that is done.
func (st *step) newTask(s *Shard, index int) *task {
	id := cluster.TaskID{Job: st.id.Job, Repeat: st.id.Repeat, Step: st.id.Step, Index: index}
	return &task{id: id, step: st, lastRun: s.params.Epoch * runsPerEpoch, done: true}
}

// taskAt returns the task of a step with the given index, whose state it creates if need be.
func (s *Shard) taskAt(st *step, index int) *task {
	s.createTasks(st, index+1)
	if st.tasks[index] == st.released {
		st.tasks[index] = st.newTask(s, index)
	}
	return st.tasks[index]
}

// createWaitingTasks creates the state of tasks of a step that may start, up to maxWaitingTasks. Those
// of a wide gang are created all at once, or not at all if the shard can't hold them.
func (s *Shard) createWaitingTasks(st *step) {
	if st.pristine == 0 {
		return
	}
	if st.spec.Gang {
		if st.job.isJoint() || s.canHold(st) {
			s.createTasks(st, st.spec.Count)
		}
		return
	}
	waiting := int(st.waitingTasks()) - st.pristine
	s.createTasks(st, min(st.spec.Count, len(st.tasks)+max(0, maxWaitingTasks-waiting)))
}

// updateRepeats releases what has ended of all jobs, and opens the repeats that are due.
func (s *Shard) updateRepeats(now time.Time) {
	for _, j := range s.active {
		for st := range j.steps() {
			st.releaseDoneTasks(s)
		}
		if j.spec.Repeats > 0 {
			j.releaseEndedRepeats()
			s.openDueRepeats(now, j)
		}
	}
}

// openDueRepeats opens the repeats of a job that are due soon, as far as the bounds allow. At least
// the next one is always open, so that it shows what the job needs.
func (s *Shard) openDueRepeats(now time.Time, j *job) {
	perRepeat := j.tasksPerRepeat()
	unbegun := 0
	for _, rep := range j.repeats {
		if !rep.begun {
			unbegun += perRepeat
		}
	}
	for ; j.nextRepeat < j.numRepeats(); j.nextRepeat++ {
		k := j.nextRepeat
		if _, open := j.findRepeat(k); open || j.ended.has(k) {
			continue
		}
		if len(j.repeats) > 0 && (now.Before(j.dueAt(k).Add(-prefetchLead)) || unbegun >= maxUnbegunTasks || len(j.repeats)*perRepeat >= maxOpenTasks) {
			return
		}
		s.openRepeat(j, k)
		unbegun += perRepeat
	}
}

// releaseEndedRepeats drops the state of repeats all of whose tasks are done and of which nothing runs
// any more.
func (j *job) releaseEndedRepeats() {
	j.repeats = slices.DeleteFunc(j.repeats, func(rep *repeat) bool {
		if !rep.hasEnded() {
			return false
		}
		j.ended = j.ended.add(rep.number)
		return true
	})
}

// hasEnded reports whether all tasks of the repeat are done and nothing of it runs.
func (rep *repeat) hasEnded() bool {
	for _, st := range rep.steps {
		if st.done < st.spec.Count || slices.ContainsFunc(st.tasks, (*task).hasRuns) {
			return false
		}
	}
	return true
}

// hasRuns reports whether runs of the task may occupy resources.
func (t *task) hasRuns() bool { return len(t.runs) > 0 }

// releaseDoneTasks drops the state of the done tasks of a wide step. All of them share one state.
func (st *step) releaseDoneTasks(s *Shard) {
	if st.spec.Count <= releaseTasksAbove || st.spec.Gang || st.released != nil && st.releasedAtDone == st.done {
		return
	}
	if st.released == nil {
		st.released = st.newTask(s, 0)
	}
	st.releasedAtDone = st.done
	for x, t := range st.tasks {
		if t.done && !t.hasRuns() {
			st.longestRun = max(st.longestRun, t.runTime)
			st.tasks[x] = st.released
		}
	}
}
