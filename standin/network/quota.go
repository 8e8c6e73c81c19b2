// SPDX-License-Identifier: Apache-2.0

package network

import "time"

// quotaPeriod is after what time a host's processor quota begins anew.
const quotaPeriod = 100 * time.Millisecond

// quota is a model of a host with a quota of processor: what it sends and receives is
// charged, and when the quota is spent the host stands still until the next period.
type quota struct {
	// budget is what may be used in each period, and cost what each piece of a message
	// takes that is sent or received.
	budget, cost time.Duration
	// period is the beginning of the one that is being used up, and used how much of it is.
	period time.Time
	used   time.Duration
}

// SetCPUQuota lets a host use a share of a processor, of which each message that it sends or
// receives, or piece of a large one, takes cost.
func (n *Network) SetCPUQuota(host string, share float64, cost time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quotas[host] = &quota{budget: time.Duration(share * float64(quotaPeriod)), cost: cost}
}

// take uses up what one message costs, and returns when the host has worked on it.
func (q *quota) take(now time.Time) time.Time {
	if current := now.Truncate(quotaPeriod); current.After(q.period) {
		q.period, q.used = current, 0
	}
	for q.used+q.cost > q.budget {
		q.period, q.used = q.period.Add(quotaPeriod), 0
	}
	q.used += q.cost
	if q.period.After(now) {
		return q.period.Add(q.used)
	}
	return now
}
