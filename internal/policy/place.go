// SPDX-License-Identifier: Apache-2.0

// Package policy holds the decisions of the scheduler as pure functions: no
// clock, no input or output, no lock.
//
// # Usage
//
//	i, ok := policy.Place(size, candidates, policy.Constraints{Spread: true}, weights)
//	order := policy.Order(now, jobs, teams, total)
package policy

import (
	"math"

	"switchbank.example/switchbank/internal/resource"
)

// Weights say what a cell values; a bundle sets them.
type Weights struct {
	// Waiting favours emptier workers, where a task is least disturbed.
	Waiting float64 `json:"waiting" yaml:"waiting"`
	// Packing favours fuller workers, so that large tasks still find room.
	Packing float64 `json:"packing" yaml:"packing"`
}

// Candidate is a worker that a task may be placed on.
type Candidate struct {
	Free     resource.Amount
	Capacity resource.Amount
	// JobTasks is how many tasks of the same job run on the worker.
	JobTasks int
	// RackTasks is how many tasks of the same job run in the worker's rack.
	RackTasks int
	// Unschedulable workers take nothing new.
	Unschedulable bool
}

// Constraints is what a job asks of the places of its tasks together.
type Constraints struct {
	// Spread asks for different racks, and for different workers within a rack.
	Spread bool
}

const (
	sameRackPenalty        = 10.0
	sameWorkerPenalty      = 3.0
	idleAcceleratorPenalty = 5.0
)

// Place returns the index of the best candidate that has room for size.
func Place(size resource.Amount, candidates []Candidate, constraints Constraints, w Weights) (int, bool) {
	best, bestScore := -1, math.Inf(-1)
	for i := range candidates {
		c := &candidates[i]
		if c.Unschedulable || !c.Free.Fits(size) {
			continue
		}
		if s := score(size, c, constraints, w); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best, best >= 0
}

// score rates a candidate that has room; higher is better.
func score(size resource.Amount, c *Candidate, constraints Constraints, w Weights) float64 {
	utilization := meanUtilization(size, c)
	s := w.Packing*utilization - w.Waiting*utilization
	if constraints.Spread {
		s -= sameRackPenalty*float64(c.RackTasks) + sameWorkerPenalty*float64(c.JobTasks)
	}
	if size.Accelerators == 0 && c.Capacity.Accelerators > 0 {
		s -= idleAcceleratorPenalty * float64(c.Free.Accelerators) / float64(c.Capacity.Accelerators)
	}
	return s
}

// meanUtilization returns the mean share of the worker that is in use once size is on it.
func meanUtilization(size resource.Amount, c *Candidate) float64 {
	used := c.Capacity.Sub(c.Free).Add(size)
	sum, n := 0.0, 0.0
	for _, d := range [...]struct{ used, capacity int64 }{
		{used.CPUMilli, c.Capacity.CPUMilli},
		{used.MemoryMB, c.Capacity.MemoryMB},
		{used.Accelerators, c.Capacity.Accelerators},
	} {
		if d.capacity > 0 {
			sum += float64(d.used) / float64(d.capacity)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}
