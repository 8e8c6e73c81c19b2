// SPDX-License-Identifier: Apache-2.0

package forecast

import "time"

// This file addresses shards whose demand exceeds their capacity: it tells how long work that
// arrives now would wait.

const (
	// minShare is the least share of the capacity that is assumed to be left by more urgent work.
	minShare = 0.1
	// minUsableShare is the least share of the capacity that is assumed to be usable. A shard in
	// which work waits uses less than all, since tasks don't fill the workers exactly; but it may
	// also have been empty a moment ago.
	minUsableShare = 0.5
	// absorbTime is within which time free capacity takes ready work: work that waits for advice
	// or for an answer to its start does not show that capacity is short.
	absorbTime = time.Second
	// maxForecast bounds the forecast times, so that absurd figures don't overflow them.
	maxForecast = 1000 * time.Hour
	// assumedLow is QueueStats.Low of a queue of which nothing is known; where it was measured, it
	// was 0.8 to 0.9.
	assumedLow = 0.7
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
	return Estimate{Start: start, End: end, EndLow: scale(end, min(1, q.Low)), Known: true}
}

// Wait returns how long a job that arrives now waits for capacity, in all of its steps, by the
// model alone, without what was learned about its queue.
func (s *Summary) Wait(j Job, age time.Duration) time.Duration {
	a := s.workAhead(j)
	if s.FreeMilli >= j.WidestMilli && a.ready <= float64(s.FreeMilli)*absorbTime.Seconds() {
		return 0
	}
	if a.waiting <= 0 {
		return max(0, s.timeUntilFree(j.WidestMilli)-age)
	}
	usable := max(float64(s.CapacityMilli-s.FreeMilli), minUsableShare*float64(s.CapacityMilli))
	least := minShare * float64(s.CapacityMilli)
	available := max(usable-a.urgent, least)
	wait := (a.waiting + a.overtaking*a.overtakingFor.Seconds()) / available
	if wait < a.overtakingFor.Seconds() {
		// Work that overtakes the job comes for as long as it waits.
		wait = min(a.overtakingFor.Seconds(), a.waiting/max(available-a.overtaking, least))
	}
	return max(0, seconds(wait)-age)
}

// ahead is the work that goes before a job.
type ahead struct {
	// waiting waits now, of which ready could run if there were capacity, in milli-CPU x seconds.
	waiting, ready float64
	// urgent is the rate at which more urgent work will come, and overtaking that of work of the
	// job's priority, which is due before the job if it comes within overtakingFor; in milli-CPU.
	urgent, overtaking float64
	overtakingFor      time.Duration
}

func (s *Summary) workAhead(j Job) (a ahead) {
	for i := range s.Lanes {
		l := &s.Lanes[i]
		switch {
		case l.Priority < j.Priority:
			a.urgent += float64(l.ArrivalMilli)
			a.waiting, a.ready = a.waiting+l.total(), a.ready+l.ready()
		case l.Priority == j.Priority:
			a.waiting, a.ready = a.waiting+l.dueBefore(j.Due), a.ready+l.ready()
			if l.DueMS > 0 {
				a.overtaking, a.overtakingFor = float64(l.ArrivalMilli), max(0, j.Due-time.Duration(l.DueMS)*time.Millisecond)
			}
		}
	}
	return a
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

func (l *Lane) total() (sum float64) {
	for _, work := range l.Waiting {
		sum += float64(work)
	}
	return sum
}

// ready returns the waiting work that could run if there were capacity.
func (l *Lane) ready() float64 { return max(0, l.total()-float64(l.NotReady)) }

// dueBefore returns the waiting work that is due before a time from now. Within a bucket the due
// times are assumed to be spread evenly, up to the latest one.
func (l *Lane) dueBefore(due time.Duration) (sum float64) {
	for i, work := range l.Waiting {
		sum += float64(work) * l.shareBefore(i, due)
	}
	return sum
}

// shareBefore returns which share of a bucket is due before a time from now.
func (l *Lane) shareBefore(bucket int, due time.Duration) float64 {
	if bucket == 0 {
		return 1
	}
	from, to, latest := DueBounds[bucket-1], 2*DueBounds[bucket-1], time.Duration(l.LatestMS)*time.Millisecond
	switch {
	case bucket == len(DueBounds):
		to = max(to, latest)
	case latest > from:
		to = min(DueBounds[bucket], latest)
	default:
		to = DueBounds[bucket]
	}
	return min(1, max(0, float64(due-from)/float64(to-from)))
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
	if q.Low == 0 {
		q.Low = assumedLow
	}
	return q
}

func orOne(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

// scale returns a multiple of a duration, up to maxForecast.
func scale(d time.Duration, by float64) time.Duration { return seconds(d.Seconds() * by) }

// seconds returns a duration, up to maxForecast.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxForecast.Seconds()) * float64(time.Second))
}
