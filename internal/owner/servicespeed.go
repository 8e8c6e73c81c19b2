// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"switchbank.example/switchbank/internal/scheduler"
)

// This file learns how long the advice service takes, compared with what its policy states. Calls that are
// given up and made again while the service still works for them make a slow service useless.

const (
	// adviceTimeoutSlack is added to twice the expected duration of a call to get its timeout.
	adviceTimeoutSlack = 800 * time.Millisecond
	// maxAdviceSlowness bounds the learned ratio, so that calls which a service that has been down will never
	// answer end within seconds.
	maxAdviceSlowness = 8.0
	// adviceSlownessWeight is the weight of one answer in the running mean.
	adviceSlownessWeight = 0.1
)

// serviceSpeed is what is known of the speed of the advice service.
type serviceSpeed struct {
	// slowness is the running mean of the ratio of the time that a long call takes to what the policy
	// states, at least 1; 0: none was made yet.
	slowness float64
	// raisedAt is when it was last raised since no node got an answer in time.
	raisedAt time.Time
	// suspect is the node whose call timed out since the last answer.
	suspect *adviserLoad
}

// ratio returns how many times longer than stated calls take.
func (s *serviceSpeed) ratio() float64 { return max(1, s.slowness) }

// expected returns how long a call should take.
func (s *serviceSpeed) expected(a scheduler.RequestAdvice) time.Duration {
	return time.Duration(float64(a.ExpectedDuration) * s.ratio())
}

// patience returns how long the answer to a call is waited for.
func (s *serviceSpeed) patience(a scheduler.RequestAdvice) time.Duration {
	return 2*s.expected(a) + adviceTimeoutSlack
}

// answered learns from an answer. Short calls take longer for the network and for another one at the same
// node, which says nothing of the service.
func (s *serviceSpeed) answered(a scheduler.RequestAdvice, took time.Duration) {
	s.suspect = nil
	if !isLongCall(a) {
		return
	}
	ratio := float64(took) / float64(a.ExpectedDuration)
	s.slowness = min(max(1, s.ratio()+adviceSlownessWeight*(ratio-s.ratio())), maxAdviceSlowness)
}

// timedOut doubles the ratio if calls through two nodes got no answer in time and none was answered in
// between: one node alone may be at fault. Calls that were sent before the last time don't count again.
func (s *serviceSpeed) timedOut(c *openCall) {
	if isLongCall(c.RequestAdvice) && c.sentAt.After(s.raisedAt) && time.Since(c.sentAt) >= c.patience {
		if s.suspect == nil || s.suspect == c.load {
			s.suspect = c.load
			return
		}
		s.suspect = nil
		s.raisedAt = time.Now()
		s.slowness = min(2*s.ratio(), maxAdviceSlowness)
	}
}
