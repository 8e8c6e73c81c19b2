// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// A part of the store may not answer when an owner loads its shard. The jobs that lie
// there are unread: they exist, but nothing is known of them. What runs of them goes
// on, and their ends wait on the workers until the jobs are read.

// SetUnreadFunc sets what reports whether a job that isn't known here may be unread.
func (s *Shard) SetUnreadFunc(unread func(job string) bool) { s.unreadFunc = unread }

// mayBeUnread reports whether a job may exist although it isn't known here.
func (s *Shard) mayBeUnread(job string) bool {
	return s.jobs[job] == nil && s.unreadFunc != nil && s.unreadFunc(job)
}

// JobsRead is called once more jobs have been read. Their tasks may run on any
// worker until it has answered again, and their ends that came are taken now.
func (s *Shard) JobsRead(now time.Time) {
	s.takeover.open, s.takeover.complete, s.takeover.jobsLoadedAt = true, false, now
	for _, w := range s.workerList {
		w.answeredSinceLoad = false
		ends := w.unreadEnds
		w.unreadEnds = nil
		for _, e := range ends {
			s.receiveEnd(now, w, e)
		}
	}
}

// receiveEnd takes one end, or holds it if its job is unread.
func (s *Shard) receiveEnd(now time.Time, w *worker, e cluster.RunEnd) {
	if s.mayBeUnread(e.Task.Job) {
		w.unreadEnds = append(w.unreadEnds, e)
		return
	}
	s.handleEnd(now, w, e)
}

// lastReadEnd returns the highest end that may be confirmed once all that was taken is
// persisted: those of unread jobs, and what follows them, may not.
func (w *worker) lastReadEnd() int64 {
	if len(w.unreadEnds) == 0 {
		return w.lastEnd
	}
	return w.unreadEnds[0].N - 1
}
