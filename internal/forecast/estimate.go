// SPDX-License-Identifier: Apache-2.0

package forecast

import "time"

// This file addresses shards whose demand exceeds their capacity: it tells how long work that
// arrives now would wait.

// minShare is the least share of the capacity that is assumed to be left by more urgent work.
const minShare = 0.1

// lowShare is the share of the expected wait that an optimistic forecast assumes.
const lowShare = 0.5

// Estimate forecasts when a job that arrives now would start and end. age is the time since the
// summary was received.
func (s *Summary) Estimate(j Job, age time.Duration) Estimate {
	if s == nil || age < 0 || age > MaxAge || s.CapacityMilli <= 0 {
		return Estimate{}
	}
	ahead, urgent := s.workAhead(j)
	var start time.Duration
	if ahead > 0 || s.FreeMilli < j.WidestMilli {
		available := max(float64(s.CapacityMilli)-urgent, minShare*float64(s.CapacityMilli))
		start = max(0, time.Duration(ahead/available*float64(time.Second))-age)
	}
	q := s.queue(j.Queue)
	run := time.Duration(float64(j.CriticalPath)*q.Ratio) + time.Duration(q.StartDelayMS)*time.Millisecond
	return Estimate{Start: start, End: start + run, EndLow: time.Duration(lowShare*float64(start)) + run, Known: true}
}

// workAhead returns the waiting work that goes before the job, and the rate at which more urgent
// work arrives, in milli-CPU.
func (s *Summary) workAhead(j Job) (ahead, urgent float64) {
	for i := range s.Lanes {
		l := &s.Lanes[i]
		switch {
		case l.Priority < j.Priority:
			urgent += float64(l.ArrivalMilli)
			for _, work := range l.Waiting {
				ahead += float64(work)
			}
		case l.Priority == j.Priority:
			ahead += l.dueBefore(j.Due)
		}
	}
	return ahead, urgent
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

// queue returns the statistics of a queue, with neutral values if none are known.
func (s *Summary) queue(name string) QueueStats {
	for _, q := range s.Queues {
		if q.Queue == name {
			return q
		}
	}
	return QueueStats{Queue: name, Ratio: 1, Approved: 1}
}
