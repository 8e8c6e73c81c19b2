// SPDX-License-Identifier: Apache-2.0

package requests

import "sync"

// RetryBudget limits retries to a share of recent requests, so that a fault does not
// cause a retry storm.
type RetryBudget struct {
	mu       sync.Mutex
	tokens   float64
	capacity float64
}

// NewRetryBudget returns a full budget that holds up to capacity retries.
func NewRetryBudget(capacity float64) *RetryBudget {
	return &RetryBudget{tokens: capacity, capacity: capacity}
}

// Deposit adds the share of a retry that one request earns.
func (b *RetryBudget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+share)
}

// Withdraw spends one retry and reports whether the budget had one left.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
