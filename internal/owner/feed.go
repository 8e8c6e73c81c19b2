// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// jobsFeedWait is how long one call of the jobs' feed waits for a change.
	jobsFeedWait = 2 * time.Second
	// minJobsPause batches the jobs that other nodes could not hand over directly.
	minJobsPause = 100 * time.Millisecond
)

// followJobs picks up jobs and cancels that are in the store but were not handed to this node.
func (o *Owner) followJobs(ctx context.Context) error {
	f := tables.Follower{
		Service: o.Tables, Table: TableJobs(o.cfg.Shard), Parts: JobParts(), After: o.feedVersion,
		FeedWait: jobsFeedWait, Pause: minJobsPause,
		Apply: func(rows []tables.Row, _ bool) {
			o.updateShard(func(s *scheduler.Shard, now time.Time) { o.applyJobs(s, now, rows) })
		},
		OnError: o.feedErrorLogger(TableJobs(o.cfg.Shard)),
	}
	f.Run(ctx)
	return nil
}

// applyJobs passes rows of the jobs' feed to the scheduler.
func (o *Owner) applyJobs(s *scheduler.Shard, now time.Time, rows []tables.Row) {
	for _, r := range rows {
		o.jobsVersion = max(o.jobsVersion, r.Version)
		if r.Deleted {
			continue
		}
		id, cancel := parseJobKey(r.Key)
		if r.Part != JobPart(id) {
			continue
		}
		if o.mayBeUnread(id) {
			o.unreadParts.rows = append(o.unreadParts.rows, r)
			continue
		}
		if cancel {
			o.noteTombstone(now, r)
			s.EndJob(now, id, endState(r))
			continue
		}
		if s.HasJob(id) && !s.IsMoving(id) {
			continue
		}
		job, ok := o.decodeJob(r)
		if ok && job.Epoch > o.Epoch() {
			go o.EndOwnership("a job was accepted for a later owner")
			return
		}
		if ok {
			s.AddJob(now, job, nil, false)
		}
	}
}

// feedErrorLogger returns a function that logs that a table's feed or list has failed.
func (o *Owner) feedErrorLogger(table string) func(error) {
	return func(err error) {
		if tables.KindOf(err) == tables.KindHistoryGone {
			o.Log.Info("feed history has expired", events.StoreFailed, zap.String("table", table))
			return
		}
		o.Log.Warn("reading table failed", events.StoreFailed, zap.String("table", table), zap.Error(err))
	}
}
