// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"switchbank.example/switchbank/internal/resource"
)

// Team is a team's share of the cell and its usage.
type Team struct {
	Name   string
	Weight float64
	Used   resource.Amount
	// Quota is what the team may always use. Beyond it, the team may borrow idle capacity.
	Quota resource.Amount
}

// WaitingJob is a job with tasks that wait to be placed.
type WaitingJob struct {
	// TeamIndex is an index into the teams.
	TeamIndex int
	// Priority: a higher number is more urgent, unlike in cluster.Policy.
	Priority int
	// Deadline is zero if there is none.
	Deadline time.Time
	// RunTime is the declared or learned run time.
	RunTime   time.Duration
	Submitted time.Time
	// TaskSize is the request of one task, and Demand that of all waiting tasks together.
	TaskSize resource.Amount
	Demand   resource.Amount
}

// slack is how long the job may still wait and meet its deadline.
func (j *WaitingJob) slack(now time.Time) time.Duration {
	if j.Deadline.IsZero() {
		return 1<<63 - 1
	}
	return j.Deadline.Sub(now) - j.RunTime
}

// urgency groups slacks by powers of two of the run time, so that among jobs of similar urgency
// the largest can go first.
func (j *WaitingJob) urgency(now time.Time) int {
	if j.Deadline.IsZero() {
		return bits.UintSize
	}
	return bits.Len64(uint64(max(0, j.slack(now)) / max(j.RunTime, time.Second)))
}

// sortSize is the size by which jobs of similar urgency are ordered. Jobs without a deadline
// keep their order of submission.
func (j *WaitingJob) sortSize() int64 {
	if j.Deadline.IsZero() {
		return 0
	}
	return j.TaskSize.CPUMilli + j.TaskSize.MemoryMB
}

// Order returns the indices of the jobs in the order in which to place them: by priority;
// within a priority, teams within their quota before those that borrow, and then the team with
// the lowest weighted dominant share; within a team by urgency, then the largest, then the
// least slack, then the oldest.
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

// sortByTeam returns the indices of each team's jobs in the order in which to place them.
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

// goesBefore reports whether the first job of team a goes before that of team b.
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

// fitsQuota reports whether the team stays within its quota with the job.
func fitsQuota(t Team, used resource.Amount, j *WaitingJob) bool {
	return t.Quota.Fits(used.Add(j.Demand))
}

// weightedShare returns the team's dominant share of the cell, divided by its weight.
func weightedShare(t Team, used, total resource.Amount) float64 {
	return used.DominantShare(total) / max(t.Weight, 1e-9)
}
