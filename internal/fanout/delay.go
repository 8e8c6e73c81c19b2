// SPDX-License-Identifier: Apache-2.0

package fanout

import "time"

// delayWindow is for how long the least delay counts. The steady clocks of two hosts may
// drift apart by 4 %, which is 0.2 s in twice that time.
const delayWindow = 2500 * time.Millisecond

// delays tells how much later calls come than others of the same connection. The two
// hosts' clocks have nothing in common but their pace.
type delays struct {
	began time.Time
	// least are the least differences of the two clocks seen in this window and the last.
	least [2]int64
	since time.Time
}

func newDelays() *delays {
	now := time.Now()
	return &delays{began: now, since: now, least: [2]int64{never, never}}
}

// never is more than any difference of clocks.
const never = 1 << 62

// of returns how much later than others a call came that was sent then.
func (d *delays) of(sentMS int64) time.Duration {
	now := time.Now()
	if now.Sub(d.since) > delayWindow {
		d.since, d.least = now, [2]int64{never, d.least[0]}
	}
	diff := now.Sub(d.began).Milliseconds() - sentMS
	usual := min(d.least[0], d.least[1])
	d.least[0] = min(d.least[0], diff)
	if usual == never {
		return 0
	}
	return time.Duration(max(0, diff-usual)) * time.Millisecond
}
