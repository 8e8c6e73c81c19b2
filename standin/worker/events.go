// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"slices"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/worker"
)

// EventKind says what happened on a worker.
type EventKind string

// The kinds of events. EventStart to EventLeaseExpired follow a task from its start to the
// way in which it ended.
const (
	EventStart        EventKind = "start"
	EventDone         EventKind = "done"
	EventFailed       EventKind = "failed"
	EventStopped      EventKind = "stopped"
	EventLeaseExpired EventKind = "lapsed"
	// EventOverload is a refused start that would have exceeded the worker's capacity, and
	// EventSlotsExceeded a refused request that found no free slot in the instance.
	EventOverload      EventKind = "overload"
	EventSlotsExceeded EventKind = "slots"
	EventCheckpoint    EventKind = "checkpoint"
	EventThrottle      EventKind = "throttle"
	EventRequest       EventKind = "request"
	// EventNewOwner is the first contact of an owner under an epoch.
	EventNewOwner EventKind = "owner"
)

// Event is something that happened on a worker. At is a time of the machine's clock, so
// that events of all workers on the machine can be put in one order.
type Event struct {
	Worker  string         `json:"worker"`
	Kind    EventKind      `json:"saw"`
	Attempt worker.Attempt `json:"attempt"`
	// Request and Body are the request's ID and body; set for EventRequest only.
	Request string `json:"request,omitempty"`
	Body    string `json:"body,omitempty"`
	// Shard, Owner and Epoch come from the contact; set for EventNewOwner only.
	Shard string    `json:"shard,omitempty"`
	Owner string    `json:"owner,omitempty"`
	Epoch int64     `json:"epoch,omitempty"`
	At    time.Time `json:"at"`
}

// EventLog is an append-only list of events, safe for concurrent use.
type EventLog struct {
	mu     sync.Mutex
	events []Event
}

func (e *EventLog) record(id string, kind EventKind, a worker.Attempt) {
	e.append(Event{Worker: id, Kind: kind, Attempt: a, At: time.Now()})
}

func (e *EventLog) append(s Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, s)
}

func (e *EventLog) all() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.events)
}

// endEventKind returns the kind of the event that records how a task ended.
func endEventKind(r worker.Result) EventKind {
	switch r {
	case worker.ResultDone:
		return EventDone
	case worker.ResultFailed:
		return EventFailed
	case worker.ResultLeaseExpired:
		return EventLeaseExpired
	default:
		return EventStopped
	}
}
