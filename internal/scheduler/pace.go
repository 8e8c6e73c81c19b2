// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

const (
	// fullPace is the pace at which a run starts, in percent; paceUnknown stands for that
	// of a run whose last change was not answered, or which an earlier owner started.
	fullPace    = 100
	paceUnknown = -1
	// paceHigh and paceLow are shares of a serving task's latency target: above the first
	// the best-effort tasks beside it are slowed, below the second they recover.
	paceHigh = 0.85
	paceLow  = 0.6
	// paceStep is by how many percent the pace of a best-effort task rises after each calm
	// period.
	paceStep = 25
	// paceCalmPeriod is how long the latency must stay under paceLow before the pace rises
	// again, and paceMinInterval the least time between two changes: a change takes effect
	// after 0.1 s and shows in the latency of the last half second.
	paceCalmPeriod  = 1500 * time.Millisecond
	paceMinInterval = 600 * time.Millisecond
	// paceTrialDelay is how long a best-effort task is paused before it is tried at
	// minPace while the latency is under paceHigh: with the serving task alone it may
	// never be under paceLow.
	paceTrialDelay = 4 * time.Second
)

// paceBestEffortRuns slows best-effort tasks beside serving tasks whose latency nears its
// target.
func (s *Shard) paceBestEffortRuns(now time.Time) {
	for _, w := range s.workerList {
		if w.silent || !w.answered {
			continue
		}
		var bestEffort []*run
		worst, serving := 0.0, false
		for _, r := range sortedRuns(w.runs) {
			spec := r.task.step.spec
			if r.stopping || r.state != runRunning {
				continue
			}
			if spec.BestEffortCPU {
				bestEffort = append(bestEffort, r)
			}
			if spec.LatencyTargetMS > 0 {
				serving = true
				worst = max(worst, float64(r.latencyMS)/float64(spec.LatencyTargetMS))
			}
		}
		for _, r := range bestEffort {
			s.adjustPace(now, r, worst, serving)
		}
	}
}

// adjustPace changes the pace of a best-effort run; worst is the highest latency beside it
// as a share of its target.
func (s *Shard) adjustPace(now time.Time, r *run, worst float64, serving bool) {
	if now.Sub(r.paceSetAt) < paceMinInterval {
		return
	}
	pace := max(r.pace, 0)
	switch {
	case !serving:
		pace = fullPace
	case worst > paceHigh:
		r.calmSince = now
		pace /= 2
		if pace < minPace {
			pace = 0
		}
	case worst < paceLow:
		if r.calmSince.IsZero() || now.Sub(r.calmSince) > paceCalmPeriod {
			r.calmSince = now
			pace = min(fullPace, pace+paceStep)
		}
	default:
		r.calmSince = now
		if r.pace == 0 && now.Sub(r.paceSetAt) >= paceTrialDelay {
			pace = minPace
		}
	}
	if pace == r.pace {
		return
	}
	s.log.Info("pace set", events.PaceSet, zap.Stringer("task", r.task.id), zap.Int64("run", r.number), zap.String("worker", r.worker.info.ID),
		zap.Int("percent", pace), zap.Float64("worst_of_target", worst))
	r.pace, r.paceSetAt = pace, now
	s.emit(SetPace{Order: s.orderFor(r.worker), Task: r.task.id, Run: r.number, Percent: pace})
}

// minPace is the pace, in percent, below which a best-effort task is paused.
const minPace = 15
