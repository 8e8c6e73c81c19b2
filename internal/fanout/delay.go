// SPDX-License-Identifier: Apache-2.0

package fanout

import "time"

// delayWindow is how long a minimum delay is valid. The monotonic clocks of two hosts may
// drift apart by 4 %, which is 0.2 s in twice that time.
const delayWindow = 2500 * time.Millisecond

// delayEstimator estimates how much later a call arrives than other calls on the same
// connection. It assumes only that the clocks of the two hosts run at the same rate.
type delayEstimator struct {
	began time.Time
	// minDiffs holds the minimum differences of the two clocks seen in this window and in the
	// previous one.
	minDiffs    [2]int64
	windowStart time.Time
}

func newDelayEstimator() *delayEstimator {
	now := time.Now()
	return &delayEstimator{began: now, windowStart: now, minDiffs: [2]int64{unmeasured, unmeasured}}
}

// unmeasured is larger than any difference of the clocks.
const unmeasured = 1 << 62

// observe returns how much later than others a call arrived that was sent at sentMS on the
// sender's clock.
func (d *delayEstimator) observe(sentMS int64) time.Duration {
	now := time.Now()
	if now.Sub(d.windowStart) > delayWindow {
		d.windowStart, d.minDiffs = now, [2]int64{unmeasured, d.minDiffs[0]}
	}
	diff := now.Sub(d.began).Milliseconds() - sentMS
	usual := min(d.minDiffs[0], d.minDiffs[1])
	d.minDiffs[0] = min(d.minDiffs[0], diff)
	if usual == unmeasured {
		return 0
	}
	return time.Duration(max(0, diff-usual)) * time.Millisecond
}
