// SPDX-License-Identifier: Apache-2.0

// Package worker holds the messages between a node and a worker, and an HTTP client that
// sends them.
//
// A node sends a single message, Contact, with its orders for the worker: starts, stops,
// acknowledgements and the renewal of leases. The worker answers with a Report: which
// orders it refused, what it runs and which tasks have ended. The guarantees that a worker
// gives are described in docs/design/starting-a-task.md.
//
// # Usage
//
//	c := worker.NewClient(httpClient, 2*time.Second)
//	report, err := c.Contact(ctx, host.Address, worker.Contact{Epoch: 3, Ticket: ticket, …})
package worker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/resource"
)

// Attempt identifies one attempt at running a task of a job.
type Attempt struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
	// N is the number of the attempt, from 1.
	N int `json:"n"`
}

// String returns job/task/n.
func (a Attempt) String() string { return fmt.Sprintf("%s/%d/%d", a.Job, a.Task, a.N) }

// Spec describes a task to a worker and to the owner of its worker shard.
type Spec struct {
	Attempt Attempt         `json:"attempt"`
	Team    string          `json:"team"`
	Class   string          `json:"class"`
	Size    resource.Amount `json:"size"`
	Command []string        `json:"command"`
	// Service is the name that callers send requests to; empty for other kinds of task.
	Service string `json:"service,omitempty"`
	// Slots is the number of requests that the instance handles concurrently.
	Slots int `json:"slots,omitempty"`
	// GraceMS is how long the task's lease may be renewed while the store is unreachable, in
	// milliseconds.
	GraceMS int64 `json:"grace_ms,omitempty"`
	// Priority is the priority of the task's class.
	Priority int `json:"priority,omitempty"`
	// Preemptible tasks may be checkpointed and stopped in favour of tasks of higher
	// priority.
	Preemptible bool `json:"preemptible,omitempty"`
}

// Contact is a node's message to a worker. Shard and Owner name the sender, and Epoch is
// that of its ownership of the shard: a worker refuses an epoch lower than one it has seen.
type Contact struct {
	Shard string `json:"shard"`
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// Ticket is the time of the worker's own clock in its last report, or 0 without one.
	// Leases that this message grants count from it, so that a message that is delayed on
	// the way does not extend a lease.
	Ticket int64 `json:"ticket"`
	// LeaseMS is how long a lease lasts from Ticket, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// Renew extends the leases of all tasks except those in Except.
	Renew  bool      `json:"renew,omitempty"`
	Except []Attempt `json:"except,omitempty"`
	// WaitMS asks the worker to delay its report until a task ends that the node doesn't
	// know of yet (Seq above Seen), but at most for so many milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
	Seen   int64 `json:"seen,omitempty"`
	// Inventory asks the worker to list all tasks that it runs.
	Inventory bool   `json:"inventory,omitempty"`
	Start     []Spec `json:"start,omitempty"`
	// Checkpoint names the tasks to checkpoint. It is carried out before Stop.
	Checkpoint []Attempt `json:"checkpoint,omitempty"`
	Stop       []Attempt `json:"stop,omitempty"`
	// Throttle names the tasks to limit to their declared size.
	Throttle []Attempt `json:"throttle,omitempty"`
	// Ack names ended tasks whose end is stored durably, so that the worker may forget them.
	Ack []Attempt `json:"ack,omitempty"`
}

// Refusal is the reason why a worker refused a contact or a start.
type Refusal string

// The reasons for a refusal.
const (
	// RefusedStaleEpoch is a contact of a former owner of the shard.
	RefusedStaleEpoch Refusal = "stale_epoch"
	// RefusedStaleTicket is a start whose lease would already have expired.
	RefusedStaleTicket Refusal = "stale_ticket"
	// RefusedStopped is a start of an attempt that has ended, or was stopped before it started.
	RefusedStopped Refusal = "stopped"
	// RefusedNoRoom is a start that exceeds the worker's capacity.
	RefusedNoRoom Refusal = "no_room"
	// RefusedLeaving is a start on a worker that is about to leave.
	RefusedLeaving Refusal = "leaving"
)

// Result is how a task ended.
type Result string

// The results of a task.
const (
	ResultDone    Result = "done"
	ResultFailed  Result = "failed"
	ResultStopped Result = "stopped"
	// ResultLeaseExpired is a task that the worker killed because its lease expired.
	ResultLeaseExpired Result = "lapsed"
)

// Started is the answer to the start of a task; Refused is empty if it runs.
type Started struct {
	Attempt Attempt `json:"attempt"`
	Refused Refusal `json:"refused,omitempty"`
	// Address is where the instance listens, for a service.
	Address string `json:"address,omitempty"`
}

// Running is a task that runs on a worker.
type Running struct {
	Spec    Spec   `json:"spec"`
	Address string `json:"address,omitempty"`
}

// Ended is a task that has ended. Each report repeats it until it is acknowledged.
type Ended struct {
	Attempt Attempt `json:"attempt"`
	Result  Result  `json:"result"`
	Reason  string  `json:"reason,omitempty"`
}

// Usage is the resources that a task used when it was last measured, which may be a while
// ago.
type Usage struct {
	Attempt Attempt         `json:"attempt"`
	Used    resource.Amount `json:"used"`
}

// Report is a worker's answer to a Contact.
type Report struct {
	Worker string `json:"worker"`
	// Incarnation changes when the worker loses its state, such as by a restart.
	Incarnation string `json:"incarnation"`
	// Epoch is the highest epoch that the worker has seen.
	Epoch int64 `json:"epoch"`
	// Ticket is the time of the worker's clock, to be sent with the next Contact.
	Ticket int64 `json:"ticket"`
	// Seq increases with every task that ends.
	Seq     int64     `json:"seq,omitempty"`
	Refused Refusal   `json:"refused,omitempty"`
	Leaving bool      `json:"leaving,omitempty"`
	Started []Started `json:"started,omitempty"`
	Running []Running `json:"running,omitempty"`
	Ended   []Ended   `json:"ended,omitempty"`
	Usage   []Usage   `json:"usage,omitempty"`
}

// Client sends contacts to workers over HTTP.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client whose contacts take at most timeout, in addition to the wait
// that they ask for.
func NewClient(c *http.Client, timeout time.Duration) *Client {
	return &Client{http: c, timeout: timeout}
}

// Contact sends c to the worker at address.
func (c *Client) Contact(ctx context.Context, address string, m Contact) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+time.Duration(m.WaitMS)*time.Millisecond)
	defer cancel()
	return httpx.Call[Contact, Report](ctx, c.http, "http://"+address+"/worker/v1/contact", m)
}
