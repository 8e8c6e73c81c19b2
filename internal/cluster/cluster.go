// SPDX-License-Identifier: Apache-2.0

// Package cluster holds the types that the scheduler, the nodes and the
// adapter of the users' platform share: jobs, queues, workers and workers'
// reports. It holds no behaviour beyond small helpers on those types.
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
	"switchbank.example/switchbank/internal/team"
)

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindInvalid is a value that isn't accepted.
	KindInvalid Kind = "invalid"
	// KindMissing is a required field that is absent.
	KindMissing Kind = "missing"
	// KindType is a field of the wrong type.
	KindType Kind = "type"
	// KindUnreadable is a message that can't be decoded at all.
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
	// Public queues take calls without a token.
	Public bool `json:"public,omitempty"`
}

// Policy sets how the jobs of a queue are treated. Each job keeps a copy, so that it can be
// finished after its queue was removed.
type Policy struct {
	// Priority 0 is the most urgent; a job may preempt jobs with a higher number.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many failed runs a task may have.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Stretch is the allowed ratio of a job's total time to the length of its critical path.
	Stretch float64 `json:"stretch,omitempty"`
	// TargetMS is the time allowed in addition to the stretched critical path, in
	// milliseconds.
	TargetMS int64 `json:"target_ms,omitempty"`
	// Advice is the cost of one call to the advice service; nil if no tickets are needed.
	Advice *AdviceCost `json:"advice,omitempty"`
}

// AdviceCost is the cost of a call to the advice service, in milliseconds.
type AdviceCost struct {
	BaseMS      float64 `json:"base_ms"`
	PerWorkerMS float64 `json:"per_worker_ms"`
	// ValidMS is how long a ticket is valid, in milliseconds.
	ValidMS int64 `json:"valid_ms"`
}

// Duration returns how long a call about n workers takes.
func (a AdviceCost) Duration(n int) time.Duration {
	ms := a.BaseMS + a.PerWorkerMS*float64(n)
	return time.Duration(max(0, min(ms, float64(MaxEstimate.Milliseconds()))) * float64(time.Millisecond))
}

// Service is a pool of workers.
type Service struct {
	Name string `json:"name"`
	// EnforcesCapacity is set if the workers themselves reject tasks that don't fit.
	EnforcesCapacity bool `json:"guards_capacity,omitempty"`
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64     `json:"version"`
	Queues   []Queue   `json:"queues"`
	Services []Service `json:"services"`
	// MaxBodyBytes bounds the body of a submitted job; 0 if the operators set no bound.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// TokensRequired is set if calls on queues that aren't public need a team's token.
	TokensRequired bool `json:"tokens_required,omitempty"`
	// Teams are the parties that share the cell.
	Teams []team.Team `json:"teams,omitempty"`

	teams *team.Index
}

// IndexTeams prepares the configuration for TeamIndex.
func (c *Config) IndexTeams() { c.teams = team.NewIndex(c.Teams) }

// TeamIndex finds the teams of a configuration for which IndexTeams was called.
func (c *Config) TeamIndex() *team.Index { return c.teams }

// FindQueue returns the queue for a host name and a path: the one with the longest matching
// prefix.
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

// Step is a set of identical tasks of a job.
type Step struct {
	Count int             `json:"count"`
	Need  resource.Amount `json:"need"`
	// EstimateMS is the submitter's rough estimate of a task's run time, in milliseconds.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// After lists the steps whose tasks must all have succeeded before this step starts.
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	// Gang tasks start, work and end together.
	Gang bool `json:"gang,omitempty"`
	// OneRack requires that the whole gang runs on one rack.
	OneRack bool `json:"one_rack,omitempty"`
	// Label is a label that the worker must have.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the step's data.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker is the maximum number of the step's tasks on one worker; 0 for no limit.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative tasks may run in two copies; the first one to end counts.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `json:"long_running,omitempty"`
	Image       string `json:"image,omitempty"`
	// LatencyTargetMS is the target for the tail latency of a serving task; 0 if it doesn't
	// serve.
	LatencyTargetMS int64 `json:"latency_target_ms,omitempty"`
	// BestEffortCPU tasks reserve no CPU of the worker, and only use what other tasks leave
	// idle.
	BestEffortCPU bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step the scheduler may interrupt at
	// the same time.
	MaxUnavailable int `json:"max_away,omitempty"`
}

// Allocation returns the resources of a worker that a task of the step occupies.
func (s *Step) Allocation() resource.Amount {
	a := s.Need
	if s.BestEffortCPU {
		a.CPUMilli = 0
	}
	return a
}

// Job is an accepted job.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Team is the team to which the job belongs; empty if it came without a token.
	Team    string `json:"team,omitempty"`
	Service string `json:"service"`
	// Shard is the index of the service's shard on which the job runs.
	Shard int `json:"shard,omitempty"`
	// Epoch is the epoch of the shard's owner as known to the node that accepted the job; 0
	// if it knew none. An owner with a higher epoch can't assume that it is the first one to
	// have the job.
	Epoch int64 `json:"epoch,omitempty"`
	// Share selects the job's tasks that run on the shard.
	Share Share `json:"share,omitzero"`
	// Moves is how often the job has moved to another shard. CarriedProgress is its progress
	// at the last move, as the owner there would have persisted it.
	Moves           int             `json:"moves,omitempty"`
	CarriedProgress json.RawMessage `json:"carried,omitempty"`
	Policy          Policy          `json:"policy"`
	Spec            string          `json:"spec"`
	Steps           []Step          `json:"steps"`
	// AcceptedMS is the time of acceptance, in Unix milliseconds.
	AcceptedMS int64 `json:"accepted_ms"`
	// Repeats is how many times the steps run; 0 for once, immediately.
	Repeats    int   `json:"repeats,omitempty"`
	StartMS    int64 `json:"start_ms,omitempty"`
	IntervalMS int64 `json:"interval_ms,omitempty"`
}

// ShardID returns the shard on which the job runs.
func (j *Job) ShardID() ShardID { return ShardID{j.Service, j.Shard} }

// MaxTasks bounds the tasks of one job, over all its repeats. It guards against malformed
// jobs; the largest real ones have some 200 tasks.
const MaxTasks = 100_000

// FitsLimit reports whether a team with a limit may ever run each step of the job: all members of
// a gang at once, or one task of another step. A resource of 0 has no limit.
func (j *Job) FitsLimit(limit resource.Amount) bool {
	for i := range j.Steps {
		s := &j.Steps[i]
		need := s.Need
		if s.Gang {
			need = need.Times(int64(s.Count))
		}
		if need.Exceeds(limit) {
			return false
		}
	}
	return true
}

// Validate checks the job, and names the first invalid field.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return invalid("steps", "there is none")
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].Validate(i); err != nil {
			return err
		}
		total += j.Steps[i].Count
	}
	return j.validateTimes(total)
}

// Validate checks the job's step of index i on its own, and names the first invalid field.
func (s *Step) Validate(i int) error {
	field := fmt.Sprintf("steps[%d]", i)
	if s.Count <= 0 || s.Count > MaxTasks {
		return invalid(field+".count", "must be from 1 to "+strconv.Itoa(MaxTasks))
	}
	if !ValidAmount(s.Need) {
		return invalid(field+".need", "each amount must be from 0 to "+strconv.Itoa(MaxAmount))
	}
	if s.EstimateMS < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.LatencyTargetMS < 0 {
		return invalid(field, "estimates, targets and limits must not be negative")
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

// TaskID identifies a task by its job, repeat, step and index.
type TaskID struct {
	Job    string
	Repeat int
	Step   int
	Index  int
}

// String returns the task's name: the four parts joined by dots.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Repeat) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses a task's name.
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

// State is the state of a job.
type State string

// The states of a job.
const (
	StatePending   State = "pending"
	StateRunning   State = "running"
	StateSucceeded State = "succeeded"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Finished reports whether the state is final.
func (s State) Finished() bool {
	return s == StateSucceeded || s == StateFailed || s == StateCancelled
}
