// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"encoding/json"
	"slices"

	"switchbank.example/switchbank/internal/cluster"
)

// Progress is what is persisted of a job beside its specification.
type Progress struct {
	State cluster.State `json:"state"`
	Begun bool          `json:"begun,omitempty"`
	Steps []StepState   `json:"steps,omitempty"`
	// Ended are the numbers of the repeats all of whose tasks have succeeded.
	Ended numberSet `json:"er,omitempty"`
	// Chunked is set if the steps are in rows of their own, of which ChunkKeys are the keys once they
	// are joined, and DoneChunks those that have none since their tasks have succeeded.
	Chunked    bool         `json:"ch,omitempty"`
	ChunkKeys  []string     `json:"ck,omitempty"`
	DoneChunks []DoneChunks `json:"dc,omitempty"`
	// Moving is set while the job may be moving to another shard.
	Moving bool `json:"m,omitempty"`
	// Epoch is that of the owner that wrote this, and Change rises with each change of
	// the job under that owner.
	Epoch  int64 `json:"e,omitempty"`
	Change int64 `json:"c,omitempty"`
	// MovesPlusOne is one more than the job's number of moves when this was written; 0:
	// not known.
	MovesPlusOne int `json:"mv,omitempty"`
	// Team is the job's team. Only the last progress has it, which outlives the job's row.
	Team string `json:"tm,omitempty"`

	version int64
}

// NewerThan reports whether p was written after q: a write that takes effect late
// may have the higher version in the store.
func (p *Progress) NewerThan(q *Progress) bool {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Change, q.Change)) > 0
}

// IsCurrent reports whether p was written since the job last came to its shard: a row
// from before it moved away and came back may be left there.
func (p *Progress) IsCurrent(spec *cluster.Job) bool {
	return p.MovesPlusOne == 0 || p.MovesPlusOne == spec.Moves+1
}

// StepState is the progress of one step of one repeat.
type StepState struct {
	Repeat int `json:"r,omitempty"`
	Step   int `json:"s,omitempty"`
	// From is the index of the first task that Done tells of.
	From int `json:"o,omitempty"`
	// Done has a '0' or '1' for each task; "": none has succeeded.
	Done  string      `json:"d,omitempty"`
	Tasks []TaskState `json:"t,omitempty"`
}

// TaskState is what is persisted of a task that has not succeeded.
type TaskState struct {
	Index int `json:"i"`
	// Failed are the numbers of the runs that failed.
	Failed     []int64 `json:"f,omitempty"`
	Checkpoint string  `json:"c,omitempty"`
	// LastRun is the number of the task's last run; the next owner's run numbers are
	// above it, also in another shard.
	LastRun int64 `json:"l,omitempty"`
	// Crashes are the crashes of workers under the task; nil: there are none.
	Crashes *CrashRecord `json:"x,omitempty"`
}

// ParseProgress reads the value of a progress row.
func ParseProgress(value []byte, version int64) (*Progress, error) {
	var p Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, &cluster.Error{Op: "parse progress", Kind: cluster.KindInvalid, Field: "value", Err: err}
	}
	p.version = version
	return &p, nil
}

// progress returns what is to be persisted of the job: only its state once it has
// finished.
func (j *job) progress() Progress {
	p := j.progressHead()
	if j.state.Finished() {
		return p
	}
	for _, rep := range j.repeats {
		if j.ended.has(rep.number) {
			continue
		}
		for _, st := range rep.steps {
			if ss, changed := st.state(0, len(st.tasks)); changed {
				p.Steps = append(p.Steps, ss)
			}
		}
	}
	return p
}

// progressHead returns the progress of the job without its steps.
func (j *job) progressHead() Progress {
	if j.state.Finished() {
		return Progress{State: j.state, Begun: j.begun, Team: j.spec.Team}
	}
	return Progress{State: j.state, Begun: j.begun, Ended: j.ended}
}

// hasProgress reports whether something has to be persisted of a task that has not succeeded.
func (t *task) hasProgress() bool { return len(t.failed) > 0 || t.checkpoint != "" || t.suspect() }

// state returns the progress of a range of the step's tasks; changed is false if there is none.
func (st *step) state(from, to int) (ss StepState, changed bool) {
	ss = StepState{Repeat: st.id.Repeat, Step: st.id.Step, From: from}
	done, anyDone := make([]byte, to-from), false
	for x, t := range st.tasks[from:to] {
		done[x] = '0'
		switch {
		case t.done:
			done[x], anyDone = '1', true
		case t.hasProgress():
			ss.Tasks = append(ss.Tasks, t.persistedState(from+x))
		}
	}
	if anyDone {
		ss.Done = string(done)
	}
	return ss, anyDone || len(ss.Tasks) > 0
}

// persistedState returns what is persisted of the task, which is the x-th of its step.
func (t *task) persistedState(x int) TaskState {
	ts := TaskState{Index: x, Failed: t.failed, Checkpoint: t.checkpoint, LastRun: t.lastRun}
	if t.suspect() {
		ts.Crashes = &t.crashes
	}
	return ts
}

// restore sets a job's progress from what was persisted, ignoring entries that don't
// match the job's steps.
func (s *Shard) restore(j *job, p *Progress) {
	j.version, j.begun, j.ran, j.moving = p.version, p.Begun, p.Begun, p.Moving
	if p.Ended.valid(j.numRepeats() - 1) {
		j.ended = slices.Clone(p.Ended)
		j.tasksLeft -= j.ended.size() * j.tasksPerRepeat()
	}
	s.restoreChunks(j, p)
	for i := range p.Steps {
		ss := &p.Steps[i]
		if st := s.step(StepID{j.spec.ID, ss.Repeat, ss.Step}); st != nil && !j.ended.has(ss.Repeat) {
			s.restoreStep(st, ss)
		}
	}
	j.releaseEndedRepeats()
}

// restoreStep sets a step's progress from what was persisted.
func (s *Shard) restoreStep(st *step, ss *StepState) {
	if ss.From < 0 {
		return
	}
	for x := range ss.Done {
		if ss.Done[x] == '1' {
			s.restoreDone(st, ss.From+x, min(ss.From+x+1, st.spec.Count))
		}
	}
	for _, ts := range ss.Tasks {
		if ts.Index < 0 || ts.Index >= st.spec.Count {
			continue
		}
		t := s.taskAt(st, ts.Index)
		t.failed, t.checkpoint, t.lastRun = ts.Failed, ts.Checkpoint, max(t.lastRun, ts.LastRun)
		st.lastGangRun, st.repeat.begun = max(st.lastGangRun, t.lastRun), true
		if ts.Crashes != nil && len(ts.Crashes.Workers) == len(ts.Crashes.Runs) {
			t.crashes = *ts.Crashes
		}
	}
}

// restoreDone records that a range of a step's tasks have succeeded, as was persisted.
func (s *Shard) restoreDone(st *step, from, to int) {
	for x := from; x < to; x++ {
		if x%maxWaitingTasks == 0 {
			st.releaseDoneTasks(s)
		}
		if t := s.taskAt(st, x); !t.done {
			t.done, t.uncertain, st.repeat.begun = true, false, true
			st.done++
			st.job.tasksLeft--
		}
	}
}
