// SPDX-License-Identifier: Apache-2.0

package scheduler

import "time"

// This file walks the dependencies between the steps of a job. Their number is bounded only by
// the size of a submission, and every round of decisions asks about them. Each walk therefore
// visits every step and every dependency once, and its result is kept.

// pathTTL is how long the lengths of paths are kept: the expected times on which they rest
// change by a few percent with each task that ends.
const pathTTL = scanInterval

// paths are the lengths of the paths from the steps of a repeat to the end of the job.
type paths struct {
	// lengths has, for each step, the expected time from its start to the end of the job.
	lengths []time.Duration
	at      time.Time
}

// dependenciesDone reports whether all steps that this one depends on are done. A step that is
// done stays so, and is not visited again.
func (st *step) dependenciesDone() bool {
	for st.depsDone < len(st.spec.After) {
		if dep := st.repeat.steps[st.spec.After[st.depsDone]]; dep.done < dep.spec.Count {
			return false
		}
		st.depsDone++
	}
	return true
}

// openDependencies returns the numbers of the steps that this one still depends on. It may
// include some that are done, but not the first.
func (st *step) openDependencies() []int {
	st.dependenciesDone()
	return st.spec.After[st.depsDone:]
}

// slack returns for how long a step may wait without making its job late.
func (s *Shard) slack(now time.Time, st *step) time.Duration {
	return st.job.rank.Due.Sub(now) - s.criticalPathFrom(now, st)
}

// criticalPathFrom returns how long the work from the start of a step to the end of its
// job is expected to take.
func (s *Shard) criticalPathFrom(now time.Time, st *step) time.Duration {
	rep := st.repeat
	if rep.paths.lengths == nil || now.Sub(rep.paths.at) >= pathTTL {
		s.updatePaths(now, rep)
	}
	return rep.paths.lengths[st.id.Step]
}

// updatePaths computes the lengths of all paths of a repeat. Steps depend on earlier ones only,
// so that each step's length is complete when the loop comes to it.
func (s *Shard) updatePaths(now time.Time, rep *repeat) {
	if rep.paths.lengths == nil {
		rep.paths.lengths = make([]time.Duration, len(rep.steps))
	}
	lengths := rep.paths.lengths
	clear(lengths)
	for i := len(rep.steps) - 1; i >= 0; i-- {
		st := rep.steps[i]
		lengths[i] += s.expectedTime(st)
		for _, k := range st.spec.After {
			lengths[k] = max(lengths[k], lengths[i])
		}
	}
	rep.paths.at = now
}

// stepEnd is when the tasks of a step are expected to have ended, as of a round of decisions.
type stepEnd struct {
	// known is false while a task of the step waits.
	known bool
	in    time.Duration
	round int64
}

// expectedEnd returns in what time all tasks of a step are expected to have ended; known is
// false if one of them waits. It is computed once in a round, since each step that depends on
// this one asks.
func (s *Shard) expectedEnd(now time.Time, st *step) (in time.Duration, known bool) {
	if st.end.round != s.round {
		in, known := s.lastTaskEnd(now, st)
		st.end = stepEnd{known: known, in: in, round: s.round}
	}
	return st.end.in, st.end.known
}

// lastTaskEnd is expectedEnd without regard to what was computed before.
func (s *Shard) lastTaskEnd(now time.Time, st *step) (in time.Duration, known bool) {
	if st.pristine > 0 {
		return 0, false
	}
	for _, t := range st.tasks {
		switch {
		case t.done:
		case len(t.runs) == 0:
			return 0, false
		default:
			in = max(in, s.remainingTime(now, t.runs[0]))
		}
	}
	return in, true
}
