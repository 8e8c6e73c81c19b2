// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// freshAge is the age up to which a run may have caused a crash right after its start. A
	// crash without such a run is spontaneous.
	freshAge = 500 * time.Millisecond
	// crashRateWindow bounds the uptime of a worker that counts for the rate of crashes.
	crashRateWindow = 30 * time.Second
	// There is a burst while more than burstShare of the workers, and more than one, have
	// crashed spontaneously within burstWindow. A crash says nothing about a task then.
	burstShare  = 0.05
	burstWindow = 10 * time.Second
)

// explainedCrash is a crash that was not spontaneous, and the uptime that its worker had.
type explainedCrash struct {
	at     time.Time
	uptime time.Duration
}

// noteCrash notes a crash for the rate of spontaneous crashes.
func (s *Shard) noteCrash(now, at time.Time, w *worker) {
	s.lastCrashAt = now
	if len(w.isolated) > 0 {
		s.isolatedCrashes = append(s.isolatedCrashes, now)
	}
	if w.crashExplained(at) {
		s.explainedCrashes = append(s.explainedCrashes, explainedCrash{now, min(w.uptime(at), crashRateWindow)})
		return
	}
	s.spontaneousCrashes = append(s.spontaneousCrashes, now)
}

// crashExplained reports whether a run on a crashed worker may be the cause: it had just
// started, or a worker crashed under its task at the same age before.
func (w *worker) crashExplained(at time.Time) bool {
	for _, r := range w.runs {
		age := at.Sub(r.startedAt)
		if age <= freshAge || (r.task.suspect() && r.task.crashes.ageDifference(age) <= ageError) {
			return true
		}
	}
	return false
}

// spontaneousChance returns the probability that a worker crashes spontaneously within a time
// window, by the rate at which workers do; 1 during a burst. The workers' uptimes tell also a
// new owner for how long they have not crashed.
func (s *Shard) spontaneousChance(now time.Time, window time.Duration) float64 {
	if s.inCrashBurst(now) {
		return 1
	}
	s.explainedCrashes = slices.DeleteFunc(s.explainedCrashes, func(e explainedCrash) bool { return now.Sub(e.at) > crashRateWindow })
	uptime := time.Duration(0)
	for _, w := range s.workerList {
		uptime += min(w.uptime(now), crashRateWindow)
	}
	for _, e := range s.explainedCrashes {
		uptime += e.uptime
	}
	// One more crash than was seen, since a short time without any shows little.
	rate := float64(len(s.spontaneousCrashes)+1) / max(1, uptime.Seconds())
	return max(1-math.Exp(-rate*window.Seconds()), minCrashChance)
}

// inCrashBurst reports whether many workers crash spontaneously at present.
func (s *Shard) inCrashBurst(now time.Time) bool {
	s.spontaneousCrashes = dropBefore(s.spontaneousCrashes, now.Add(-burstWindow))
	return len(s.spontaneousCrashes) > max(1, int(burstShare*float64(len(s.workerList))))
}

// uptime returns for how long the worker has been running, by its own clock.
func (w *worker) uptime(now time.Time) time.Duration {
	return time.Duration(w.clockMS)*time.Millisecond + now.Sub(w.clockAt)
}

// dropBefore returns the times of a list in ascending order that are not before a limit.
func dropBefore(list []time.Time, limit time.Time) []time.Time {
	n := 0
	for n < len(list) && list[n].Before(limit) {
		n++
	}
	return list[n:]
}
