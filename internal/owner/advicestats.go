// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/scheduler"
)

// This file tells how long calls for advice wait for a node, and how long they are open there.

const (
	// adviceCheckInterval is how often the calls for advice are looked at.
	adviceCheckInterval = 500 * time.Millisecond
	// minAdviceWaitLog is from which wait for a node, or beyond the expected duration of an open call, the
	// calls are reported, and adviceLogInterval the time between two reports.
	minAdviceWaitLog  = time.Second
	adviceLogInterval = 2 * time.Second
)

// adviceTotals are totals of the calls that have ended.
type adviceTotals struct {
	calls, failed int64
	// waited is for how long they waited for a node, and busy for how long they were open.
	waited, busy time.Duration
}

// add counts a call.
func (t *adviceTotals) add(a Advice) {
	t.calls++
	if a.Err != nil {
		t.failed++
	}
	t.waited += a.Waited
	t.busy += a.Took
}

// AdviceStats describe the calls for advice of a shard.
type AdviceStats struct {
	// Queued is how many calls wait for a node, and QueuedLong how many of them are long ones.
	Queued, QueuedLong int
	// Open is how many are open, and OpenLong how many of them are long ones.
	Open, OpenLong int
	// Nodes is how many nodes make calls, ShortOnly how many of them take no long ones, and BackingOff how
	// many are avoided since a call through them has failed.
	Nodes, ShortOnly, BackingOff int
	// OldestQueued is the step whose call has waited longest for a node, and QueuedFor for how long.
	OldestQueued scheduler.StepID
	OldestRank   scheduler.Rank
	QueuedFor    time.Duration
	// MostOverdue is the step whose open call exceeds its expected duration by most, OverdueBy by how much,
	// and OverdueNode the node through which it is made.
	MostOverdue scheduler.StepID
	OverdueBy   time.Duration
	OverdueNode string
	// Slowness is how many times longer than its policy states the service takes.
	Slowness float64
	// Calls have ended so far, of which Failed without an answer.
	Calls, Failed int64
	// Waited and Busy are the sums of the times for which these waited for a node and were open.
	Waited, Busy time.Duration
}

// Stats describes the calls now.
func (q *AdviceQueue) Stats() AdviceStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	t := q.totals
	stats := AdviceStats{Queued: len(q.pending), Open: len(q.open), Calls: t.calls, Failed: t.failed, Waited: t.waited, Busy: t.busy, Slowness: q.speed.ratio()}
	for _, p := range q.pending {
		if isLongCall(p.RequestAdvice) {
			stats.QueuedLong++
		}
		if waited := now.Sub(p.queuedAt); waited > stats.QueuedFor {
			stats.OldestQueued, stats.OldestRank, stats.QueuedFor = p.Step, p.Rank, waited
		}
	}
	for c := range q.open {
		if isLongCall(c.RequestAdvice) {
			stats.OpenLong++
		}
		if over := now.Sub(c.sentAt) - q.speed.expected(c.RequestAdvice); over > stats.OverdueBy {
			stats.MostOverdue, stats.OverdueBy, stats.OverdueNode = c.Step, over, c.adviser.Name()
		}
	}
	advisers := q.advisers()
	stats.Nodes, stats.ShortOnly = len(advisers), numShortOnly(len(advisers))
	for _, a := range advisers {
		if now.Before(q.loadOf(a).backoffUntil) {
			stats.BackingOff++
		}
	}
	return stats
}

// AdviceStats describes the calls for advice of the shard.
func (o *Owner) AdviceStats() AdviceStats {
	o.mu.Lock()
	q := o.advice
	o.mu.Unlock()
	if q == nil {
		return AdviceStats{}
	}
	return q.Stats()
}

// reportAdviceLoop reports calls for advice that wait long for a node, or are open for longer than they
// should be.
func (o *Owner) reportAdviceLoop(ctx context.Context) error {
	tick := time.NewTicker(adviceCheckInterval)
	defer tick.Stop()
	var loggedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			if now.Sub(loggedAt) < adviceLogInterval {
				continue
			}
			if a := o.advice.Stats(); max(a.QueuedFor, a.OverdueBy) >= minAdviceWaitLog {
				loggedAt = now
				o.Log.Warn("calls for advice are late", a.fields()...)
			}
		}
	}
}

// fields returns the description for the log.
func (a *AdviceStats) fields() []zap.Field {
	list := []zap.Field{
		events.AdviceLate, zap.Int("queued", a.Queued), zap.Int("queued_long", a.QueuedLong), zap.Int("open", a.Open), zap.Int("open_long", a.OpenLong),
		zap.Int("nodes", a.Nodes), zap.Int("short_only", a.ShortOnly), zap.Int("backing_off", a.BackingOff),
		zap.Float64("slowness", a.Slowness), zap.Int64("calls", a.Calls), zap.Int64("failed", a.Failed), zap.Duration("waited", a.Waited), zap.Duration("busy", a.Busy),
	}
	if a.QueuedFor > 0 {
		list = append(list, zap.String("job", a.OldestQueued.Job), zap.Int("step", a.OldestQueued.Step), zap.Duration("queued_for", a.QueuedFor), zap.Int("priority", a.OldestRank.Priority))
	}
	if a.OverdueBy > 0 {
		list = append(list, zap.String("overdue_job", a.MostOverdue.Job), zap.Duration("overdue_by", a.OverdueBy), zap.String("through", a.OverdueNode))
	}
	return list
}
