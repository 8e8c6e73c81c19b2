// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"math"
	"strconv"
	"time"

	"switchbank.example/switchbank/internal/resource"
)

// The bounds of numbers that come from callers, workers and other writers of the platform's
// tables. They are far above what hosts and jobs need, and so low that no sum over the tasks of
// a job, or the workers of a service, exceeds 64 bits.
const (
	// MaxAmount bounds each amount of a resource of a worker or a task: 10,000 cores, 10 TB, or
	// 10,000,000 accelerators.
	MaxAmount = 10_000_000
	// MaxMilliseconds is the longest time in milliseconds that a time.Duration can hold.
	MaxMilliseconds = int64(math.MaxInt64 / time.Millisecond)
	// MaxRun bounds the number of a run and of an end.
	MaxRun = 1 << 53
	// MaxTimeMS bounds the times at which a job is due, in Unix milliseconds: the end of the
	// year 9999.
	MaxTimeMS = 253_402_300_799_999
	// MaxEstimate is the longest time for which a task is planned. One that is estimated to take
	// longer is accepted and counts as that long.
	MaxEstimate = 30 * 24 * time.Hour
)

// ValidAmount reports whether no amount of a resource is negative or above MaxAmount.
func ValidAmount(a resource.Amount) bool {
	valid := func(n int64) bool { return n >= 0 && n <= MaxAmount }
	return valid(a.CPUMilli) && valid(a.MemoryMB) && valid(a.Accelerators)
}

// Estimate returns how long a task of the step is estimated to take, MaxEstimate at most.
func (s *Step) Estimate() time.Duration {
	return time.Duration(min(s.EstimateMS, MaxEstimate.Milliseconds())) * time.Millisecond
}

// validateTimes checks how often the job runs, and when.
func (j *Job) validateTimes(tasks int) error {
	switch {
	case j.Repeats < 0 || j.IntervalMS < 0:
		return invalid("repeats", "repeats and interval must not be negative")
	case tasks > MaxTasks || j.Repeats > MaxTasks/tasks:
		return invalid("steps", "more than "+strconv.Itoa(MaxTasks)+" tasks")
	case j.Repeats > 0 && (j.StartMS < 0 || j.StartMS > MaxTimeMS || j.IntervalMS > (MaxTimeMS-j.StartMS)/int64(j.Repeats)):
		return invalid("start", "a repeat is due after the year 9999, or before 1970")
	}
	return nil
}
