// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/recent"
	"switchbank.example/switchbank/internal/tables"
)

// delayMeter measures how late this process runs, by how late its timers fire: it may have used up
// its CPU quota, or have been stopped.
type delayMeter struct {
	mu     sync.Mutex
	recent recent.Max
	// lateAt is when the process last ran late by more than a ping may take.
	lateAt time.Time
}

// sleep waits until d has passed or ctx is done, and measures how late that was.
func (m *delayMeter) sleep(ctx context.Context, d time.Duration) {
	began := time.Now()
	tables.Sleep(ctx, d)
	now := time.Now()
	late := max(0, now.Sub(began)-d)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recent.Observe(now, late)
	if late > watchPingTimeout {
		m.lateAt = now
	}
}

// value returns the longest recent delay.
func (m *delayMeter) value() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recent.Value(time.Now())
}

// lastLate returns when the process last ran late by more than a ping may take.
func (m *delayMeter) lastLate() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lateAt
}
