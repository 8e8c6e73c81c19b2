// SPDX-License-Identifier: Apache-2.0

// Package fanout distributes the calls to many workers over other nodes.
//
// A shard's owner spends most of its CPU on calls to workers: about four a second for
// each busy worker, each with the cost of an HTTP call. A Client sends them to helpers
// instead, which are nodes that make the calls and return the answers. Calls and answers
// are sent in batches over one persistent connection for each helper. Decisions stay with
// the owner: a helper is stateless, and orders carry the owner's fence.
//
// A helper that dies, hangs or is cut off is detected when its pending calls stay without
// an answer. They are then made through another helper, or by the owner itself if there
// is none. Such a call may reach its worker twice, or late, like any call whose answer is
// lost.
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
	// KindOpen means that no connection to the helper could be made.
	KindOpen Kind = "open"
	// KindBroken means that the connection to the helper has ended.
	KindBroken Kind = "broken"
	// KindSilent means that the helper doesn't answer.
	KindSilent Kind = "silent"
	// KindDecode means that an answer can't be decoded.
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

// Workers sends orders to workers.
type Workers interface {
	Start(ctx context.Context, order cluster.StartOrder) cluster.Reply
	Stop(ctx context.Context, order cluster.Order, task cluster.TaskID, run int64) cluster.Reply
	Pace(ctx context.Context, order cluster.Order, task cluster.TaskID, run int64, percent int) cluster.Reply
	Hold(ctx context.Context, order cluster.Order, lastSeen int64, wait time.Duration) (cluster.Report, cluster.Reply)
}

// op is the operation of a call.
type op string

// The operations.
const (
	opStart op = "start"
	opStop  op = "stop"
	opPace  op = "pace"
	opHold  op = "hold"
)

// call is one call to a worker. Op determines which of its fields are used.
type call struct {
	// N is the number of the call on its connection.
	N          int64  `json:"n"`
	Op         op     `json:"o"`
	Worker     string `json:"w"`
	Started    int64  `json:"b,omitempty"`
	Address    string `json:"a"`
	Fence      int64  `json:"f"`
	Generation int64  `json:"g,omitempty"`
	ClockMS    int64  `json:"q,omitempty"`
	DeadlineMS int64  `json:"d,omitempty"`
	// SentMS is when the call was sent, on the owner's monotonic clock. LimitMS is how long
	// after that the owner gives it up.
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

// answer is a worker's reply to a call.
type answer struct {
	N      int64         `json:"n"`
	Reply  cluster.Reply `json:"y"`
	Report *report       `json:"p,omitempty"`
}

// report is a cluster.Report as it is sent between nodes.
type report struct {
	Started int64       `json:"b,omitempty"`
	ClockMS int64       `json:"c"`
	Running []runStatus `json:"r,omitempty"`
	Ended   []runEnd    `json:"e,omitempty"`
}

// runStatus is a cluster.RunStatus as it is sent between nodes.
type runStatus struct {
	Task       string `json:"t"`
	Run        int64  `json:"r"`
	Checkpoint string `json:"c,omitempty"`
	Percent    int    `json:"p,omitempty"`
	Usage      int64  `json:"u,omitempty"`
}

// runEnd is a cluster.RunEnd as it is sent between nodes.
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

// decode decodes the report.
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

// newCall returns a call with the fields of its order, without those of its operation.
func newCall(what op, order cluster.Order) call {
	return call{
		Op: what, Worker: order.Worker, Started: order.Started, Address: order.Address,
		Fence: order.Fence, Generation: order.Generation, ClockMS: order.ClockMS, DeadlineMS: order.DeadlineMS,
	}
}

// execute makes the call.
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

// batchDelay is how long calls and answers are collected before they are sent. It delays a
// start, and the report of its end, by this much, and saves a write and a wake-up on both
// sides for each message that is added in that time.
const batchDelay = 3 * time.Millisecond
