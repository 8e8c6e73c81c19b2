// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/owner"
)

// TestReplyTimeEstimator checks that the timeout follows the reply times, within its bounds.
func TestReplyTimeEstimator(t *testing.T) {
	var estimator owner.ReplyTimeEstimator
	if got := estimator.Timeout(); got != owner.InitialOrderTimeout {
		t.Errorf("timeout %v before the first reply, want %v", got, owner.InitialOrderTimeout)
	}
	for range 100 {
		estimator.Observe(4 * time.Millisecond)
	}
	if got := estimator.Timeout(); got != owner.MinOrderTimeout {
		t.Errorf("timeout %v where replies take 4 ms, want %v", got, owner.MinOrderTimeout)
	}
	for range 10 {
		estimator.Observe(estimator.Timeout())
	}
	if got := estimator.Timeout(); got <= owner.MinOrderTimeout {
		t.Errorf("timeout %v after many orders were given up, want more than %v", got, owner.MinOrderTimeout)
	}
	for range 100 {
		estimator.Observe(200 * time.Millisecond)
		estimator.Observe(100 * time.Millisecond)
	}
	if got := estimator.Timeout(); got < 2*200*time.Millisecond || got >= owner.MaxOrderTimeout {
		t.Errorf("timeout %v where replies take 0.1 to 0.2 s, want twice that and less than %v", got, owner.MaxOrderTimeout)
	}
	for range 100 {
		estimator.Observe(400 * time.Millisecond)
		estimator.Observe(200 * time.Millisecond)
	}
	if got := estimator.Timeout(); got != owner.MaxOrderTimeout {
		t.Errorf("timeout %v where replies take 0.2 to 0.4 s, want %v", got, owner.MaxOrderTimeout)
	}
}
