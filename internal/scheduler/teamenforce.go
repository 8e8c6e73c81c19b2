// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/resource"
)

// This file stops runs of teams whose limit was lowered below what they run.

// enforceLimits stops runs of teams whose limit was lowered below what they run, unless they end
// in time: other shards start tasks of the team up to their own parts of the new limit. A new
// owner waits until it knows what other shards have given to its own.
func (s *Shard) enforceLimits(now time.Time) {
	if !s.partsKnown {
		return
	}
	for _, t := range s.teamList {
		over := t.used.Sub(s.limitHere(t))
		if (resource.Amount{}).Fits(over) {
			t.overSince = time.Time{}
			continue
		}
		if t.overSince.IsZero() {
			t.overSince = now
		}
		if now.Sub(t.overSince) >= limitDrainTime {
			s.stopAboveLimit(now, t, over)
		}
	}
}

// stopAboveLimit stops runs of a team until what is left over is at most its limit: those first
// that lose the least work, and long-running tasks last.
func (s *Shard) stopAboveLimit(now time.Time, t *teamState, over resource.Amount) {
	var list []*run
	for _, r := range s.runs {
		if r.task.step.job.team != t {
			continue
		}
		if r.stopping {
			over = over.Sub(r.task.step.quotaUse())
			continue
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(compareBool(a.task.step.spec.LongRunning, b.task.step.spec.LongRunning), compareBool(a.task.step.spec.Gang, b.task.step.spec.Gang),
			cmp.Compare(s.stopCost(now, a), s.stopCost(now, b)), compareRun(a, b))
	})
	stopped := 0
	for _, r := range list {
		if (resource.Amount{}).Fits(over) {
			break
		}
		if r.stopping {
			continue // a member of a gang that was stopped here
		}
		s.stop(now, r, "above the limit of its team")
		s.stopOtherMembers(now, r, "above the limit of its team")
		over = over.Sub(r.task.step.quotaUse())
		stopped++
	}
	if stopped > 0 {
		s.counts.AboveLimit += int64(stopped)
		s.log.Warn("stopping runs above the limit of their team", events.TeamOverLimit, zap.String("team", t.name), zap.Int("runs", stopped),
			zap.Any("limit_here", s.limitHere(t)), zap.Any("used_here", t.used))
	}
}
