// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"slices"
	"time"
)

// The load that PartHealth addresses: a third of the parts answers each connection with a reset,
// or not at all, for some seconds, while the others work. A write in such a part has an unknown
// outcome, and its caller waits until its deadline. Learning that a part is away costs one or two
// such writes on each node, so that reads are made first once some part is known to be away.

const (
	// partAwayAfter is how long the calls of a part must have failed for it to count as away,
	// and partAwayFailures how many of them. A write that is reset is repeated each 20 ms: of a
	// service that resets four in ten connections at random, six fail in a row at 0.4% of the
	// writes. One lost answer, which is noticed after 0.2 s, is not enough.
	partAwayAfter    = 100 * time.Millisecond
	partAwayFailures = 2
	// partFailureGap is the time after which a failure no longer adds to the ones before it:
	// single resets may be minutes apart in a part that is rarely called.
	partFailureGap = time.Second
	// suspectFor is how long after the last failure of a part that is away the other parts are
	// suspected too: parts fail together when a host of the service fails.
	suspectFor = 2 * time.Second
	// answerValid is how long the answer of a part shows that it is not away, while parts are
	// suspected.
	answerValid = time.Second
	// MaxTrackedParts bounds the parts of which failures and answers are kept: a service has
	// about 70, and a node serves a few services.
	MaxTrackedParts = 1024
)

// PartState is what is known of a part.
type PartState int

// The states of a part.
const (
	// PartAnswers: nothing speaks against the part.
	PartAnswers PartState = iota
	// PartSuspect: other parts are away, and this one has not answered since.
	PartSuspect
	// PartAway: all of the last calls of the part have failed.
	PartAway
)

// PartHealth tracks which parts of the table space answer, by the outcomes of calls. Its memory
// is bounded. It must not be used by several goroutines at once.
type PartHealth struct {
	failing map[string]*partFailures
	// answeredAt is when a part last answered. It is emptied when it is full; parts that are
	// suspected are then asked once more than needed.
	answeredAt map[string]time.Time
	// suspectFrom and suspectUntil bound the time in which parts are suspected.
	suspectFrom, suspectUntil time.Time
}

// partFailures are the failures of a part since its last answer.
type partFailures struct {
	// since is when the first call that failed was sent, and last when the last one failed.
	since, last time.Time
	count       int
	away        bool
	// probedAt is when the last probe was sent.
	probedAt time.Time
}

// NewPartHealth returns a PartHealth for which all parts answer.
func NewPartHealth() *PartHealth {
	return &PartHealth{failing: make(map[string]*partFailures), answeredAt: make(map[string]time.Time)}
}

// State returns what is known of a part.
func (h *PartHealth) State(part string, now time.Time) PartState {
	if f := h.failing[part]; f != nil && f.away {
		return PartAway
	}
	answered := h.answeredAt[part]
	if h.suspected(now) && (answered.Before(h.suspectFrom) || now.Sub(answered) > answerValid) {
		return PartSuspect
	}
	return PartAnswers
}

// suspected reports whether parts of which nothing is known are suspected.
func (h *PartHealth) suspected(now time.Time) bool { return now.Before(h.suspectUntil) }

// Suspect notes that parts are away, as another node reports.
func (h *PartHealth) Suspect(now time.Time) { h.suspectSince(now, now) }

func (h *PartHealth) suspectSince(from, now time.Time) {
	if !h.suspected(now) {
		h.suspectFrom = from
	}
	h.suspectUntil = now.Add(suspectFor)
}

// Failed notes that a call of a part, sent at the given time, has got no answer. It reports
// whether the part counts as away from now on. ServiceAnswered is when a call of any part was
// last answered: while none is, the service itself is unavailable, which says nothing about the
// part.
func (h *PartHealth) Failed(part string, sent, now, serviceAnswered time.Time) (becameAway bool) {
	f := h.failing[part]
	if f == nil || (!f.away && now.Sub(f.last) > partFailureGap) {
		if answered := h.answeredAt[part]; answered.After(sent) {
			sent = answered
		}
		f = &partFailures{since: sent}
		h.makeRoom()
		h.failing[part] = f
	}
	f.count++
	f.last = now
	if f.away {
		h.suspectSince(f.since, now)
		return false
	}
	run := f.count >= partAwayFailures && now.Sub(f.since) >= partAwayAfter
	if (run || h.suspected(now)) && serviceAnswered.After(f.since) {
		f.away, f.probedAt = true, now
		h.suspectSince(f.since, now)
		return true
	}
	return false
}

// Answered notes that a call of a part was answered. If the part was away, it returns for how
// long.
func (h *PartHealth) Answered(part string, now time.Time) (outage time.Duration, wasAway bool) {
	if len(h.answeredAt) >= MaxTrackedParts {
		clear(h.answeredAt)
	}
	h.answeredAt[part] = now
	f := h.failing[part]
	if f == nil {
		return 0, false
	}
	delete(h.failing, part)
	return now.Sub(f.since), f.away
}

// Reset forgets all failures, after the service as a whole was unavailable.
func (h *PartHealth) Reset() {
	clear(h.failing)
	h.suspectUntil = time.Time{}
}

// Away returns how many parts are away.
func (h *PartHealth) Away() (n int) {
	for _, f := range h.failing {
		if f.away {
			n++
		}
	}
	return n
}

// StartProbe reports whether a part that is away is due for a probe, the last one having been
// sent at least interval ago, and if so notes that one is sent.
func (h *PartHealth) StartProbe(part string, now time.Time, interval time.Duration) bool {
	f := h.failing[part]
	if f == nil || !f.away || now.Sub(f.probedAt) < interval {
		return false
	}
	f.probedAt = now
	return true
}

// DueProbes returns up to n parts that are away and have not been probed for interval, those
// that have waited longest first.
func (h *PartHealth) DueProbes(now time.Time, interval time.Duration, n int) []string {
	var due []string
	for part, f := range h.failing {
		if f.away && now.Sub(f.probedAt) >= interval {
			due = append(due, part)
		}
	}
	slices.SortFunc(due, func(a, b string) int { return h.failing[a].probedAt.Compare(h.failing[b].probedAt) })
	return due[:min(n, len(due))]
}

// makeRoom drops the failures of the part that failed longest ago if there are too many.
func (h *PartHealth) makeRoom() {
	if len(h.failing) < MaxTrackedParts {
		return
	}
	var oldest string
	for part, f := range h.failing {
		if oldest == "" || f.last.Before(h.failing[oldest].last) {
			oldest = part
		}
	}
	delete(h.failing, oldest)
}
