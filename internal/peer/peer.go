// SPDX-License-Identifier: Apache-2.0

// Package peer holds the messages that nodes send to each other, as JSON over HTTP.
//
// A message about a shard is sent to the node that owns the shard. A node that does not own
// it, or no longer does, answers with a problem of the reason ReasonNotOwner.
//
// # Usage
//
//	url := "http://" + address + peer.PathReserve
//	reply, err := httpx.Call[peer.ReserveRequest, peer.ReserveReply](ctx, c, url, req)
package peer

import (
	"time"

	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/worker"
)

// The paths on a node's listener for peers.
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

// ReserveRequest asks the owner of a worker shard to reserve capacity for tasks. The owner
// reserves it for as many of them as it can.
type ReserveRequest struct {
	Shard string        `json:"shard"`
	Specs []worker.Spec `json:"specs"`
	// Spread prefers different racks, and different workers within a rack.
	Spread bool `json:"spread,omitempty"`
	// Preempt allows the owner to stop tasks of lower priority to make room.
	Preempt bool `json:"preempt,omitempty"`
}

// Placement is the worker on which capacity is reserved for a task, and on which the task
// starts once the placement is confirmed.
type Placement struct {
	Attempt worker.Attempt `json:"attempt"`
	Shard   string         `json:"shard"`
	Worker  string         `json:"worker"`
	// Incarnation is the worker's incarnation when the capacity was reserved.
	Incarnation string `json:"incarnation"`
	Reservation string `json:"reservation"`
}

// ReserveReply holds the placements that were reserved, in the order of the requested specs.
type ReserveReply struct {
	Placements []Placement `json:"placements"`
}

// ConfirmRequest asks the owner to start tasks with a reservation; it may be repeated.
type ConfirmRequest struct {
	Shard      string      `json:"shard"`
	Placements []Placement `json:"placements"`
}

// ConfirmState is what the owner of a worker shard knows about a placement.
type ConfirmState string

// The states of a confirmed placement.
const (
	// ConfirmAccepted is a task that is or will be started; events report what happens to it.
	ConfirmAccepted ConfirmState = "accepted"
	// ConfirmNeverRan is a task that has not run under this attempt and never will.
	ConfirmNeverRan ConfirmState = "void"
	// ConfirmLost is a task that no longer runs and whose result is not known.
	ConfirmLost ConfirmState = "lost"
	// ConfirmPending is a task about which nothing is known for certain yet; ask again.
	ConfirmPending ConfirmState = "later"
)

// Confirmed is the state of one placement.
type Confirmed struct {
	Attempt worker.Attempt `json:"attempt"`
	State   ConfirmState   `json:"state"`
}

// ConfirmReply holds the state of each placement of a ConfirmRequest.
type ConfirmReply struct {
	Items []Confirmed `json:"items"`
}

// StopRequest asks the owner to stop tasks, whether started or not; events report their end.
type StopRequest struct {
	Shard      string      `json:"shard"`
	Placements []Placement `json:"placements"`
}

// EventKind is the kind of a change in a task's state.
type EventKind string

// The kinds of event.
const (
	EventStarted EventKind = "started"
	EventEnded   EventKind = "ended"
	// EventNeverRan and EventLost mean the same as ConfirmNeverRan and ConfirmLost.
	EventNeverRan EventKind = "void"
	EventLost     EventKind = "lost"
)

// Event reports a change in a task's state to the owner of its job shard.
type Event struct {
	Kind    EventKind      `json:"kind"`
	Attempt worker.Attempt `json:"attempt"`
	Worker  string         `json:"worker"`
	Address string         `json:"address,omitempty"`
	Result  worker.Result  `json:"result,omitempty"`
	Reason  string         `json:"reason,omitempty"`
}

// EventsRequest carries events about jobs of one job shard. The answer is sent once they are
// journalled, so that the sender may forget them.
type EventsRequest struct {
	Shard  string  `json:"shard"`
	Events []Event `json:"events"`
}

// KeyBeginRequest asks the owner of a key's job shard for permission to run a request that
// must run at most once.
type KeyBeginRequest struct {
	Shard string `json:"shard"`
	Team  string `json:"team"`
	Key   string `json:"key"`
	// Token identifies the request as it arrived at its entry node, so that a repeated message
	// is recognized.
	Token string `json:"token"`
	// Digest is the digest of the request, by which a key that is reused for another request
	// is detected.
	Digest string `json:"digest"`
	// TimeoutMS is the time until the request's deadline, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
	// Created is when the caller created the key.
	Created time.Time `json:"created"`
}

// KeyState is the state of a request with a key.
type KeyState string

// The states of a key.
const (
	// KeyRun is the permission to run the request, once.
	KeyRun KeyState = "go"
	// KeyDone is a request that has run. The reply holds its answer if that was stored.
	KeyDone KeyState = "done"
	// KeyUnknown is a request of which it is not known whether it ran; it is not run again.
	KeyUnknown KeyState = "unknown"
	// KeyConflict is a key that was already used for a request with another digest.
	KeyConflict KeyState = "clash"
)

// Answer is an upstream's complete answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Dropped is set if the body was too large to be stored.
	Dropped bool `json:"dropped,omitempty"`
}

// KeyReply answers a KeyBeginRequest or a KeyFinishRequest.
type KeyReply struct {
	State  KeyState `json:"state"`
	Answer *Answer  `json:"answer,omitempty"`
}

// KeyFinishRequest tells the owner of a key's job shard how the key's request ended.
type KeyFinishRequest struct {
	Shard string `json:"shard"`
	Team  string `json:"team"`
	Key   string `json:"key"`
	Token string `json:"token"`
	// Outcome is done, not_run or unknown.
	Outcome string  `json:"outcome"`
	Answer  *Answer `json:"answer,omitempty"`
}

// PoolSummary is the capacity of a worker shard and how much of it is free.
type PoolSummary struct {
	Shard   string `json:"shard"`
	Workers int    `json:"workers"`
	// Known is set once the owner has read the host list and each of the shard's workers has
	// answered or is gone; before that the capacity is incomplete.
	Known    bool            `json:"known,omitempty"`
	Free     resource.Amount `json:"free"`
	Capacity resource.Amount `json:"capacity"`
	// Largest is the free capacity of the worker that has the most.
	Largest resource.Amount `json:"largest"`
	// Shapes holds each distinct worker capacity of the shard once.
	Shapes []resource.Amount `json:"shapes,omitempty"`
}

// ServiceSummary is the load of the instances of a service on a node's worker shards.
type ServiceSummary struct {
	Service   string `json:"service"`
	Instances int    `json:"instances"`
	Free      int    `json:"free"`
	Queued    int    `json:"queued"`
}

// TeamUsage is the resources that a team's tasks use on the worker shards of a node.
type TeamUsage struct {
	Team string          `json:"team"`
	Used resource.Amount `json:"used"`
}

// Summary is a node's report of its load to its peers.
type Summary struct {
	Node          string `json:"node"`
	BundleVersion int64  `json:"head"`
	// Confirmed is set if the store or a peer recently confirmed that the node's bundle is
	// in force. Only then may a peer take BundleVersion as a confirmation of its own bundle:
	// a node that was cut off may have an outdated one.
	Confirmed bool             `json:"confirmed,omitempty"`
	Pools     []PoolSummary    `json:"pools,omitempty"`
	Services  []ServiceSummary `json:"services,omitempty"`
	Teams     []TeamUsage      `json:"teams,omitempty"`
}
