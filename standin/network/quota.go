// SPDX-License-Identifier: Apache-2.0

package network

import "time"

// quotaPeriod is the time after which a host gets its processor quota anew.
const quotaPeriod = 100 * time.Millisecond

// cpuQuota simulates a host with a quota of processor time, as a container has one: messages
// that it sends and receives are charged, and once the quota is used up the host is throttled
// until the next period.
type cpuQuota struct {
	// budget is the processor time that may be used in each period, and cost what each chunk
	// of a message takes that is sent or received.
	budget, cost time.Duration
	// periodStart is the start of the period that is being charged, and used the time that has
	// been charged to it. The period may lie in the future.
	periodStart time.Time
	used        time.Duration
}

// SetCPUQuota limits a host to a share of a processor. Each message that it sends or receives,
// or each chunk of a large one, takes cost of it.
func (n *Network) SetCPUQuota(host string, share float64, cost time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quotas[host] = &cpuQuota{budget: time.Duration(share * float64(quotaPeriod)), cost: cost}
}

// charge charges one chunk of a message, and returns when the host has processed it.
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
