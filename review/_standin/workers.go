// SPDX-License-Identifier: Apache-2.0

package main

import (
	"maps"
	"slices"
)

// running returns the number of runs on all workers.
func (c *cell) running() (n int) {
	for _, w := range c.workers {
		n += w.RunningTasks()
	}
	return n
}

// busiest returns the indices of the n workers with the most runs.
func (c *cell) busiest(n int) map[int]bool {
	order := make([]int, len(c.workers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return c.workers[b].RunningTasks() - c.workers[a].RunningTasks() })
	chosen := make(map[int]bool)
	for _, i := range order[:n] {
		chosen[i] = true
	}
	return chosen
}

func sortedNames(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
