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
	// gangPollInterval is how often the owners of other shards are polled about a gang that
	// spans shards. It delays the use of capacity that has become free in all of them.
	gangPollInterval = 100 * time.Millisecond
	// gangCallTimeout bounds one call to another owner, which stalls for 0.1 s when it has used
	// up its CPU quota.
	gangCallTimeout = 300 * time.Millisecond
	// participantPollInterval is how often the shard that leads a job is asked whether the job
	// has ended.
	participantPollInterval = time.Second
)

// gangLoop polls the other shards about the gangs that this owner leads and starts those that
// are ready.
func (o *Owner) gangLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		tables.Sleep(ctx, gangPollInterval)
		o.mu.Lock()
		polls := o.shard.GangPolls(time.Now())
		o.mu.Unlock()
		var wg sync.WaitGroup
		for _, r := range polls {
			wg.Go(func() { o.pollGang(ctx, r) })
		}
		wg.Wait()
	}
	return nil
}

// pollGang asks all other shards about one gang and starts it if all are ready.
func (o *Owner) pollGang(ctx context.Context, r scheduler.GangPoll) {
	answers := make([]*scheduler.GangState, len(r.Queries))
	forEachMessage(r.Queries, func(i int, p scheduler.ShardMessage[scheduler.GangQuery]) {
		c, cancel := context.WithTimeout(ctx, gangCallTimeout)
		defer cancel()
		if state, err := o.Shards.QueryGang(c, p.Shard, p.Body); err == nil {
			answers[i] = &state
		} else if ctx.Err() == nil {
			o.Log.Info("gang query failed", events.PeerLost, zap.String("job", r.Step.Job), zap.Stringer("shard", p.Shard), zap.Error(err))
		}
	})
	var starts []scheduler.ShardMessage[scheduler.GangStart]
	o.updateShard(func(s *scheduler.Shard, now time.Time) { starts = s.GangStatesReceived(now, r.Step, answers) })
	forEachMessage(starts, func(_ int, p scheduler.ShardMessage[scheduler.GangStart]) {
		c, cancel := context.WithTimeout(ctx, gangCallTimeout)
		defer cancel()
		if err := o.Shards.StartGang(c, p.Shard, p.Body); err != nil && ctx.Err() == nil {
			o.Log.Info("starting members of a gang failed", events.PeerLost, zap.String("job", r.Step.Job), zap.Stringer("shard", p.Shard), zap.Error(err))
			o.updateShard(func(s *scheduler.Shard, now time.Time) { s.GangNotStarted(now, r.Step, p.Body.Run) })
		}
	})
}

// forEachMessage calls fn for all messages concurrently and waits.
func forEachMessage[T any](messages []scheduler.ShardMessage[T], fn func(int, scheduler.ShardMessage[T])) {
	var wg sync.WaitGroup
	for i, p := range messages {
		wg.Go(func() { fn(i, p) })
	}
	wg.Wait()
}

// HandleGangQuery answers another shard's owner about a gang.
func (o *Owner) HandleGangQuery(query scheduler.GangQuery) (state scheduler.GangState, ok bool) {
	o.updateShard(func(s *scheduler.Shard, now time.Time) {
		if o.loaded {
			state, ok = s.AnswerGangQuery(now, query)
		}
	})
	return state, ok
}

// HandleGangStart starts members of a gang for another shard's owner: all of them or none.
func (o *Owner) HandleGangStart(start scheduler.GangStart) error {
	ok := false
	o.updateShard(func(s *scheduler.Shard, now time.Time) { ok = o.loaded && s.StartGangMembers(now, start) })
	if !ok {
		return &Error{"start gang", KindRefused, errors.New("it can't start here as ordered")}
	}
	return nil
}

// participantLoop ends jobs of which this shard runs gang members for another shard, once they
// have ended. Cancels also reach this shard, but only the shard that leads the job knows
// whether a gang has succeeded: members here may have been lost with their workers just then.
func (o *Owner) participantLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		tables.Sleep(ctx, participantPollInterval)
		o.mu.Lock()
		jobIDs := o.shard.ParticipantJobs()
		o.mu.Unlock()
		for _, id := range jobIDs {
			o.endParticipantJob(ctx, id)
		}
	}
	return nil
}

// endParticipantJob ends such a job if it has ended in the shard that leads it.
func (o *Owner) endParticipantJob(ctx context.Context, id string) {
	c, cancel := context.WithTimeout(ctx, participantPollInterval)
	defer cancel()
	state, found, err := o.Shards.JobState(c, o.cfg.Shard.Service, id)
	switch {
	case err != nil:
		return // The next round asks again.
	case !found:
		state = cluster.StateCancelled
	case !state.Finished():
		return
	}
	o.updateShard(func(s *scheduler.Shard, now time.Time) { s.ParticipantJobEnded(now, id, state) })
}
