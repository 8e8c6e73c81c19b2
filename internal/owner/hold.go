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
	// holdWait is how long a worker may keep a hold open for an end: so old may
	// the progress of its runs be.
	holdWait = 500 * time.Millisecond
	// holdSlack is how much longer an answer may take.
	holdSlack = 300 * time.Millisecond
	// holdGap is the least pause between two holds: ends that come together are
	// reported together. A worker doesn't wait while it has ends that are not
	// confirmed, so holdUnconfirmed keeps from asking until they are persisted.
	holdGap         = 8 * time.Millisecond
	holdUnconfirmed = 60 * time.Millisecond
	// holdRetry is the pause after a hold that failed.
	holdRetry = 200 * time.Millisecond
)

func (o *Owner) startHolding(ctx context.Context, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.holding[id] {
		return
	}
	o.holding[id] = true
	o.group.Go(func() error {
		o.holdLoop(ctx, id)
		o.mu.Lock()
		delete(o.holding, id)
		o.mu.Unlock()
		return nil
	})
}

// holdLoop keeps one worker's lease and takes its reports until its life is over.
func (o *Owner) holdLoop(ctx context.Context, id string) {
	wait, failures := time.Duration(0), 0
	for ctx.Err() == nil {
		o.mu.Lock()
		seq, order, lastSeen, ok := o.shard.HoldSent(time.Now(), id)
		o.mu.Unlock()
		if !ok {
			return
		}
		knows := order.DeadlineMS != 0
		if !knows {
			// What it runs has to be known first.
			wait = 0
		}
		c, cancel := context.WithTimeout(ctx, wait+holdSlack)
		report, reply := o.Workers.Hold(c, order, lastSeen, wait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		switch reply {
		case cluster.ReplyOK:
			o.do(func(s *scheduler.Shard, now time.Time) { s.Observe(now, id, seq, report) })
			wait, failures = 0, 0
			if knows {
				wait = holdWait
			}
			o.pauseHold(ctx, id)
			continue
		case cluster.ReplyFence:
			if o.isOutdated(order) {
				continue
			}
			o.EndOwnership("worker " + id + " has seen a higher epoch")
			return
		case cluster.ReplyOtherLife:
			o.do(func(s *scheduler.Shard, now time.Time) { s.WorkerOver(now, id, "another life answers at its address") })
			return
		}
		notify(o.listMachines)
		wait = 0
		failures++
		if failures > 1 || reply == cluster.ReplyNotSent {
			o.do(func(s *scheduler.Shard, now time.Time) { s.HoldFailed(now, id, string(reply)) })
			tables.Sleep(ctx, holdRetry)
		}
	}
}

// pauseHold waits between two holds, longer while ends are not persisted yet.
func (o *Owner) pauseHold(ctx context.Context, id string) {
	tables.Sleep(ctx, holdGap)
	for waited := holdGap; waited < holdUnconfirmed; waited += holdGap {
		o.mu.Lock()
		open := o.shard.Unconfirmed(id)
		o.mu.Unlock()
		if !open {
			return
		}
		tables.Sleep(ctx, holdGap)
	}
}
