// SPDX-License-Identifier: Apache-2.0

// Package fanout lets the calls of many workers go by way of other nodes.
//
// Most of what a shard's owner uses of its processor are calls of workers: some four
// a second for each worker that is busy, each with the cost of an HTTP call. A Client
// hands them to helpers, which are nodes that make the calls and hand the answers back,
// both many at a time over one connection that stays open. Decisions stay with the owner:
// a helper keeps nothing, and orders carry the owner's fence.
//
// A helper that dies, stands still or is cut off is found by what is open with it: its
// calls go by way of another helper, or from the owner itself if there is none. A call
// may then reach its worker twice, or late, like any call whose answer is lost.
//
// # Usage
//
//	mux.Handle("POST /peer/v2/workers", fanout.NewServer(workers, log)) // on each node
//	c := fanout.New(fanout.Config{Direct: workers, Helpers: helpers, Client: client, Log: log})
//	defer c.Close()
//	reply := c.Start(ctx, order)
package fanout

import (
	"context"
	"fmt"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindOpen: no connection to the helper.
	KindOpen Kind = "open"
	// KindBroken: the connection to the helper has ended.
	KindBroken Kind = "broken"
	// KindSilent: the helper doesn't answer.
	KindSilent Kind = "silent"
	// KindDecode: an answer can't be read.
	KindDecode Kind = "decode"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("fanout: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Workers gives orders to workers.
type Workers interface {
	Start(ctx context.Context, order cluster.StartOrder) cluster.Reply
	Stop(ctx context.Context, order cluster.Order, task cluster.TaskID, run int64) cluster.Reply
	Pace(ctx context.Context, order cluster.Order, task cluster.TaskID, run int64, percent int) cluster.Reply
	Hold(ctx context.Context, order cluster.Order, lastSeen int64, wait time.Duration) (cluster.Report, cluster.Reply)
}

// op is what a call orders.
type op string

// The operations.
const (
	opStart op = "start"
	opStop  op = "stop"
	opPace  op = "pace"
	opHold  op = "hold"
)

// call is one call of a worker; which of the members count depends on Op.
type call struct {
	// N numbers the calls of a connection.
	N          int64  `json:"n"`
	Op         op     `json:"o"`
	Worker     string `json:"w"`
	Started    int64  `json:"b,omitempty"`
	Address    string `json:"a"`
	Fence      int64  `json:"f"`
	Generation int64  `json:"g,omitempty"`
	ClockMS    int64  `json:"q,omitempty"`
	DeadlineMS int64  `json:"d,omitempty"`
	// SentMS is when the call was sent, on the owner's steady clock, and LimitMS how long
	// after that it is given up.
	SentMS     int64  `json:"z"`
	LimitMS    int64  `json:"l"`
	Task       string `json:"t,omitempty"`
	Run        int64  `json:"r,omitempty"`
	Spec       string `json:"s,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	Ticket     string `json:"k,omitempty"`
	Percent    int    `json:"p,omitempty"`
	LastSeen   int64  `json:"e,omitempty"`
	WaitMS     int64  `json:"h,omitempty"`
}

// answer is what a worker replied to a call.
type answer struct {
	N      int64         `json:"n"`
	Reply  cluster.Reply `json:"y"`
	Report *report       `json:"p,omitempty"`
}

// report is a cluster.Report.
type report struct {
	Started int64       `json:"b,omitempty"`
	ClockMS int64       `json:"c"`
	Running []runStatus `json:"r,omitempty"`
	Ended   []runEnd    `json:"e,omitempty"`
}

// runStatus is a cluster.RunStatus.
type runStatus struct {
	Task       string `json:"t"`
	Run        int64  `json:"r"`
	Checkpoint string `json:"c,omitempty"`
	Percent    int    `json:"p,omitempty"`
	Usage      int64  `json:"u,omitempty"`
}

// runEnd is a cluster.RunEnd.
type runEnd struct {
	N          int64           `json:"n"`
	Task       string          `json:"t"`
	Run        int64           `json:"r"`
	Outcome    cluster.Outcome `json:"o"`
	Checkpoint string          `json:"c,omitempty"`
}

// newReport encodes a report.
func newReport(r cluster.Report) *report {
	out := &report{Started: r.Started, ClockMS: r.ClockMS}
	for _, e := range r.Running {
		out.Running = append(out.Running, runStatus{e.Task.String(), e.Run, e.Checkpoint, e.Percent, e.Usage})
	}
	for _, e := range r.Ended {
		out.Ended = append(out.Ended, runEnd{e.N, e.Task.String(), e.Run, e.Outcome, e.Checkpoint})
	}
	return out
}

// decode returns the report that was encoded.
func (r *report) decode() (cluster.Report, error) {
	out := cluster.Report{Started: r.Started, ClockMS: r.ClockMS}
	for _, e := range r.Running {
		task, err := cluster.ParseTaskID(e.Task)
		if err != nil {
			return out, &Error{"read report", KindDecode, err}
		}
		out.Running = append(out.Running, cluster.RunStatus{Task: task, Run: e.Run, Checkpoint: e.Checkpoint, Percent: e.Percent, Usage: e.Usage})
	}
	for _, e := range r.Ended {
		task, err := cluster.ParseTaskID(e.Task)
		if err != nil {
			return out, &Error{"read report", KindDecode, err}
		}
		out.Ended = append(out.Ended, cluster.RunEnd{N: e.N, Task: task, Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	}
	return out, nil
}

// newCall returns a call without what its operation needs beside the order.
func newCall(what op, order cluster.Order) call {
	return call{
		Op: what, Worker: order.Worker, Started: order.Started, Address: order.Address,
		Fence: order.Fence, Generation: order.Generation, ClockMS: order.ClockMS, DeadlineMS: order.DeadlineMS,
	}
}

// execute carries a call out.
func (c *call) execute(ctx context.Context, w Workers) answer {
	a := answer{N: c.N, Reply: cluster.ReplyInvalid}
	order := cluster.Order{
		Worker: c.Worker, Started: c.Started, Address: c.Address,
		Fence: c.Fence, Generation: c.Generation, ClockMS: c.ClockMS, DeadlineMS: c.DeadlineMS,
	}
	if c.Op == opHold {
		r, reply := w.Hold(ctx, order, c.LastSeen, time.Duration(c.WaitMS)*time.Millisecond)
		a.Reply = reply
		if reply == cluster.ReplyOK {
			a.Report = newReport(r)
		}
		return a
	}
	task, err := cluster.ParseTaskID(c.Task)
	if err != nil {
		return a
	}
	switch c.Op {
	case opStart:
		a.Reply = w.Start(ctx, cluster.StartOrder{Order: order, Task: task, Run: c.Run, Spec: c.Spec, Checkpoint: c.Checkpoint, Ticket: c.Ticket})
	case opStop:
		a.Reply = w.Stop(ctx, order, task, c.Run)
	case opPace:
		a.Reply = w.Pace(ctx, order, task, c.Run, c.Percent)
	}
	return a
}

// batchDelay is how long calls, and answers, are gathered before they are sent on: it delays
// a start, and the news of its end, by this much, and saves a write and a wake-up on both
// sides for each that comes in that time.
const batchDelay = 3 * time.Millisecond
