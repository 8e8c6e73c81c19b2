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
	// Key is set for a request that must not be repeated.
	Key        string    `json:"key,omitempty"`
	KeyCreated time.Time `json:"key_created,omitzero"`
	// Repeatable requests may be run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// TimeoutMS is the time left when the request was sent, in milliseconds.
	TimeoutMS   int64  `json:"timeout_ms"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Result is how a request ended.
type Result struct {
	Outcome api.Outcome `json:"outcome"`
	// Answer is the upstream's whole answer, for OutcomeDone.
	Answer *peer.Answer `json:"answer,omitempty"`
	Reason Kind         `json:"reason,omitempty"`
	Detail string       `json:"detail,omitempty"`
	// RetryAfterMS is when it makes sense to come back, in milliseconds; 0 is never.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// digest names what a request asks for, so that a key is not used for two requests.
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
	return Result{Outcome: api.OutcomeNotRun, Reason: kind, Detail: detail, RetryAfterMS: leastRetryIn.Milliseconds()}
}

func unknown(kind Kind, detail string) Result {
	return Result{Outcome: api.OutcomeUnknown, Reason: kind, Detail: detail}
}

// remaining returns the time that ctx leaves, in milliseconds.
func remaining(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(0, time.Until(deadline).Milliseconds())
}
