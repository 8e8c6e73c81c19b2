// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// crashRateWindow is the time for which a crash with suspects is kept, and bounds the
	// uptime of a worker that counts for the rate of crashes.
	crashRateWindow = 30 * time.Second
	// There is a burst while more than burstShare of the workers, and more than one, have
	// crashed spontaneously within burstWindow. A crash says nothing about a task then.
	burstShare  = 0.05
	burstWindow = 10 * time.Second
)

// suspectCrash is a crash with suspects that have not been cleared. Once all of them are, it
// was spontaneous.
type suspectCrash struct {
	at time.Time
	// uptime is that of the worker.
	uptime   time.Duration
	suspects map[*task]bool
}

// noteCrash notes a crash, and the runs under which it happened, until these are cleared.
func (s *Shard) noteCrash(now time.Time, w *worker, runs []*run) {
	s.lastCrashAt = now
	if len(w.isolated) > 0 {
		s.isolatedCrashes = append(s.isolatedCrashes, now)
	}
	if len(runs) == 0 {
		return
	}
	c := suspectCrash{now, min(w.uptime(now), crashRateWindow), make(map[*task]bool, len(runs))}
	for _, r := range runs {
		c.suspects[r.task] = true
	}
	s.suspectCrashes = append(s.suspectCrashes, c)
}

// clearFromCrashes records that a task is not the cause of the crashes under it.
func (s *Shard) clearFromCrashes(t *task) {
	s.suspectCrashes = slices.DeleteFunc(s.suspectCrashes, func(c suspectCrash) bool {
		if !c.suspects[t] {
			return false
		}
		delete(c.suspects, t)
		if len(c.suspects) == 0 {
			s.spontaneousCrashes = append(s.spontaneousCrashes, c.at)
		}
		return len(c.suspects) == 0
	})
}

// spontaneousChance returns the probability that a worker crashes spontaneously within a time
// window, by the rate at which workers do; 1 during a burst. The workers' uptimes tell also a
// new owner for how long they have not crashed.
func (s *Shard) spontaneousChance(now time.Time, window time.Duration) float64 {
	if s.inCrashBurst(now) {
		return 1
	}
	s.suspectCrashes = slices.DeleteFunc(s.suspectCrashes, func(c suspectCrash) bool { return now.Sub(c.at) > crashRateWindow })
	uptime := time.Duration(0)
	for _, w := range s.workerList {
		uptime += min(w.uptime(now), crashRateWindow)
	}
	for _, c := range s.suspectCrashes {
		uptime += c.uptime
	}
	// One more crash than was seen, since a short time without any shows little.
	rate := float64(len(s.spontaneousCrashes)+1) / max(1, uptime.Seconds())
	return max(1-math.Exp(-rate*window.Seconds()), minCrashChance)
}

// inCrashBurst reports whether many workers crash spontaneously at present.
func (s *Shard) inCrashBurst(now time.Time) bool {
	s.spontaneousCrashes = slices.DeleteFunc(s.spontaneousCrashes, func(at time.Time) bool { return now.Sub(at) > burstWindow })
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
