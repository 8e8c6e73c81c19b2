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

// unreadParts is what a load has left out because parts of the store didn't answer.
type unreadParts struct {
	parts map[string]bool
	// progress maps job IDs to progress rows of jobs that may lie in these parts.
	progress map[string]tables.Row
	// rows came from the feed and may be newer than the list of their part.
	rows []tables.Row
}

// takePart removes a part and returns its progress and its rows.
func (u *unreadParts) takePart(part string) (progress map[string]tables.Row, rows []tables.Row) {
	delete(u.parts, part)
	progress = make(map[string]tables.Row)
	for id, r := range u.progress {
		if JobPart(id) == part {
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

// mayBeUnread reports whether a job lies in a part that has not been read. The caller holds mu.
func (o *Owner) mayBeUnread(id string) bool {
	return o.unreadParts.parts[JobPart(id)]
}

// applyLateParts applies the jobs of parts that answer after the load.
func (o *Owner) applyLateParts(ctx context.Context, partsRead <-chan jobPartRows) {
	for {
		select {
		case <-ctx.Done():
			return
		case p, ok := <-partsRead:
			if !ok {
				return
			}
			o.applyLatePart(p)
		}
	}
}

// applyLatePart applies the jobs of one part.
func (o *Owner) applyLatePart(p jobPartRows) {
	o.mu.Lock()
	now := time.Now()
	progress, newer := o.unreadParts.takePart(p.part)
	jobs := o.applyLoadedJobs(now, append(p.rows, newer...), progress)
	o.shard.JobsRead(now)
	o.rewriteFallbackJobs()
	left := len(o.unreadParts.parts)
	o.mu.Unlock()
	notify(o.wakeScheduler)
	o.Log.Info("part of the jobs loaded late", events.PartLoaded, zap.Stringer("shard", o.cfg.Shard), zap.String("part", p.part),
		zap.Int("jobs", jobs), zap.Int("parts_left", left), zap.Duration("after", now.Sub(o.startedAt)))
}

// deferUnreadJobs holds back the progress of jobs in parts that have not been read. The caller
// holds mu.
func (o *Owner) deferUnreadJobs(rows *loadedRows) {
	o.unreadParts = unreadParts{parts: rows.missingParts, progress: make(map[string]tables.Row)}
	for id, r := range rows.progress {
		if o.mayBeUnread(id) {
			o.unreadParts.progress[id] = r
			delete(rows.progress, id)
		}
	}
	o.shard.SetUnreadFunc(o.mayBeUnread)
}
