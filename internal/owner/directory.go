// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/directory"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// directoryFeedWait is how long one call of the directory's feed waits for a change.
	directoryFeedWait = 2 * time.Second
	// sharedDirectoryRelist is how long an owner that is told only of changes in its shard goes
	// without a list of all of it.
	sharedDirectoryRelist = 10 * time.Second
	// maxInvalidEntries is how many invalid entries are remembered, so that each is reported
	// once: as many as a large shard has workers.
	maxInvalidEntries = 1000
)

// followWorkers keeps the list of workers current and a hold loop running for each.
func (o *Owner) followWorkers(ctx context.Context) error {
	f := tables.Follower{
		Service: o.Tables, Table: o.Directory.Table(), Parts: []string{""}, FeedWait: directoryFeedWait, RelistAfter: directoryFeedWait, Pause: directory.MinPause,
		OnCurrent: func() { o.updateShard(func(s *scheduler.Shard, now time.Time) { s.DirectoryRead(now) }) },
		OnError:   o.feedErrorLogger(o.Directory.Table()),
	}
	if o.cfg.Layout.Shards > 1 {
		f.RelistAfter = sharedDirectoryRelist
	}
	f.Apply = func(rows []tables.Row, full bool) {
		if full {
			f.Pause = directory.Pause(len(rows))
		}
		o.applyDirectory(ctx, rows, full)
	}
	f.Run(ctx)
	return nil
}

// directoryEntry is a decoded row of the directory.
type directoryEntry struct {
	key     string
	deleted bool
	// worker is nil if the row names no valid worker of this shard.
	worker *cluster.Worker
}

// applyDirectory applies rows of the directory; full means that these are all of them. A row
// that names no valid worker, or a worker of another shard, differs from a deleted row: its
// worker gets nothing new, but what runs there keeps running.
func (o *Owner) applyDirectory(ctx context.Context, rows []tables.Row, full bool) {
	entries := make([]directoryEntry, len(rows))
	for i, r := range rows {
		entries[i] = o.decodeEntry(r)
	}
	o.updateShard(func(s *scheduler.Shard, now time.Time) {
		s.DirectoryRead(now)
		for _, e := range entries {
			switch {
			case e.deleted:
				s.WorkerUnlisted(now, e.key)
			case e.worker == nil:
				s.WorkerEntryInvalid(now, e.key)
			default:
				s.UpsertWorker(now, *e.worker)
			}
		}
		if full {
			listed := make(map[string]bool, len(entries))
			for _, e := range entries {
				listed[e.key] = true
			}
			s.SetListedWorkers(now, listed)
		}
	})
	for _, e := range entries {
		if e.worker != nil {
			o.startHoldLoop(ctx, e.key)
		}
	}
}

// decodeEntry decodes a row of the directory.
func (o *Owner) decodeEntry(r tables.Row) directoryEntry {
	if r.Deleted {
		o.invalidEntries.Remove(r.Key)
		return directoryEntry{key: r.Key, deleted: true}
	}
	w, err := o.Directory.Worker(r)
	if err != nil {
		o.reportInvalid(r.Key, err)
		return directoryEntry{key: r.Key}
	}
	o.invalidEntries.Remove(r.Key)
	if !o.inShard(w.Service, w.Rack) {
		return directoryEntry{key: r.Key}
	}
	return directoryEntry{key: r.Key, worker: &w}
}

// reportInvalid logs and counts an entry that names no valid worker, once for each reason: the
// entry is decoded again with each list and each time that it is written.
func (o *Owner) reportInvalid(key string, err error) {
	reason := cluster.KindUnreadable
	var field string
	var e *cluster.Error
	if errors.As(err, &e) {
		reason, field = e.Kind, e.Field
	}
	reported := string(reason) + " " + field
	if previous, ok := o.invalidEntries.Get(key); ok && previous == reported {
		return
	}
	o.invalidEntries.Add(key, reported)
	o.Log.Warn("invalid worker row skipped", events.RowSkipped, zap.String("table", o.Directory.Table()), zap.String("key", key),
		zap.String("reason", string(reason)), zap.String("field", field), zap.Error(err))
	o.CountInvalidEntry(reason)
}

// newInvalidEntries returns an empty cache: by an entry's key, the reason last reported for it.
func newInvalidEntries() *lru.Cache[string, string] {
	c, err := lru.New[string, string](maxInvalidEntries)
	if err != nil {
		panic("owner: invalid size of the cache of invalid entries: " + err.Error())
	}
	return c
}
