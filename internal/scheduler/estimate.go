// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"math"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// ratio is a running mean of the ratio of run times to estimates, and of its deviation.
type ratio struct {
	mean float64
	// deviation is the mean deviation, as a share of the mean.
	deviation float64
	// n is the number of ratios added, up to maxRatioWeight.
	n int
}

// add adds the ratio of one task.
func (r *ratio) add(x float64) {
	r.n = min(r.n+1, maxRatioWeight)
	r.mean += (x - r.mean) / float64(r.n)
	r.deviation += (math.Abs(x/r.mean-1) - r.deviation) / float64(r.n)
}

const (
	// maxRatioWeight bounds the weight of the past in a running mean.
	maxRatioWeight = 30
	// minLearnedRuns is how many run times are learned before they are used.
	minLearnedRuns = 5
	// maxDeviation is the deviation up to which a learned time can show that a worker is
	// slow: estimates of some queues are accurate to 20 percent, those of others to 50.
	maxDeviation = 0.4
	// minGainedPercent is the progress in percent above which a run's own speed is used.
	minGainedPercent = 5
	// minExpectedTime is the least time that a task is expected to take, whatever its
	// estimate.
	minExpectedTime = 200 * time.Millisecond
)

// stepKind is the key under which run times are learned: the image that a step's tasks
// run, or its queue if it names none.
type stepKind struct{ image, queue string }

// kind returns the key under which the step's run times are learned.
func (st *step) kind() stepKind {
	if st.spec.Image != "" {
		return stepKind{image: st.spec.Image}
	}
	return stepKind{queue: st.job.spec.Queue}
}

// learnRunTime records how long a task took compared to its estimate.
func (s *Shard) learnRunTime(now time.Time, st *step, took time.Duration) {
	if st.spec.EstimateMS <= 0 || st.spec.LongRunning {
		return
	}
	kind := st.kind()
	r := s.ratios[kind]
	if r == nil {
		r = &ratio{}
		s.ratios[kind] = r
	}
	x := took.Seconds() * 1000 / float64(st.spec.EstimateMS)
	r.add(x)
	s.forecasts.tracker(now, st.job.spec.Queue).TaskEnded(x)
}

// learnedRatio returns the learned ratio for a step, or nil if too few runs are known.
func (s *Shard) learnedRatio(st *step) *ratio {
	if r := s.ratios[st.kind()]; r != nil && r.n >= minLearnedRuns {
		return r
	}
	return nil
}

// expectedTime returns how long a task of the step should take on a healthy worker.
func (s *Shard) expectedTime(st *step) time.Duration {
	d := st.estimate()
	if r := s.learnedRatio(st); r != nil && st.spec.Image != "" {
		d = scaledTime(d, r.mean)
	}
	return min(max(d, minExpectedTime), cluster.MaxEstimate)
}

// estimate returns how long a task of the step takes by its specification.
func (st *step) estimate() time.Duration { return st.spec.Estimate() }

// learnedTime returns how long a task of the step takes according to earlier ones of its
// kind; ok is false while that is not known, or differs too much.
func (s *Shard) learnedTime(st *step) (time.Duration, bool) {
	r := s.learnedRatio(st)
	if r == nil || st.spec.EstimateMS <= 0 || r.deviation > maxDeviation {
		return 0, false
	}
	return max(scaledTime(st.estimate(), r.mean), minExpectedTime), true
}

// scaledTime returns a multiple of a time, cluster.MaxEstimate at most.
func scaledTime(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(cluster.MaxEstimate)))
}

// remainingTime returns how long a run still needs, by its own speed once it has made
// some progress.
func (s *Shard) remainingTime(now time.Time, r *run) time.Duration {
	gained, since := r.percent-r.firstPercent, r.percentChangedAt.Sub(r.firstAt)
	if gained > minGainedPercent && since > 0 {
		left := time.Duration(float64(since) / float64(gained) * float64(100-r.percent))
		return max(0, left-now.Sub(r.percentChangedAt))
	}
	left := time.Duration(float64(s.expectedTime(r.task.step)) * float64(100-r.percent) / 100)
	if r.percent == 0 {
		return max(0, left-now.Sub(r.startedAt))
	}
	return max(0, left-now.Sub(r.percentChangedAt))
}
