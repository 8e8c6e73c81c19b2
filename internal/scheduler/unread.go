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
func (s *Shard) SetUnreadFunc(unread func(job string) bool) { s.unread = unread }

// mayBeUnread reports whether a job may exist although it isn't known here.
func (s *Shard) mayBeUnread(job string) bool {
	return s.jobs[job] == nil && s.unread != nil && s.unread(job)
}

// JobsRead is called once more jobs have been read. Their tasks may run on any
// worker until it has answered again, and their ends that came are taken now.
func (s *Shard) JobsRead(now time.Time) {
	s.takeover.open, s.takeover.complete, s.takeover.since = true, false, now
	for _, w := range s.order {
		w.heard = false
		held := w.held
		w.held = nil
		for _, e := range held {
			s.takeEnd(now, w, e)
		}
	}
}

// takeEnd takes one end, or holds it if its job is unread.
func (s *Shard) takeEnd(now time.Time, w *worker, e cluster.RunEnd) {
	if s.mayBeUnread(e.Task.Job) {
		w.held = append(w.held, e)
		return
	}
	s.ended(now, w, e)
}

// lastTaken returns the highest end that may be confirmed once all that was taken is
// persisted: those of unread jobs, and what follows them, may not.
func (w *worker) lastTaken() int64 {
	if len(w.held) == 0 {
		return w.lastEnd
	}
	return w.held[0].N - 1
}
