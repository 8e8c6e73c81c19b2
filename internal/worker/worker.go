// SPDX-License-Identifier: Apache-2.0

// Package worker holds the contract between a node and a worker, and the HTTP
// adapter that speaks it.
//
// One message, Contact, carries everything that a node has for a worker:
// starts, stops, acknowledgements and the renewal of its leases. Its reply,
// Report, carries everything that a worker has to say. What a worker promises
// is written in docs/design/starting-a-task.md.
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

// Attempt names one try at running one task of a job.
type Attempt struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
	// N counts the tries of the task, from 1.
	N int `json:"n"`
}

// String returns job/task/n.
func (a Attempt) String() string { return fmt.Sprintf("%s/%d/%d", a.Job, a.Task, a.N) }

// Spec is all that a worker and its pool need to know of a task.
type Spec struct {
	Attempt Attempt         `json:"attempt"`
	Team    string          `json:"team"`
	Class   string          `json:"class"`
	Size    resource.Amount `json:"size"`
	Command []string        `json:"command"`
	// Service is the name under which callers reach the task; empty for other kinds.
	Service string `json:"service,omitempty"`
	// Slots is how many requests the instance takes at once.
	Slots int `json:"slots,omitempty"`
	// GraceMS is how long leases may be renewed without the store, in milliseconds.
	GraceMS int64 `json:"grace_ms,omitempty"`
	// Priority is that of the task's class.
	Priority int `json:"priority,omitempty"`
	// Preemptible tasks may be checkpointed and stopped for more urgent ones.
	Preemptible bool `json:"preemptible,omitempty"`
}

// Contact is what a node sends to a worker.
type Contact struct {
	Shard string `json:"shard"`
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// Ticket is the worker's own clock as its last report gave it; 0 when there was none.
	Ticket  int64 `json:"ticket"`
	LeaseMS int64 `json:"lease_ms"`
	// Renew extends the lease of every task but those in Except.
	Renew  bool      `json:"renew,omitempty"`
	Except []Attempt `json:"except,omitempty"`
	// WaitMS lets the worker hold its report back until a task has ended that the
	// node has not heard of (Seq above Seen), at most so many milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
	Seen   int64 `json:"seen,omitempty"`
	// Inventory asks for every task, not just what changed.
	Inventory bool   `json:"inventory,omitempty"`
	Start     []Spec `json:"start,omitempty"`
	// Checkpoint is carried out before Stop.
	Checkpoint []Attempt `json:"checkpoint,omitempty"`
	Stop       []Attempt `json:"stop,omitempty"`
	// Throttle names the tasks to be held to their declared size.
	Throttle []Attempt `json:"throttle,omitempty"`
	// Ack names ended tasks whose report is kept safe and may be forgotten.
	Ack []Attempt `json:"ack,omitempty"`
}

// Refusal is why a worker refused a contact or a start.
type Refusal string

// The reasons for a refusal.
const (
	RefusedStaleEpoch  Refusal = "stale_epoch"
	RefusedStaleTicket Refusal = "stale_ticket"
	RefusedStopped     Refusal = "stopped"
	RefusedNoRoom      Refusal = "no_room"
	RefusedLeaving     Refusal = "leaving"
)

// Result is how a task ended.
type Result string

// The results of a task.
const (
	ResultDone    Result = "done"
	ResultFailed  Result = "failed"
	ResultStopped Result = "stopped"
	ResultLapsed  Result = "lapsed"
)

// Started tells what became of a start.
type Started struct {
	Attempt Attempt `json:"attempt"`
	Refused Refusal `json:"refused,omitempty"`
	// Address is where the instance listens, for a service.
	Address string `json:"address,omitempty"`
}

// Running is a task that a worker runs.
type Running struct {
	Spec    Spec   `json:"spec"`
	Address string `json:"address,omitempty"`
}

// Ended is a task that has come to its end; it is repeated until acknowledged.
type Ended struct {
	Attempt Attempt `json:"attempt"`
	Result  Result  `json:"result"`
	Reason  string  `json:"reason,omitempty"`
}

// Usage is what a task was last seen to use; it lags.
type Usage struct {
	Attempt Attempt         `json:"attempt"`
	Used    resource.Amount `json:"used"`
}

// Report is what a worker answers.
type Report struct {
	Worker string `json:"worker"`
	// Incarnation changes when the worker has lost its memory.
	Incarnation string `json:"incarnation"`
	// Epoch is the highest epoch that the worker has seen.
	Epoch  int64 `json:"epoch"`
	Ticket int64 `json:"ticket"`
	// Seq rises with every task that ends.
	Seq     int64     `json:"seq,omitempty"`
	Refused Refusal   `json:"refused,omitempty"`
	Leaving bool      `json:"leaving,omitempty"`
	Started []Started `json:"started,omitempty"`
	Running []Running `json:"running,omitempty"`
	Ended   []Ended   `json:"ended,omitempty"`
	Usage   []Usage   `json:"usage,omitempty"`
}

// Client contacts workers over HTTP.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client whose contacts take at most timeout, beside the wait they ask for.
func NewClient(c *http.Client, timeout time.Duration) *Client {
	return &Client{http: c, timeout: timeout}
}

// Contact sends c to the worker at address.
func (c *Client) Contact(ctx context.Context, address string, m Contact) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+time.Duration(m.WaitMS)*time.Millisecond)
	defer cancel()
	return httpx.Call[Contact, Report](ctx, c.http, "http://"+address+"/worker/v1/contact", m)
}
