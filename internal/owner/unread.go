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

// unread is what a load has left out, since parts of the store didn't answer.
type unread struct {
	parts map[string]bool
	// progress is that of jobs which are not known yet, by their IDs.
	progress map[string]tables.Row
	// rows came by the feed: they may be newer than the list of their part.
	rows []tables.Row
}

// take removes what belongs to a part and returns its progress and its rows.
func (u *unread) take(service, part string) (progress map[string]tables.Row, rows []tables.Row) {
	delete(u.parts, part)
	progress = make(map[string]tables.Row)
	for id, r := range u.progress {
		if JobPart(service, id) == part {
			progress[id] = r
			delete(u.progress, id)
		}
	}
	u.rows = slices.DeleteFunc(u.rows, func(r tables.Row) bool {
		if r.Part == part {
			rows = append(rows, r)
		}
		return r.Part == part
	})
	return progress, rows
}

// isUnread reports whether a job lies in a part that has not been read. The caller
// holds mu.
func (o *Owner) isUnread(id string) bool {
	return o.unread.parts[JobPart(o.cfg.Shard.Service, id)]
}

// takeLateParts takes the jobs of the parts that answer after the load.
func (o *Owner) takeLateParts(ctx context.Context, read <-chan partJobs) {
	for {
		select {
		case <-ctx.Done():
			return
		case p, ok := <-read:
			if !ok {
				return
			}
			o.takeLate(p)
		}
	}
}

// takeLate takes the jobs of one part.
func (o *Owner) takeLate(p partJobs) {
	o.mu.Lock()
	now := time.Now()
	progress, newer := o.unread.take(o.cfg.Shard.Service, p.part)
	jobs := o.takeJobs(now, append(p.rows, newer...), progress)
	o.shard.JobsRead(now)
	o.rewriteSpilled()
	left := len(o.unread.parts)
	o.mu.Unlock()
	notify(o.wake)
	o.Log.Info("part of the jobs loaded late", events.PartLoaded, zap.Stringer("shard", o.cfg.Shard), zap.String("part", p.part),
		zap.Int("jobs", jobs), zap.Int("parts_left", left), zap.Duration("after", now.Sub(o.began)))
}

// keepUnread puts the progress of jobs that may be unread aside. The caller holds mu.
func (o *Owner) keepUnread(rows *loadedRows) {
	o.unread = unread{parts: rows.missing, progress: make(map[string]tables.Row)}
	for id, r := range rows.progress {
		if o.isUnread(id) {
			o.unread.progress[id] = r
			delete(rows.progress, id)
		}
	}
	o.shard.SetUnread(o.isUnread)
}
