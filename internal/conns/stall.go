// SPDX-License-Identifier: Apache-2.0

package conns

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// StallTimeout is how long a response that has begun to arrive may pause: a lost packet is
// retransmitted after 0.2 s, and if it is lost again 0.4 s later, behind others on a busy
// link.
const StallTimeout = 1200 * time.Millisecond

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindSilent means that no part of the response arrived in time.
	KindSilent Kind = "silent"
	// KindStalled means that the response began to arrive and then stalled.
	KindStalled Kind = "stalled"
	// KindNotSent means that no byte of the request was written to a connection, and none will
	// be: the request had no effect.
	KindNotSent Kind = "not_sent"
)

// Error is the error type of this package: why a call under a stall timeout was ended, or that
// a failed call was not sent.
type Error struct {
	Op   string
	Kind Kind
	// After is how long nothing had arrived.
	After time.Duration
	// Err is the cause of a call that was not sent.
	Err error
}

// Error returns the operation, kind and time or cause.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("conns: %s: %s: %v", e.Op, e.Kind, e.Err)
	}
	return fmt.Sprintf("conns: %s: %s: nothing arrived for %s", e.Op, e.Kind, e.After)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// stallTimer ends a call when nothing of its response arrives.
type stallTimer struct {
	timer   *time.Timer
	arrived atomic.Bool

	mu sync.Mutex
	// late is set while the response is late, and onLate is called then; nil: nobody asks.
	late   bool
	onLate func()
}

type stallTimerKey struct{}

// WithStallTimeout returns a context for one call by a Transport, or for several in sequence.
// It ends when nothing of a response has arrived within begin or, from then on, for
// StallTimeout.
//
// The total time isn't bounded: aborting a response that is arriving would discard what has
// been received, and the retry would fill the same slow link again. A configuration of 2,845
// routes takes 0.6 s on an idle link of 10 Mbit/s.
func WithStallTimeout(ctx context.Context, begin time.Duration) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancelCause(ctx)
	t := &stallTimer{}
	t.timer = time.AfterFunc(begin, func() {
		if t.arrived.Load() {
			cancel(&Error{Op: "call", Kind: KindStalled, After: StallTimeout})
			return
		}
		cancel(&Error{Op: "call", Kind: KindSilent, After: begin})
	})
	return context.WithValue(c, stallTimerKey{}, t), func() {
		t.timer.Stop()
		cancel(nil)
	}
}

// WithLateResponse is like WithStallTimeout, for a call whose response is of use even if it is late.
// When nothing has arrived within begin, onLate is called and idle connections to the same address
// are closed if they were silent too, but the call ends only when nothing has arrived within limit.
func WithLateResponse(ctx context.Context, begin, limit time.Duration, onLate func()) (context.Context, context.CancelFunc) {
	c, cancel := WithStallTimeout(ctx, limit)
	t, _ := c.Value(stallTimerKey{}).(*stallTimer)
	late := time.AfterFunc(begin, func() {
		if !t.arrived.Load() && c.Err() == nil {
			t.becomeLate()
			onLate()
		}
	})
	return c, func() {
		late.Stop()
		cancel()
	}
}

// becomeLate records that the response is late.
func (t *stallTimer) becomeLate() {
	t.mu.Lock()
	t.late = true
	onLate := t.onLate
	t.mu.Unlock()
	if onLate != nil {
		onLate()
	}
}

// whenLate calls fn once the response of a call under WithLateResponse is late.
func whenLate(ctx context.Context, fn func()) {
	t, ok := ctx.Value(stallTimerKey{}).(*stallTimer)
	if !ok {
		return
	}
	t.mu.Lock()
	t.onLate = fn
	late := t.late
	t.mu.Unlock()
	if late {
		fn()
	}
}

// ResponseStarted reports whether the response of a call under a stall timeout has begun to
// arrive.
func ResponseStarted(ctx context.Context) bool {
	t, ok := ctx.Value(stallTimerKey{}).(*stallTimer)
	return ok && t.arrived.Load()
}

// recordProgress records that a part of a call's response has arrived, and restarts its stall
// timer.
func recordProgress(ctx context.Context) {
	if t, ok := ctx.Value(stallTimerKey{}).(*stallTimer); ok && ctx.Err() == nil {
		t.arrived.Store(true)
		t.timer.Reset(StallTimeout)
	}
}
