// SPDX-License-Identifier: Apache-2.0

package requests

import "sync"

// Budget limits retries to a share of recent requests, so that a fault does not
// cause a retry storm.
type Budget struct {
	mu       sync.Mutex
	tokens   float64
	capacity float64
}

// NewBudget returns a full budget that holds up to capacity retries.
func NewBudget(capacity float64) *Budget { return &Budget{tokens: capacity, capacity: capacity} }

// Deposit adds the share of a retry that one request earns.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+share)
}

// Withdraw spends one retry and reports whether the budget had one left.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
