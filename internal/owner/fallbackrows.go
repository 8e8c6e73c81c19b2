// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"fmt"
	"strings"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// fallbackPrefix is the prefix of the keys of a shard's fallback rows.
func fallbackPrefix(shard cluster.ShardID) string { return shard.String() + "/" }

// shardFallbackRequest lists all fallback rows of a shard.
func shardFallbackRequest(shard cluster.ShardID) tables.ListRequest {
	return fallbackRequest(fallbackPrefix(shard))
}

// jobFallbackRequest lists the fallback rows of a job.
func jobFallbackRequest(shard cluster.ShardID, id string) tables.ListRequest {
	return fallbackRequest(fallbackPrefix(shard) + id + "/")
}

// fallbackRequest lists the fallback rows whose keys have the prefix, which ends in a slash.
func fallbackRequest(prefix string) tables.ListRequest {
	const afterSlash = string('/' + 1)
	return tables.ListRequest{Table: tableFallback, From: prefix, To: strings.TrimSuffix(prefix, "/") + afterSlash}
}

// fallbackRow returns the fallback row of one change of a job.
func (o *Owner) fallbackRow(r *scheduler.Record) tables.Row {
	key := fmt.Sprintf("%s%s/%d-%d", fallbackPrefix(o.cfg.Shard), r.Job, o.Epoch(), r.Change)
	return tables.Row{Table: tableFallback, Part: o.cfg.Row.Part, Key: key, Value: r.Value}
}

// applyFallbackRows replaces the jobs' own progress by that in fallback rows where this is
// newer. The caller holds mu.
func (o *Owner) applyFallbackRows(rows *loadedRows) {
	for _, r := range rows.fallbackRows {
		id, _, _ := strings.Cut(strings.TrimPrefix(r.Key, fallbackPrefix(o.cfg.Shard)), "/")
		o.fallback.addRow(id, r)
		if p := o.decodeProgress(r); p != nil {
			rows.progress[id] = newerProgress(p, r, ProgressRow(o.cfg.Shard, id), rows.progress[id])
		}
	}
}

// StoredJobState returns a job's state according to the store; found is false if no progress
// was persisted. Fallback rows are read first, since they are deleted only after the job's own
// row has something newer.
func StoredJobState(ctx context.Context, svc tables.Service, shard cluster.ShardID, id string) (state cluster.State, found bool, err error) {
	fallbackRows, _, err := tables.ListAll(ctx, svc, jobFallbackRequest(shard, id))
	if err != nil {
		return "", false, err
	}
	row, _, err := tables.Get(ctx, svc, TableProgress, ProgressPart(shard), id)
	if err != nil {
		return "", false, err
	}
	for _, r := range fallbackRows {
		// An unreadable row is logged by the owner that loads it.
		if p, err := scheduler.ParseProgress(r.Value, r.Version); err == nil {
			row = newerProgress(p, r, ProgressRow(shard, id), row)
		}
	}
	if len(row.Value) == 0 {
		return "", false, nil
	}
	return stateOf(row), true, nil
}

// newerProgress returns the row of a job's progress, with the value of the fallback row if that
// is newer. An unreadable row is replaced too.
func newerProgress(fallbackProgress *scheduler.Progress, fallback, key, own tables.Row) tables.Row {
	if len(own.Value) > 0 {
		stored, err := scheduler.ParseProgress(own.Value, own.Version)
		if err == nil && !fallbackProgress.NewerThan(stored) {
			return own
		}
	}
	key.Value, key.Version = fallback.Value, own.Version
	return key
}
