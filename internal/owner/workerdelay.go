// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"sync"
	"time"
)

const (
	// workerDelayGain is the weight of one sample: with two holds a second of each of a hundred
	// workers the estimate follows within half a second, and a few silent workers don't move it.
	workerDelayGain = 1.0 / 32
	// timeoutPerDelay is how many times longer than usual an answer may take.
	timeoutPerDelay = 4
	// holdWaitPerDelay is how many times longer than an answer takes a hold stays open at least. It
	// bounds the share of its time that this node spends on holds at which nothing ends. With 10
	// the progress of runs was known too late in bursts.
	holdWaitPerDelay = 3
)

// workerDelay estimates how long workers take to answer. If all of them are late it is this node that
// is short of processor time or bandwidth, so that it has to wait longer and to call less often:
// calls that are given up and made again would add to what makes it late.
type workerDelay struct {
	mu   sync.Mutex
	mean time.Duration
}

// Observe adds the time after which a call was answered or given up, without the time for which the
// worker was asked to wait.
func (d *workerDelay) Observe(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mean += time.Duration(workerDelayGain * float64(took-d.mean))
}

// timeout returns how long an answer may take, between two bounds.
func (d *workerDelay) timeout(least, most time.Duration) time.Duration {
	return d.scaled(timeoutPerDelay, least, most)
}

// holdWait returns how long a worker may keep a hold open.
func (d *workerDelay) holdWait() time.Duration {
	return d.scaled(holdWaitPerDelay, minHoldWait, maxHoldWait)
}

func (d *workerDelay) scaled(factor int, least, most time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(max(time.Duration(factor)*d.mean, least), most)
}
