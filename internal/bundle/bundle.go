// SPDX-License-Identifier: Apache-2.0

// Package bundle holds the cell's policy and configuration: a directory of
// YAML files in version control that is checked, signed by reviewers, and
// rolled out to the nodes through the platform's table.
//
// # Usage
//
//	b, err := bundle.Load("policy/")              // errors name file, line and key
//	sig := bundle.Sign(b.Digest(), "zuzana", key) // by each reviewer
//	p, err = store.Propose(ctx, b, p)             // nodes stage it
//	head, err := store.Accept(ctx, p.Change)      // in force on all nodes within seconds
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"switchbank.example/switchbank/internal/policy"
	"switchbank.example/switchbank/internal/team"
)

// Bundle is the cell's policy and configuration.
type Bundle struct {
	Teams    []team.Team `json:"teams" yaml:"teams"`
	Classes  []Class     `json:"classes" yaml:"classes"`
	Services []Service   `json:"services" yaml:"services"`
	// Placement holds the weights of waiting time and packing in placement decisions.
	Placement policy.Weights `json:"placement" yaml:"placement"`
	Limits    Limits         `json:"limits" yaml:"limits"`
	Review    Review         `json:"review" yaml:"review"`
}

// Class defines the urgency of workloads.
type Class struct {
	Name string `json:"name" yaml:"name"`
	// Priority orders the classes; higher goes first.
	Priority int `json:"priority" yaml:"priority"`
	// Preemptible tasks may be checkpointed and stopped for more urgent ones.
	Preemptible bool `json:"preemptible" yaml:"preemptible"`
	// GraceMS is how long the leases of tasks are renewed while the store is unreachable,
	// in milliseconds.
	GraceMS int64 `json:"grace_ms" yaml:"grace_ms"`
}

// Service sets how requests to a service are queued.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// QueuePerTeam and QueueTotal limit the queued requests on each node.
	QueuePerTeam int `json:"queue_per_team" yaml:"queue_per_team"`
	QueueTotal   int `json:"queue_total" yaml:"queue_total"`
}

// Limits restrict requests and their retries.
type Limits struct {
	// BodyBytes is the maximum size of the body of a request or answer.
	BodyBytes int64 `json:"body_bytes" yaml:"body_bytes"`
	// TimeoutMS is the longest timeout that a request may have, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms" yaml:"timeout_ms"`
	// RetryShare is how many retries each request adds to the retry budget.
	RetryShare float64 `json:"retry_share" yaml:"retry_share"`
}

// Review sets who must sign the next bundle.
type Review struct {
	Reviewers []Reviewer `json:"reviewers" yaml:"reviewers"`
	// Required is how many of the reviewers must sign.
	Required int `json:"required" yaml:"required"`
}

// Reviewer is a person who may sign a bundle.
type Reviewer struct {
	Name string `json:"name" yaml:"name"`
	// Key is the ed25519 public key, in base64.
	Key string `json:"key" yaml:"key"`
}

// The defaults for values that a bundle leaves out.
const (
	DefaultQueuePerTeam = 64
	DefaultQueueTotal   = 1024
	DefaultBodyBytes    = 1 << 20
	DefaultTimeout      = 30 * time.Second
	DefaultRetryShare   = 0.1
	DefaultTimeoutMS    = int64(DefaultTimeout / time.Millisecond)
)

// Default returns the bundle that is in force until the first one is accepted. It has no
// team, so that no workload or request is accepted.
func Default() *Bundle {
	b := &Bundle{}
	b.setDefaults()
	return b
}

// setDefaults sets the values that were left out.
func (b *Bundle) setDefaults() {
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

// Team returns the team with the given name.
func (b *Bundle) Team(name string) (team.Team, bool) {
	for _, t := range b.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return team.Team{}, false
}

// Class returns the class with the given name.
func (b *Bundle) Class(name string) (Class, bool) {
	for _, c := range b.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Service returns the settings of a service, or the defaults if the bundle has none for it.
func (b *Bundle) Service(name string) Service {
	for _, s := range b.Services {
		if s.Name == name {
			return s
		}
	}
	return Service{Name: name, QueuePerTeam: DefaultQueuePerTeam, QueueTotal: DefaultQueueTotal}
}

// Digest returns the hex SHA-256 digest of the bundle's canonical form, under which the
// bundle is stored.
func (b *Bundle) Digest() string {
	sum := sha256.Sum256(b.canonicalJSON())
	return hex.EncodeToString(sum[:])
}

// canonicalJSON returns the bundle's JSON form, which is the same for equal bundles.
func (b *Bundle) canonicalJSON() []byte {
	// A Bundle holds only strings, numbers, booleans and lists of them, so this can't fail.
	data, _ := json.Marshal(b)
	return data
}

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindInvalid means that a bundle is malformed or breaks a rule.
	KindInvalid Kind = "invalid"
	// KindSignature means that a bundle lacks signatures that the current one requires, or
	// that a key is malformed.
	KindSignature Kind = "signature"
	// KindConflict means that another change was made first.
	KindConflict Kind = "conflict"
	// KindNotStaged means that some live node has not staged the bundle yet.
	KindNotStaged Kind = "not_staged"
	// KindNotFound means that there is no such proposal.
	KindNotFound Kind = "not_found"
	// KindStore means that a call to the platform failed; a change may have taken effect.
	KindStore Kind = "store"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("bundle: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
