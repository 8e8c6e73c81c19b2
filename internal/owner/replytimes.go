// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"sync"
	"time"
)

// The load pattern: at the peak a share of the workers takes orders without an answer and
// may carry them out seconds later. Each such start holds up its job until the order has
// been given up, so that the time to wait for an answer follows the answers that come.

// The bounds of the wait for the answer to an order.
const (
	// MinOrderTimeout and MaxOrderTimeout bound the wait for the answer to an order. It comes within
	// a few milliseconds, and within 0.1 s while the owner's host has used up its share of
	// the processor or many orders go out after a takeover; on a link of 2 Mbit/s that is
	// full, all answers take up to 0.4 s, and starts that are given up fill it more.
	MinOrderTimeout = 120 * time.Millisecond
	MaxOrderTimeout = 600 * time.Millisecond
	// InitialOrderTimeout is the wait before anything is known.
	InitialOrderTimeout = 300 * time.Millisecond
	// meanGain and deviationGain are the weights of one answer in the running mean and in
	// the running deviation, and deviations is how many of these an answer may take beyond
	// the mean: those of the usual estimate of a retransmission time, with more slack, as
	// an order that was given up in error throws work away.
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 6
)

// ReplyTimeEstimator learns how long workers take to answer.
type ReplyTimeEstimator struct {
	mu              sync.Mutex
	mean, deviation float64 // in seconds; mean 0: none was answered yet
}

// Observe takes in how long one order took to be answered or given up. Those given up count
// too, so that the limit rises where all answers have become slow; if only some don't
// come, the next few answers lower it again.
func (t *ReplyTimeEstimator) Observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sample := took.Seconds()
	if t.mean == 0 {
		t.mean, t.deviation = sample, sample/2
		return
	}
	delta := sample - t.mean
	t.mean += meanGain * delta
	t.deviation += deviationGain * (max(delta, -delta) - t.deviation)
}

// Timeout returns how long to wait for an answer.
func (t *ReplyTimeEstimator) Timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		return InitialOrderTimeout
	}
	limit := time.Duration((t.mean + deviationFactor*t.deviation) * float64(time.Second))
	return min(max(limit, MinOrderTimeout), MaxOrderTimeout)
}
