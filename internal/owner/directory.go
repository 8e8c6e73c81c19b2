// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// directorySilence is how long the directory's feed waits in one call, and
	// directoryPause batches the workers' announcements: a row of some 400 bytes for each
	// worker and 1.5 s, for each owner. It grows by directoryEach with each worker, to
	// directoryMost, half of the least time for which a worker that drains serves on.
	directorySilence = 2 * time.Second
	directoryPause   = 200 * time.Millisecond
	directoryEach    = 2 * time.Millisecond
	directoryMost    = time.Second
	// refusedKept is how many refused entries are remembered, so that each is told once:
	// as many as there are workers in a large shard.
	refusedKept = 1000
)

// followWorkers keeps the list of workers current, and a loop of holds for each.
func (o *Owner) followWorkers(ctx context.Context) error {
	f := tables.Follower{
		Service: o.Tables, Table: o.Directory.Table(), Parts: []string{""}, FeedWait: directorySilence, RelistAfter: directorySilence, Pause: directoryPause,
		OnError: o.followFailed(o.Directory.Table()),
	}
	f.Apply = func(rows []tables.Row, whole bool) {
		if whole {
			f.Pause = min(max(directoryPause, time.Duration(len(rows))*directoryEach), directoryMost)
		}
		o.applyWorkers(ctx, rows, whole)
	}
	f.Run(ctx)
	return nil
}

// entry is a row of the directory, as it was decoded.
type entry struct {
	key  string
	gone bool
	// worker is the one of this shard that the row names, nil if it names none.
	worker *cluster.Worker
}

// applyWorkers takes in rows of the directory, all of them if whole is set. A row that
// is there but names no worker, or one of another shard, is not like one that has gone:
// the life that it stood for gets nothing new, and what runs there runs on.
func (o *Owner) applyWorkers(ctx context.Context, rows []tables.Row, whole bool) {
	entries := make([]entry, len(rows))
	for i, r := range rows {
		entries[i] = o.decodeEntry(r)
	}
	o.do(func(s *scheduler.Shard, now time.Time) {
		s.DirectoryRead(now)
		for _, e := range entries {
			switch {
			case e.gone:
				s.WorkerUnlisted(now, e.key)
			case e.worker == nil:
				s.EntryInvalid(now, e.key)
			default:
				s.UpsertWorker(now, *e.worker)
			}
		}
		if whole {
			listed := make(map[string]bool, len(entries))
			for _, e := range entries {
				listed[e.key] = true
			}
			s.ListedWorkers(now, listed)
		}
	})
	for _, e := range entries {
		if e.worker != nil {
			o.startHolding(ctx, e.key)
		}
	}
}

// decodeEntry decodes a row of the directory.
func (o *Owner) decodeEntry(r tables.Row) entry {
	if r.Deleted {
		o.refused.Remove(r.Key)
		return entry{key: r.Key, gone: true}
	}
	w, err := o.Directory.Worker(r)
	if err != nil {
		o.noteRefused(r.Key, err)
		return entry{key: r.Key}
	}
	o.refused.Remove(r.Key)
	if !o.mine(w.Service, w.Rack) {
		return entry{key: r.Key}
	}
	return entry{key: r.Key, worker: &w}
}

// noteRefused logs and counts an entry that names no worker, once for each reason: it is
// read again with each list and each time that it is written.
func (o *Owner) noteRefused(key string, err error) {
	reason := cluster.KindUnreadable
	var field string
	var e *cluster.Error
	if errors.As(err, &e) {
		reason, field = e.Kind, e.Field
	}
	told := string(reason) + " " + field
	if before, ok := o.refused.Get(key); ok && before == told {
		return
	}
	o.refused.Add(key, told)
	o.Log.Warn("worker row skipped", events.RowSkipped, zap.String("table", o.Directory.Table()), zap.String("key", key),
		zap.String("reason", string(reason)), zap.String("field", field), zap.Error(err))
	o.CountRefusedEntry(reason)
}

// newRefused returns the memory of refused entries: by key, what was told of each.
func newRefused() *lru.Cache[string, string] {
	c, err := lru.New[string, string](refusedKept)
	if err != nil {
		panic("owner: the memory of refused entries has no size: " + err.Error())
	}
	return c
}
