// SPDX-License-Identifier: Apache-2.0

// Package admission decides whether a job is accepted while its shard is overloaded, and when a
// caller whose job is refused should retry.
//
// It serves services whose demand exceeds their capacity for longer than their objectives. Without
// it all jobs are accepted, each waits behind all earlier ones, and most end too late to be of any
// use. A job that is refused at once leaves its caller the time to go elsewhere or to retry.
//
// The package does no I/O and reads no clock. Times are durations since an origin of the caller's
// choice on a monotonic clock.
//
// # Usage
//
//	r := admission.NewRequest(&job)
//	now := time.Since(started)
//	memory.Complete(&r, now)
//	d := policy.Decide(r, views) // the summaries of the job's candidate shards
//	if !d.Admit {
//		memory.Refuse(r, d, now)
//		… // answer 503 with Retry-After
//	}
//	memory.Admit(r, now)
package admission

import (
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/forecast"
)

// Policy sets which jobs are refused. The bounds are multiples of the job's objective, and apply
// to the time from the caller's first attempt to the forecast end of the job.
type Policy struct {
	Enabled bool
	// AcceptUntil is the bound on the optimistic end.
	AcceptUntil float64
	// ExpectUntil is the bound on the expected end; 0 for none.
	ExpectUntil float64
	// NewUntil is the bound on the expected end of a job that was not refused before, while
	// refused jobs of its team and priority are expected to return; 0 for none.
	NewUntil float64
	// MaxWaiting is the budget: the waiting work of one team and priority in seconds of the
	// capacity; 0 for none.
	MaxWaiting float64
}

// Request describes a job for which a decision is needed.
type Request struct {
	Job forecast.Job
	// ID and Team are the job's.
	ID, Team string
	// Exempt jobs are never refused: long-running and periodic ones.
	Exempt bool
	// GangMilli is the CPU of the job's widest gang, which has to start at once.
	GangMilli int64
	// Deadline is what is left of the caller's deadline; 0 if it is unknown.
	Deadline time.Duration
	// Returning is set if the job was refused before, and Sent is the time since then.
	Returning bool
	Sent      time.Duration
	// Expected is the refused work that is expected to return.
	Expected Expected
	// TeamShare is the team's share of the work of the job's priority, from 0 to 1.
	TeamShare float64
	// ServiceMilli is the CPU of all shards of the job's service; 0 if it is unknown.
	ServiceMilli int64
}

// Expected is the work of refused jobs that are expected to return, in milli-CPU x seconds.
type Expected struct {
	// Class is the work of the same team and priority that should return within the objective of
	// the job, and Ahead all work of the same or a more urgent priority.
	Class, Ahead int64
}

// NewRequest returns the properties of a job that arrives now. What is known of the caller and of
// other jobs has to be added.
func NewRequest(j *cluster.Job) Request {
	r := Request{Job: forecast.FromJob(j), ID: j.ID, Team: j.Team, Exempt: j.Repeats > 0, TeamShare: 1}
	for i := range j.Steps {
		s := &j.Steps[i]
		r.Exempt = r.Exempt || s.LongRunning
		if s.Gang {
			r.GangMilli = max(r.GangMilli, int64(s.Count)*s.Allocation().CPUMilli)
		}
	}
	return r
}

// ShardView is what a node knows of a shard that may run the job.
type ShardView struct {
	// Summary is nil if nothing is known, and Age is the time since its receipt.
	Summary *forecast.Summary
	Age     time.Duration
}

// Reason tells why a job is admitted or refused.
type Reason string

// The reasons for a decision. The first group admits the job.
const (
	// ReasonExempt: admission control does not apply to the job.
	ReasonExempt Reason = "exempt"
	// ReasonUnknown: there is no forecast for a shard that may run the job.
	ReasonUnknown Reason = "unknown"
	// ReasonFits: the job can start now.
	ReasonFits Reason = "fits"
	// ReasonSoon: the job can start so soon that its wait does not make it late, or is the next to
	// start.
	ReasonSoon Reason = "starts_soon"
	// ReasonWithinBound: the job waits, and its forecast end lies within the bounds.
	ReasonWithinBound Reason = "within_bound"
	// ReasonAccepted: the job was accepted before, or may have been.
	ReasonAccepted Reason = "accepted_before"

	// ReasonOverloaded: the forecast end lies beyond a bound.
	ReasonOverloaded Reason = "overloaded"
	// ReasonBudget: the team has more work waiting than its budget allows.
	ReasonBudget Reason = "overloaded_budget"
	// ReasonBeyondDeadline: the job will not be admitted within the caller's deadline either.
	ReasonBeyondDeadline Reason = "overloaded_beyond_deadline"
)

// Decision is the answer to a Request.
type Decision struct {
	Admit  bool
	Reason Reason
	// RetryAfter is when the caller of a refused job should retry, in whole seconds.
	RetryAfter time.Duration
	// Forecast and Bound are the end and the bound that it exceeds, both from the caller's first
	// attempt. With ReasonBudget they are the waiting work and the budget, as times.
	Forecast, Bound time.Duration
}
