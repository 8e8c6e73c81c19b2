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
	// maxHoldWait is how long a worker may keep a hold open while it waits for a run to end.
	// The progress known of its runs is at most this old.
	maxHoldWait = 500 * time.Millisecond
	// holdTimeoutSlack is added to the wait to get the timeout of a hold.
	holdTimeoutSlack = 300 * time.Millisecond
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
		o.mu.Lock()
		seq, order, lastSeen, ok := o.shard.BeginHold(time.Now(), id)
		o.mu.Unlock()
		if !ok {
			return
		}
		renewsLease := order.DeadlineMS != 0
		if !renewsLease {
			// The worker has not answered yet, or is silent: ask at once what it runs.
			wait = 0
		}
		c, cancel := context.WithTimeout(ctx, wait+holdTimeoutSlack)
		report, reply := o.Workers.Hold(c, order, lastSeen, wait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		switch reply {
		case cluster.ReplyOK:
			o.updateShard(func(s *scheduler.Shard, now time.Time) { s.Observe(now, id, seq, report) })
			wait, failures = 0, 0
			if renewsLease {
				wait = maxHoldWait
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
