// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"time"

	"switchbank.example/switchbank/internal/resource"
)

// Worker is one life of a worker, as the platform's directory describes it.
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
	// Draining workers take no new task; Remaining is at least the time left to them.
	Draining  bool
	Remaining time.Duration
	// ClockMS is a reading of the worker's steady clock, in milliseconds.
	ClockMS int64
}

// Incarnation returns which life of the worker it is.
func (w *Worker) Incarnation() Incarnation { return Incarnation{w.ID, w.Started} }

// HasLabel reports whether the worker carries the label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Machine is the platform's record of the machine that a worker lives on.
type Machine struct {
	ID      string
	Service string
	// Up is false while the machine is down, moving or in upkeep.
	Up bool
	// Worker is the ID of the life on it, or "".
	Worker string
	// Rack is the rack in which the machine stands, or "".
	Rack string
}

// RunStatus is one entry of what a worker says is running on it.
type RunStatus struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	Percent    int
	// Usage is the tail latency in milliseconds for a serving task, and the
	// processors in use in thousandths otherwise, over the last half second.
	Usage int64
}

// Outcome is how a run ended.
type Outcome string

// The outcomes of a run.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeStopped Outcome = "stopped"
	// OutcomeLeaseExpired is a run killed because its lease ran out.
	OutcomeLeaseExpired Outcome = "lapsed"
	// OutcomeGangBroken is a gang member ended because another member ended.
	OutcomeGangBroken Outcome = "broken"
	// OutcomeGangIncomplete is a gang member that waited in vain for the others.
	OutcomeGangIncomplete Outcome = "alone"
)

// RunEnd is a run that ended on a worker. Ends are numbered from 1 in each life
// and are repeated until the owner confirms that it has persisted them.
type RunEnd struct {
	N          int64
	Task       TaskID
	Run        int64
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to its owner: all that runs there, and the ends
// that have not been confirmed.
type Report struct {
	// Started is as in Incarnation: that of the life which answers.
	Started int64
	ClockMS int64
	Running []RunStatus
	Ended   []RunEnd
}

// Order is what every order to a worker carries.
type Order struct {
	Worker string
	// Started is the start of the life that is meant. A worker compares its ID only.
	Started int64
	Address string
	// Fence is the owner's epoch, and Generation counts the lives of the worker that the
	// owner has known: a worker ignores an order of a lower epoch than it has seen, and of
	// the same epoch one of a lower generation.
	Fence, Generation int64
	// ClockMS is a time that the life's steady clock had passed when the order was given;
	// 0: not known. An answer from before it is of another life.
	ClockMS int64
	// DeadlineMS renews the lease of all that runs there, on the worker's steady clock; 0: unchanged.
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

// Reply is how a worker took an order.
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
	// ReplyNoRoom: the worker has no room.
	ReplyNoRoom Reply = "room"
	// ReplyTicketInvalid: the ticket is not valid.
	ReplyTicketInvalid Reply = "ticket"
	// ReplyBusy: the worker is unhealthy and has done nothing.
	ReplyBusy Reply = "busy"
	// ReplyInvalid: the worker can't read the order, and has done nothing.
	ReplyInvalid Reply = "invalid"
	// ReplyOtherIncarnation: another life answers at that address; this one is over.
	ReplyOtherIncarnation Reply = "other_life"
	// ReplyNewIncarnation: another life of the same ID has taken the order.
	ReplyNewIncarnation Reply = "new_life"
	// ReplyNotSent: no connection was made; nothing was done.
	ReplyNotSent Reply = "not_sent"
	// ReplyUnknown: no answer came; the order may be carried out now or later.
	ReplyUnknown Reply = "unknown"
)

// Ticket lets tasks of one step run on one worker.
type Ticket struct {
	Worker string
	Value  string
}
