// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"math"
	"strings"
	"time"
)

// This file learns how fast the kinds of workers are, by their labels.
//
// It answers a service whose workers differ in speed although all of them are healthy: a step ends
// with the last of its tasks, so that one task on a slow kind makes the whole step late.
// Long-running tasks, whose speed doesn't matter, are kept off the fast kinds.

const (
	// maxKindRuns bounds the weight of the past in a kind's mean run time, and minKindRuns is how
	// many runs are needed before it is used: estimates are wrong by 20 to 50 percent.
	maxKindRuns = 400
	minKindRuns = 40
	// equalSpeed is the difference of slowness up to which kinds count as equally fast.
	equalSpeed = 0.08
	// speedWeight is how much a difference of slowness counts beside the room that is left over.
	speedWeight = 3.0
)

// kindSpeed is the mean run time on a kind of workers, compared to all workers.
type kindSpeed struct {
	mean float64
	runs int
}

// kindOf returns the kind of a worker: its labels but the one that names its rack.
func kindOf(labels []string, rack string) string {
	var kind []string
	for _, l := range labels {
		if l != rack {
			kind = append(kind, l)
		}
	}
	return strings.Join(kind, " ")
}

// learnKindSpeed records how long a task took on a worker compared to what is usual for its kind of
// step.
func (s *Shard) learnKindSpeed(st *step, w *worker, took time.Duration) {
	usual := s.learnedRatio(st)
	if usual == nil || st.spec.EstimateMS <= 0 || st.spec.LongRunning {
		return
	}
	k := s.kindSpeeds[w.kind]
	if k == nil {
		k = &kindSpeed{}
		s.kindSpeeds[w.kind] = k
	}
	k.runs = min(k.runs+1, maxKindRuns)
	k.mean += (took.Seconds()*1000/float64(st.spec.EstimateMS)/usual.mean - k.mean) / float64(k.runs)
}

// updateSlowness computes how slow each worker's kind is compared to the fastest one.
func (s *Shard) updateSlowness() {
	fastest := math.Inf(1)
	for _, k := range s.kindSpeeds {
		if k.runs >= minKindRuns {
			fastest = min(fastest, k.mean)
		}
	}
	for _, w := range s.workerList {
		w.slowness = 0
		if k := s.kindSpeeds[w.kind]; k != nil && k.runs >= minKindRuns && k.mean > fastest*(1+equalSpeed) {
			w.slowness = k.mean/fastest - 1
		}
	}
}

// speedScore rates the speed of a worker for a step; higher is better.
func (w *worker) speedScore(st *step) float64 {
	if st.spec.LongRunning {
		return w.slowness
	}
	return -w.slowness
}
