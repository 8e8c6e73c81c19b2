// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

const (
	// directoryGap is the time without a read after which the directory counts as not
	// read. All workers announce themselves every 1.5 s, maybe at the same moment, and
	// entries expire after three times that, so that a shorter outage makes no entry
	// expire.
	directoryGap = 2 * time.Second
	// entryReturnTime is how long after an outage of the store expired entries may take
	// to come back (about two seconds), with some slack.
	entryReturnTime = 2500 * time.Millisecond
	// maxLeavingShare is the share of workers that may leave at once without notice; if
	// more are unlisted, the directory is taken to have failed.
	maxLeavingShare = 0.1
	// minLeavingLimit is how many workers may always leave at once, also in a small
	// shard.
	minLeavingLimit = 2
)

// DirectoryRead records that the directory was read now.
func (s *Shard) DirectoryRead(now time.Time) {
	if now.Sub(s.directoryReadAt) > directoryGap {
		s.directoryReadSince = now
	}
	s.directoryReadAt = now
}

// detectLeavingWorkers finds workers that still answer but that the directory has
// dropped: some leave without notice. It ignores entries that expire during or shortly
// after an outage of the store, or a large share of entries at once.
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
		s.log.Info("worker is leaving without notice", events.WorkerLeaving, zap.String("worker", w.info.ID),
			zap.Duration("unlisted", now.Sub(w.unlistedAt)), zap.Duration("directory_read_for", now.Sub(s.directoryReadSince)), zap.Int("runs", len(w.runs)))
	}
}

// countUnlistedResponsive returns how many workers answer although the directory has
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
