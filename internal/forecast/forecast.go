// SPDX-License-Identifier: Apache-2.0

// Package forecast estimates when a job that arrives now would start and end in a shard, from a
// summary of the shard's capacity and backlog that its owner reports.
//
// It serves shards whose demand exceeds their capacity: a node that knows that a job would end too
// late to be of use can refuse the job at once. The model is a fluid one: waiting work drains at
// the rate of the capacity that more urgent work leaves, in the order of priority and due time.
//
// The package does no I/O and reads no clock; the age of a summary is a parameter.
//
// # Usage
//
//	if err := s.Validate(); err != nil { … } // discard the summary
//	e := s.Estimate(forecast.FromJob(&job), age)
//	if e.Known && e.EndLow > bound { … } // even an optimistic end is too late
package forecast

import (
	"fmt"
	"time"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindVersion: the summary has a version that this package does not read.
	KindVersion Kind = "version"
	// KindInvalid: a figure is negative, absurd or not a number, or a list is too long.
	KindInvalid Kind = "invalid"
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
	return fmt.Sprintf("forecast: %s: %s: %s: %v", e.Op, e.Kind, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	// SummaryVersion is the version of the summaries that this package writes and reads.
	SummaryVersion = 1
	// MaxLanes is how many priorities a summary tells apart at most.
	MaxLanes = 8
	// MaxQueues is of how many queues a summary holds statistics at most.
	MaxQueues = 32
	// MaxAge is the age from which a summary tells nothing any more: a shard fills up or empties
	// within seconds.
	MaxAge = 2 * time.Second
)

// DueBounds are the upper bounds of the buckets of Lane.Waiting, from now. The last bucket has no
// bound.
var DueBounds = []time.Duration{
	0, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second, 64 * time.Second,
}

// Summary describes the capacity and the backlog of a shard, as reported by its owner. Its size
// is bounded.
type Summary struct {
	Version int   `json:"v"` // SummaryVersion
	Epoch   int64 `json:"epoch"`
	// CapacityMilli is the CPU of the workers that accept starts, and FreeMilli the part of it
	// that no run occupies.
	CapacityMilli int64 `json:"capacity"`
	FreeMilli     int64 `json:"free"`
	// Lanes hold the work by priority, the most urgent first.
	Lanes  []Lane       `json:"lanes,omitempty"`
	Queues []QueueStats `json:"queues,omitempty"`
}

// Lane is the remaining work of one priority, in milli-CPU x seconds. The names of its fields are
// short in JSON, as those of QueueStats, so that a summary fits in MaxEncoded.
type Lane struct {
	Priority int `json:"p"`
	// Running is the remaining work of runs.
	Running int64 `json:"r"`
	// Waiting is the remaining work of accepted jobs that does not run yet, by due time from
	// now, in buckets bounded by DueBounds.
	Waiting []int64 `json:"w"`
	// NotReady is the part of Waiting whose steps wait for the end of earlier ones, and not for
	// capacity.
	NotReady int64 `json:"n,omitempty"`
	// LatestMS is the latest due time of the waiting work, in milliseconds from now.
	LatestMS int64 `json:"l,omitempty"`
	// DueMS is the mean due time of the work when it is accepted, in milliseconds from then; 0 means
	// that it is unknown.
	DueMS int64 `json:"d,omitempty"`
	// ArrivalMilli is the work accepted per second, decayed over 10 s, in milli-CPU. Long-running
	// tasks count with the CPU that they occupy.
	ArrivalMilli int64 `json:"a"`
}

// Bound reduces figures above MaxFigure, by which the whole summary would be discarded.
func (l *Lane) Bound() {
	l.Running, l.NotReady, l.ArrivalMilli = min(l.Running, MaxFigure), min(l.NotReady, MaxFigure), min(l.ArrivalMilli, MaxFigure)
	l.LatestMS, l.DueMS = min(l.LatestMS, MaxFigure), min(l.DueMS, MaxFigure)
	for i, work := range l.Waiting {
		l.Waiting[i] = min(work, MaxFigure)
	}
}

// QueueStats holds the learned statistics of a queue.
type QueueStats struct {
	Queue string `json:"q"`
	// Ratio is the running mean of run time / estimate, of the longest task of each step.
	Ratio float64 `json:"r"`
	// Approved is the fraction of workers that the advice service approves.
	Approved float64 `json:"a"`
	// StartDelayMS is the mean delay of the starts of a job's chain of steps beyond the wait for
	// capacity (advice, messages).
	StartDelayMS int64 `json:"d"`
	// Bias is the mean ratio of the actual wait to that of the model; 0 means that it is unknown.
	Bias float64 `json:"b"`
	// Low is the ratio of the actual to the forecast end that a tenth of jobs stay below; 0 means
	// that it is unknown.
	Low float64 `json:"l"`
	// ErrorP50 and ErrorP90 are quantiles of the relative error of the forecast end.
	ErrorP50 float64 `json:"e50"`
	ErrorP90 float64 `json:"e90"`
}

// Estimate is the forecast for a job.
type Estimate struct {
	// Start and End are the expected times from now. Start is the time after which the job runs
	// without more waits: single tasks of it may run before, and others wait meanwhile.
	Start, End time.Duration
	// EndLow is optimistic: a tenth of jobs end sooner.
	EndLow time.Duration
	// Known is false if there is no basis for a forecast.
	Known bool
}
