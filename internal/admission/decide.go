// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"time"

	"switchbank.example/switchbank/internal/forecast"
)

// This file addresses shards whose backlog is so long that work which arrives now would end too
// late. With less load every job is admitted.

// minWaitShare is the wait, as a share of the objective, up to which a job is admitted in any case.
// A job that ends late after a shorter wait does so for another reason than the load, such as a
// wrong estimate, and refusing it would not help.
const minWaitShare = 0.25

// Applies reports whether jobs like this one may be refused at all.
func (p *Policy) Applies(r *Request) bool {
	return p.Enabled && !r.Exempt && r.Job.Objective > 0
}

// Decide decides whether a job is accepted, by the summaries of the shards that may run it. It is
// refused only if none of them can end it within the bounds.
func (p *Policy) Decide(r Request, shards []ShardView) Decision {
	if !p.Applies(&r) {
		return Decision{Admit: true, Reason: ReasonExempt}
	}
	if len(shards) == 0 {
		return Decision{Admit: true, Reason: ReasonUnknown}
	}
	if r.ServiceMilli <= 0 {
		r.ServiceMilli = ServiceCapacity(shards)
	}
	var best verdict
	for i, v := range shards {
		if next := p.judge(&r, v); i == 0 || next.betterThan(best) {
			best = next
		}
	}
	if best.Admit {
		return best.Decision
	}
	best.RetryAfter = retryAfter(r.ID, best.excess+r.expectedDelay(r.Expected.Ahead))
	if r.Deadline > 0 && best.RetryAfter > r.Deadline && best.Reason == ReasonOverloaded {
		best.Reason = ReasonBeyondDeadline
	}
	return best.Decision
}

// ServiceCapacity returns the CPU of shards. Those whose summaries are not known count with the mean
// of the others.
func ServiceCapacity(shards []ShardView) int64 {
	sum, known := int64(0), 0
	for _, v := range shards {
		if v.Summary != nil {
			sum += v.Summary.CapacityMilli
			known++
		}
	}
	return sum * int64(len(shards)) / int64(max(1, known))
}

// Choose returns the index of the shard for a job. This is the first one, unless the policy bounds
// the expected end or the waiting work, that shard is overloaded, the forecasts of all are known,
// and the job ends earlier in another one. Without these bounds, which keep the backlog short,
// short jobs ended late more often than by load alone: summaries are up to 0.3 s old, and nodes
// choose alike meanwhile.
func (p *Policy) Choose(r Request, shards []ShardView) (best int) {
	if !p.Applies(&r) || (p.ExpectUntil <= 0 && p.MaxWaiting <= 0) {
		return 0
	}
	var earliest time.Duration
	for i, v := range shards {
		e := v.Summary.Estimate(r.Job, v.Age)
		if !e.Known || (i == 0 && !waits(&r, v.Summary, v.Age)) {
			return 0
		}
		if i == 0 || e.End < earliest {
			best, earliest = i, e.End
		}
	}
	return best
}

// waits reports whether a job waits behind others, for so long that this may make it late. Where no
// work waits, the capacity that comes free would be left idle if the job were refused.
func waits(r *Request, s *forecast.Summary, age time.Duration) bool {
	return queued(s, r.Job.Priority) > 0 && s.Wait(r.Job, age) > r.objectives(minWaitShare)
}

// queued returns the work of the same or a more urgent priority that waits for capacity.
func queued(s *forecast.Summary, priority int) (sum int64) {
	for i := range s.Lanes {
		if l := &s.Lanes[i]; l.Priority <= priority {
			sum += ready(l)
		}
	}
	return sum
}

// ready returns the work of a lane that waits for capacity, and not for earlier steps.
func ready(l *forecast.Lane) (waiting int64) {
	for _, work := range l.Waiting {
		waiting += work
	}
	return max(0, waiting-l.NotReady)
}

// verdict is the decision for one shard. excess is how much the wait has to shrink for the job to
// be admitted.
type verdict struct {
	Decision
	excess time.Duration
}

func (v verdict) betterThan(o verdict) bool {
	if v.Admit != o.Admit {
		return v.Admit
	}
	return v.excess < o.excess
}

// judge decides for one shard.
func (p *Policy) judge(r *Request, v ShardView) verdict {
	admit := func(why Reason) verdict { return verdict{Decision: Decision{Admit: true, Reason: why}} }
	e := v.Summary.Estimate(r.Job, v.Age)
	switch {
	case !e.Known:
		return admit(ReasonUnknown)
	case r.GangMilli > v.Summary.CapacityMilli:
		// Only several shards together can run the gang.
		return admit(ReasonExempt)
	case v.Summary.Wait(r.Job, v.Age) == 0:
		return admit(ReasonFits)
	case !waits(r, v.Summary, v.Age) && (!r.Returning || r.Sent+e.Start+e.End <= r.objectives(p.AcceptUntil)):
		// A job that returns has to be of use also if it waits for twice as long as forecast.
		return admit(ReasonSoon)
	}
	worst := admit(ReasonWithinBound)
	for _, c := range p.checks(r, v.Summary, e) {
		if c.actual <= c.bound {
			continue
		}
		excess := time.Duration(float64(c.actual-c.bound) * c.waitPerUnit)
		if worst.Admit || excess > worst.excess {
			worst = verdict{Decision{Reason: c.why, Forecast: c.actual, Bound: c.bound}, excess}
		}
	}
	return worst
}

// check compares a forecast with its bound. waitPerUnit is by how much the wait has to shrink for
// the forecast to shrink by one unit.
type check struct {
	why           Reason
	actual, bound time.Duration
	waitPerUnit   float64
}

// checks returns the checks of the policy for a shard.
func (p *Policy) checks(r *Request, s *forecast.Summary, e forecast.Estimate) []check {
	end, low := e.End+r.Sent, e.EndLow+r.Sent
	list := []check{{ReasonOverloaded, low, r.objectives(p.AcceptUntil), float64(e.End) / float64(max(1, e.EndLow))}}
	if p.ExpectUntil > 0 {
		list = append(list, check{ReasonOverloaded, end, r.objectives(p.ExpectUntil), 1})
	}
	if p.NewUntil > 0 && !r.Returning && r.Expected.Class > 0 {
		list = append(list, check{ReasonOverloaded, end + r.expectedDelay(r.Expected.Class), r.objectives(p.NewUntil), 1})
	}
	if p.MaxWaiting > 0 {
		list = append(list, check{ReasonBudget, teamWait(r, s), time.Duration(p.MaxWaiting * float64(time.Second)), 1 / max(minTeamShare, r.TeamShare)})
	}
	return list
}

// objectives returns a multiple of the job's objective.
func (r *Request) objectives(times float64) time.Duration {
	return time.Duration(times * float64(r.Job.Objective))
}

// minTeamShare bounds the wait that is assumed for a team of which little work is known.
const minTeamShare = 0.05

// teamWait returns the work of the job's team and priority that waits for capacity, as the time in
// which the whole shard would do it. A summary holds the waiting work of a priority; the team's part of it is
// assumed to be its share of the work that was accepted lately.
func teamWait(r *Request, s *forecast.Summary) time.Duration {
	waiting := int64(0)
	for i := range s.Lanes {
		if l := &s.Lanes[i]; l.Priority == r.Job.Priority {
			waiting = ready(l)
		}
	}
	return time.Duration(r.TeamShare * float64(waiting) / float64(max(1, s.CapacityMilli)) * float64(time.Second))
}

// expectedDelay returns by how much work that is expected to return delays the job: the shards of
// the service share it.
func (r *Request) expectedDelay(work int64) time.Duration {
	return time.Duration(float64(work) / float64(max(1, r.ServiceMilli)) * float64(time.Second))
}
