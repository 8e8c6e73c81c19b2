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

// deleteInterval is how often rows are deleted, of one part at a time. Until then they only
// make a takeover read more.
const deleteInterval = 500 * time.Millisecond

// deleteLoop deletes the rows that are no longer needed.
func (o *Owner) deleteLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		tables.Sleep(ctx, deleteInterval)
		o.mu.Lock()
		forgottenJobs := o.shard.TakeForgottenJobs()
		o.mu.Unlock()
		for _, id := range forgottenJobs {
			o.deleteQueue.add(pinRow(id))
		}
		o.deleteTombstones(ctx)
		if rows := o.deleteQueue.takeBatch(); len(rows) > 0 {
			o.deleteRows(ctx, rows)
		}
	}
	return nil
}

// deleteRows deletes rows of one part and queues them again if that fails. A row with a version
// is deleted only if it still has that version. If the fence is lost, the rows are left to the
// next owner, which finds them when it loads the shard. A finished job's progress is deleted
// after its pin, since a job with a pin but no progress counts as pending.
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
			o.Log.Info("deleting obsolete rows failed", events.StoreFailed, zap.Int("rows", len(rows)), zap.Error(err))
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

// stillDeletable returns the rows to delete after a deletion whose conditions did not hold:
// those that have not been written since, or none if another owner has the shard.
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
