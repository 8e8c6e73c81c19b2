// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"sync"
	"time"
)

// At peak load, some workers take orders without an answer and may carry them out seconds
// later. Each such start delays its job until the order is given up, so the timeout of orders
// follows the reply times that are observed.

// The timeouts of orders and the weights of their estimate.
const (
	// MinOrderTimeout and MaxOrderTimeout bound the timeout of an order. A reply comes within a
	// few milliseconds, and within 0.1 s while the owner's host has used up its CPU quota or
	// many orders go out after a takeover. On a saturated link of 2 Mbit/s all replies take up
	// to 0.4 s, and starts that are given up add to the load.
	MinOrderTimeout = 120 * time.Millisecond
	MaxOrderTimeout = 600 * time.Millisecond
	// maxLateOrderTimeout bounds the timeout while all workers' answers are late: a worker refuses
	// a start that reaches it later.
	maxLateOrderTimeout = 1200 * time.Millisecond
	// InitialOrderTimeout is the timeout before any reply time is known.
	InitialOrderTimeout = 300 * time.Millisecond
	// meanGain and deviationGain are the weights of one sample in the running mean and in the
	// running deviation, and deviationFactor is how many deviations a reply may take beyond the
	// mean. They follow the usual estimate of a retransmission timeout, with more slack, since
	// an order given up in error wastes work.
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 6
)

// ReplyTimeEstimator derives the timeout of orders from the reply times of workers.
type ReplyTimeEstimator struct {
	mu              sync.Mutex
	mean, deviation float64 // In seconds; a mean of 0 means that there was no sample yet.
}

// Observe adds the time after which one order was answered or given up. Those given up count
// too, so that the timeout rises when all replies have become slow; if only some are lost, the
// next few replies lower it again.
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

// Timeout returns how long to wait for a reply.
func (t *ReplyTimeEstimator) Timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		return InitialOrderTimeout
	}
	limit := time.Duration((t.mean + deviationFactor*t.deviation) * float64(time.Second))
	return min(max(limit, MinOrderTimeout), MaxOrderTimeout)
}
