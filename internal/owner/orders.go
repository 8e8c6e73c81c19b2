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
	// maxSchedulePause is the longest pause between two scheduling rounds.
	maxSchedulePause = 100 * time.Millisecond
	// minSchedulePause is the shortest pause, so that events that arrive together are handled
	// together. A pause is at least schedulePauseFactor times as long as the round before it: a
	// round looks at everything that waits, and would otherwise take the CPU from orders and
	// lease renewals just when the queue is longest.
	minSchedulePause    = 4 * time.Millisecond
	schedulePauseFactor = 4
	// maxUnansweredStarts is how many starts may be unanswered before the scheduler starts no more.
	// An owner that is short of processor time answers nobody while its orders queue up, gives
	// them up and has to stop them. At 5 ms an answer it is 19,000 starts a second.
	maxUnansweredStarts = 96
)

// scheduleLoop runs the scheduler in rounds and executes its commands.
func (o *Owner) scheduleLoop(ctx context.Context) error {
	tick := time.NewTicker(maxSchedulePause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wakeScheduler:
		case <-tick.C:
		}
		o.mu.Lock()
		began := time.Now()
		o.shard.LimitStarts(maxUnansweredStarts - int(o.unansweredStarts.Load()))
		commands := o.shard.Schedule(began)
		took := time.Since(began)
		if o.shard.TakeNewlyBlocked() {
			notify(o.wakeTeamParts)
		}
		o.requestConfirmation()
		o.mu.Unlock()
		for _, c := range commands {
			o.execute(ctx, c)
		}
		o.advice.Dispatch()
		notify(o.wakePersist)
		tables.Sleep(ctx, max(minSchedulePause, schedulePauseFactor*took))
	}
}

// execute carries out one command of the scheduler.
func (o *Owner) execute(ctx context.Context, c scheduler.Command) {
	switch c := c.(type) {
	case scheduler.Start:
		o.unansweredStarts.Add(1)
		go o.sendOrder(ctx, c.Order, func(ctx context.Context) cluster.Reply { return o.Workers.Start(ctx, c.StartOrder) },
			func(s *scheduler.Shard, now time.Time, r cluster.Reply) {
				o.unansweredStarts.Add(-1)
				s.StartReplied(now, c.Worker, c.Task, c.Run, r)
			})
	case scheduler.FailJob:
		o.group.Go(func() error { o.failJob(ctx, c.Job); return nil })
	case scheduler.Stop:
		go o.sendOrder(ctx, c.Order, func(ctx context.Context) cluster.Reply { return o.Workers.Stop(ctx, c.Order, c.Task, c.Run) },
			func(s *scheduler.Shard, now time.Time, r cluster.Reply) {
				s.StopReplied(now, c.Worker, c.Task, c.Run, r)
			})
	case scheduler.SetPace:
		go o.sendOrder(ctx, c.Order, func(ctx context.Context) cluster.Reply { return o.Workers.Pace(ctx, c.Order, c.Task, c.Run, c.Percent) },
			func(s *scheduler.Shard, now time.Time, r cluster.Reply) {
				s.PaceReplied(now, c.Worker, c.Task, c.Run, r)
			})
	case scheduler.Poll:
		go o.pollWorker(ctx, c.Worker)
	case scheduler.RequestAdvice:
		o.advice.Add(c)
	}
}

// pollWorker asks a worker what it runs, independently of a hold that may be open there.
func (o *Owner) pollWorker(ctx context.Context, id string) {
	o.mu.Lock()
	seq, order, lastSeen, ok := o.shard.BeginHold(time.Now(), id)
	o.mu.Unlock()
	if !ok {
		return
	}
	report, reply := o.hold(ctx, order, lastSeen, 0, false)
	if ctx.Err() == nil && reply == cluster.ReplyOK {
		o.updateShard(func(s *scheduler.Shard, now time.Time) { s.Observe(now, id, seq, report) })
	}
}

// isOutdatedOrder reports whether an order was meant for an earlier incarnation of its worker;
// the current one refuses it.
func (o *Owner) isOutdatedOrder(order cluster.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.OrderOutdated(order)
}

// sendOrder sends one order and passes its reply to onReply. If the ownership ends meanwhile,
// there is no reply to pass on.
func (o *Owner) sendOrder(ctx context.Context, to cluster.Order, send func(context.Context) cluster.Reply, onReply func(*scheduler.Shard, time.Time, cluster.Reply)) {
	c, cancel := context.WithTimeout(ctx, max(o.replyTimes.Timeout(), o.workerDelay.timeout(0, maxLateOrderTimeout)))
	defer cancel()
	sent := time.Now()
	reply := send(c)
	if ctx.Err() != nil {
		return
	}
	if reply == cluster.ReplyOK || reply == cluster.ReplyUnknown {
		o.replyTimes.Observe(time.Since(sent))
	}
	if reply == cluster.ReplyNotSent {
		notify(o.wakeMachineList)
	}
	if reply == cluster.ReplyFenced && !o.isOutdatedOrder(to) {
		o.EndOwnership("worker " + to.Worker + " has seen a higher epoch")
		return
	}
	o.updateShard(func(s *scheduler.Shard, now time.Time) { onReply(s, now, reply) })
}
