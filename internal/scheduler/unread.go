// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// A part of the store may be unavailable when an owner loads its shard. Its jobs are
// unread: they exist, but nothing is known about them. Their runs continue, and the
// workers keep the ends of these until the jobs are read.

// SetUnreadFunc sets a function that reports whether a job that is not known here may be
// unread.
func (s *Shard) SetUnreadFunc(unread func(job string) bool) { s.unreadFunc = unread }

// mayBeUnread reports whether a job that is not known here may exist in the store.
func (s *Shard) mayBeUnread(job string) bool {
	return s.jobs[job] == nil && s.unreadFunc != nil && s.unreadFunc(job)
}

// JobsRead is called after more jobs have been read. Their tasks may be running on any
// worker until it has answered again, and their ends that were reported before are
// processed now.
func (s *Shard) JobsRead(now time.Time) {
	s.takeover.open, s.takeover.complete, s.takeover.jobsLoadedAt = true, false, now
	for _, w := range s.workerList {
		w.answeredSinceLoad, w.endsKnown = false, false
		ends := w.unreadEnds
		w.unreadEnds = nil
		for _, e := range ends {
			s.receiveEnd(now, w, e)
		}
	}
}

// receiveEnd processes one end, or keeps it for later if its job is unread.
func (s *Shard) receiveEnd(now time.Time, w *worker, e cluster.RunEnd) {
	if s.mayBeUnread(e.Task.Job) {
		w.unreadEnds = append(w.unreadEnds, e)
		return
	}
	s.handleEnd(now, w, e)
}

// lastReadEnd returns the highest end that may be confirmed once all processed ends are
// persisted. Ends of unread jobs, and all that follow them, may not be confirmed.
func (w *worker) lastReadEnd() int64 {
	if len(w.unreadEnds) == 0 {
		return w.lastEnd
	}
	return w.unreadEnds[0].N - 1
}
