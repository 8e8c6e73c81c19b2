// SPDX-License-Identifier: Apache-2.0

// Package api holds the messages of the callers' HTTP interface, version 1, and
// the checks that a workload passes before it is accepted. docs/api.md and
// docs/openapi.yaml describe the interface.
//
// # Usage
//
//	w := api.Workload{ID: "reminders-7", Team: "inkasoft", Kind: api.KindBatch, …}
//	if err := w.Check(); err != nil { … } // names the invalid field
package api

import (
	"regexp"
	"time"

	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/resource"
)

// Kind is the kind of a workload.
type Kind string

// The kinds of workload.
const (
	// KindService is a set of tasks that run until cancelled and answer requests.
	KindService Kind = "service"
	// KindBatch is a set of tasks that run to completion independently of each other.
	KindBatch Kind = "batch"
	// KindAllAtOnce is a gang: its tasks run all at the same time or not at all.
	KindAllAtOnce Kind = "all_at_once"
)

// Outcome says whether a request was run.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeDone means that the request ran and that the upstream's complete answer follows.
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that the request was rejected and not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeNotRun means that the request was accepted but not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that it is not known whether the request ran.
	OutcomeUnknown Outcome = "unknown"
)

// The headers of the callers' interface.
const (
	HeaderTeam       = "Switchbank-Team"
	HeaderTimeout    = "Switchbank-Timeout-Ms"
	HeaderKey        = "Switchbank-Key"
	HeaderKeyCreated = "Switchbank-Key-Created"
	HeaderRepeatable = "Switchbank-Repeatable"
	HeaderRequestID  = "Switchbank-Request-Id"
	HeaderOutcome    = "Switchbank-Outcome"
	HeaderNotRun     = "Switchbank-Not-Run"
	HeaderLeaving    = "Switchbank-Leaving"
)

// The limits of a workload.
const (
	MaxTasks         = 20_000
	MaxCommandArgs   = 64
	MaxArgumentBytes = 4096
	MaxAttempts      = 100
	MaxSlots         = 1024

	defaultAttempts = 3
	defaultSlots    = 8
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,126}[a-z0-9])?$`)

// ValidName reports whether s may name a workload, team, class or service.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Workload is the declaration of a service or job by a caller.
type Workload struct {
	// ID names the workload; submitting the same workload again changes nothing.
	ID    string `json:"id"`
	Team  string `json:"team"`
	Kind  Kind   `json:"kind"`
	Class string `json:"class"`
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
	// Size is the resources that each task needs.
	Size resource.Amount `json:"size"`
	// RunMS is the expected run time of a task in milliseconds; not for services.
	RunMS int64 `json:"run_ms,omitempty"`
	// Deadline is the time by which the workload must be finished; not for services.
	Deadline time.Time `json:"deadline,omitzero"`
	// Command is the program that the worker runs, with its arguments.
	Command []string `json:"command"`
	// Service is the name that requests are sent to; for services only.
	Service string `json:"service,omitempty"`
	// Slots is the number of requests that each task of a service handles concurrently.
	Slots int `json:"slots,omitempty"`
	// AtMostOnce forbids a second attempt at a task whose first attempt may have run.
	AtMostOnce bool `json:"at_most_once,omitempty"`
	// MaxAttempts is the maximum number of attempts at each task.
	MaxAttempts int `json:"max_attempts,omitempty"`
}

// WithDefaults returns w with defaults in the optional fields that are unset.
func (w Workload) WithDefaults() Workload {
	if w.MaxAttempts == 0 {
		w.MaxAttempts = defaultAttempts
	}
	if w.AtMostOnce {
		w.MaxAttempts = 1
	}
	if w.Kind == KindService && w.Slots == 0 {
		w.Slots = defaultSlots
	}
	return w
}

// Check returns a problem that names the first invalid field, or nil.
func (w Workload) Check() error {
	switch {
	case !ValidName(w.ID):
		return httpx.FieldProblem("id", "want 1 to 128 of a-z, 0-9, '.' and '-', not at the ends")
	case !ValidName(w.Team):
		return httpx.FieldProblem("team", "want the name of a team")
	case !ValidName(w.Class):
		return httpx.FieldProblem("class", "want the name of a class")
	case w.Kind != KindService && w.Kind != KindBatch && w.Kind != KindAllAtOnce:
		return httpx.FieldProblem("kind", "want service, batch or all_at_once")
	case w.Tasks < 1 || w.Tasks > MaxTasks:
		return httpx.FieldProblem("tasks", "want 1 to 20000")
	case w.MaxAttempts < 0 || w.MaxAttempts > MaxAttempts:
		return httpx.FieldProblem("max_attempts", "want 0 to 100")
	case w.RunMS < 0:
		return httpx.FieldProblem("run_ms", "want milliseconds, 0 or more")
	}
	if err := w.checkSize(); err != nil {
		return err
	}
	if err := w.checkCommand(); err != nil {
		return err
	}
	return w.checkService()
}

func (w Workload) checkSize() error {
	switch {
	case w.Size.CPUMilli < 1:
		return httpx.FieldProblem("size.cpu_milli", "want thousandths of a core, 1 or more")
	case w.Size.MemoryMB < 1:
		return httpx.FieldProblem("size.memory_mb", "want megabytes, 1 or more")
	case w.Size.Accelerators < 0:
		return httpx.FieldProblem("size.accelerators", "want 0 or more")
	}
	return nil
}

func (w Workload) checkCommand() error {
	if len(w.Command) < 1 || len(w.Command) > MaxCommandArgs {
		return httpx.FieldProblem("command", "want 1 to 64 arguments")
	}
	for _, arg := range w.Command {
		if len(arg) > MaxArgumentBytes {
			return httpx.FieldProblem("command", "want arguments of at most 4096 bytes")
		}
	}
	return nil
}

func (w Workload) checkService() error {
	if w.Kind != KindService {
		if w.Service != "" {
			return httpx.FieldProblem("service", "only a workload of kind service has one")
		}
		if w.Slots != 0 {
			return httpx.FieldProblem("slots", "only a workload of kind service has them")
		}
		return nil
	}
	switch {
	case !ValidName(w.Service):
		return httpx.FieldProblem("service", "want the name under which requests reach the service")
	case w.Slots < 0 || w.Slots > MaxSlots:
		return httpx.FieldProblem("slots", "want 1 to 1024")
	case !w.Deadline.IsZero():
		return httpx.FieldProblem("deadline", "a service has none")
	case w.RunMS != 0:
		return httpx.FieldProblem("run_ms", "a service has none")
	case w.AtMostOnce:
		return httpx.FieldProblem("at_most_once", "a service is restarted")
	}
	return nil
}

// JobState is the state of a workload.
type JobState string

// The states of a workload.
const (
	JobWaiting   JobState = "waiting"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobUnknown   JobState = "unknown"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state can no longer change.
func (s JobState) Final() bool {
	return s == JobDone || s == JobFailed || s == JobUnknown || s == JobCancelled
}

// TaskState is the state of a task.
type TaskState string

// The states of a task.
const (
	TaskWaiting   TaskState = "waiting"
	TaskPlaced    TaskState = "placed"
	TaskRunning   TaskState = "running"
	TaskDone      TaskState = "done"
	TaskFailed    TaskState = "failed"
	TaskUnknown   TaskState = "unknown"
	TaskCancelled TaskState = "cancelled"
)

// Active reports whether a worker may be running the task.
func (s TaskState) Active() bool { return s == TaskPlaced || s == TaskRunning }

// TaskStatus is the state of a task and where it runs.
type TaskStatus struct {
	Task    int       `json:"task"`
	State   TaskState `json:"state"`
	Attempt int       `json:"attempt"`
	Worker  string    `json:"worker,omitempty"`
	Address string    `json:"address,omitempty"`
	Reason  string    `json:"reason,omitempty"`
}

// TaskCounts counts the tasks of a workload by state.
type TaskCounts struct {
	Waiting   int `json:"waiting"`
	Placed    int `json:"placed"`
	Running   int `json:"running"`
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
	Cancelled int `json:"cancelled"`
}

// Status is the state of a workload and of its tasks.
type Status struct {
	Workload  Workload   `json:"workload"`
	State     JobState   `json:"state"`
	Reason    string     `json:"reason,omitempty"`
	Submitted time.Time  `json:"submitted"`
	Revision  int64      `json:"revision"`
	Counts    TaskCounts `json:"counts"`
	// WaitReason says why tasks were not placed in the last scheduling round.
	WaitReason string `json:"waits,omitempty"`
	// JobsAhead lists the first of the jobs that the scheduler considered before this one.
	JobsAhead []string     `json:"ahead,omitempty"`
	Tasks     []TaskStatus `json:"tasks,omitempty"`
}

// StatusList is the answer to a listing of workloads.
type StatusList struct {
	Workloads []Status `json:"workloads"`
	// Partial is set when some owners did not answer, so that their workloads are missing.
	Partial bool `json:"partial,omitempty"`
}
