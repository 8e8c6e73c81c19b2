// SPDX-License-Identifier: Apache-2.0

// Package bundle holds the cell's policy and configuration: a directory of
// YAML files in version control, checked, signed off by reviewers, and rolled
// out by way of the platform's table.
//
// # Usage
//
//	b, err := bundle.Load("policy/")       // errors name file, line and key
//	sig := bundle.Sign(b, "zuzana", key)   // by each reviewer
//	id, err := store.Propose(ctx, p)       // nodes stage it
//	head, err := store.Accept(ctx, id)     // in force everywhere within seconds
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"switchbank.example/switchbank/internal/policy"
	"switchbank.example/switchbank/internal/resource"
)

// Bundle is the cell's policy and configuration.
type Bundle struct {
	Teams    []Team    `json:"teams" yaml:"teams"`
	Classes  []Class   `json:"classes" yaml:"classes"`
	Services []Service `json:"services" yaml:"services"`
	// Placement weighs waiting time against packing.
	Placement policy.Weights `json:"placement" yaml:"placement"`
	Limits    Limits         `json:"limits" yaml:"limits"`
	Review    Review         `json:"review" yaml:"review"`
}

// Team is a party that shares the cell.
type Team struct {
	Name string `json:"name" yaml:"name"`
	// Weight is the team's share against that of others.
	Weight float64 `json:"weight" yaml:"weight"`
	// Quota is what the team may always use; it may borrow idle room beyond it.
	Quota resource.Amount `json:"quota" yaml:"quota"`
	// Limit is what the team may use at most; zero members have no limit.
	Limit resource.Amount `json:"limit" yaml:"limit"`
	// TokenSHA256 are the hex digests of the team's bearer tokens; without one
	// the team is open to everyone who can reach the callers' listener.
	TokenSHA256 []string `json:"token_sha256,omitempty" yaml:"token_sha256"`
}

// Class says how urgent a workload is.
type Class struct {
	Name string `json:"name" yaml:"name"`
	// Priority orders the classes; higher goes first.
	Priority int `json:"priority" yaml:"priority"`
	// Preemptible tasks may be checkpointed and stopped for more urgent ones.
	Preemptible bool `json:"preemptible" yaml:"preemptible"`
	// GraceMS is how long tasks are renewed without the store, in milliseconds.
	GraceMS int64 `json:"grace_ms" yaml:"grace_ms"`
}

// Service says how requests to a service are queued.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// QueuePerTeam and QueueTotal bound the requests that wait on one node.
	QueuePerTeam int `json:"queue_per_team" yaml:"queue_per_team"`
	QueueTotal   int `json:"queue_total" yaml:"queue_total"`
}

// Limits bound what callers may send.
type Limits struct {
	// BodyBytes is the largest body of a request or answer.
	BodyBytes int64 `json:"body_bytes" yaml:"body_bytes"`
	// TimeoutMS is the longest time a request may ask for, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms" yaml:"timeout_ms"`
	// RetryShare is how many retries a request adds to the budget.
	RetryShare float64 `json:"retry_share" yaml:"retry_share"`
}

// Review says who must sign off the next bundle.
type Review struct {
	Reviewers []Reviewer `json:"reviewers" yaml:"reviewers"`
	// Required is how many of them must sign.
	Required int `json:"required" yaml:"required"`
}

// Reviewer is a person who may sign off a bundle.
type Reviewer struct {
	Name string `json:"name" yaml:"name"`
	// Key is the ed25519 public key, in base64.
	Key string `json:"key" yaml:"key"`
}

// The defaults of a bundle.
const (
	DefaultQueuePerTeam = 64
	DefaultQueueTotal   = 1024
	DefaultBodyBytes    = 1 << 20
	DefaultTimeout      = 30 * time.Second
	DefaultRetryShare   = 0.1
	DefaultTimeoutMS    = int64(DefaultTimeout / time.Millisecond)
)

// Default returns the bundle that is in force before any was accepted: it has
// no team, so that nothing is taken in.
func Default() *Bundle {
	b := &Bundle{}
	b.fill()
	return b
}

// fill sets what was left out.
func (b *Bundle) fill() {
	if b.Placement == (policy.Weights{}) {
		b.Placement = policy.Weights{Waiting: 0.5, Packing: 0.5}
	}
	if b.Limits.BodyBytes == 0 {
		b.Limits.BodyBytes = DefaultBodyBytes
	}
	if b.Limits.TimeoutMS == 0 {
		b.Limits.TimeoutMS = DefaultTimeoutMS
	}
	if b.Limits.RetryShare == 0 {
		b.Limits.RetryShare = DefaultRetryShare
	}
	for i := range b.Teams {
		if b.Teams[i].Weight == 0 {
			b.Teams[i].Weight = 1
		}
	}
	for i := range b.Services {
		if b.Services[i].QueuePerTeam == 0 {
			b.Services[i].QueuePerTeam = DefaultQueuePerTeam
		}
		if b.Services[i].QueueTotal == 0 {
			b.Services[i].QueueTotal = DefaultQueueTotal
		}
	}
}

// Team returns the team of a name.
func (b *Bundle) Team(name string) (Team, bool) {
	for _, t := range b.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Class returns the class of a name.
func (b *Bundle) Class(name string) (Class, bool) {
	for _, c := range b.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Service returns the settings of a service; one that is not named has the defaults.
func (b *Bundle) Service(name string) Service {
	for _, s := range b.Services {
		if s.Name == name {
			return s
		}
	}
	return Service{Name: name, QueuePerTeam: DefaultQueuePerTeam, QueueTotal: DefaultQueueTotal}
}

// Digest returns the bundle's content address.
func (b *Bundle) Digest() string {
	sum := sha256.Sum256(b.canonical())
	return hex.EncodeToString(sum[:])
}

// canonical returns the one JSON form of the bundle.
func (b *Bundle) canonical() []byte {
	// A Bundle holds only strings, numbers and lists of them, so that this can't fail.
	data, _ := json.Marshal(b)
	return data
}

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindInvalid is a bundle that breaks a rule.
	KindInvalid Kind = "invalid"
	// KindSignature is a bundle that is not signed off as the present one asks.
	KindSignature Kind = "signature"
	// KindConflict is a change that lost against another.
	KindConflict Kind = "conflict"
	// KindNotStaged is a bundle that some live node does not hold ready.
	KindNotStaged Kind = "not_staged"
	// KindNotFound is a proposal that is not there.
	KindNotFound Kind = "not_found"
	// KindStore is a call of the platform that failed; the change may have taken effect.
	KindStore Kind = "store"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("bundle: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
