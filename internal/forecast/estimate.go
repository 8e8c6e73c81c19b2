// SPDX-License-Identifier: Apache-2.0

package forecast

import "time"

// This file addresses shards whose demand exceeds their capacity: it tells how long work that
// arrives now would wait.

const (
	// minShare is the least share of the capacity that is assumed to be left by more urgent work.
	minShare = 0.1
	// lowErrors is how many median errors the end of a tenth of jobs lies before the forecast:
	// the ratio of the two quantiles of a normal distribution.
	lowErrors = 1.9
	// assumedError is the median error of a queue of which nothing is known.
	assumedError = 0.15
)

// Estimate forecasts when a job that arrives now would start and end. age is the time since the
// summary was received.
func (s *Summary) Estimate(j Job, age time.Duration) Estimate {
	if s == nil || age < 0 || age > MaxAge || s.CapacityMilli <= 0 {
		return Estimate{}
	}
	q := s.queue(j.Queue)
	start := scale(s.Wait(j, age), q.Bias) + time.Duration(q.StartDelayMS)*time.Millisecond
	run := scale(j.CriticalPath, q.Ratio)
	end := start + run
	low := max(scale(run, 1-q.ErrorP50), scale(end, 1-lowErrors*q.ErrorP50))
	return Estimate{Start: start, End: end, EndLow: min(low, end), Known: true}
}

// Wait returns how long a job that arrives now waits for its first start by the model alone,
// without what was learned about its queue.
func (s *Summary) Wait(j Job, age time.Duration) time.Duration {
	ahead, urgent := s.workAhead(j)
	if ahead <= 0 {
		return max(0, s.timeUntilFree(j.WidestMilli)-age)
	}
	available := max(float64(s.CapacityMilli)-urgent, minShare*float64(s.CapacityMilli))
	return max(0, seconds(ahead/available)-age)
}

// timeUntilFree returns when that much CPU is free if nothing else takes it. The runs are assumed
// to end evenly over twice their mean remaining time.
func (s *Summary) timeUntilFree(milli int64) time.Duration {
	needed, used := float64(milli-s.FreeMilli), float64(s.CapacityMilli-s.FreeMilli)
	if needed <= 0 || used <= 0 {
		return 0
	}
	running := 0.0
	for _, l := range s.Lanes {
		running += float64(l.Running)
	}
	return seconds(2 * running / used * min(1, needed/used))
}

// workAhead returns the waiting work that starts before the job, and the rate at which more urgent
// work arrives, in milli-CPU. Jobs that have begun occupy their part of the capacity with one step
// after the other, also at the time when the job starts, so that what of them waits now delays no
// start.
func (s *Summary) workAhead(j Job) (ahead, urgent float64) {
	for i := range s.Lanes {
		l := &s.Lanes[i]
		switch {
		case l.Priority < j.Priority:
			urgent += float64(l.ArrivalMilli)
			ahead += l.notBegun(l.total())
		case l.Priority == j.Priority:
			ahead += l.notBegun(l.dueBefore(j.Due))
		}
	}
	return ahead, urgent
}

// notBegun returns the part of some waiting work that belongs to jobs that have not begun.
func (l *Lane) notBegun(work float64) float64 { return max(0, work-float64(l.Begun)) }

func (l *Lane) total() (sum float64) {
	for _, work := range l.Waiting {
		sum += float64(work)
	}
	return sum
}

// dueBefore returns the waiting work that is due before a time from now. Within a bucket the due
// times are assumed to be spread evenly.
func (l *Lane) dueBefore(due time.Duration) (sum float64) {
	for i, work := range l.Waiting {
		share := 1.0
		if i > 0 {
			from, to := DueBounds[i-1], 2*DueBounds[i-1]
			if i < len(DueBounds) {
				to = DueBounds[i]
			}
			share = min(1, max(0, float64(due-from)/float64(to-from)))
		}
		sum += share * float64(work)
	}
	return sum
}

// queue returns the statistics of a queue, with neutral values for those that are not known.
func (s *Summary) queue(name string) QueueStats {
	q := QueueStats{Queue: name, Approved: 1}
	for i := range s.Queues {
		if s.Queues[i].Queue == name {
			q = s.Queues[i]
		}
	}
	q.Ratio, q.Bias = orOne(q.Ratio), orOne(q.Bias)
	if q.ErrorP50 == 0 {
		q.ErrorP50 = assumedError
	}
	return q
}

func orOne(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
