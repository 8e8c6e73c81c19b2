// SPDX-License-Identifier: Apache-2.0

// Package policy implements the scheduling decisions as pure functions, without clocks, I/O or
// locks: where to place a task, in which order to place the jobs of several teams, and which
// tasks to preempt.
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

// Weights balance the goals of placement; a bundle sets them.
type Weights struct {
	// Waiting favours emptier workers, on which a task is disturbed least.
	Waiting float64 `json:"waiting" yaml:"waiting"`
	// Packing favours fuller workers, so that capacity for large tasks stays free elsewhere.
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
	// Unschedulable workers get no new tasks.
	Unschedulable bool
}

// Constraints are the requirements of a job on the placement of its tasks relative to each
// other.
type Constraints struct {
	// Spread prefers different racks, and different workers within a rack.
	Spread bool
}

// Penalties that are subtracted from a candidate's score.
const (
	sameRackPenalty   = 10.0
	sameWorkerPenalty = 3.0
	// idleAcceleratorPenalty keeps workers with free accelerators for tasks that need them.
	idleAcceleratorPenalty = 5.0
)

// Place returns the index of the best candidate with enough free capacity for size.
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

// score rates a candidate with enough free capacity; higher is better.
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

// meanUtilization returns the mean utilization of the worker's resources with a task of the
// size on it.
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
