// SPDX-License-Identifier: Apache-2.0

package requests

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/peer"
)

// Request is a caller's request to a service.
type Request struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Team    string `json:"team"`
	// Key is the idempotency key of a request that must run at most once.
	Key        string    `json:"key,omitempty"`
	KeyCreated time.Time `json:"key_created,omitzero"`
	// Repeatable requests may be run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// TimeoutMS is the time left when the request was sent on, in milliseconds.
	TimeoutMS   int64  `json:"timeout_ms"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Result is how a request ended.
type Result struct {
	Outcome api.Outcome `json:"outcome"`
	// Answer is the upstream's complete answer. It is set only for OutcomeDone.
	Answer *peer.Answer `json:"answer,omitempty"`
	Reason Kind         `json:"reason,omitempty"`
	Detail string       `json:"detail,omitempty"`
	// RetryAfterMS is the suggested wait before a retry, in milliseconds; 0 means that a
	// retry makes no sense.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// digest returns a hash of the request's content. It detects a key that is used again for
// a different request.
func (r *Request) digest() string {
	h := sha256.New()
	h.Write([]byte(r.Service))
	h.Write([]byte{0})
	h.Write([]byte(r.ContentType))
	h.Write([]byte{0})
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func refused(kind Kind, detail string, retryAfter time.Duration) Result {
	return Result{Outcome: api.OutcomeRefused, Reason: kind, Detail: detail, RetryAfterMS: retryAfter.Milliseconds()}
}

func notRun(kind Kind, detail string) Result {
	return Result{Outcome: api.OutcomeNotRun, Reason: kind, Detail: detail, RetryAfterMS: minRetryAfter.Milliseconds()}
}

func unknown(kind Kind, detail string) Result {
	return Result{Outcome: api.OutcomeUnknown, Reason: kind, Detail: detail}
}

// remainingMS returns the time that ctx leaves, in milliseconds.
func remainingMS(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(0, time.Until(deadline).Milliseconds())
}
