// SPDX-License-Identifier: Apache-2.0

// Package jobs implements job shards: the durable state of workloads and of request
// keys, and the scheduling of tasks.
//
// The state of a shard changes only by records, which are journalled in the order in
// which they are applied. What depends on a record, such as the start of a task or the
// answer to a caller, follows once the record is durable. The next owner of the shard
// therefore finds every task that may have been started and every change that was
// acknowledged.
//
// A Set schedules in rounds: it reserves resources in worker shards for waiting tasks,
// journals their placements, and then starts them. It also reconciles: it asks the
// owners of worker shards about tasks of which it has heard nothing, and stops those
// that must not run.
//
// # Usage
//
//	s := jobs.NewSet(deps, opts, log)          // a shard.Handler
//	status, err := s.Create(ctx, key, workload)
//	err = s.Events(ctx, peer.EventsRequest{…}) // nil once the events are journalled
package jobs

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/worker"
)

const (
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = time.Minute
	// neverRanRetryDelay is the delay of a task whose reservation expired before it started.
	// Since this is not a failure, the delay doesn't grow.
	neverRanRetryDelay = 50 * time.Millisecond
)

// Record is one change of a shard's state; exactly one field is set.
type Record struct {
	Admit  *Admit     `json:"admit,omitempty"`
	Place  *Place     `json:"place,omitempty"`
	Event  *Event     `json:"event,omitempty"`
	Cancel *Cancel    `json:"cancel,omitempty"`
	Reject *Reject    `json:"reject,omitempty"`
	Forget *Forget    `json:"forget,omitempty"`
	Intent *Intent    `json:"intent,omitempty"`
	Finish *KeyResult `json:"finish,omitempty"`
}

// Admit adds a workload.
type Admit struct {
	Workload api.Workload `json:"workload"`
	At       time.Time    `json:"at"`
}

// Place assigns tasks to workers. A task is started only once its Place is durable.
type Place struct {
	Placements []peer.Placement `json:"placements"`
}

// Event is an event of a task, and when it was received.
type Event struct {
	Event peer.Event `json:"event"`
	At    time.Time  `json:"at"`
}

// Cancel cancels a workload.
type Cancel struct {
	Job string    `json:"job"`
	At  time.Time `json:"at"`
}

// Reject fails a workload that can never run.
type Reject struct {
	Job    string    `json:"job"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
}

// Forget deletes workloads and keys whose retention is over.
type Forget struct {
	Jobs []string `json:"jobs,omitempty"`
	Keys []string `json:"keys,omitempty"`
}

// Job is a workload and its tasks.
type Job struct {
	Spec      api.Workload `json:"spec"`
	State     api.JobState `json:"state"`
	Reason    string       `json:"reason,omitempty"`
	Submitted time.Time    `json:"submitted"`
	Ended     time.Time    `json:"ended,omitzero"`
	Cancelled bool         `json:"cancelled,omitempty"`
	// Restarting is set while the tasks of an all-at-once job are stopped, in order to
	// start all of them again together.
	Restarting bool   `json:"regroup,omitempty"`
	Revision   int64  `json:"revision"`
	Tasks      []Task `json:"tasks"`
	// counts is the number of tasks in each state.
	counts api.TaskCounts
}

// Task is one task of a job.
type Task struct {
	State     api.TaskState  `json:"state"`
	Attempt   int            `json:"attempt"`
	Failures  int            `json:"failures,omitempty"`
	Placement peer.Placement `json:"place,omitzero"`
	Address   string         `json:"address,omitempty"`
	Reason    string         `json:"reason,omitempty"`
	NotBefore time.Time      `json:"not_before,omitzero"`
	// FailedOn lists the workers on which the task failed.
	FailedOn []string `json:"failed_on,omitempty"`
	// lastAsked is when the owner of its worker shard was last asked about the task.
	lastAsked time.Time
	// stopSent is set once a stop has been sent for the task.
	stopSent bool
	// unconfirmed is set until the current owner of the task's worker shard confirms that
	// it knows the task.
	unconfirmed bool
}

// State is the state of one shard.
type State struct {
	Jobs map[string]*Job        `json:"jobs"`
	Keys map[string]*RequestKey `json:"keys"`
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Jobs: make(map[string]*Job), Keys: make(map[string]*RequestKey)}
}

// LoadState returns the state after a snapshot, which may be nil, and the records that
// follow it.
func LoadState(snapshot []byte, records []json.RawMessage) (*State, error) {
	st := NewState()
	if snapshot != nil {
		if err := json.Unmarshal(snapshot, st); err != nil {
			return nil, &Error{"load", KindCorrupt, err}
		}
		for _, j := range st.Jobs {
			j.recount()
		}
	}
	for _, raw := range records {
		var r Record
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, &Error{"load", KindCorrupt, err}
		}
		st.Apply(r)
	}
	return st, nil
}

// Apply applies a record. A record that the state does not allow, such as an event of an
// earlier attempt, changes nothing.
func (s *State) Apply(r Record) {
	switch {
	case r.Admit != nil:
		s.applyAdmit(r.Admit)
	case r.Place != nil:
		s.applyPlace(r.Place)
	case r.Event != nil:
		s.applyEvent(r.Event)
	case r.Cancel != nil:
		s.applyCancel(r.Cancel)
	case r.Reject != nil:
		s.applyReject(r.Reject)
	case r.Forget != nil:
		s.applyForget(r.Forget)
	case r.Intent != nil:
		s.applyIntent(r.Intent)
	case r.Finish != nil:
		s.applyFinish(r.Finish)
	}
}

func (s *State) applyAdmit(r *Admit) {
	j := &Job{Spec: r.Workload, State: api.JobWaiting, Submitted: r.At, Tasks: make([]Task, r.Workload.Tasks)}
	for i := range j.Tasks {
		j.Tasks[i].State = api.TaskWaiting
	}
	j.counts.Waiting = len(j.Tasks)
	j.Revision = 1
	s.Jobs[j.Spec.ID] = j
}

func (s *State) applyPlace(r *Place) {
	for _, pl := range r.Placements {
		j, t := s.task(pl.Attempt)
		if t == nil || t.State != api.TaskWaiting {
			continue
		}
		t.Attempt, t.Placement, t.Address, t.stopSent = pl.Attempt.N, pl, "", false
		j.setTaskState(t, api.TaskPlaced, "")
	}
}

// task returns the job and the task of an attempt, or nil.
func (s *State) task(a worker.Attempt) (*Job, *Task) {
	j, ok := s.Jobs[a.Job]
	if !ok || a.Task < 0 || a.Task >= len(j.Tasks) {
		return nil, nil
	}
	return j, &j.Tasks[a.Task]
}

// Accepts reports whether an event would change the state: it must be of the current
// attempt and fit the state of the task.
func (s *State) Accepts(ev peer.Event) bool {
	_, t := s.task(ev.Attempt)
	if t == nil || t.Attempt != ev.Attempt.N {
		return false
	}
	switch t.State {
	case api.TaskPlaced:
		return true
	case api.TaskRunning:
		return ev.Kind != peer.EventStarted || ev.Address != t.Address
	case api.TaskUnknown:
		return ev.Kind == peer.EventEnded && ev.Result == worker.ResultDone
	default:
		return false
	}
}

func (s *State) applyEvent(r *Event) {
	ev := r.Event
	if !s.Accepts(ev) {
		return
	}
	j, t := s.task(ev.Attempt)
	switch ev.Kind {
	case peer.EventStarted:
		t.Address = ev.Address
		j.setTaskState(t, api.TaskRunning, "")
	case peer.EventNeverRan:
		// Other tasks of an all-at-once job may run or have ended without this one.
		j.Restarting = j.Spec.Kind == api.KindAllAtOnce
		j.requeue(t, ev.Attempt, r.At.Add(neverRanRetryDelay), ev.Reason)
	case peer.EventLost:
		j.taskLost(t, ev, r.At)
	case peer.EventEnded:
		j.taskEnded(t, ev, r.At)
	}
	j.updateState(r.At)
}

// taskEnded handles a task whose end was reported.
func (j *Job) taskEnded(t *Task, ev peer.Event, at time.Time) {
	switch {
	case ev.Result == worker.ResultLeaseExpired:
		j.taskLost(t, ev, at)
	case ev.Result == worker.ResultStopped:
		j.taskStopped(t, ev, at)
	case ev.Result == worker.ResultDone && j.Spec.Kind != api.KindService:
		j.setTaskState(t, api.TaskDone, "")
	default:
		j.taskFailed(t, ev, at)
	}
}

// taskStopped handles a task that its worker stopped, because the job is cancelled or
// the task is to run again.
func (j *Job) taskStopped(t *Task, ev peer.Event, at time.Time) {
	if j.Spec.AtMostOnce && !j.Cancelled {
		j.setTaskState(t, api.TaskUnknown, eventReason("stopped", ev))
		return
	}
	j.requeue(t, ev.Attempt, at, ev.Reason)
}

// taskLost handles a task that does not run any more and whose result is not known.
func (j *Job) taskLost(t *Task, ev peer.Event, at time.Time) {
	if j.Spec.AtMostOnce {
		j.setTaskState(t, api.TaskUnknown, eventReason("lost", ev))
		return
	}
	j.retryTask(t, ev, at)
}

// taskFailed handles a failed attempt: the task is retried until MaxAttempts, and without
// limit if it belongs to a service.
func (j *Job) taskFailed(t *Task, ev peer.Event, at time.Time) {
	t.Failures++
	t.FailedOn = appendUnique(t.FailedOn, ev.Worker)
	if t.Failures >= j.Spec.MaxAttempts && j.Spec.Kind != api.KindService {
		j.setTaskState(t, api.TaskFailed, fmt.Sprintf("failed %d times, on %v: %s", t.Failures, t.FailedOn, ev.Reason))
		return
	}
	j.retryTask(t, ev, at)
}

// retryTask requeues a task after a backoff. If the job is all-at-once, all of its tasks
// are restarted.
func (j *Job) retryTask(t *Task, ev peer.Event, at time.Time) {
	if j.Spec.Kind == api.KindAllAtOnce {
		j.Restarting = true
	}
	j.requeue(t, ev.Attempt, at.Add(Backoff(ev.Attempt, t.Failures)), ev.Reason)
}

// requeue makes a task wait for its next attempt, or cancels it if the job is cancelled.
func (j *Job) requeue(t *Task, a worker.Attempt, notBefore time.Time, reason string) {
	if j.Cancelled {
		j.setTaskState(t, api.TaskCancelled, "cancelled")
		return
	}
	t.Attempt, t.NotBefore, t.Placement, t.Address = a.N, notBefore, peer.Placement{}, ""
	j.setTaskState(t, api.TaskWaiting, reason)
}

// updateState derives the job's state from those of its tasks, and raises the revision.
func (j *Job) updateState(at time.Time) {
	c := &j.counts
	active := c.Placed + c.Running
	if j.Spec.Kind == api.KindAllAtOnce && (c.Failed > 0 || c.Unknown > 0) {
		j.cancelWaiting()
	}
	if j.Restarting && active == 0 && c.Failed+c.Unknown == 0 {
		j.requeueDone()
	}
	var state api.JobState
	reason := j.Reason
	switch {
	case c.Waiting+c.Placed+c.Running > 0:
		state = api.JobWaiting
		if c.Running > 0 {
			state = api.JobRunning
		}
	case c.Failed > 0:
		state, reason = api.JobFailed, j.firstReason(api.TaskFailed)
	case c.Unknown > 0:
		state, reason = api.JobUnknown, j.firstReason(api.TaskUnknown)
	case c.Cancelled > 0:
		state = api.JobCancelled
	default:
		state = api.JobDone
	}
	if state.Final() && !j.State.Final() {
		j.Ended = at
	}
	j.State, j.Reason = state, reason
	j.Revision++
}

// cancelWaiting cancels the waiting tasks of an all-at-once job that cannot run all of
// its tasks any more.
func (j *Job) cancelWaiting() {
	for i := range j.Tasks {
		if j.Tasks[i].State == api.TaskWaiting {
			j.setTaskState(&j.Tasks[i], api.TaskCancelled, "another task of the job has failed")
		}
	}
}

// requeueDone requeues the completed tasks of an all-at-once job that restarts, once no
// task is active.
func (j *Job) requeueDone() {
	j.Restarting = false
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State == api.TaskDone {
			j.requeue(t, worker.Attempt{N: t.Attempt}, time.Time{}, "the job starts again whole")
		}
	}
}

// firstReason returns the reason of the first task in a state.
func (j *Job) firstReason(state api.TaskState) string {
	for i := range j.Tasks {
		if j.Tasks[i].State == state {
			return fmt.Sprintf("task %d: %s", i, j.Tasks[i].Reason)
		}
	}
	return ""
}

func (s *State) applyCancel(r *Cancel) {
	j, ok := s.Jobs[r.Job]
	if !ok || j.Cancelled || j.State.Final() {
		return
	}
	j.Cancelled = true
	for i := range j.Tasks {
		if j.Tasks[i].State == api.TaskWaiting {
			j.setTaskState(&j.Tasks[i], api.TaskCancelled, "cancelled")
		}
	}
	j.updateState(r.At)
}

func (s *State) applyReject(r *Reject) {
	j, ok := s.Jobs[r.Job]
	if !ok || !j.neverPlaced() {
		return
	}
	for i := range j.Tasks {
		j.setTaskState(&j.Tasks[i], api.TaskFailed, r.Reason)
	}
	j.updateState(r.At)
}

// neverPlaced reports whether no task of the job was ever placed.
func (j *Job) neverPlaced() bool {
	if j.counts.Waiting < len(j.Tasks) {
		return false
	}
	for i := range j.Tasks {
		if j.Tasks[i].Attempt > 0 {
			return false
		}
	}
	return true
}

func (s *State) applyForget(r *Forget) {
	for _, id := range r.Jobs {
		delete(s.Jobs, id)
	}
	for _, key := range r.Keys {
		delete(s.Keys, key)
	}
}

// setTaskState changes a task's state and reason, and updates the counts.
func (j *Job) setTaskState(t *Task, state api.TaskState, reason string) {
	*j.countOf(t.State)--
	t.State, t.Reason = state, reason
	*j.countOf(state)++
}

// countOf returns the counter of a task state.
func (j *Job) countOf(s api.TaskState) *int {
	switch s {
	case api.TaskPlaced:
		return &j.counts.Placed
	case api.TaskRunning:
		return &j.counts.Running
	case api.TaskDone:
		return &j.counts.Done
	case api.TaskFailed:
		return &j.counts.Failed
	case api.TaskUnknown:
		return &j.counts.Unknown
	case api.TaskCancelled:
		return &j.counts.Cancelled
	default:
		return &j.counts.Waiting
	}
}

func (j *Job) recount() {
	j.counts = api.TaskCounts{}
	for i := range j.Tasks {
		*j.countOf(j.Tasks[i].State)++
	}
}

// Status returns the status of the job, including its tasks if tasks is set.
func (j *Job) Status(tasks bool) api.Status {
	st := api.Status{
		Workload: j.Spec, State: j.State, Reason: j.Reason, Submitted: j.Submitted, Revision: j.Revision, Counts: j.counts,
	}
	if !tasks {
		return st
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		st.Tasks = append(st.Tasks, api.TaskStatus{
			Task: i, State: t.State, Attempt: t.Attempt, Worker: t.Placement.Worker, Address: t.Address, Reason: t.Reason,
		})
	}
	return st
}

// Backoff returns how long a task waits after its n-th failure. It doubles with each
// failure, and has a jitter that is derived from the attempt, so that replaying the
// journal gives the same result.
func Backoff(a worker.Attempt, n int) time.Duration {
	d := maxBackoff
	if n < 10 {
		d = min(initialBackoff<<max(0, n), maxBackoff)
	}
	jitter := xxhash.Sum64String(a.String()) % uint64(d/2)
	return d/2 + time.Duration(jitter)
}

func eventReason(outcome string, ev peer.Event) string {
	return fmt.Sprintf("%s on worker %s: %s", outcome, ev.Worker, ev.Reason)
}

func appendUnique(list []string, s string) []string {
	for _, have := range list {
		if have == s {
			return list
		}
	}
	return append(list, s)
}
