// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// The sides of a partition on which a worker may be.
type side int

const (
	everywhere side = iota
	withOwner
	withOthers
)

// gate keeps a worker on one side of a partition: calls from the other side get no answer. The owner's
// orders bear at most the highest fence that any worker had seen when the partition began, and those
// of a later owner a higher one.
type gate struct {
	mu      sync.Mutex
	side    side
	highest int64
}

func (g *gate) shut(s side, highest int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.side, g.highest = s, highest
}

// allows reports whether the gate lets an order with a fence through.
func (g *gate) allows(fence int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.side {
	case withOwner:
		return fence <= g.highest
	case withOthers:
		return fence > g.highest
	default:
		return true
	}
}

// hold leaves a call unanswered.
func hold(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(30 * time.Second):
	}
	panic(http.ErrAbortHandler)
}
