// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/owner"
)

// TestReplyTimes checks that the wait for an answer follows the answers, within bounds.
func TestReplyTimes(t *testing.T) {
	var r owner.ReplyTimeEstimator
	if got := r.Timeout(); got != owner.InitialOrderTimeout {
		t.Errorf("%v before the first answer, want %v", got, owner.InitialOrderTimeout)
	}
	for range 100 {
		r.Observe(4 * time.Millisecond)
	}
	if got := r.Timeout(); got != owner.MinOrderTimeout {
		t.Errorf("%v where answers take 4 ms, want %v", got, owner.MinOrderTimeout)
	}
	for range 10 {
		r.Observe(r.Timeout())
	}
	if got := r.Timeout(); got <= owner.MinOrderTimeout {
		t.Errorf("%v after many orders were given up, want more than %v", got, owner.MinOrderTimeout)
	}
	for range 100 {
		r.Observe(200 * time.Millisecond)
		r.Observe(100 * time.Millisecond)
	}
	if got := r.Timeout(); got < 2*200*time.Millisecond || got >= owner.MaxOrderTimeout {
		t.Errorf("%v where answers take 0.1 to 0.2 s, want twice that and less than %v", got, owner.MaxOrderTimeout)
	}
	for range 100 {
		r.Observe(400 * time.Millisecond)
		r.Observe(200 * time.Millisecond)
	}
	if got := r.Timeout(); got != owner.MaxOrderTimeout {
		t.Errorf("%v where answers take 0.2 to 0.4 s, want %v", got, owner.MaxOrderTimeout)
	}
}
