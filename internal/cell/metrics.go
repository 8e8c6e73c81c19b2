// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"net/http"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
)

// registerMetrics sets up the gauges; docs/metrics.md lists all metrics.
func (n *Node) registerMetrics() {
	gauge := func(name string, of func(scheduler.Counts) int64) {
		n.metrics.NewGauge(name, func() float64 { return float64(of(n.counts())) })
	}
	n.metrics.NewGauge("switchbank_shards_run", func() float64 { return float64(len(n.ownedShards())) })
	n.metrics.NewGauge("switchbank_ownership_unconfirmed_seconds", n.longestUnconfirmed)
	n.metrics.NewGauge("switchbank_own_delay_seconds", func() float64 { return n.ownDelay.value().Seconds() })
	n.metrics.NewGauge("switchbank_takeover_workers_awaited", func() float64 {
		return n.sumOverOwned(func(o *owner.Owner) int { return o.TakeoverWait().Workers })
	})
	n.metrics.NewGauge("switchbank_takeover_tasks_held_back", func() float64 {
		return n.sumOverOwned(func(o *owner.Owner) int { return o.TakeoverWait().Tasks })
	})
	n.metrics.NewGauge("switchbank_peers_up", func() float64 { return float64(n.peers.countUp()) })
	n.metrics.NewGauge("switchbank_store_silent_seconds", func() float64 {
		return n.store.silentFor().Seconds()
	})
	n.metrics.NewGauge("switchbank_store_parts_away", func() float64 { return float64(n.store.parts.countAway()) })
	n.metrics.NewGauge("switchbank_config_version", func() float64 { return float64(versionOf(n.Config())) })
	n.metrics.NewGauge("switchbank_config_behind_seconds", func() float64 { return n.configLag.duration(versionOf(n.Config())).Seconds() })
	n.metrics.NewGauge("switchbank_directory_read", n.directory.reads)
	n.metrics.NewGauge("switchbank_admission_refused_jobs", func() float64 { return float64(n.admitter.memory.Len()) })
	n.metrics.NewGauge("switchbank_data_centres_evacuated", func() float64 { return float64(len(n.evacuations.dataCentres())) })
	n.registerIntakeMetrics()
	gauge("switchbank_runs_started", func(c scheduler.Counts) int64 { return c.Starts })
	gauge("switchbank_runs_done", func(c scheduler.Counts) int64 { return c.Done })
	gauge("switchbank_runs_failed", func(c scheduler.Counts) int64 { return c.Failed })
	gauge("switchbank_runs_lost", func(c scheduler.Counts) int64 { return c.Lost })
	gauge("switchbank_runs_stopped", func(c scheduler.Counts) int64 { return c.Stops })
	gauge("switchbank_runs_preempted", func(c scheduler.Counts) int64 { return c.Preempted })
	gauge("switchbank_runs_copied", func(c scheduler.Counts) int64 { return c.Copies })
	gauge("switchbank_advice_calls", func(c scheduler.Counts) int64 { return c.AdviceCalls })
	n.metrics.NewGauge("switchbank_advice_failed", func() float64 {
		return n.sumOverOwned(func(o *owner.Owner) int { return int(o.AdviceStats().Failed) })
	})
	n.metrics.NewGauge("switchbank_advice_queued", func() float64 {
		return n.sumOverOwned(func(o *owner.Owner) int { return o.AdviceStats().Queued })
	})
	n.metrics.NewGauge("switchbank_advice_open", func() float64 {
		return n.sumOverOwned(func(o *owner.Owner) int { return o.AdviceStats().Open })
	})
	n.metrics.NewGauge("switchbank_advice_oldest_wait_seconds", n.longestAdviceWait)
	gauge("switchbank_runs_crashed", func(c scheduler.Counts) int64 { return c.CrashedRuns })
	gauge("switchbank_runs_above_limit", func(c scheduler.Counts) int64 { return c.AboveLimit })
	gauge("switchbank_progress_refused", func(c scheduler.Counts) int64 { return c.RefusedProgress })
	gauge("switchbank_jobs_crashing", func(c scheduler.Counts) int64 { return c.CrashingJobs })
	n.metrics.NewGauge("switchbank_workers_aside", func() float64 { return n.sumOverOwned((*owner.Owner).QuarantinedWorkers) })
	n.metrics.NewGauge("switchbank_jobs_stalled", func() float64 { return n.sumOverOwned((*owner.Owner).StalledJobs) })
	gauge("switchbank_workers_set_aside", func(c scheduler.Counts) int64 { return c.Quarantines })
}

// longestUnconfirmed returns the time, in seconds, since the ownership of a shard that runs here was
// last confirmed, the longest one of all shards.
func (n *Node) longestUnconfirmed() float64 {
	var longest time.Duration
	for _, o := range n.ownedShards() {
		longest = max(longest, o.ConfirmationAge())
	}
	return longest.Seconds()
}

// longestAdviceWait returns for how long, in seconds, a call for advice has waited for a node, the
// longest one of all shards.
func (n *Node) longestAdviceWait() float64 {
	var longest time.Duration
	for _, o := range n.ownedShards() {
		longest = max(longest, o.AdviceStats().QueuedFor)
	}
	return longest.Seconds()
}

// counts returns the sums of the counters of the shards that run here. They start at 0 with
// each ownership.
func (n *Node) counts() scheduler.Counts {
	var sum scheduler.Counts
	for _, o := range n.ownedShards() {
		c := o.Counts()
		sum.Starts += c.Starts
		sum.Done += c.Done
		sum.Failed += c.Failed
		sum.Lost += c.Lost
		sum.Stops += c.Stops
		sum.Preempted += c.Preempted
		sum.Copies += c.Copies
		sum.AdviceCalls += c.AdviceCalls
		sum.Quarantines += c.Quarantines
		sum.CrashedRuns += c.CrashedRuns
		sum.CrashingJobs += c.CrashingJobs
		sum.AboveLimit += c.AboveLimit
		sum.RefusedProgress += c.RefusedProgress
	}
	return sum
}

// sumOverOwned returns the sum of a count over the shards that run here.
func (n *Node) sumOverOwned(count func(*owner.Owner) int) float64 {
	sum := 0
	for _, o := range n.ownedShards() {
		sum += count(o)
	}
	return float64(sum)
}

// Observe records a caller's call and its duration.
func (n *Node) Observe(kind string, answer Answer, took time.Duration) {
	n.metrics.GetOrCreateCounter(`switchbank_calls_total{kind="` + kind + `",answer="` + string(answer) + `"}`).Inc()
	n.metrics.GetOrCreateHistogram(`switchbank_call_seconds{kind="` + kind + `"}`).Update(took.Seconds())
}

// countPartRefusal counts a caller's call that ends early because its part of the store is away.
func (n *Node) countPartRefusal(kind string) {
	n.metrics.GetOrCreateCounter(`switchbank_store_part_refusals_total{kind="` + kind + `"}`).Inc()
}

// countInvalidEntry counts an entry of the directory that describes no valid worker.
func (n *Node) countInvalidEntry(reason cluster.Kind) {
	n.metrics.GetOrCreateCounter(`switchbank_worker_entries_refused_total{reason="` + string(reason) + `"}`).Inc()
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	n.updateUsageMetrics()
	n.metrics.WritePrometheus(w)
	n.writeTeamMetrics(w)
	n.writeForecastMetrics(w)
}

// updateUsageMetrics copies the counters of this node's outgoing calls into its metrics.
func (n *Node) updateUsageMetrics() {
	set := func(name, path string, v int64) {
		n.metrics.GetOrCreateCounter(name + `{path="` + path + `"}`).Set(uint64(v))
	}
	n.Usage.Each(func(path string, p *conns.PathUsage) {
		set("switchbank_out_calls_total", path, p.Calls.Load())
		set("switchbank_out_sent_bytes_total", path, p.Sent.Load())
		set("switchbank_out_received_bytes_total", path, p.Received.Load())
	})
}
