// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// This file decides which jobs of one priority wait behind the others.
//
// It answers a load above the shard's capacity that lasts. By due time alone, jobs that are late
// already come before those that can still end on time, so that after a while each job ends
// slightly too late. Jobs that have not begun and can't end on time therefore wait behind those
// that can. Jobs that have begun do not: the work that is done would be lost, and the capacity
// that a late job still needs is less than that of a new one.

// Lateness says whether a job is expected to meet its objective. Jobs of one priority are
// ordered by it while the shard is overloaded.
type Lateness uint8

const (
	// InTime jobs can still end on time, or keep their turn although they are late.
	InTime Lateness = iota
	// Late jobs have not begun and can't end on time, but can still be of use.
	Late
	// OfNoUse jobs have not begun and can only end too late to be of any use.
	OfNoUse
)

const (
	// latenessInterval is how often the jobs' lateness is determined.
	latenessInterval = 100 * time.Millisecond
	// overloadBegins and overloadEnds are the loads at which a shard begins and ceases to be
	// overloaded. They differ since the load of a full shard varies by some percent with each
	// job that comes or ends.
	overloadBegins = 1.0
	overloadEnds   = 0.9
	// usefulObjectives is the multiple of its objective up to which a job is of use.
	usefulObjectives = 3
	// maxHopelessWait is how much later than on time a job is expected to end at most before it
	// takes its turn by due time. A job that has not begun is expected to end later by the time
	// that it has waited since it could last be on time, so this bounds its wait behind others,
	// also over changes of the owner.
	maxHopelessWait = 60 * time.Second
)

// updateLateness determines every latenessInterval which jobs wait behind others of their
// priority, and orders the jobs accordingly.
func (s *Shard) updateLateness(now time.Time) {
	if now.Sub(s.latenessAt) < latenessInterval {
		return
	}
	s.latenessAt = now
	s.overloaded = isOverloaded(s.overloaded, s.load)
	s.ordering.arrange(s, now)
}

// ordering is a policy for the order of waiting work.
type ordering struct {
	// arrange determines the ranks of the active jobs and sorts them.
	arrange func(s *Shard, now time.Time)
	// reservationsYield is set if reservations in an overloaded shard yield to jobs that come
	// before the one that holds them.
	reservationsYield bool
}

// byLateness is the policy in use unless Params.OrderByDue is set.
var (
	byLateness = ordering{(*Shard).orderByLateness, true}
	byDue      = ordering{func(*Shard, time.Time) {}, false}
)

// ordering returns the policy of a shard.
func (p *Params) ordering() ordering {
	if p.OrderByDue {
		return byDue
	}
	return byLateness
}

// isOverloaded reports whether a shard is overloaded, by whether it was and by its load.
func isOverloaded(was bool, load float64) bool {
	return load > overloadBegins || (was && load > overloadEnds)
}

// orderByLateness orders the jobs by rank after their lateness was determined.
func (s *Shard) orderByLateness(now time.Time) {
	changed := false
	for _, j := range s.active {
		l := InTime
		if s.overloaded && j.yieldsWhenLate() {
			l = lateness(now, j.rank, s.remainingPath(now, j))
		}
		if l != j.rank.Lateness {
			j.rank.Lateness, changed = l, true
		}
	}
	if changed {
		s.sortActive()
	}
}

// sortActive sorts the unfinished jobs after ranks have changed.
func (s *Shard) sortActive() {
	slices.SortStableFunc(s.active, func(a, b *job) int { return a.rank.compare(b.rank) })
}

// lateness returns the lateness of a job that needs the given time from now to its end.
func lateness(now time.Time, r Rank, remaining time.Duration) Lateness {
	late := now.Add(remaining).Sub(r.Due)
	switch {
	case late <= 0, late > maxHopelessWait:
		return InTime
	case late < (usefulObjectives-1)*r.Due.Sub(r.Accepted):
		return Late
	}
	return OfNoUse
}

// hasObjective reports whether the job has an objective by which it can be late. Long-running
// tasks have none, and the due time of a periodic job says nothing about its later repeats.
func (j *job) hasObjective() bool {
	return (j.spec.Policy.Stretch > 0 || j.spec.Policy.TargetMS > 0) && j.rank.Priority != longRunningPriority && j.spec.Repeats == 0
}

// yieldsWhenLate reports whether the job waits behind others if it will be late. Jobs of the most urgent
// priority do not: they preempt others, so that they are late by their own run times rather than by
// waiting, and a job that is on its way to being on time would be put behind.
func (j *job) yieldsWhenLate() bool {
	return j.hasObjective() && j.rank.Priority > mostUrgentPriority && !j.rank.BeyondWeight && !j.keepsTurn()
}

// mostUrgentPriority is that of the queues whose jobs come first.
const mostUrgentPriority = 0

// keepsTurn reports whether the job keeps its turn also when it is late: it has begun, has been
// deferred for long enough already, or has a gang, for which room is reserved by its place in
// the order.
func (j *job) keepsTurn() bool {
	return j.begun || j.deferralEnded || slices.ContainsFunc(j.spec.Steps, func(st cluster.Step) bool { return st.Gang })
}

// remainingPath returns how long the job is expected to take from now to its end if all tasks
// that can start do so at once, and later steps once their tasks find room one after the other.
func (s *Shard) remainingPath(now time.Time, j *job) (latest time.Duration) {
	var ends []time.Duration
	for _, rep := range j.repeats {
		ends = ends[:0]
		for _, st := range rep.steps {
			start := time.Duration(0)
			for _, k := range st.spec.After {
				start = max(start, ends[k])
			}
			end := start + s.remainingStep(now, st)
			ends = append(ends, end)
			latest = max(latest, end)
		}
	}
	return latest
}

// remainingStep returns how long a step is expected to take to the end of its last task.
func (s *Shard) remainingStep(now time.Time, st *step) (left time.Duration) {
	if st.done == st.spec.Count {
		return 0
	}
	if st.pristine > 0 {
		return s.expectedStragglerTime(st) + s.startSpread(st)
	}
	for _, t := range st.tasks {
		switch {
		case t.done:
		case len(t.runs) == 0:
			return s.expectedStragglerTime(st) + s.startSpread(st)
		default:
			left = max(left, s.remainingTime(now, t.runs[0]))
		}
	}
	return left
}

// expectedStragglerTime returns how long the longest task of a step should take. If run times
// deviate evenly, the longest of many deviates by twice the mean.
func (s *Shard) expectedStragglerTime(st *step) time.Duration {
	d := s.expectedTime(st)
	if r := s.learnedRatio(st); r != nil && st.spec.Count > 1 {
		d += time.Duration(float64(d) * 2 * min(r.deviation, maxDeviation))
	}
	return d
}
