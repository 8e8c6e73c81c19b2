// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"math"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// This file decides in which order waiting work is placed.
//
// It answers a load in which one team sends many times its weight while all workers are full. By
// priority and due time alone its jobs would delay all that come after them, those of other teams
// and its own. What a team sends beyond its weight therefore waits for what is within.

// Rank orders work: what is beyond its team's weight last, then by priority, then, in an
// overloaded shard, by whether it can still end on time, and by the time at which it is due. What
// is of no use any more is ordered by acceptance.
type Rank struct {
	BeyondWeight  bool
	Priority      int
	Lateness      Lateness
	Due, Accepted time.Time
}

// Before reports whether r comes before o.
func (r Rank) Before(o Rank) bool { return r.compare(o) < 0 }

func (r Rank) compare(o Rank) int {
	c := cmp.Or(compareBool(r.BeyondWeight, o.BeyondWeight), cmp.Compare(r.Priority, o.Priority), cmp.Compare(r.Lateness, o.Lateness))
	if c == 0 && r.Lateness == OfNoUse {
		c = r.Accepted.Compare(o.Accepted)
	}
	return cmp.Or(c, r.Due.Compare(o.Due))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

const (
	// weightWindow is the time over which a team's jobs are counted, and keptWindows for how many
	// windows that is remembered: a new owner loads jobs in any order.
	weightWindow = 2 * time.Second
	keptWindows  = 30
	// maxDeferral is how long after its due time a job beyond its team's weight is deferred at
	// most, so that it ends even if others never stop coming.
	maxDeferral = 20 * time.Second
)

// countJob counts a job that a team has sent, and reports whether the team has sent more in the
// same time than its weight, in jobs a second, allows. The shards of a service get equal shares
// of the jobs.
func (s *Shard) countJob(t *teamState, j *cluster.Job) (beyondWeight bool) {
	if t == nil || !t.known {
		return false
	}
	window := j.AcceptedMS / weightWindow.Milliseconds()
	if window > t.lastWindow {
		t.lastWindow = window
		for w := range t.jobsIn {
			if w < window-keptWindows {
				delete(t.jobsIn, w)
			}
		}
	}
	t.jobsIn[window]++
	allowed := 1 + math.Ceil(t.weight*weightWindow.Seconds()/float64(max(1, s.params.Shards)))
	return float64(t.jobsIn[window]) > allowed
}

// endDeferral lets jobs beyond their team's weight take their turn once they were deferred for
// long enough.
func (s *Shard) endDeferral(now time.Time) {
	changed := false
	for _, j := range s.active {
		if j.rank.BeyondWeight && now.Sub(j.rank.Due) > maxDeferral {
			j.rank.BeyondWeight, j.deferralEnded, changed = false, true, true
		}
	}
	if changed {
		s.sortActive()
	}
}
