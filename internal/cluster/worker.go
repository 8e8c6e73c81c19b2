// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	"switchbank.example/switchbank/internal/resource"
)

// Worker is one incarnation of a worker, as the platform's directory describes it.
type Worker struct {
	ID string
	// Started is as in Incarnation.
	Started    int64
	Address    string
	Service    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   resource.Amount
	// Draining workers accept no new tasks; Remaining is at least the time left to them.
	Draining  bool
	Remaining time.Duration
	// ClockMS is a reading of the worker's monotonic clock, in milliseconds.
	ClockMS int64
}

// Incarnation returns the incarnation that the entry describes.
func (w *Worker) Incarnation() Incarnation { return Incarnation{w.ID, w.Started} }

// HasLabel reports whether the worker has the label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Machine is the platform's record of the machine on which a worker runs.
type Machine struct {
	ID      string
	Service string
	// Up is false while the machine is down, being moved or under maintenance.
	Up bool
	// Worker is the ID of the worker on it, or empty.
	Worker string
	// Rack is the rack of the machine, or empty.
	Rack string
}

// RunStatus is the state of a run that a worker reports as running.
type RunStatus struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	Percent    int
	// Usage is the tail latency in milliseconds of a serving task, and the CPU in use in
	// thousandths of a core of any other, over the last half second.
	Usage int64
}

// Outcome is how a run ended.
type Outcome string

// The outcomes of a run.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeStopped Outcome = "stopped"
	// OutcomeLeaseExpired is a run that was killed because its lease expired.
	OutcomeLeaseExpired Outcome = "lapsed"
	// OutcomeGangBroken is a gang member that was ended because another member ended.
	OutcomeGangBroken Outcome = "broken"
	// OutcomeGangIncomplete is a gang member that gave up waiting for the others.
	OutcomeGangIncomplete Outcome = "alone"
)

// RunEnd is a run that ended on a worker. Ends are numbered from 1 in each incarnation and
// are reported again until the owner confirms that it has persisted them.
type RunEnd struct {
	N          int64
	Task       TaskID
	Run        int64
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to its owner: all active runs, and the ends that haven't been
// confirmed.
type Report struct {
	// Started is as in Incarnation, for the incarnation that answers.
	Started int64
	ClockMS int64
	Running []RunStatus
	Ended   []RunEnd
}

// Order holds the fields of every order to a worker.
type Order struct {
	Worker string
	// Started is the start of the incarnation that the order is for. A worker compares its ID
	// only.
	Started int64
	Address string
	// Fence is the owner's epoch. Generation counts the incarnations of the worker that the
	// owner has known. A worker ignores an order with a lower epoch than it has seen, or with
	// the same epoch and a lower generation.
	Fence, Generation int64
	// ClockMS is a time that the incarnation's monotonic clock had passed when the order was
	// given; 0 if unknown. An answer with an earlier clock comes from another incarnation.
	ClockMS int64
	// DeadlineMS renews the lease of all runs on the worker, on its monotonic clock; 0 leaves
	// it unchanged.
	DeadlineMS int64
}

// StartOrder starts one run of a task.
type StartOrder struct {
	Order
	Task       TaskID
	Run        int64
	Spec       string
	Checkpoint string
	Ticket     string
}

// Reply is a worker's reply to an order.
type Reply string

// The replies to an order.
const (
	ReplyOK Reply = "ok"
	// ReplyFenced: the worker has seen a higher epoch.
	ReplyFenced Reply = "fence"
	// ReplyStaleRun: the run's number is not above one that ended or was stopped there.
	ReplyStaleRun Reply = "old"
	// ReplyDeadlinePassed: the deadline has passed on the worker's clock.
	ReplyDeadlinePassed Reply = "late"
	// ReplyNoRoom: the worker has too few free resources.
	ReplyNoRoom Reply = "room"
	// ReplyTicketInvalid: the ticket is not valid.
	ReplyTicketInvalid Reply = "ticket"
	// ReplyBusy: the worker is unhealthy and has done nothing.
	ReplyBusy Reply = "busy"
	// ReplyInvalid: the worker can't decode the order, and has done nothing.
	ReplyInvalid Reply = "invalid"
	// ReplyOtherIncarnation: another incarnation answers at that address; the one addressed
	// has ended.
	ReplyOtherIncarnation Reply = "other_life"
	// ReplyNewIncarnation: another incarnation with the same ID has received the order.
	ReplyNewIncarnation Reply = "new_life"
	// ReplyNotSent: no connection was made; nothing was done.
	ReplyNotSent Reply = "not_sent"
	// ReplyUnknown: no answer came; the order may be carried out now or later.
	ReplyUnknown Reply = "unknown"
)

// Ticket permits tasks of one step to run on one worker.
type Ticket struct {
	Worker string
	Value  string
}
