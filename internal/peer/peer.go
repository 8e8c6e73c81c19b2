// SPDX-License-Identifier: Apache-2.0

// Package peer holds the messages that nodes send each other, as JSON over HTTP.
//
// A message that concerns a shard goes to the shard's owner, which answers
// ReasonNotOwner when it no longer is.
//
// # Usage
//
//	reply, err := httpx.Call[peer.ReserveRequest, peer.ReserveReply](ctx, c, url+peer.PathReserve, req)
package peer

import (
	"time"

	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/worker"
)

// The paths of the peers' listener.
const (
	PathReserve            = "/peer/v1/reserve"
	PathConfirm            = "/peer/v1/confirm"
	PathStop               = "/peer/v1/stop"
	PathCancelReservations = "/peer/v1/let-go"
	PathEvents             = "/peer/v1/events"
	PathKeyBegin           = "/peer/v1/keys/begin"
	PathKeyFinish          = "/peer/v1/keys/finish"
	PathSummary            = "/peer/v1/summary"
	PathJobCreate          = "/peer/v1/jobs/create"
	PathJobGet             = "/peer/v1/jobs/get"
	PathJobCancel          = "/peer/v1/jobs/cancel"
	PathJobList            = "/peer/v1/jobs/list"
	PathRequest            = "/peer/v1/request"
	PathHead               = "/peer/v1/head"
)

// ReasonNotOwner is the reason of a problem from a node that does not own the shard.
const ReasonNotOwner = "not_owner"

// ReserveRequest asks a worker shard's owner for room; it gives as many places as it can.
type ReserveRequest struct {
	Shard  string        `json:"shard"`
	Specs  []worker.Spec `json:"specs"`
	Spread bool          `json:"spread,omitempty"`
	// Preempt allows tasks of lower priority to be stopped where there is no room.
	Preempt bool `json:"preempt,omitempty"`
}

// Placement is a task's place: a reservation, and once confirmed a start.
type Placement struct {
	Attempt worker.Attempt `json:"attempt"`
	Shard   string         `json:"shard"`
	Worker  string         `json:"worker"`
	// Incarnation is the worker's memory under which the room was reserved.
	Incarnation string `json:"incarnation"`
	Reservation string `json:"reservation"`
}

// ReserveReply holds the places given, in the order of the specs asked for.
type ReserveReply struct {
	Placements []Placement `json:"placements"`
}

// ConfirmRequest asks for the start of reserved tasks; it may be repeated.
type ConfirmRequest struct {
	Shard      string      `json:"shard"`
	Placements []Placement `json:"placements"`
}

// ConfirmState is what a worker shard's owner knows of a placement.
type ConfirmState string

// The states of a confirmed placement.
const (
	// ConfirmAccepted is a task that is or will be started; events follow.
	ConfirmAccepted ConfirmState = "accepted"
	// ConfirmNeverRan is a task that never ran and never will under this attempt.
	ConfirmNeverRan ConfirmState = "void"
	// ConfirmLost is a task that does not run any more and whose end is not known.
	ConfirmLost ConfirmState = "lost"
	// ConfirmPending is a task of which nothing certain is known yet.
	ConfirmPending ConfirmState = "later"
)

// Confirmed is the answer for one placement.
type Confirmed struct {
	Attempt worker.Attempt `json:"attempt"`
	State   ConfirmState   `json:"state"`
}

// ConfirmReply holds an answer for each placement.
type ConfirmReply struct {
	Items []Confirmed `json:"items"`
}

// StopRequest asks for the end of tasks, started or not; events follow.
type StopRequest struct {
	Shard      string      `json:"shard"`
	Placements []Placement `json:"placements"`
}

// EventKind is what happened to a task.
type EventKind string

// The kinds of event.
const (
	EventStarted  EventKind = "started"
	EventEnded    EventKind = "ended"
	EventNeverRan EventKind = "void"
	EventLost     EventKind = "lost"
)

// Event tells a job shard's owner what happened to a task.
type Event struct {
	Kind    EventKind      `json:"kind"`
	Attempt worker.Attempt `json:"attempt"`
	Worker  string         `json:"worker"`
	Address string         `json:"address,omitempty"`
	Result  worker.Result  `json:"result,omitempty"`
	Reason  string         `json:"reason,omitempty"`
}

// EventsRequest carries events of jobs of one job shard; the answer comes once they are journalled.
type EventsRequest struct {
	Shard  string  `json:"shard"`
	Events []Event `json:"events"`
}

// KeyBeginRequest asks for the leave to run a request that must not be repeated.
type KeyBeginRequest struct {
	Shard string `json:"shard"`
	Team  string `json:"team"`
	Key   string `json:"key"`
	// Token names the arrival, so that a repeated message is known.
	Token string `json:"token"`
	// Digest is that of the request, so that a key is not used for two of them.
	Digest string `json:"digest"`
	// TimeoutMS is the time left to the request, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
	// Created is when the caller made the key.
	Created time.Time `json:"created"`
}

// KeyState is what a key's home says of a request.
type KeyState string

// The states of a key.
const (
	// KeyRun gives the leave to run the request, once.
	KeyRun KeyState = "go"
	// KeyDone is a request that has run; its answer comes along when it was kept.
	KeyDone KeyState = "done"
	// KeyUnknown is a request of which it is not known whether it ran; it never runs again.
	KeyUnknown KeyState = "unknown"
	// KeyConflict is a key that was used for a request with another digest.
	KeyConflict KeyState = "clash"
)

// Answer is an upstream's answer, whole.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Dropped is set when the body was too large to be kept.
	Dropped bool `json:"dropped,omitempty"`
}

// KeyReply answers a KeyBeginRequest or a KeyFinishRequest.
type KeyReply struct {
	State  KeyState `json:"state"`
	Answer *Answer  `json:"answer,omitempty"`
}

// KeyFinishRequest tells a key's home how its request ended.
type KeyFinishRequest struct {
	Shard string `json:"shard"`
	Team  string `json:"team"`
	Key   string `json:"key"`
	Token string `json:"token"`
	// Outcome is done, not_run or unknown.
	Outcome string  `json:"outcome"`
	Answer  *Answer `json:"answer,omitempty"`
}

// PoolSummary tells how much room a worker shard has.
type PoolSummary struct {
	Shard   string `json:"shard"`
	Workers int    `json:"workers"`
	// Known is set once the shard's hosts were read and each has answered or is gone.
	Known    bool            `json:"known,omitempty"`
	Free     resource.Amount `json:"free"`
	Capacity resource.Amount `json:"capacity"`
	// Largest is the free room of the worker that has most.
	Largest resource.Amount `json:"largest"`
	// Shapes are the distinct capacities of the shard's workers.
	Shapes []resource.Amount `json:"shapes,omitempty"`
}

// ServiceSummary tells how busy the instances of a service are that a node owns.
type ServiceSummary struct {
	Service   string `json:"service"`
	Instances int    `json:"instances"`
	Free      int    `json:"free"`
	Queued    int    `json:"queued"`
}

// TeamUsage is what the tasks of a team take on the worker shards of a node.
type TeamUsage struct {
	Team string          `json:"team"`
	Used resource.Amount `json:"used"`
}

// Summary is what a node tells its peers of its load.
type Summary struct {
	Node          string `json:"node"`
	BundleVersion int64  `json:"head"`
	// Confirmed is set if the node heard a moment ago that its bundle is in force;
	// only then does what it says confirm the bundle of another node.
	Confirmed bool             `json:"confirmed,omitempty"`
	Pools     []PoolSummary    `json:"pools,omitempty"`
	Services  []ServiceSummary `json:"services,omitempty"`
	Teams     []TeamUsage      `json:"teams,omitempty"`
}
