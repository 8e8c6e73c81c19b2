// SPDX-License-Identifier: Apache-2.0

package node

import (
	"fmt"
	"time"

	"switchbank.example/switchbank/internal/requests"
	"switchbank.example/switchbank/internal/shard"
)

// counters are the node's metrics; docs/metrics.md lists them.
type counters struct{ n *Node }

func newCounters(n *Node) counters {
	gauge := func(name string, fn func() float64) { n.metrics.NewGauge(name, fn) }
	gauge("switchbank_lease_held", func() float64 { return boolToFloat(n.lease.Held()) })
	gauge("switchbank_store_down", func() float64 { return boolToFloat(n.journal.Down()) })
	gauge(`switchbank_shards_owned{kind="job"}`, func() float64 { return float64(n.shards.Owned(shard.KindJob)) })
	gauge(`switchbank_shards_owned{kind="worker"}`, func() float64 { return float64(n.shards.Owned(shard.KindWorker)) })
	gauge("switchbank_shards_unowned", func() float64 { return float64(n.shards.Unowned()) })
	gauge("switchbank_bundle_version", func() float64 { head, _ := n.follower.state(); return float64(head.Version) })
	gauge("switchbank_journal_writes_total", func() float64 { return float64(n.journal.Counts().Writes) })
	gauge("switchbank_journal_records_total", func() float64 { return float64(n.journal.Counts().Records) })
	gauge("switchbank_tasks_held", func() float64 { return float64(len(n.pools.Attempts())) })
	return counters{n}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// refused counts a refused call, by reason.
func (c counters) refused(reason string) {
	c.n.metrics.GetOrCreateCounter(fmt.Sprintf("switchbank_refused_total{reason=%q}", reason)).Inc()
}

// request counts a request that ended, and records its duration.
func (c counters) request(res requests.Result, elapsed time.Duration) {
	c.n.metrics.GetOrCreateCounter(fmt.Sprintf("switchbank_requests_total{outcome=%q,reason=%q}", res.Outcome, res.Reason)).Inc()
	c.n.metrics.GetOrCreateHistogram(fmt.Sprintf("switchbank_request_seconds{outcome=%q}", res.Outcome)).Update(elapsed.Seconds())
}
