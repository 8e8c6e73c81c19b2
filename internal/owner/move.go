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

// A job moves in two writes, since its progress and its pin lie in different parts of the
// store. The first marks its progress as moving, conditional on the fence, so that an owner
// that has been replaced can't begin a move. The second rewrites the pin and the job for the
// new shard, on condition that there is no cancel and that the pin has the version that was
// read before the mark was written. An owner that finds a mark beside a job gives the pin a new
// version, so that a pending second write can no longer take effect; then the pin tells where
// the job is.

// Shards gives access to the other shards of a service.
type Shards interface {
	// BetterShard returns the shard to which a job of this shard should move, if there is one.
	BetterShard(from cluster.ShardID, load float64, m scheduler.Move) (cluster.ShardID, bool)
	// JobMoved notes a job's new shards, one for each part of the job. Their owners find the
	// parts in the store.
	JobMoved(parts []cluster.Job)
	// JobState returns a job's state, whichever shard has it; found is false if there is no
	// such job.
	JobState(ctx context.Context, service, id string) (state cluster.State, found bool, err error)
	// QueryGang asks another shard's owner about the state of a gang there, and StartGang makes
	// it start members of one.
	QueryGang(ctx context.Context, shard cluster.ShardID, query scheduler.GangQuery) (scheduler.GangState, error)
	StartGang(ctx context.Context, shard cluster.ShardID, start scheduler.GangStart) error
	// RequestTeamParts asks another shard's owner for parts of teams' limits.
	RequestTeamParts(ctx context.Context, shard cluster.ShardID, req TeamPartsRequest) (scheduler.GivenParts, error)
}

const (
	// moveInterval is the pause between two rounds of moves, and maxMovesPerRound the most jobs
	// that move in one: the loads on which a move is decided are up to a second old.
	moveInterval     = 200 * time.Millisecond
	maxMovesPerRound = 4
	// moveRetryDelay is the pause between attempts to find out how a move ended.
	moveRetryDelay = 100 * time.Millisecond
)

// moveLoop moves jobs of which nothing runs to shards that are less loaded or can run them.
func (o *Owner) moveLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		tables.Sleep(ctx, moveInterval)
		if o.fallback.active() {
			// A move writes to the part of the progress, which doesn't answer now.
			continue
		}
		o.mu.Lock()
		moves, load := o.shard.BeginMoves(time.Now(), maxMovesPerRound), o.shard.Load()
		o.mu.Unlock()
		var wg sync.WaitGroup
		for _, m := range moves {
			to, ok := o.destination(&m, load)
			if !ok {
				o.keepJob(&m.Job)
				continue
			}
			wg.Go(func() { o.moveJob(ctx, m, to) })
		}
		wg.Wait()
	}
	return nil
}

// spreadMaxLoad is the load below which a shard has room for each gang that fits it at all: one
// that waits there does so for another reason than load, such as few approved workers.
const spreadMaxLoad = 0.7

// destination returns the shard to which a job moves, which is this one for a job that all shards
// run together from now on, and sets m.Joint for a gang that has waited for long and that they
// should run together. ok is false if the job stays.
func (o *Owner) destination(m *scheduler.Move, load float64) (to cluster.ShardID, ok bool) {
	if m.Joint {
		return o.cfg.Shard, true
	}
	to, ok = o.Shards.BetterShard(o.cfg.Shard, load, *m)
	if m.Spread && (ok || load < spreadMaxLoad) && o.cfg.Layout.Shards > 1 {
		m.Joint = true
		return o.cfg.Shard, true
	}
	return to, ok
}

// keepJob lets a job start here because no better shard was found.
func (o *Owner) keepJob(job *cluster.Job) {
	o.updateShard(func(s *scheduler.Shard, _ time.Time) { s.CancelMove(job.ID, job.Moves) })
}

// keepMarkedJob lets a job start here that may have been marked as moving, and replaces the
// mark. moves is how often the job had moved before.
func (o *Owner) keepMarkedJob(id string, moves int) {
	o.updateShard(func(s *scheduler.Shard, _ time.Time) {
		if s.CancelMove(id, moves) {
			s.MarkDirty(id)
		}
	})
}

// forgetMovedJob drops a job that has moved to another shard, and deletes its mark. moves is how
// often it had moved before. If it has come back, the feed shows its row.
func (o *Owner) forgetMovedJob(id string, moves int) {
	mark := ProgressRow(o.cfg.Shard, id)
	o.updateShard(func(s *scheduler.Shard, now time.Time) { mark.Version = s.CompleteMove(now, id, moves) })
	if mark.Version > 0 {
		o.deleteQueue.add(mark)
	}
}

// moveJob moves a job to another shard, or spreads it over all shards, unless it finds that the
// job has to stay. It reads the pin once and doesn't retry: the next moves wait for it, and
// nothing of the job starts here meanwhile.
func (o *Owner) moveJob(ctx context.Context, m scheduler.Move, to cluster.ShardID) {
	pin, here, err := o.readPinOnce(ctx, &m.Job)
	if !here {
		if ctx.Err() == nil {
			o.Log.Warn("moving job failed", events.JobMoved, zap.String("job", m.Job.ID),
				zap.String("cause", "its pin names another shard or a later move, or can't be read"), zap.Error(err))
			o.keepJob(&m.Job)
		}
		return
	}
	if !o.writeMark(ctx, m) {
		o.keepMarkedJob(m.Job.ID, m.Job.Moves)
		return
	}
	parts := o.movedParts(m, to)
	moved, err := o.commitMove(ctx, parts, pin)
	if err != nil && tables.IsUnknown(err) {
		o.group.Go(func() error {
			o.finishMove(ctx, parts, m, !o.resolveMove(ctx, &m.Job), err)
			return nil
		})
		return
	}
	o.finishMove(ctx, parts, m, moved, err)
}

// movedParts returns the parts of a job as they are after its move.
func (o *Owner) movedParts(m scheduler.Move, to cluster.ShardID) []cluster.Job {
	job := m.Job
	job.Shard = to.Index
	job.Moves++
	job.Epoch, job.CarriedProgress = 0, m.Carried
	if m.Joint {
		return job.SplitJoint(&o.cfg.Layout)
	}
	return []cluster.Job{job}
}

// finishMove records whether a job has moved.
func (o *Owner) finishMove(ctx context.Context, parts []cluster.Job, m scheduler.Move, moved bool, err error) {
	if ctx.Err() != nil {
		return
	}
	job := parts[0]
	o.Log.Info("job move finished", events.JobMoved, zap.String("job", job.ID), zap.Stringer("from", o.cfg.Shard), zap.Stringer("to", job.ShardID()),
		zap.Int("shards", len(parts)), zap.Bool("moved", moved), zap.Bool("unfit", m.Unfit), zap.Int("moves", job.Moves), zap.Error(err))
	switch {
	case !moved:
		o.keepMarkedJob(job.ID, m.Job.Moves)
		return
	case m.Joint:
		o.updateShard(func(s *scheduler.Shard, _ time.Time) { s.SetJoint(job) })
	default:
		o.forgetMovedJob(job.ID, m.Job.Moves)
	}
	o.Shards.JobMoved(parts)
}

// writeMark marks a job's progress as moving, on condition of the fence and of the progress
// version that this owner knows, and reports whether the mark is in the store. A mark whose
// write got no answer may still take effect and does no harm: the job's next progress replaces
// it, and a later owner that finds it learns from the pin that the job stayed.
func (o *Owner) writeMark(ctx context.Context, m scheduler.Move) bool {
	row := ProgressRow(o.cfg.Shard, m.Job.ID)
	row.Version = m.Version
	txn := tables.Txn{If: []tables.Row{o.fence(), row}}
	row.Value = m.Mark
	txn.Put = []tables.Row{row}
	res, err := o.Tables.Commit(ctx, txn)
	switch {
	case err != nil:
		o.Log.Info("marking job as moving failed", events.StoreFailed, zap.String("job", m.Job.ID), zap.Error(err))
		return false
	case res.Committed:
		o.updateShard(func(s *scheduler.Shard, _ time.Time) { s.SetVersion(m.Job.ID, res.Version) })
		return true
	}
	o.updateVersion(m.Job.ID, res.Current)
	return false
}

// updateVersion takes the version of a job's progress from the rows returned by a failed write.
func (o *Owner) updateVersion(id string, current []tables.Row) {
	if o.fenceLost(current) {
		o.EndOwnership(fenceChangedEvidence)
		return
	}
	for _, r := range current {
		if r.Key == id {
			o.updateShard(func(s *scheduler.Shard, _ time.Time) { s.SetVersion(id, r.Version) })
		}
	}
}

// commitMove rewrites the rows of a marked job for its new shard, on condition of its pin, and
// reports whether the job has moved. After an error of unknown outcome, it may still move.
func (o *Owner) commitMove(ctx context.Context, parts []cluster.Job, pin tables.Row) (moved bool, err error) {
	job := parts[0]
	txn, err := AcceptJobTxn(parts)
	if err != nil {
		o.Log.Error("moving job failed", events.JobMoved, zap.String("job", job.ID), zap.Error(err))
		return false, err
	}
	txn.If[0].Version = pin.Version
	txn.If = append(txn.If, cancelRow(o.cfg.Shard, job.ID))
	if job.ShardID() != o.cfg.Shard {
		txn.Remove = []tables.Row{JobRow(o.cfg.Shard, job.ID)}
	}
	res, err := o.Tables.Commit(ctx, txn)
	// No earlier attempt is pending, so a refusal is final.
	return err == nil && res.Committed, err
}

// readPin reads a job's pin and retries until that succeeds; found is false if the pin doesn't
// name this shard, or does so after more moves.
func (o *Owner) readPin(ctx context.Context, job *cluster.Job) (pin tables.Row, found bool) {
	for ctx.Err() == nil {
		pin, found, err := o.readPinOnce(ctx, job)
		if err == nil {
			return pin, found
		}
		tables.Sleep(ctx, moveRetryDelay)
	}
	return tables.Row{}, false
}

// readPinOnce is readPin without retries.
func (o *Owner) readPinOnce(ctx context.Context, job *cluster.Job) (pin tables.Row, found bool, err error) {
	row, ok, err := tables.Get(ctx, o.Tables, TablePins, JobPart(job.ID), job.ID)
	return row, err == nil && ok && o.isPinnedHere(row, job.Moves), err
}

// isPinnedHere reports whether a job's pin names only this shard, after the given number of
// moves. An unreadable pin counts as such, since the job's row is in this shard, and is replaced.
func (o *Owner) isPinnedHere(row tables.Row, moves int) bool {
	pin, err := ParsePin(row)
	if err != nil {
		o.Log.Warn("unreadable pin is replaced", events.RowSkipped, zap.String("job", row.Key), zap.Error(err))
		return true
	}
	return len(pin.Shards) == 1 && pin.Shards[0] == o.cfg.Shard && pin.Moves == moves
}

// resolveMove reports whether a marked job has stayed in this shard. If so, its pin has got a
// new version, so that a pending move can't take effect any more. A pin that names this shard
// after more moves shows that the job has left and come back.
func (o *Owner) resolveMove(ctx context.Context, job *cluster.Job) bool {
	for ctx.Err() == nil {
		seen, here := o.readPin(ctx, job)
		if !here {
			return false
		}
		row := newPinRow(job.ID, Pin{Shards: []cluster.ShardID{o.cfg.Shard}, Team: o.teamOf(job.ID, seen), Moves: job.Moves})
		res, err := o.Tables.Commit(ctx, tables.Txn{If: []tables.Row{seen}, Put: []tables.Row{row}})
		if err == nil && res.Committed {
			return true
		}
		tables.Sleep(ctx, moveRetryDelay)
	}
	return false
}

// teamOf returns the team of a job by its pin. A pin that can't be read is replaced by the owner
// that has the job.
func (o *Owner) teamOf(id string, row tables.Row) string {
	if pin, err := ParsePin(row); err == nil {
		return pin.Team
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.JobTeam(id)
}

// resolveMarkedJob finds out where a job is that an earlier owner marked as moving.
func (o *Owner) resolveMarkedJob(ctx context.Context, job *cluster.Job) {
	id, stayed := job.ID, o.resolveMove(ctx, job)
	if ctx.Err() != nil {
		return
	}
	o.Log.Info("move resolved", events.JobMoved, zap.String("job", id), zap.Stringer("from", o.cfg.Shard), zap.Bool("moved", !stayed))
	if stayed {
		o.keepMarkedJob(id, job.Moves)
		return
	}
	o.forgetMovedJob(id, job.Moves)
	o.reloadMovedJob(ctx, id)
}

// reloadMovedJob adds a job again that has left this shard, but has come back since, or left only
// to be run by all shards together: the feed may have shown its new row while the old job was
// still known here.
func (o *Owner) reloadMovedJob(ctx context.Context, id string) {
	for ctx.Err() == nil {
		key := JobRow(o.cfg.Shard, id)
		row, found, err := tables.Get(ctx, o.Tables, key.Table, key.Part, key.Key)
		switch {
		case err != nil:
			tables.Sleep(ctx, moveRetryDelay)
			continue
		case !found:
			return
		}
		if job, ok := o.decodeJob(row); ok {
			o.updateShard(func(s *scheduler.Shard, now time.Time) { s.AddJob(now, job, nil, false) })
		}
		return
	}
}
