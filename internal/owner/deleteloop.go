// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

// deleteInterval is how often the rows of finished jobs are removed, a part at a
// time; until then they only make a takeover read more.
const deleteInterval = 500 * time.Millisecond

// deleteLoop removes the rows that nothing needs any more.
func (o *Owner) deleteLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		tables.Sleep(ctx, deleteInterval)
		o.mu.Lock()
		droppedJobs := o.shard.TakeForgottenJobs()
		o.mu.Unlock()
		for _, id := range droppedJobs {
			o.deleteQueue.add(pinRow(o.cfg.Shard, id))
		}
		if rows := o.deleteQueue.takeBatch(); len(rows) > 0 {
			o.deleteRows(ctx, rows)
		}
	}
	return nil
}

// deleteRows removes rows of one part, those that have a version only if it is still
// theirs, and tries again later if that fails. If the fence
// is lost, the rows are left to the next owner, which finds them when it loads. A
// finished job's progress goes after its pin: without progress a job counts as pending.
func (o *Owner) deleteRows(ctx context.Context, rows []tables.Row) {
	txn := tables.Txn{Remove: rows}
	if rows[0].Part == ProgressPart(o.cfg.Shard) {
		txn.If = []tables.Row{o.fence()}
	}
	for _, r := range rows {
		if r.Version > 0 {
			txn.If = append(txn.If, r)
		}
	}
	res, err := o.Tables.Commit(ctx, txn)
	switch {
	case err != nil:
		o.deleteQueue.add(rows...)
		if ctx.Err() == nil {
			o.Log.Info("finished jobs not removed", events.StoreFailed, zap.Int("rows", len(rows)), zap.Error(err))
		}
	case res.Committed:
		for _, r := range rows {
			if r.Table == TablePins {
				o.deleteQueue.add(ProgressRow(o.cfg.Shard, r.Key))
			}
		}
	default:
		o.deleteQueue.add(o.stillDeletable(rows, res.Current)...)
	}
}

// stillDeletable returns the rows that may go after a removal whose conditions did not
// hold: those that have not been written since, unless another owner has the shard.
func (o *Owner) stillDeletable(rows, current []tables.Row) []tables.Row {
	if o.fenceLost(current) {
		return nil
	}
	versions := make(map[rowID]int64, len(current))
	for _, r := range current {
		versions[rowIDOf(r)] = r.Version
	}
	return slices.DeleteFunc(rows, func(r tables.Row) bool { return r.Version > 0 && versions[rowIDOf(r)] != r.Version })
}
