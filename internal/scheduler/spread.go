// SPDX-License-Identifier: Apache-2.0

package scheduler

import "time"

// This file learns how long the tasks of a step wait for room one after the other.
//
// It answers a load at which all workers are full: room comes free task by task, so that a step
// of many tasks ends later than its longest task takes. Without that time, the work that can
// still end on time is chosen such that much of it ends slightly too late.

// noteStarts learns how long the tasks of a step wait for room one after the other: the time
// between the first and the last start.
func (s *Shard) noteStarts(now time.Time, st *step, placed, left int) {
	if placed == 0 || st.allStarted || st.job.inherited {
		return
	}
	if st.firstStart.IsZero() {
		st.firstStart = now
	}
	if left > 0 {
		return
	}
	st.allStarted = true
	sp := s.startSpreads[st.kind()]
	if sp == nil {
		sp = &meanSpread{}
		s.startSpreads[st.kind()] = sp
	}
	sp.add(now.Sub(st.firstStart))
}

// meanSpread is a running mean of the time between the first and the last start of a step.
type meanSpread struct {
	mean time.Duration
	n    int
}

func (m *meanSpread) add(d time.Duration) {
	m.n = min(m.n+1, maxSpreadWeight)
	m.mean += (d - m.mean) / time.Duration(m.n)
}

// maxSpreadWeight bounds the weight of the past in the mean spread: it follows the load within
// some seconds.
const maxSpreadWeight = 10

// startSpread returns the learned time between the first and the last start of a step.
func (s *Shard) startSpread(st *step) time.Duration {
	if sp := s.startSpreads[st.kind()]; sp != nil {
		return sp.mean
	}
	return 0
}
