// SPDX-License-Identifier: Apache-2.0

// Package recent keeps figures of the last few seconds.
//
// # Usage
//
//	var answerTime recent.Max
//	answerTime.Observe(now, took)
//	limit := 4 * answerTime.Value(now)
package recent

import (
	"math"
	"time"
)

// halfLife is the time in which a Max falls to half: longer than the time between two samples of what
// is called often, and short enough to follow the end of a burst.
const halfLife = 2 * time.Second

// Max is the largest of the recent samples of a duration. It rises with a sample at once, and falls
// exponentially. The zero value has no samples, and is 0.
type Max struct {
	value time.Duration
	at    time.Time
}

// Observe adds a sample.
func (m *Max) Observe(now time.Time, sample time.Duration) {
	m.value, m.at = max(sample, m.Value(now)), now
}

// Value returns the estimate at a time.
func (m *Max) Value(now time.Time) time.Duration {
	halfLives := max(0, now.Sub(m.at).Seconds()/halfLife.Seconds())
	return time.Duration(float64(m.value) * math.Exp2(-halfLives))
}
