// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// minHoldWait is how long a worker may keep a hold open while it waits for a run to end.
	// The progress known of its runs is at most this old. While answers are late it is up to
	// maxHoldWait, the platform's limit: a quarter of a worker's lease.
	minHoldWait = 500 * time.Millisecond
	maxHoldWait = 2 * time.Second
	// holdTimeoutSlack is added to the wait to get the timeout of a hold, and up to
	// maxHoldTimeoutSlack while answers are late.
	holdTimeoutSlack    = 300 * time.Millisecond
	maxHoldTimeoutSlack = 1500 * time.Millisecond
	// maxParallelAsks is how many workers are asked at once what they run. A new owner asks all of
	// its workers over new connections, and answers no pings meanwhile if its host is slow.
	maxParallelAsks = 16
	// minHoldPause is the shortest pause between two holds, so that runs that end together are
	// reported together. A worker answers at once while some of its ended runs are not
	// confirmed, so the next hold waits up to maxUnconfirmedPause for them to be persisted.
	minHoldPause        = 8 * time.Millisecond
	maxUnconfirmedPause = 60 * time.Millisecond
	// holdRetryDelay is the pause after a failed hold.
	holdRetryDelay = 200 * time.Millisecond
)

// startHoldLoop starts the hold loop of a worker, unless it is running.
func (o *Owner) startHoldLoop(ctx context.Context, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.holdLoops[id] {
		return
	}
	o.holdLoops[id] = true
	o.group.Go(func() error {
		o.holdLoop(ctx, id)
		o.mu.Lock()
		delete(o.holdLoops, id)
		o.mu.Unlock()
		return nil
	})
}

// holdLoop renews one worker's lease and takes its reports until that incarnation of the worker
// has ended.
func (o *Owner) holdLoop(ctx context.Context, id string) {
	wait, failures := time.Duration(0), 0
	for ctx.Err() == nil {
		releaseSlot := func() {}
		if wait == 0 {
			releaseSlot = acquireSlot(ctx, o.askSlots)
		}
		o.mu.Lock()
		seq, order, lastSeen, ok := o.shard.BeginHold(time.Now(), id)
		o.mu.Unlock()
		if !ok {
			releaseSlot()
			return
		}
		renewsLease := order.DeadlineMS != 0
		if !renewsLease {
			// The worker has not answered yet, or is silent: ask at once what it runs.
			wait = 0
		}
		report, reply := o.hold(ctx, order, lastSeen, wait, failures == 0)
		releaseSlot()
		if ctx.Err() != nil {
			return
		}
		switch reply {
		case cluster.ReplyOK:
			o.updateShard(func(s *scheduler.Shard, now time.Time) { s.Observe(now, id, seq, report) })
			wait, failures = 0, 0
			if renewsLease {
				wait = o.workerDelay.holdWait()
			}
			o.pauseBetweenHolds(ctx, id)
			continue
		case cluster.ReplyFenced:
			if o.isOutdatedOrder(order) {
				continue
			}
			o.EndOwnership("worker " + id + " has seen a higher epoch")
			return
		case cluster.ReplyOtherIncarnation:
			o.updateShard(func(s *scheduler.Shard, now time.Time) { s.WorkerEnded(now, id, scheduler.EvidenceOtherIncarnation) })
			return
		}
		o.updateShard(func(s *scheduler.Shard, now time.Time) { s.ContactLost(now, id) })
		notify(o.wakeMachineList)
		wait = 0
		failures++
		if failures > 1 || reply == cluster.ReplyNotSent {
			o.updateShard(func(s *scheduler.Shard, now time.Time) { s.HoldFailed(now, id, string(reply)) })
			tables.Sleep(ctx, holdRetryDelay)
		}
	}
}

// hold makes one hold. Whether it is answered in time tells how slow this node is, unless the worker
// has been silent before.
func (o *Owner) hold(ctx context.Context, order cluster.Order, lastSeen int64, wait time.Duration, telling bool) (cluster.Report, cluster.Reply) {
	timeout := wait + o.workerDelay.timeout(holdTimeoutSlack, maxHoldTimeoutSlack)
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	report, reply := o.Workers.Hold(c, order, lastSeen, wait)
	// An answer that comes before the wait is over tells of the end of a run.
	if took := time.Since(began); telling && took >= wait && (reply == cluster.ReplyOK || reply == cluster.ReplyUnknown) {
		o.workerDelay.Observe(took - wait)
	}
	return report, reply
}

// pauseBetweenHolds waits before the next hold, longer while ended runs are not persisted yet.
func (o *Owner) pauseBetweenHolds(ctx context.Context, id string) {
	tables.Sleep(ctx, minHoldPause)
	for waited := minHoldPause; waited < maxUnconfirmedPause; waited += minHoldPause {
		o.mu.Lock()
		unconfirmed := o.shard.HasUnconfirmedEnds(id)
		o.mu.Unlock()
		if !unconfirmed {
			return
		}
		tables.Sleep(ctx, minHoldPause)
	}
}
