// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

// A caller may cancel a job whose acceptance is still under way: the store may do a write seconds after
// it was sent. The cancel of a job without a pin therefore writes the pin itself, as a tombstone, with
// which no acceptance commits any more. A cancel row in the table of a shard's jobs, written with it,
// has the shard's owner delete both once no write can be that late, and tells the next owner.

// TombstoneTxn returns the transaction that keeps a job from being accepted. It does not commit if the
// job was accepted, or has a tombstone. The shard's owner deletes the rows.
func TombstoneTxn(shard cluster.ShardID, id, team string) tables.Txn {
	shards := []cluster.ShardID{shard}
	txn := endJobTxn(shards, pinRow(id), jobEnd{Tombstone: shard.Service})
	txn.Put = append(txn.Put, newPinRow(id, Pin{Shards: shards, Team: team, Tombstone: true}))
	return txn
}

// tombstone is a job's tombstone that this owner has to delete.
type tombstone struct {
	// version is that of its rows, and seenAt when this owner first saw it.
	version int64
	seenAt  time.Time
}

// noteTombstone remembers the tombstone that a cancel row names, if any. The caller holds mu.
func (o *Owner) noteTombstone(now time.Time, row tables.Row) {
	var end jobEnd
	if json.Unmarshal(row.Value, &end) != nil || end.Tombstone != o.cfg.Shard.Service {
		return
	}
	id, _ := parseJobKey(row.Key)
	if known, ok := o.tombstones[id]; !ok || known.version != row.Version {
		o.tombstones[id] = tombstone{row.Version, now}
	}
}

// maxTombstonesPerDelete is the most tombstones of one deletion, of two rows with a condition each.
const maxTombstonesPerDelete = tables.MaxTxnRows / 4

// deleteTombstones deletes the tombstones of one part of the store that have been there for as long as a
// finished job's state is kept. Both rows of one go together: a cancel row that is left would cancel the
// next job of that ID. Only the versions that were seen are deleted, since a deletion may take effect
// late, too.
func (o *Owner) deleteTombstones(ctx context.Context) {
	ids := o.expiredTombstones(time.Now())
	if len(ids) == 0 {
		return
	}
	rows := o.tombstoneRows(ids)
	res, err := o.Tables.Commit(ctx, tables.Txn{If: rows, Remove: rows})
	if err != nil {
		if ctx.Err() == nil {
			o.Log.Info("deleting tombstones failed", events.StoreFailed, zap.Int("rows", len(rows)), zap.Error(err))
		}
		return
	}
	left := make(map[rowID]int64, len(res.Current))
	for _, r := range res.Current {
		left[rowIDOf(r)] = r.Version
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range rows {
		if id, _ := parseJobKey(r.Key); res.Committed || left[rowIDOf(r)] != r.Version {
			delete(o.tombstones, id)
		}
	}
}

// expiredTombstones returns the jobs of some tombstones of one part that may be deleted.
func (o *Owner) expiredTombstones(now time.Time) (ids []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, t := range o.tombstones {
		expired := now.Sub(t.seenAt) > o.cfg.Params.FinishedRetention
		if expired && (len(ids) == 0 || JobPart(id) == JobPart(ids[0])) && len(ids) < maxTombstonesPerDelete {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// tombstoneRows returns the rows of tombstones, with their versions.
func (o *Owner) tombstoneRows(ids []string) (rows []tables.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range ids {
		for _, row := range []tables.Row{pinRow(id), cancelRow(o.cfg.Shard, id)} {
			row.Version = o.tombstones[id].version
			rows = append(rows, row)
		}
	}
	return rows
}
