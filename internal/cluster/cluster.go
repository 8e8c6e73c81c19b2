// SPDX-License-Identifier: Apache-2.0

// Package cluster holds the types that the scheduler, the nodes and the
// adapter of the users' platform share: jobs, queues, workers and what workers
// report. It holds no behaviour beyond small helpers on those types.
//
// # Usage
//
//	job := cluster.Job{ID: "5c0e7a21d94b36f8", Queue: "r-1", Steps: steps}
//	if err := job.Validate(); err != nil { … } // names the field
package cluster

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/resource"
)

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindInvalid is a value that can't be accepted.
	KindInvalid Kind = "invalid"
	// KindMissing is a field that is not there.
	KindMissing Kind = "missing"
	// KindType is a field of another type.
	KindType Kind = "type"
	// KindUnreadable is a message that can't be read at all.
	KindUnreadable Kind = "unreadable"
)

// Error is the error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Field string
	Err   error
}

// Error returns the operation, kind, field and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("cluster: %s: %s: %s: %v", e.Op, e.Kind, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Queue is a route on which jobs arrive, with its policy.
type Queue struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	Policy  Policy `json:"policy"`
}

// Policy is how the jobs of a queue are treated. Each job keeps a copy, so that
// it can be finished after its queue was removed.
type Policy struct {
	// Priority 0 is the most urgent; a lower number may preempt a higher one.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many failed runs a task may have.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Stretch is the allowed ratio of a job's time to its longest chain of work.
	Stretch float64 `json:"stretch,omitempty"`
	// TargetMS is the allowance on top of the stretched chain, in milliseconds.
	TargetMS int64 `json:"target_ms,omitempty"`
	// Advice is what one call of the advice service costs; nil: no tickets needed.
	Advice *AdviceCost `json:"advice,omitempty"`
}

// AdviceCost is the cost of a call to the advice service, in milliseconds.
type AdviceCost struct {
	BaseMS      float64 `json:"base_ms"`
	PerWorkerMS float64 `json:"per_worker_ms"`
	// ValidMS is how long a ticket holds.
	ValidMS int64 `json:"valid_ms"`
}

// Duration returns what a call about n workers takes.
func (a AdviceCost) Duration(n int) time.Duration {
	return time.Duration((a.BaseMS + a.PerWorkerMS*float64(n)) * float64(time.Millisecond))
}

// Service is a pool of workers.
type Service struct {
	Name string `json:"name"`
	// EnforcesCapacity is true when the workers themselves reject what doesn't fit.
	EnforcesCapacity bool `json:"guards_capacity,omitempty"`
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64     `json:"version"`
	Queues   []Queue   `json:"queues"`
	Services []Service `json:"services"`
	// MaxBodyBytes bounds the body of a submitted job; 0: not bounded by the operators.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
}

// FindQueue returns the queue for a host name and a path: the longest matching prefix wins.
func (c *Config) FindQueue(host, path string) (Queue, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return c.Queues[best], true
}

// Step is a set of like tasks of a job.
type Step struct {
	Count int             `json:"count"`
	Need  resource.Amount `json:"need"`
	// EstimateMS is the submitter's rough guess of a task's run time.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// After lists the steps whose tasks must all have succeeded before.
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	// Gang tasks start, work and end together.
	Gang bool `json:"gang,omitempty"`
	// OneRack asks for the whole gang on one rack.
	OneRack bool `json:"one_rack,omitempty"`
	// Label is one that the worker must have.
	Label string `json:"label,omitempty"`
	// DataRack is the rack on which the step's data lies.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker is the most tasks of the step on one worker; 0: no bound.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative tasks may run in two copies; the first end counts.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `json:"long_running,omitempty"`
	Image       string `json:"image,omitempty"`
	// LatencyTargetMS is the bound of a serving task's tail latency; 0: it doesn't serve.
	LatencyTargetMS int64 `json:"latency_target_ms,omitempty"`
	// BestEffortCPU tasks take no processors of the worker's room, only what others leave unused.
	BestEffortCPU bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be away at once by our doing.
	MaxUnavailable int `json:"max_away,omitempty"`
}

// Allocation returns what a task of the step takes of a worker's room.
func (s *Step) Allocation() resource.Amount {
	a := s.Need
	if s.BestEffortCPU {
		a.CPUMilli = 0
	}
	return a
}

// Job is an accepted job.
type Job struct {
	ID      string `json:"id"`
	Queue   string `json:"queue"`
	Service string `json:"service"`
	// Shard is the index of the service's shard on which the job runs.
	Shard int `json:"shard,omitempty"`
	// Epoch is that of the shard's owner as the node knew it that accepted the job; 0: it
	// knew none. An owner of a higher epoch may not have been the first to have the job.
	Epoch int64 `json:"epoch,omitempty"`
	// Share is the part of the job's tasks that the shard runs.
	Share Share `json:"share,omitzero"`
	// Moves is how often the job went from one shard to another, and CarriedProgress the progress
	// that it had when it last did, as the owner there would have persisted it.
	Moves           int             `json:"moves,omitempty"`
	CarriedProgress json.RawMessage `json:"carried,omitempty"`
	Policy          Policy          `json:"policy"`
	Spec            string          `json:"spec"`
	Steps           []Step          `json:"steps"`
	// AcceptedMS is the time of day of the acceptance, in Unix milliseconds.
	AcceptedMS int64 `json:"accepted_ms"`
	// Repeats is how often the steps run; 0: once, at once.
	Repeats    int   `json:"repeats,omitempty"`
	StartMS    int64 `json:"start_ms,omitempty"`
	IntervalMS int64 `json:"interval_ms,omitempty"`
}

// ShardID returns the shard on which the job runs.
func (j *Job) ShardID() ShardID { return ShardID{j.Service, j.Shard} }

// MaxTasks bounds the tasks of one job, over all its repeats: a guard against
// malformed jobs, far above the widest job of the users' sites (some 200 tasks).
const MaxTasks = 100_000

// Validate checks the job's shape and names the field that is wrong.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return invalid("steps", "there is none")
	}
	if j.Repeats < 0 || j.IntervalMS < 0 {
		return invalid("repeats", "repeats and interval must not be negative")
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		total += j.Steps[i].Count
	}
	if total*max(1, j.Repeats) > MaxTasks {
		return invalid("steps", "more than "+strconv.Itoa(MaxTasks)+" tasks")
	}
	return nil
}

func (s *Step) validate(i int) error {
	field := fmt.Sprintf("steps[%d]", i)
	if s.Count <= 0 || s.Count > MaxTasks {
		return invalid(field+".count", "must be from 1 to "+strconv.Itoa(MaxTasks))
	}
	if s.Need.CPUMilli < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		return invalid(field+".need", "must not be negative")
	}
	for _, k := range s.After {
		if k < 0 || k >= i {
			return invalid(field+".after", "names a step that is not an earlier one")
		}
	}
	return nil
}

func invalid(field, text string) *Error {
	return &Error{Op: "validate", Kind: KindInvalid, Field: field, Err: errors.New(text)}
}

// TaskID names a task: job, repeat, step and index.
type TaskID struct {
	Job    string
	Repeat int
	Step   int
	Index  int
}

// String returns the task's name, its parts joined by dots.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Repeat) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads a task's name.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, invalid("task", "wants four parts: "+s)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, invalid("task", "wants numbers: "+s)
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Repeat: n[0], Step: n[1], Index: n[2]}, nil
}

// State is how far a job is.
type State string

// The states of a job.
const (
	StatePending   State = "pending"
	StateRunning   State = "running"
	StateSucceeded State = "succeeded"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Finished reports whether s is final.
func (s State) Finished() bool {
	return s == StateSucceeded || s == StateFailed || s == StateCancelled
}
