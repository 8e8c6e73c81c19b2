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
	// entryReturnTime is how long after an outage of the store entries that lapsed
	// meanwhile may take to come back (about two seconds), with some slack.
	entryReturnTime = 2500 * time.Millisecond
	// maxLeavingShare is the share of workers that may leave at once without a word; if
	// more are unlisted, it is the directory that fails.
	maxLeavingShare = 0.1
	// minLeavingLimit is how many may, where the share would be less than that.
	minLeavingLimit = 2
)

// DirectoryRead notes that the directory was read now.
func (s *Shard) DirectoryRead(now time.Time) {
	if now.Sub(s.directoryReadAt) > directoryGap {
		s.directoryReadSince = now
	}
	s.directoryReadAt = now
}

// detectLeavingWorkers finds workers that still answer but that the directory has dropped:
// some leave without saying so. While the store is away, and shortly after, entries
// go for no such reason.
func (s *Shard) detectLeavingWorkers(now time.Time) {
	if now.Sub(s.directoryReadAt) > directoryGap {
		return
	}
	unlisted := s.countUnlistedResponsive()
	if unlisted == 0 || unlisted > max(minLeavingLimit, int(maxLeavingShare*float64(len(s.workerList)))) {
		return
	}
	for _, w := range s.workerList {
		if !w.unlisted || w.leaving || w.info.Draining || !w.responsive() {
			continue
		}
		steady := w.unlistedAt.Sub(s.directoryReadSince) >= entryReturnTime
		if !steady && now.Sub(s.directoryReadSince) < entryReturnTime {
			continue
		}
		w.leaving, w.leavesAt = true, now.Add(defaultNotice)
		s.log.Info("worker leaves without notice", events.WorkerLeaving, zap.String("worker", w.info.ID),
			zap.Duration("unlisted", now.Sub(w.unlistedAt)), zap.Duration("directory_read_for", now.Sub(s.directoryReadSince)), zap.Int("runs", len(w.runs)))
	}
}

// countUnlistedResponsive returns how many workers answer though the directory has
// dropped them.
func (s *Shard) countUnlistedResponsive() int {
	n := 0
	for _, w := range s.workerList {
		if w.unlisted && w.responsive() {
			n++
		}
	}
	return n
}

// responsive reports whether the worker has answered this owner and still does.
func (w *worker) responsive() bool { return w.answered && !w.silent }
