// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"math"
	"time"
)

// recentMaxHalfLife is the time in which a recentMax falls to half: longer than the time between two
// pings of an owner, and short enough to follow the end of a burst.
const recentMaxHalfLife = 2 * time.Second

// recentMax is the largest of the recent samples of a duration. It rises with a sample at once, and
// falls exponentially.
type recentMax struct {
	value time.Duration
	at    time.Time
}

// Observe adds a sample.
func (m *recentMax) Observe(now time.Time, sample time.Duration) {
	m.value, m.at = max(sample, m.Value(now)), now
}

// Value returns the estimate at a time.
func (m *recentMax) Value(now time.Time) time.Duration {
	halfLives := now.Sub(m.at).Seconds() / recentMaxHalfLife.Seconds()
	return time.Duration(float64(m.value) * math.Exp2(-max(0, halfLives)))
}
