// SPDX-License-Identifier: Apache-2.0

package fanout

import "time"

// delayWindow is for how long the least delay counts. The steady clocks of two hosts may
// drift apart by 4 %, which is 0.2 s in twice that time.
const delayWindow = 2500 * time.Millisecond

// delayEstimator tells how much later calls come than others of the same connection. The two
// hosts' clocks have nothing in common but their pace.
type delayEstimator struct {
	began time.Time
	// minDiffs are the minDiffs differences of the two clocks seen in this window and the last.
	minDiffs    [2]int64
	windowStart time.Time
}

func newDelayEstimator() *delayEstimator {
	now := time.Now()
	return &delayEstimator{began: now, windowStart: now, minDiffs: [2]int64{noDelay, noDelay}}
}

// noDelay is more than any difference of clocks.
const noDelay = 1 << 62

// observe returns how much later than others a call came that was sent then.
func (d *delayEstimator) observe(sentMS int64) time.Duration {
	now := time.Now()
	if now.Sub(d.windowStart) > delayWindow {
		d.windowStart, d.minDiffs = now, [2]int64{noDelay, d.minDiffs[0]}
	}
	diff := now.Sub(d.began).Milliseconds() - sentMS
	usual := min(d.minDiffs[0], d.minDiffs[1])
	d.minDiffs[0] = min(d.minDiffs[0], diff)
	if usual == noDelay {
		return 0
	}
	return time.Duration(max(0, diff-usual)) * time.Millisecond
}
