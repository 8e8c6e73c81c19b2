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
	// gangPollInterval is how often the other shards' owners are asked about a gang that they run
	// with this one: room that has come free in all of them is taken this much later.
	gangPollInterval = 100 * time.Millisecond
	// gangCallTimeout is how long the answer of one is waited for: an owner that has used up
	// its processor quota stands still for 0.1 s.
	gangCallTimeout = 300 * time.Millisecond
	// remoteJobPollInterval is how often the shard that speaks for a job is asked whether it has ended.
	remoteJobPollInterval = time.Second
)

// gangLoop asks the other shards about the gangs that this owner leads, and lets them start.
func (o *Owner) gangLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		tables.Sleep(ctx, gangPollInterval)
		o.mu.Lock()
		rounds := o.shard.GangPolls(time.Now())
		o.mu.Unlock()
		var wg sync.WaitGroup
		for _, r := range rounds {
			wg.Go(func() { o.pollGang(ctx, r) })
		}
		wg.Wait()
	}
	return nil
}

// pollGang asks all other shards about one gang, and starts it if all are ready.
func (o *Owner) pollGang(ctx context.Context, r scheduler.GangPoll) {
	answers := make([]*scheduler.GangState, len(r.Queries))
	forEachPart(r.Queries, func(i int, p scheduler.ShardMessage[scheduler.GangQuery]) {
		c, cancel := context.WithTimeout(ctx, gangCallTimeout)
		defer cancel()
		if state, err := o.Shards.QueryGang(c, p.Shard, p.Body); err == nil {
			answers[i] = &state
		} else if ctx.Err() == nil {
			o.Log.Info("gang not answered for", events.PeerLost, zap.String("job", r.Step.Job), zap.Stringer("shard", p.Shard), zap.Error(err))
		}
	})
	var starts []scheduler.ShardMessage[scheduler.GangStart]
	o.updateShard(func(s *scheduler.Shard, now time.Time) { starts = s.GangStatesReceived(now, r.Step, answers) })
	forEachPart(starts, func(_ int, p scheduler.ShardMessage[scheduler.GangStart]) {
		c, cancel := context.WithTimeout(ctx, gangCallTimeout)
		defer cancel()
		if err := o.Shards.StartGang(c, p.Shard, p.Body); err != nil && ctx.Err() == nil {
			o.Log.Info("members of a gang not started", events.PeerLost, zap.String("job", r.Step.Job), zap.Stringer("shard", p.Shard), zap.Error(err))
			o.updateShard(func(s *scheduler.Shard, now time.Time) { s.GangNotStarted(now, r.Step, p.Body.Run) })
		}
	})
}

// forEachPart calls fn for all parts at once, and waits.
func forEachPart[T any](parts []scheduler.ShardMessage[T], fn func(int, scheduler.ShardMessage[T])) {
	var all sync.WaitGroup
	for i, p := range parts {
		all.Go(func() { fn(i, p) })
	}
	all.Wait()
}

// HandleGangQuery answers another shard's owner.
func (o *Owner) HandleGangQuery(ask scheduler.GangQuery) (state scheduler.GangState, ok bool) {
	o.updateShard(func(s *scheduler.Shard, now time.Time) {
		if o.loaded {
			state, ok = s.AnswerGangQuery(now, ask)
		}
	})
	return state, ok
}

// HandleGangStart starts members of a gang for another shard's owner, or none.
func (o *Owner) HandleGangStart(start scheduler.GangStart) error {
	ok := false
	o.updateShard(func(s *scheduler.Shard, now time.Time) { ok = o.loaded && s.StartGangMembers(now, start) })
	if !ok {
		return &Error{"start gang", KindRefused, errors.New("it can't start here as ordered")}
	}
	return nil
}

// remoteJobLoop ends jobs of which this shard runs members of gangs once they have ended. A
// cancel comes by itself; that the gang has succeeded is known to the shard that speaks for
// the job, also if this one's members were lost with their workers at that moment.
func (o *Owner) remoteJobLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		tables.Sleep(ctx, remoteJobPollInterval)
		o.mu.Lock()
		jobIDs := o.shard.ParticipantJobs()
		o.mu.Unlock()
		for _, id := range jobIDs {
			o.endRemoteJob(ctx, id)
		}
	}
	return nil
}

// endRemoteJob ends one such job if it has ended.
func (o *Owner) endRemoteJob(ctx context.Context, id string) {
	c, cancel := context.WithTimeout(ctx, remoteJobPollInterval)
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
	o.updateShard(func(s *scheduler.Shard, now time.Time) { s.ParticipantJobEnded(now, id, state) })
}
