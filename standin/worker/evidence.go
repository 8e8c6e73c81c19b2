// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"slices"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/worker"
)

// Saw is what a sight tells of.
type Saw string

// The sights that are recorded.
const (
	SawStart   Saw = "start"
	SawDone    Saw = "done"
	SawFailed  Saw = "failed"
	SawStopped Saw = "stopped"
	SawLapsed  Saw = "lapsed"
	// SawOverload is a start beyond the worker's capacity, and SawSlots a request
	// beyond the instance's slots; both were refused.
	SawOverload   Saw = "overload"
	SawSlots      Saw = "slots"
	SawCheckpoint Saw = "checkpoint"
	SawThrottle   Saw = "throttle"
	SawRequest    Saw = "request"
	// SawOwner is the first contact of an owner under an epoch.
	SawOwner Saw = "owner"
)

// Sight is one thing that a worker saw, at a time of this machine's clock.
type Sight struct {
	Worker  string         `json:"worker"`
	Saw     Saw            `json:"saw"`
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

// Evidence is an append-only list of sights.
type Evidence struct {
	mu     sync.Mutex
	sights []Sight
}

func (e *Evidence) add(id string, saw Saw, a worker.Attempt) {
	e.append(Sight{Worker: id, Saw: saw, Attempt: a, At: time.Now()})
}

func (e *Evidence) append(s Sight) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sights = append(e.sights, s)
}

func (e *Evidence) all() []Sight {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.sights)
}

func sawEnd(r worker.Result) Saw {
	switch r {
	case worker.ResultDone:
		return SawDone
	case worker.ResultFailed:
		return SawFailed
	case worker.ResultLapsed:
		return SawLapsed
	default:
		return SawStopped
	}
}
