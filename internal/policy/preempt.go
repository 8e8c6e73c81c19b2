// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"cmp"
	"slices"

	"switchbank.example/switchbank/internal/resource"
)

// MaxPreemptions is how often a task may be preempted.
const MaxPreemptions = 2

// RunningTask is a task that may have to be preempted.
type RunningTask struct {
	// Priority is as in WaitingJob.
	Priority int
	Size     resource.Amount
	// Attempt is the number of the task's attempt; a higher one has been interrupted before.
	Attempt     int
	Preemptible bool
}

// Victims returns the indices of the tasks to preempt on a worker so that size fits, or false
// if no choice is enough. Only preemptible tasks of a lower priority are chosen, those of the
// lowest priority first, then those with the fewest attempts, and none whose capacity is not
// needed.
func Victims(size, free resource.Amount, priority int, tasks []RunningTask) ([]int, bool) {
	if free.Fits(size) {
		return nil, true
	}
	var eligible []int
	for i, t := range tasks {
		if t.Preemptible && t.Priority < priority && t.Attempt <= MaxPreemptions {
			eligible = append(eligible, i)
		}
	}
	slices.SortStableFunc(eligible, func(a, b int) int {
		return cmp.Or(cmp.Compare(tasks[a].Priority, tasks[b].Priority), cmp.Compare(tasks[a].Attempt, tasks[b].Attempt))
	})
	var chosen []int
	for _, i := range eligible {
		if free.Fits(size) {
			break
		}
		free = free.Add(tasks[i].Size)
		chosen = append(chosen, i)
	}
	if !free.Fits(size) {
		return nil, false
	}
	return dropUnneeded(size, free, tasks, chosen), true
}

// dropUnneeded removes the tasks whose capacity turned out not to be needed.
func dropUnneeded(size, free resource.Amount, tasks []RunningTask, chosen []int) []int {
	var needed []int
	for _, i := range chosen {
		if without := free.Sub(tasks[i].Size); without.Fits(size) {
			free = without
			continue
		}
		needed = append(needed, i)
	}
	return needed
}
