// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// A job moves in two writes, since its progress lies in another part of the store than
// its pin. The first marks its progress as moving, under the fence: an owner that has
// been replaced can't begin a move any more. The second rewrites the pin and the job
// for the new shard, on condition of no cancel and of the pin's version as it was read
// before the mark was written. Whoever owns the shard and finds a mark beside the job
// gives the pin a new version, after which the second write can't take effect any more;
// then the pin tells where the job is.

// Shards knows the other shards of a service.
type Shards interface {
	// BetterShard returns the shard to which a job of this one should move, if any does.
	BetterShard(from cluster.ShardID, load float64, m scheduler.Move) (cluster.ShardID, bool)
	// JobMoved notes a job's new shards, one a part; their owners find the parts in the store.
	JobMoved(parts []cluster.Job)
	// JobState returns a job's state wherever it is; found is false if there is no such job.
	JobState(ctx context.Context, service, id string) (state cluster.State, found bool, err error)
	// QueryGang asks another shard's owner how a gang stands there, and StartGang lets it
	// start members of one.
	QueryGang(ctx context.Context, shard cluster.ShardID, ask scheduler.GangAsk) (scheduler.GangState, error)
	StartGang(ctx context.Context, shard cluster.ShardID, start scheduler.GangStart) error
}

const (
	// moveEvery is how often jobs that should move are looked for, and movesAtOnce
	// how many go in one round: the loads that decide are up to a second old.
	moveEvery   = 200 * time.Millisecond
	movesAtOnce = 4
	// settlePause is the pause between two tries to find out how a move ended.
	settlePause = 100 * time.Millisecond
)

// moveLoop moves jobs of which nothing has run to shards that have room for them.
func (o *Owner) moveLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		tables.Sleep(ctx, moveEvery)
		if o.spill.isOn() {
			// A move needs the part of the progress.
			continue
		}
		o.mu.Lock()
		moves, load := o.shard.Moves(time.Now(), movesAtOnce), o.shard.Load()
		o.mu.Unlock()
		var round sync.WaitGroup
		for _, m := range moves {
			if m.Join {
				round.Go(func() { o.move(ctx, m, o.cfg.Shard) })
			} else if to, ok := o.Shards.BetterShard(o.cfg.Shard, load, m); ok {
				round.Go(func() { o.move(ctx, m, to) })
			} else {
				o.stays(m.Job.ID)
			}
		}
		round.Wait()
	}
	return nil
}

// stays lets a job start here for which no better shard was found.
func (o *Owner) stays(id string) {
	o.do(func(s *scheduler.Shard, _ time.Time) { s.Stays(id) })
}

// returns lets a job start here that may have been marked; its mark is replaced.
func (o *Owner) returns(id string) {
	o.do(func(s *scheduler.Shard, _ time.Time) {
		s.Stays(id)
		s.Rewrite(id)
	})
}

// gone forgets a job that has another shard now, and removes its mark.
func (o *Owner) gone(id string) {
	mark := ProgressRow(o.cfg.Shard, id)
	o.do(func(s *scheduler.Shard, now time.Time) { mark.Version = s.Moved(now, id) })
	if mark.Version > 0 {
		o.litter.add(mark)
	}
}

// move moves a job to another shard, or makes it one that all shards run together, or
// finds out that it stays as it is. It reads the pin once: the
// next moves wait for it, and nothing of the job starts here until it is answered.
func (o *Owner) move(ctx context.Context, m scheduler.Move, to cluster.ShardID) {
	pin, here, err := o.seePin(ctx, m.Job.ID)
	if !here {
		if ctx.Err() == nil {
			o.Log.Warn("job not moved", events.JobMoved, zap.String("job", m.Job.ID),
				zap.String("cause", "its pin names another shard, or can't be read"), zap.Error(err))
			o.stays(m.Job.ID)
		}
		return
	}
	if !o.mark(ctx, m) {
		o.returns(m.Job.ID)
		return
	}
	parts := o.moved(m, to)
	moved, err := o.repin(ctx, parts, pin)
	if err != nil && tables.IsUnknown(err) {
		o.group.Go(func() error {
			o.endMove(ctx, parts, m, !o.staysPinned(ctx, m.Job.ID), err)
			return nil
		})
		return
	}
	o.endMove(ctx, parts, m, moved, err)
}

// moved returns a job, in its parts, as it is once it has moved.
func (o *Owner) moved(m scheduler.Move, to cluster.ShardID) []cluster.Job {
	job := m.Job
	job.Shard = to.Index
	job.Moves++
	job.Epoch, job.Carried = 0, m.Carried
	if m.Join {
		return job.Join(&o.cfg.Layout)
	}
	return []cluster.Job{job}
}

// endMove notes whether a job has moved.
func (o *Owner) endMove(ctx context.Context, parts []cluster.Job, m scheduler.Move, moved bool, err error) {
	if ctx.Err() != nil {
		return
	}
	job := parts[0]
	o.Log.Info("job moves", events.JobMoved, zap.String("job", job.ID), zap.Stringer("from", o.cfg.Shard), zap.Stringer("to", job.ShardID()),
		zap.Int("shards", len(parts)), zap.Bool("moved", moved), zap.Bool("unfit", m.Unfit), zap.Int("moves", job.Moves), zap.Error(err))
	switch {
	case !moved:
		o.returns(job.ID)
		return
	case m.Join:
		o.do(func(s *scheduler.Shard, _ time.Time) { s.Joined(job) })
	default:
		o.gone(job.ID)
	}
	o.Shards.JobMoved(parts)
}

// mark writes that a job is moving, on condition that this owner still has the shard
// and of the progress that it knows, and reports whether that is in the store. A mark
// without an answer may still get there, and does no harm: the job's next progress
// replaces it, and a later owner that finds it learns from the pin that the job stayed.
func (o *Owner) mark(ctx context.Context, m scheduler.Move) bool {
	row := ProgressRow(o.cfg.Shard, m.Job.ID)
	row.Version = m.Version
	txn := tables.Txn{If: []tables.Row{o.fence(), row}}
	row.Value = m.Mark
	txn.Put = []tables.Row{row}
	res, err := o.Tables.Commit(ctx, txn)
	switch {
	case err != nil:
		o.Log.Info("job not marked", events.StoreFailed, zap.String("job", m.Job.ID), zap.Error(err))
		return false
	case res.Committed:
		o.do(func(s *scheduler.Shard, _ time.Time) { s.SetVersion(m.Job.ID, res.Version) })
		return true
	}
	o.noteVersion(m.Job.ID, res.Current)
	return false
}

// noteVersion takes the version of a job's progress from rows that differed.
func (o *Owner) noteVersion(id string, current []tables.Row) {
	if o.fenceLost(current) {
		o.EndOwnership(lostToAnother)
		return
	}
	for _, r := range current {
		if r.Key == id {
			o.do(func(s *scheduler.Shard, _ time.Time) { s.SetVersion(id, r.Version) })
		}
	}
}

// repin writes the rows of a marked job for its new shard, on condition of its pin, and
// reports whether the job is there. Where the error is an unknown outcome, that is open.
func (o *Owner) repin(ctx context.Context, parts []cluster.Job, pin tables.Row) (moved bool, err error) {
	job := parts[0]
	txn, err := AcceptJobTxn(parts)
	if err != nil {
		o.Log.Error("job not moved", events.JobMoved, zap.String("job", job.ID), zap.Error(err))
		return false, err
	}
	part, from := JobPart(job.Service, job.ID), TableJobs(o.cfg.Shard)
	txn.If[0].Version = pin.Version
	txn.If = append(txn.If, tables.Row{Table: from, Part: part, Key: job.ID + cancelSuffix})
	if job.ShardID() != o.cfg.Shard {
		txn.Remove = []tables.Row{{Table: from, Part: part, Key: job.ID}}
	}
	res, err := o.Tables.Commit(ctx, txn)
	// Without an unknown try on its way, what is refused stays so.
	return err == nil && res.Committed, err
}

// readPin reads a job's pin until it is answered; found is false if the pin doesn't
// name this shard.
func (o *Owner) readPin(ctx context.Context, id string) (pin tables.Row, found bool) {
	for ctx.Err() == nil {
		pin, found, err := o.seePin(ctx, id)
		if err == nil {
			return pin, found
		}
		tables.Sleep(ctx, settlePause)
	}
	return tables.Row{}, false
}

// seePin is readPin tried once.
func (o *Owner) seePin(ctx context.Context, id string) (pin tables.Row, found bool, err error) {
	row, ok, err := tables.Get(ctx, o.Tables, TablePins, JobPart(o.cfg.Shard.Service, id), id)
	return row, err == nil && ok && o.isPinnedHere(row), err
}

// isPinnedHere reports whether a job's pin names this shard alone. One that can't be read is
// taken for it, since the job's row is here, and replaced.
func (o *Owner) isPinnedHere(row tables.Row) bool {
	at, err := ParsePin(o.cfg.Shard.Service, row)
	if err != nil {
		o.Log.Warn("pin replaced", events.RowSkipped, zap.String("job", row.Key), zap.Error(err))
		return true
	}
	return len(at) == 1 && at[0] == o.cfg.Shard
}

// staysPinned finds out whether a marked job has stayed in this shard: its pin gets a
// new version, so that a move that is still on its way can't take effect any more.
func (o *Owner) staysPinned(ctx context.Context, id string) bool {
	for ctx.Err() == nil {
		seen, here := o.readPin(ctx, id)
		if !here {
			return false
		}
		row := pinTo(id, []cluster.ShardID{o.cfg.Shard})
		res, err := o.Tables.Commit(ctx, tables.Txn{If: []tables.Row{seen}, Put: []tables.Row{row}})
		if err == nil && res.Committed {
			return true
		}
		tables.Sleep(ctx, settlePause)
	}
	return false
}

// settleMarked finds out where a job is that an earlier owner had marked as moving.
func (o *Owner) settleMarked(ctx context.Context, id string) {
	stays := o.staysPinned(ctx, id)
	if ctx.Err() != nil {
		return
	}
	o.Log.Info("move settled", events.JobMoved, zap.String("job", id), zap.Stringer("from", o.cfg.Shard), zap.Bool("moved", !stays))
	if stays {
		o.returns(id)
		return
	}
	o.gone(id)
	o.takeJoined(ctx, id)
}

// takeJoined takes a job again that left this shard, as it was known here, only to be run
// by all shards together: the feed may have shown its new row while the old one was known.
func (o *Owner) takeJoined(ctx context.Context, id string) {
	for ctx.Err() == nil {
		row, found, err := tables.Get(ctx, o.Tables, TableJobs(o.cfg.Shard), JobPart(o.cfg.Shard.Service, id), id)
		switch {
		case err != nil:
			tables.Sleep(ctx, settlePause)
			continue
		case !found:
			return
		}
		if job, ok := o.decodeJob(row); ok {
			o.do(func(s *scheduler.Shard, now time.Time) { s.AddJob(now, job, nil, true) })
		}
		return
	}
}
