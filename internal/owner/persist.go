// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// maxBatchJobs is the most jobs in one write: each needs a condition and a put, beside the
	// condition on the fence.
	maxBatchJobs = (tables.MaxTxnRows - 1) / 2
	// maxBatchBytes is the most bytes of progress in one write: the store takes 1 MiB, in base64.
	maxBatchBytes = 600 << 10
	// minPersistPause is the shortest pause between two writes, so that runs that end together
	// are written together. It delays the moment at which callers see a job's end.
	minPersistPause = 25 * time.Millisecond
	// persistRetryDelay is the pause after a failed write.
	persistRetryDelay = 50 * time.Millisecond
)

// persistLoop writes progress in batches, one at a time.
func (o *Owner) persistLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wakePersist:
		}
		pause := minPersistPause
		if retryDelay := o.persistBatch(ctx); retryDelay > 0 {
			pause = retryDelay
			notify(o.wakePersist)
		}
		tables.Sleep(ctx, pause)
	}
}

// persistBatch writes one batch and returns the pause before the next attempt, or 0 if the
// write succeeded.
func (o *Owner) persistBatch(ctx context.Context) (retryDelay time.Duration) {
	if o.fallback.active() {
		if !o.writeFallback(ctx) {
			return persistRetryDelay
		}
		return 0
	}
	o.mu.Lock()
	batch := o.shard.NextBatch(time.Now(), o.batchJobs(), min(o.cfg.MaxWriteBytes, maxBatchBytes))
	o.mu.Unlock()
	if batch.Empty() {
		return 0
	}
	if len(batch.Records) == 0 {
		o.updateShard(func(s *scheduler.Shard, now time.Time) { s.Persisted(now, batch, 0) })
		return 0
	}
	began := time.Now()
	res, err := o.Tables.Commit(ctx, o.progressTxn(batch))
	o.deleteQueue.observeWrite(time.Since(began))
	switch {
	case tables.KindOf(err) == tables.KindInvalid:
		o.progressRefused(batch)
		return persistRetryDelay
	case err != nil:
		if ctx.Err() == nil {
			o.Log.Warn("writing progress failed", events.StoreFailed, zap.Int("jobs", len(batch.Records)), zap.Error(err))
		}
		if !o.progressPartAnswers(ctx) && o.writeFallback(ctx) {
			return 0
		}
		return tables.RetryPause(err, persistRetryDelay)
	case !res.Committed:
		o.correctVersions(batch, res.Current)
		return persistRetryDelay
	}
	o.confirm(began)
	o.singleWrites = max(0, o.singleWrites-len(batch.Records))
	o.batchPersisted(batch, res.Version)
	return 0
}

// batchJobs returns the most jobs in the next write.
func (o *Owner) batchJobs() int {
	if o.singleWrites > 0 {
		return 1
	}
	return maxBatchJobs
}

// progressRefused takes the store's answer that it can't accept a write, whatever its cause. Its jobs are
// written one by one, and one that is refused by itself waits, so that it doesn't hold up the others.
func (o *Owner) progressRefused(batch scheduler.Batch) {
	if len(batch.Records) > 1 {
		o.singleWrites = len(batch.Records)
		return
	}
	o.singleWrites = max(0, o.singleWrites-1)
	o.updateShard(func(s *scheduler.Shard, now time.Time) { s.ProgressRefused(now, batch.Records[0]) })
}

// batchPersisted notes that a batch is in the store with the given version, and queues the rows
// for deletion that it makes obsolete: the fallback rows of its jobs, and the rows of finished
// jobs.
func (o *Owner) batchPersisted(batch scheduler.Batch, version int64) {
	o.updateShard(func(s *scheduler.Shard, now time.Time) { s.Persisted(now, batch, version) })
	for _, r := range batch.Records {
		o.deleteQueue.add(o.fallback.removeRows(r.Job)...)
		for _, key := range r.Obsolete {
			o.deleteQueue.add(ProgressRow(o.cfg.Shard, key))
		}
		if r.Final {
			o.deleteQueue.add(JobRow(o.cfg.Shard, r.Job), cancelRow(o.cfg.Shard, r.Job))
		}
	}
}

// progressTxn returns the transaction that writes a batch to the jobs' own rows, on condition
// of the fence and of the versions that it replaces.
func (o *Owner) progressTxn(batch scheduler.Batch) tables.Txn {
	txn := tables.Txn{If: []tables.Row{o.fence()}}
	for _, r := range batch.Records {
		row := ProgressRow(o.cfg.Shard, r.Job)
		row.Version = r.Version
		txn.If = append(txn.If, row)
		row.Value = r.Value
		txn.Put = append(txn.Put, row)
		for _, c := range r.Chunks {
			chunk := ProgressRow(o.cfg.Shard, c.Key)
			if chunk.Value = c.Value; len(c.Value) > 0 {
				txn.Put = append(txn.Put, chunk)
			} else {
				txn.Remove = append(txn.Remove, chunk)
			}
		}
	}
	return txn
}

// correctVersions updates the known versions after a write whose conditions did not hold:
// either an earlier write took effect without an answer, or the shard is lost.
func (o *Owner) correctVersions(batch scheduler.Batch, current []tables.Row) {
	if o.fenceLost(current) {
		o.EndOwnership(fenceChangedEvidence)
		return
	}
	rows := make(map[string]tables.Row, len(current))
	for _, r := range current {
		rows[r.Key] = r
	}
	writtenBefore := 0
	o.updateShard(func(s *scheduler.Shard, _ time.Time) {
		for _, r := range batch.Records {
			row := rows[r.Job]
			if bytes.Equal(row.Value, r.Value) {
				writtenBefore++
			}
			s.SetVersion(r.Job, row.Version)
		}
	})
	o.Log.Info("progress versions corrected", events.ProgressReconciled, zap.Int("jobs", len(batch.Records)), zap.Int("written_before", writtenBefore))
}
