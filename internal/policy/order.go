// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"switchbank.example/switchbank/internal/resource"
)

// Team is a team's claim on the cell and what it uses.
type Team struct {
	Name   string
	Weight float64
	Used   resource.Amount
	// Quota is what the team may always use; it may borrow idle room beyond it.
	Quota resource.Amount
}

// WaitingJob is a job that waits.
type WaitingJob struct {
	// TeamIndex is an index into the teams.
	TeamIndex int
	Priority  int
	// Deadline is zero when there is none.
	Deadline time.Time
	// RunTime is the declared or learned run time.
	RunTime   time.Duration
	Submitted time.Time
	// TaskSize is what one task asks for, and Need what the waiting tasks do together.
	TaskSize resource.Amount
	Demand   resource.Amount
}

// slack is how long the item may still wait and meet its deadline.
func (j *WaitingJob) slack(now time.Time) time.Duration {
	if j.Deadline.IsZero() {
		return 1<<63 - 1
	}
	return j.Deadline.Sub(now) - j.RunTime
}

// urgency groups slacks by powers of two of the run time, so that among items
// that are about as urgent the largest can go first.
func (j *WaitingJob) urgency(now time.Time) int {
	if j.Deadline.IsZero() {
		return bits.UintSize
	}
	return bits.Len64(uint64(max(0, j.slack(now)) / max(j.RunTime, time.Second)))
}

// sortSize is the size by which items that are about as urgent are ordered; those
// without a deadline keep the order in which they came.
func (j *WaitingJob) sortSize() int64 {
	if j.Deadline.IsZero() {
		return 0
	}
	return j.TaskSize.CPUMilli + j.TaskSize.MemoryMB
}

// Order returns the indices of the items in the order in which to place them:
// by priority; within a priority the team with the least weighted dominant
// share goes first, those within their quota before those that borrow; within
// a team the least slack goes first, of those about as urgent the largest, then
// the oldest.
func Order(now time.Time, jobs []WaitingJob, teams []Team, total resource.Amount) []int {
	byTeam := sortByTeam(now, jobs, len(teams))
	used := make([]resource.Amount, len(teams))
	for i := range teams {
		used[i] = teams[i].Used
	}
	order := make([]int, 0, len(jobs))
	for len(order) < len(jobs) {
		best := -1
		for t := range teams {
			if len(byTeam[t]) > 0 && (best < 0 || goesBefore(jobs, byTeam, teams, used, total, t, best)) {
				best = t
			}
		}
		next := byTeam[best][0]
		byTeam[best] = byTeam[best][1:]
		used[best] = used[best].Add(jobs[next].Demand)
		order = append(order, next)
	}
	return order
}

func sortByTeam(now time.Time, jobs []WaitingJob, teamCount int) [][]int {
	byTeam := make([][]int, teamCount)
	for i := range jobs {
		byTeam[jobs[i].TeamIndex] = append(byTeam[jobs[i].TeamIndex], i)
	}
	for _, list := range byTeam {
		slices.SortStableFunc(list, func(a, b int) int {
			x, y := &jobs[a], &jobs[b]
			return cmp.Or(
				cmp.Compare(y.Priority, x.Priority),
				cmp.Compare(x.urgency(now), y.urgency(now)),
				cmp.Compare(y.sortSize(), x.sortSize()),
				cmp.Compare(x.slack(now), y.slack(now)),
				x.Submitted.Compare(y.Submitted),
			)
		})
	}
	return byTeam
}

// goesBefore reports whether team a's first item goes goesBefore team b's.
func goesBefore(jobs []WaitingJob, byTeam [][]int, teams []Team, used []resource.Amount, total resource.Amount, a, b int) bool {
	x, y := &jobs[byTeam[a][0]], &jobs[byTeam[b][0]]
	if x.Priority != y.Priority {
		return x.Priority > y.Priority
	}
	if fitsQuota(teams[a], used[a], x) != fitsQuota(teams[b], used[b], y) {
		return fitsQuota(teams[a], used[a], x)
	}
	return weightedShare(teams[a], used[a], total) < weightedShare(teams[b], used[b], total)
}

func fitsQuota(t Team, used resource.Amount, j *WaitingJob) bool {
	return t.Quota.Fits(used.Add(j.Demand))
}

func weightedShare(t Team, used, total resource.Amount) float64 {
	return used.DominantShare(total) / max(t.Weight, 1e-9)
}
