// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// The store may be unavailable in part. While the part of a shard's progress doesn't answer,
// progress is written to fallback rows: they lie in the part of the owner's row and are
// conditional on that row. Each change of a job has a fallback row with a key of its own, so
// that a write that takes effect late overwrites nothing. Once the part answers again, the
// progress is written to the jobs' own rows, and the fallback rows are deleted.

const (
	// fallbackProbeInterval is how often the part is probed while it doesn't answer.
	fallbackProbeInterval = 300 * time.Millisecond
	// fallbackProbeTimeout is how long a part may take to answer a probe. It usually takes
	// 4 ms; a part that is taken for unavailable in error costs a second write of the batch.
	fallbackProbeTimeout = 200 * time.Millisecond
)

// fallback tracks the fallback rows and whether they are in use.
type fallback struct {
	mu sync.Mutex
	// outageStart is when the part of the progress stopped answering; zero means that it
	// answers.
	outageStart time.Time
	// rows maps a job ID to the keys of its fallback rows.
	rows map[string][]tables.Row
}

// active reports whether progress goes to fallback rows.
func (f *fallback) active() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.outageStart.IsZero()
}

// activate notes that the part of the progress doesn't answer; false means that this was known.
func (f *fallback) activate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.outageStart.IsZero() {
		return false
	}
	f.outageStart = time.Now()
	return true
}

// deactivate notes that the part answers again, and returns for how long it did not.
func (f *fallback) deactivate() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	outage := time.Since(f.outageStart)
	f.outageStart = time.Time{}
	return outage
}

// addRow notes the key of a fallback row of a job, once.
func (f *fallback) addRow(job string, row tables.Row) {
	key := tables.Row{Table: row.Table, Part: row.Part, Key: row.Key}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rows == nil {
		f.rows = make(map[string][]tables.Row)
	}
	if !slices.ContainsFunc(f.rows[job], func(r tables.Row) bool { return r.Key == key.Key }) {
		f.rows[job] = append(f.rows[job], key)
	}
}

// removeRows forgets the fallback rows of a job and returns their keys.
func (f *fallback) removeRows(job string) []tables.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := f.rows[job]
	delete(f.rows, job)
	return rows
}

// jobs returns the jobs that have fallback rows.
func (f *fallback) jobs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]string, 0, len(f.rows))
	for id := range f.rows {
		ids = append(ids, id)
	}
	return ids
}

// writeFallback writes a batch to fallback rows and reports whether that succeeded.
func (o *Owner) writeFallback(ctx context.Context) bool {
	o.mu.Lock()
	batch := o.shard.NextFullBatch(time.Now(), maxBatchJobs, min(o.cfg.MaxWriteBytes, maxBatchBytes))
	o.mu.Unlock()
	if len(batch.Records) == 0 {
		if !batch.Empty() {
			o.updateShard(func(s *scheduler.Shard, now time.Time) { s.PersistedInFallback(now, batch) })
		}
		return true
	}
	txn := tables.Txn{If: []tables.Row{o.cfg.Row}}
	for _, r := range batch.Records {
		row := o.fallbackRow(&r)
		o.fallback.addRow(r.Job, row)
		txn.Put = append(txn.Put, row)
	}
	sent := time.Now()
	res, err := o.Tables.Commit(ctx, txn)
	switch {
	case err != nil:
		if ctx.Err() == nil {
			o.Log.Warn("writing progress to fallback rows failed", events.StoreFailed, zap.Int("jobs", len(batch.Records)), zap.Error(err))
		}
		return false
	case !res.Committed:
		o.EndOwnership("another owner is named in the store")
		return false
	}
	o.confirm(sent)
	if o.fallback.activate() {
		o.Log.Warn("progress goes to fallback rows", events.ProgressFallback, zap.Stringer("shard", o.cfg.Shard), zap.Bool("spills", true))
	}
	o.updateShard(func(s *scheduler.Shard, now time.Time) { s.PersistedInFallback(now, batch) })
	return true
}

// progressPartAnswers reports whether the part of the shard's progress answers.
func (o *Owner) progressPartAnswers(ctx context.Context) bool {
	c, cancel := context.WithTimeout(ctx, fallbackProbeTimeout)
	defer cancel()
	_, err := ReadFence(c, o.Tables, o.cfg.Shard)
	return err == nil
}

// fallbackLoop probes the part of the progress while it doesn't answer.
func (o *Owner) fallbackLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		tables.Sleep(ctx, fallbackProbeInterval)
		if o.fallback.active() && o.progressPartAnswers(ctx) {
			o.endFallback()
		}
	}
	return nil
}

// endFallback returns to the jobs' own rows and rewrites the progress in fallback rows there.
func (o *Owner) endFallback() {
	outage := o.fallback.deactivate()
	o.mu.Lock()
	jobs := o.rewriteFallbackJobs()
	o.mu.Unlock()
	o.Log.Info("progress goes to its own rows again", events.ProgressFallback, zap.Stringer("shard", o.cfg.Shard), zap.Bool("spills", false),
		zap.Duration("away", outage), zap.Int("jobs", jobs))
	notify(o.wakeScheduler)
}

// rewriteFallbackJobs has the progress of all jobs with fallback rows written again, and
// returns how many these are. Fallback rows of jobs that no longer exist are deleted. The
// caller holds mu.
func (o *Owner) rewriteFallbackJobs() (n int) {
	for _, id := range o.fallback.jobs() {
		switch {
		case o.shard.MarkDirty(id):
			n++
		case !o.mayBeUnread(id):
			o.deleteQueue.add(o.fallback.removeRows(id)...)
		}
	}
	return n
}
