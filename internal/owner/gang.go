// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// gangEvery is how often the other shards' owners are asked about a gang that they run
	// with this one: room that has come free in all of them is taken this much later.
	gangEvery = 100 * time.Millisecond
	// gangPatience is how long the answer of one is waited for: an owner that has used up
	// its processor quota stands still for 0.1 s.
	gangPatience = 300 * time.Millisecond
	// guestsEvery is how often the shard that speaks for a job is asked whether it has ended.
	guestsEvery = time.Second
)

// gangLoop asks the other shards about the gangs that this owner leads, and lets them start.
func (o *Owner) gangLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		tables.Sleep(ctx, gangEvery)
		o.mu.Lock()
		rounds := o.shard.GangRounds(time.Now())
		o.mu.Unlock()
		var all sync.WaitGroup
		for _, r := range rounds {
			all.Go(func() { o.gangRound(ctx, r) })
		}
		all.Wait()
	}
	return nil
}

// gangRound asks all other shards about one gang, and starts it if all are ready.
func (o *Owner) gangRound(ctx context.Context, r scheduler.GangRound) {
	answers := make([]*scheduler.GangState, len(r.Asks))
	eachPart(r.Asks, func(i int, p scheduler.GangPart[scheduler.GangAsk]) {
		c, cancel := context.WithTimeout(ctx, gangPatience)
		defer cancel()
		if state, err := o.Shards.QueryGang(c, p.Shard, p.What); err == nil {
			answers[i] = &state
		} else if ctx.Err() == nil {
			o.Log.Info("gang not answered for", events.PeerLost, zap.String("job", r.Step.Job), zap.Stringer("shard", p.Shard), zap.Error(err))
		}
	})
	var starts []scheduler.GangPart[scheduler.GangStart]
	o.do(func(s *scheduler.Shard, now time.Time) { starts = s.GangAnswered(now, r.Step, answers) })
	eachPart(starts, func(_ int, p scheduler.GangPart[scheduler.GangStart]) {
		c, cancel := context.WithTimeout(ctx, gangPatience)
		defer cancel()
		if err := o.Shards.StartGang(c, p.Shard, p.What); err != nil && ctx.Err() == nil {
			o.Log.Info("members of a gang not started", events.PeerLost, zap.String("job", r.Step.Job), zap.Stringer("shard", p.Shard), zap.Error(err))
			o.do(func(s *scheduler.Shard, now time.Time) { s.GangNotStarted(now, r.Step, p.What.Run) })
		}
	})
}

// eachPart calls fn for all parts at once, and waits.
func eachPart[T any](parts []scheduler.GangPart[T], fn func(int, scheduler.GangPart[T])) {
	var all sync.WaitGroup
	for i, p := range parts {
		all.Go(func() { fn(i, p) })
	}
	all.Wait()
}

// HandleGangQuery answers another shard's owner.
func (o *Owner) HandleGangQuery(ask scheduler.GangAsk) (state scheduler.GangState, ok bool) {
	o.do(func(s *scheduler.Shard, now time.Time) {
		if o.loaded {
			state, ok = s.GangAsked(now, ask)
		}
	})
	return state, ok
}

// HandleGangStart starts members of a gang for another shard's owner, or none.
func (o *Owner) HandleGangStart(start scheduler.GangStart) error {
	ok := false
	o.do(func(s *scheduler.Shard, now time.Time) { ok = o.loaded && s.GangStartAsked(now, start) })
	if !ok {
		return &Error{"start gang", KindRefused, errors.New("it can't start here as ordered")}
	}
	return nil
}

// guestLoop ends jobs of which this shard runs members of gangs once they have ended. A
// cancel comes by itself; that the gang has succeeded is known to the shard that speaks for
// the job, also if this one's members were lost with their workers at that moment.
func (o *Owner) guestLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		tables.Sleep(ctx, guestsEvery)
		o.mu.Lock()
		guests := o.shard.GuestJobs()
		o.mu.Unlock()
		for _, id := range guests {
			o.settleGuest(ctx, id)
		}
	}
	return nil
}

// settleGuest ends one such job if it has ended.
func (o *Owner) settleGuest(ctx context.Context, id string) {
	c, cancel := context.WithTimeout(ctx, guestsEvery)
	defer cancel()
	state, found, err := o.Shards.JobState(c, o.cfg.Shard.Service, id)
	switch {
	case err != nil:
		return // It is asked again.
	case !found:
		state = cluster.StateCancelled
	case !state.Finished():
		return
	}
	o.do(func(s *scheduler.Shard, now time.Time) { s.GuestEnded(now, id, state) })
}
