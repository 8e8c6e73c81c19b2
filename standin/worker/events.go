// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"slices"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/worker"
)

// EventKind is what a sight tells of.
type EventKind string

// The sights that are recorded.
const (
	EventStart   EventKind = "start"
	EventDone    EventKind = "done"
	EventFailed  EventKind = "failed"
	EventStopped EventKind = "stopped"
	EventLapsed  EventKind = "lapsed"
	// EventOverload is a start beyond the worker's capacity, and SawSlots a request
	// beyond the instance's slots; both were refused.
	EventOverload      EventKind = "overload"
	EventSlotsExceeded EventKind = "slots"
	EventCheckpoint    EventKind = "checkpoint"
	EventThrottle      EventKind = "throttle"
	EventRequest       EventKind = "request"
	// EventNewOwner is the first contact of an owner under an epoch.
	EventNewOwner EventKind = "owner"
)

// Event is one thing that a worker saw, at a time of this machine's clock.
type Event struct {
	Worker  string         `json:"worker"`
	Kind    EventKind      `json:"saw"`
	Attempt worker.Attempt `json:"attempt"`
	// Request is the id of the request, and Body its body, for SawRequest.
	Request string `json:"request,omitempty"`
	Body    string `json:"body,omitempty"`
	// Shard, Owner and Epoch are those of a contact, for SawOwner.
	Shard string    `json:"shard,omitempty"`
	Owner string    `json:"owner,omitempty"`
	Epoch int64     `json:"epoch,omitempty"`
	At    time.Time `json:"at"`
}

// EventLog is an append-only list of sights.
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

func endEventKind(r worker.Result) EventKind {
	switch r {
	case worker.ResultDone:
		return EventDone
	case worker.ResultFailed:
		return EventFailed
	case worker.ResultLapsed:
		return EventLapsed
	default:
		return EventStopped
	}
}
