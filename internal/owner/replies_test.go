// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/owner"
)

// TestReplyTimes checks that the wait for an answer follows the answers, within bounds.
func TestReplyTimes(t *testing.T) {
	var r owner.ReplyTimes
	if got := r.Limit(); got != owner.OrderFirst {
		t.Errorf("%v before the first answer, want %v", got, owner.OrderFirst)
	}
	for range 100 {
		r.Note(4 * time.Millisecond)
	}
	if got := r.Limit(); got != owner.OrderLeast {
		t.Errorf("%v where answers take 4 ms, want %v", got, owner.OrderLeast)
	}
	for range 10 {
		r.Note(r.Limit())
	}
	if got := r.Limit(); got <= owner.OrderLeast {
		t.Errorf("%v after many orders were given up, want more than %v", got, owner.OrderLeast)
	}
	for range 100 {
		r.Note(200 * time.Millisecond)
		r.Note(100 * time.Millisecond)
	}
	if got := r.Limit(); got < 2*200*time.Millisecond || got >= owner.OrderMost {
		t.Errorf("%v where answers take 0.1 to 0.2 s, want twice that and less than %v", got, owner.OrderMost)
	}
	for range 100 {
		r.Note(400 * time.Millisecond)
		r.Note(200 * time.Millisecond)
	}
	if got := r.Limit(); got != owner.OrderMost {
		t.Errorf("%v where answers take 0.2 to 0.4 s, want %v", got, owner.OrderMost)
	}
}
