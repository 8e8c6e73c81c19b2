// SPDX-License-Identifier: Apache-2.0

package recent_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/recent"
)

// TestMax checks that a Max rises at once, keeps larger samples, and falls with time.
func TestMax(t *testing.T) {
	var m recent.Max
	now := time.Unix(1000, 0)
	if got := m.Value(now); got != 0 {
		t.Errorf("%v without samples, want 0", got)
	}
	m.Observe(now, 100*time.Millisecond)
	m.Observe(now, 20*time.Millisecond)
	if got := m.Value(now); got != 100*time.Millisecond {
		t.Errorf("%v after samples of 100 and 20 ms, want 100 ms", got)
	}
	if got := m.Value(now.Add(2 * time.Second)); got != 50*time.Millisecond {
		t.Errorf("%v after 2 s, want half", got)
	}
	m.Observe(now.Add(10*time.Second), 20*time.Millisecond)
	if got := m.Value(now.Add(10 * time.Second)); got != 20*time.Millisecond {
		t.Errorf("%v after 10 s and a sample of 20 ms, want that", got)
	}
}
