// SPDX-License-Identifier: Apache-2.0

package conns

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// StallTimeout is how long an answer that has begun to arrive may pause: a lost packet is
// sent again after 0.2 s, and if it is lost again 0.4 s later, behind others on a busy link.
const StallTimeout = 1200 * time.Millisecond

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindSilent: nothing of the answer has arrived in time.
	KindSilent Kind = "silent"
	// KindStalled: the answer began to arrive and then stood still.
	KindStalled Kind = "stalled"
)

// Error is the error type of this package: why a call under a limit was ended.
type Error struct {
	Op   string
	Kind Kind
	// After is for how long nothing had arrived.
	After time.Duration
}

// Error returns the operation, kind and time.
func (e *Error) Error() string {
	return fmt.Sprintf("conns: %s: %s: nothing arrived for %s", e.Op, e.Kind, e.After)
}

// stallTimer ends a call of which nothing arrives.
type stallTimer struct {
	timer   *time.Timer
	arrived atomic.Bool
}

type stallTimerKey struct{}

// WithStallTimeout returns a context for a call by a Transport, or for several one after the
// other. It ends when nothing of an answer has arrived within begin or, from then on,
// for StallTimeout.
//
// An answer that arrives is not given up however long the whole of it takes: what has
// come of it would be thrown away, and the next try fill the same slow link again. A
// configuration of 2,845 routes takes 0.6 s on an empty link of 10 Mbit/s.
func WithStallTimeout(ctx context.Context, begin time.Duration) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancelCause(ctx)
	l := &stallTimer{}
	l.timer = time.AfterFunc(begin, func() {
		if l.arrived.Load() {
			cancel(&Error{"call", KindStalled, StallTimeout})
			return
		}
		cancel(&Error{"call", KindSilent, begin})
	})
	return context.WithValue(c, stallTimerKey{}, l), func() {
		l.timer.Stop()
		cancel(nil)
	}
}

// ResponseStarted reports whether the answer of a call under a limit has begun to arrive.
func ResponseStarted(ctx context.Context) bool {
	l, ok := ctx.Value(stallTimerKey{}).(*stallTimer)
	return ok && l.arrived.Load()
}

// recordProgress notes that something of a call's answer has arrived.
func recordProgress(ctx context.Context) {
	if l, ok := ctx.Value(stallTimerKey{}).(*stallTimer); ok && ctx.Err() == nil {
		l.arrived.Store(true)
		l.timer.Reset(StallTimeout)
	}
}
