// SPDX-License-Identifier: Apache-2.0

package network

import "time"

// quotaPeriod is after what time a host's processor quota begins anew.
const quotaPeriod = 100 * time.Millisecond

// cpuQuota is a model of a host with a cpuQuota of processor: what it sends and receives is
// charged, and when the cpuQuota is spent the host stands still until the next period.
type cpuQuota struct {
	// budget is what may be used in each period, and cost what each piece of a message
	// takes that is sent or received.
	budget, cost time.Duration
	// periodStart is the beginning of the one that is being used up, and used how much of it is.
	periodStart time.Time
	used        time.Duration
}

// SetCPUQuota lets a host use a share of a processor, of which each message that it sends or
// receives, or piece of a large one, takes cost.
func (n *Network) SetCPUQuota(host string, share float64, cost time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quotas[host] = &cpuQuota{budget: time.Duration(share * float64(quotaPeriod)), cost: cost}
}

// charge uses up what one message costs, and returns when the host has worked on it.
func (q *cpuQuota) charge(now time.Time) time.Time {
	if current := now.Truncate(quotaPeriod); current.After(q.periodStart) {
		q.periodStart, q.used = current, 0
	}
	for q.used+q.cost > q.budget {
		q.periodStart, q.used = q.periodStart.Add(quotaPeriod), 0
	}
	q.used += q.cost
	if q.periodStart.After(now) {
		return q.periodStart.Add(q.used)
	}
	return now
}
