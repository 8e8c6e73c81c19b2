// SPDX-License-Identifier: Apache-2.0

package requests

import "sync"

// Budget bounds retries to a share of recent requests, so that a fault does not
// grow into a storm of retries.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	most   float64
}

// NewBudget returns a budget that saves up to most retries.
func NewBudget(most float64) *Budget { return &Budget{tokens: most, most: most} }

// Deposit adds a request's share of a retry.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.most, b.tokens+share)
}

// Withdraw spends a retry if there is one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
