// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

// A takeover makes two writes, since the rows lie in two parts of the store: first the row that
// names the owner, then the fence row beside the progress. Every write of progress is
// conditional on the fence's version, so that the previous owner can persist nothing after the
// second write; only then is the progress read. Between the two writes the previous owner may
// still persist progress, which is read later, but no fallback rows, since these are
// conditional on the first row.

// fenceKey is the key of the row on whose version every write of progress depends. It differs
// from all job IDs, which hold only hex digits.
const fenceKey = "!owner"

// fenceRetryDelay is the pause between attempts to take the fence while its part of the store
// doesn't answer.
const fenceRetryDelay = 50 * time.Millisecond

// fenceRecord is the value of the fence row.
type fenceRecord struct {
	// Epoch is the epoch of the owner that wrote the row.
	Epoch int64 `json:"epoch"`
}

// FenceRow returns a row with only the table, part and key of a shard's fence.
func FenceRow(shard cluster.ShardID) tables.Row {
	return tables.Row{Table: TableProgress, Part: ProgressPart(shard), Key: fenceKey}
}

// ReadFence reads a shard's fence; a version of 0 means that there is none yet.
func ReadFence(ctx context.Context, svc tables.Service, shard cluster.ShardID) (tables.Row, error) {
	row, found, err := tables.Get(ctx, svc, TableProgress, ProgressPart(shard), fenceKey)
	if err != nil || found {
		return row, err
	}
	return FenceRow(shard), nil
}

// fence returns the row whose version is a condition of every write of this owner.
func (o *Owner) fence() tables.Row {
	fence := FenceRow(o.cfg.Shard)
	fence.Version = o.fenceVersion
	return fence
}

// takeFence writes the fence with this owner's epoch, on condition that it holds a lower one,
// and retries until the outcome is known. If the answer to the write is lost, the row shows
// whether the write took effect: no other owner has this epoch.
func (o *Owner) takeFence(ctx context.Context) error {
	seen := o.cfg.Fence
	for ctx.Err() == nil {
		sent := time.Now()
		row, err := o.tryTakeFence(ctx, seen)
		switch epoch := o.fenceEpoch(row); {
		case err != nil:
			seen = tables.Row{}
			o.Log.Warn("taking the fence failed", events.StoreFailed, zap.Stringer("shard", o.cfg.Shard), zap.Int64("epoch", o.Epoch()), zap.Error(err))
			tables.Sleep(ctx, tables.RetryPause(err, fenceRetryDelay))
		case epoch == o.Epoch():
			o.fenceVersion = row.Version
			o.confirm(sent)
			return nil
		case epoch > o.Epoch():
			o.EndOwnership("the fence of the progress has a higher epoch")
			return &Error{"take fence", KindLost, errors.New("an owner with a higher epoch holds the fence")}
		default:
			seen = row
		}
	}
	return &Error{"take fence", KindLoad, ctx.Err()}
}

// tryTakeFence reads the fence, unless seen already holds it, and replaces it if its epoch is
// lower than this owner's. It returns the current row.
func (o *Owner) tryTakeFence(ctx context.Context, seen tables.Row) (tables.Row, error) {
	if seen.Key == "" {
		var err error
		if seen, err = ReadFence(ctx, o.Tables, o.cfg.Shard); err != nil {
			return tables.Row{}, err
		}
	}
	if o.fenceEpoch(seen) >= o.Epoch() {
		return seen, nil
	}
	return o.writeFence(ctx, seen)
}

// writeFence replaces the fence row seen and returns the current row.
func (o *Owner) writeFence(ctx context.Context, seen tables.Row) (tables.Row, error) {
	value, err := json.Marshal(fenceRecord{o.Epoch()})
	if err != nil {
		return tables.Row{}, &Error{"write fence", KindLoad, err}
	}
	row := FenceRow(o.cfg.Shard)
	row.Value = value
	res, err := o.Tables.Commit(ctx, tables.Txn{If: []tables.Row{seen}, Put: []tables.Row{row}})
	switch {
	case err != nil:
		return tables.Row{}, err
	case res.Committed:
		row.Version = res.Version
		return row, nil
	case len(res.Current) > 0:
		return res.Current[0], nil
	}
	return FenceRow(o.cfg.Shard), nil
}

// fenceEpoch returns the epoch in a fence row. An unreadable row has epoch 0 and is replaced.
func (o *Owner) fenceEpoch(row tables.Row) int64 {
	if row.Version == 0 {
		return 0
	}
	var rec fenceRecord
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		o.Log.Warn("unreadable fence row is replaced", events.RowSkipped, zap.Stringer("shard", o.cfg.Shard), zap.Error(err))
		return 0
	}
	return rec.Epoch
}

// fenceChangedEvidence is the evidence with which an ownership ends when the fence has changed.
const fenceChangedEvidence = "another owner writes progress"

// fenceLost reports whether the current rows, returned by a write whose conditions did not
// hold, show that another owner has written the fence.
func (o *Owner) fenceLost(current []tables.Row) bool {
	return slices.ContainsFunc(current, func(r tables.Row) bool { return r.Key == fenceKey && r.Version != o.fenceVersion })
}
