// SPDX-License-Identifier: Apache-2.0

package forecast

import (
	"encoding/json"
	"sync"
	"time"
)

// reportInterval is the least time between two reports of invalid summaries of one owner.
const reportInterval = time.Minute

// Received keeps the latest valid summary of each shard, by the shard's name. The zero value is
// empty. It is safe for concurrent use.
type Received struct {
	mu sync.Mutex
	// latest is by shard, and reportedAt by owner.
	latest     map[string]receivedSummary
	reportedAt map[string]time.Time
}

type receivedSummary struct {
	summary *Summary
	at      time.Time
}

// Receive records a summary that an owner reported for a shard; one of an earlier epoch than the
// latest is ignored. The error tells that the summary was discarded, and report that this should
// be logged.
func (r *Received) Receive(now time.Time, owner, shard string, data json.RawMessage) (report bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, err := Decode(data)
	if err != nil {
		return r.mayReport(now, owner), err
	}
	if latest, ok := r.latest[shard]; ok && s.Epoch < latest.summary.Epoch {
		return false, nil
	}
	if r.latest == nil {
		r.latest = make(map[string]receivedSummary)
	}
	r.latest[shard] = receivedSummary{s, now}
	return false, nil
}

// mayReport limits the reports to one per owner and reportInterval. The caller holds mu.
func (r *Received) mayReport(now time.Time, owner string) bool {
	if at, ok := r.reportedAt[owner]; ok && now.Sub(at) < reportInterval {
		return false
	}
	if r.reportedAt == nil {
		r.reportedAt = make(map[string]time.Time)
	}
	for o, at := range r.reportedAt {
		if now.Sub(at) >= reportInterval {
			delete(r.reportedAt, o)
		}
	}
	r.reportedAt[owner] = now
	return true
}

// Latest returns the latest summary of a shard and the time since its receipt, or nil if there is
// none of the given epoch or a later one.
func (r *Received) Latest(now time.Time, shard string, epoch int64) (*Summary, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest, ok := r.latest[shard]
	if !ok || latest.summary.Epoch < epoch {
		return nil, 0
	}
	return latest.summary, now.Sub(latest.at)
}
