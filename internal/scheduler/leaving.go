// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

const (
	// directoryGap is from when the directory counts as not read. Each worker announces
	// itself every 1.5 s, and all may do so together; entries lapse after three times that
	// only, so that an outage which is shorter than this takes none with it.
	directoryGap = 2 * time.Second
	// backWithin is how long after an outage of the store entries that lapsed
	// meanwhile may take to come back (about two seconds), with some slack.
	backWithin = 2500 * time.Millisecond
	// leavingMost is the share of workers that may leave at once without a word; if
	// more are unlisted, it is the directory that fails.
	leavingMost = 0.1
	// leavingLeast is how many may, where the share would be less than that.
	leavingLeast = 2
)

// DirectoryRead notes that the directory was read now.
func (s *Shard) DirectoryRead(now time.Time) {
	if now.Sub(s.directoryAt) > directoryGap {
		s.directorySince = now
	}
	s.directoryAt = now
}

// noteLeaving finds workers that still answer but that the directory has dropped:
// some leave without saying so. While the store is away, and shortly after, entries
// go for no such reason.
func (s *Shard) noteLeaving(now time.Time) {
	if now.Sub(s.directoryAt) > directoryGap {
		return
	}
	unlisted := s.unlistedAnswering()
	if unlisted == 0 || unlisted > max(leavingLeast, int(leavingMost*float64(len(s.order)))) {
		return
	}
	for _, w := range s.order {
		if !w.unlisted || w.leaving || w.info.Draining || !w.answers() {
			continue
		}
		steady := w.unlistedAt.Sub(s.directorySince) >= backWithin
		if !steady && now.Sub(s.directorySince) < backWithin {
			continue
		}
		w.leaving, w.leavesAt = true, now.Add(noNoticeMargin)
		s.log.Info("worker leaves without notice", events.WorkerLeaving, zap.String("worker", w.info.ID),
			zap.Duration("unlisted", now.Sub(w.unlistedAt)), zap.Duration("directory_read_for", now.Sub(s.directorySince)), zap.Int("runs", len(w.runs)))
	}
}

// unlistedAnswering returns how many workers answer though the directory has
// dropped them.
func (s *Shard) unlistedAnswering() int {
	n := 0
	for _, w := range s.order {
		if w.unlisted && w.answers() {
			n++
		}
	}
	return n
}

// answers reports whether the worker has answered this owner and still does.
func (w *worker) answers() bool { return w.answered && !w.silent }
