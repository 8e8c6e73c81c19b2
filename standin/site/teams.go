// SPDX-License-Identifier: Apache-2.0

package site

import (
	"strings"
	"time"
)

// maxLimitDelay is the platform's bound for the time between the acknowledgement of a
// configuration and the moment from which its limits hold.
const maxLimitDelay = 3 * time.Second

// limitChangeSlack is how long before and after a change of a limit the lower one of both counts for
// the room that a team has: the change takes up to maxLimitDelay, and then runs above it are stopped.
const limitChangeSlack = maxLimitDelay + time.Second

// TeamExpectation is what the operators have set for a team.
type TeamExpectation struct {
	Name string
	// Jobs are the jobs of the team.
	Jobs map[string]bool
	// Limits are the team's limits, in the order in which they were configured.
	Limits []LimitChange
}

// LimitChange is a limit of a team from a time on.
type LimitChange struct {
	At       time.Time
	CPUMilli int64
}

// limitAt returns the highest limit that may be in force at a time.
func (x *TeamExpectation) limitAt(at time.Time) int64 {
	highest := int64(0)
	for i, l := range x.Limits {
		replaced := i+1 < len(x.Limits) && !at.Before(x.Limits[i+1].At.Add(maxLimitDelay))
		if !replaced && !l.At.After(at) {
			highest = max(highest, l.CPUMilli)
		}
	}
	return highest
}

// lowestLimitAt returns the lowest limit that may be in force at a time, or close to it; 0: none is.
func (x *TeamExpectation) lowestLimitAt(at time.Time) int64 {
	lowest := int64(0)
	for i, l := range x.Limits {
		begun := !at.Before(l.At.Add(-limitChangeSlack))
		replaced := i+1 < len(x.Limits) && !at.Before(x.Limits[i+1].At.Add(limitChangeSlack))
		if begun && !replaced && (lowest == 0 || l.CPUMilli < lowest) {
			lowest = l.CPUMilli
		}
	}
	return lowest
}

// checkTeams checks the start of a task of a job against the limit of its team.
func (c *checker) checkTeams(e Event, job string) {
	for _, x := range c.expected.Teams {
		if !x.Jobs[job] {
			continue
		}
		sum := int64(0)
		for task, cpu := range c.runningCPU {
			if other, _, _ := strings.Cut(task, "."); x.Jobs[other] {
				sum += cpu
			}
		}
		if limit := x.limitAt(e.At); sum > limit {
			c.addViolation("%s starts, with which team %s has %d running; its limit is %d", e.Task, x.Name, sum, limit)
		}
	}
}
