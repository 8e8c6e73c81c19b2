// SPDX-License-Identifier: Apache-2.0

package forecast

import (
	"math"
	"slices"
	"time"
)

// This file addresses shards whose demand exceeds their capacity: jobs that have ended show how far
// the model is off for their queue, and correct it.

const (
	// maxWeight bounds the weight of the past in a running mean, in observations.
	maxWeight = 30
	// minObservations is how many observations are needed before they are used.
	minObservations = 5
	// maxOutcomes is how many of the last jobs are kept for the errors and the correction.
	maxOutcomes = 100
	// maxBias bounds the correction of a wait by a factor, in both directions: a larger one follows
	// from a fault, not from the model.
	maxBias = 4.0
	// minLowOutcomes is how many jobs are needed to tell a tenth of them apart.
	minLowOutcomes = 20
	// maxLow keeps the optimistic end apart from the expected one while the backlog grows: the ends
	// of the jobs that came first are forecast too early.
	maxLow = 0.9
	// biasPrior is the wait in seconds that counts as if the model had been right about it. Jobs
	// that have ended waited less than those that come now if the backlog grows; without the prior,
	// their ratio doubled the median error at twice the capacity (from 0.06 to 0.20).
	biasPrior = 1000.0
	// minBiasWait is the least wait whose ratio is learned: the ratio of a shorter one says more
	// about delays than about the capacity.
	minBiasWait = time.Second
	// maxResidual bounds what one job adds to the delay that is learned, and maxUnseenResidual what
	// a job does for which the model had no wait.
	maxResidual       = 10 * time.Second
	maxUnseenResidual = 2 * time.Second
	// maxStatistic bounds each learned figure of a summary.
	maxStatistic = 1000
	// maxStartDelay bounds the delay that is learned.
	maxStartDelay = 5 * time.Second
)

// mean is a running mean over about the last maxWeight observations.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(x float64) {
	m.n = min(m.n+1, maxWeight)
	m.value += (x - m.value) / float64(m.n)
}

// or returns the mean, or a default while there are too few observations.
func (m *mean) or(unknown float64) float64 {
	if m.n < minObservations {
		return unknown
	}
	return m.value
}

// Tracker learns the statistics of one queue. The zero value has observed nothing.
type Tracker struct {
	// tasks is run time / estimate of tasks, and steps the same of the longest task of each step.
	tasks, steps mean
	// delay is how much longer jobs wait than by the model, in seconds.
	delay mean
	// outcomes holds the last jobs, the oldest at next once it is full.
	outcomes            []outcome
	next                int
	bias, low, p50, p90 float64
}

// outcome is what became of a job: how long it waited, in seconds, how long it should have by the
// model, the relative error of the forecast end, and the ratio of the actual end to it.
type outcome struct{ waited, modelled, err, endRatio float64 }

// Pending is the forecast of an accepted job, kept until its end.
type Pending struct {
	Job      Job
	Estimate Estimate
	// Wait is the wait by the model, without what was learned.
	Wait time.Duration
	// AcceptedAt is when the forecast was made.
	AcceptedAt time.Time
}

// TaskEnded learns from the run time of a task compared to its estimate.
func (t *Tracker) TaskEnded(ratio float64) { t.tasks.add(ratio) }

// StepEnded learns from the run time of the longest task of a step compared to its estimate.
func (t *Tracker) StepEnded(ratio float64) { t.steps.add(ratio) }

// TaskRatio returns the mean ratio of the run time of tasks to their estimates.
func (t *Tracker) TaskRatio() float64 { return t.tasks.or(1) }

// stepRatio returns the mean ratio of the run time of steps to their estimates.
func (t *Tracker) stepRatio() float64 { return t.steps.or(t.TaskRatio()) }

// JobEnded learns from the success of a job for which there was a forecast.
func (t *Tracker) JobEnded(p *Pending, now time.Time) {
	took := max(now.Sub(p.AcceptedAt), time.Millisecond)
	waited := max(0, took-scale(p.Job.CriticalPath, t.stepRatio()))
	residual := min(maxResidual, max(-maxResidual, waited-p.Wait))
	if p.Wait == 0 {
		residual = min(residual, maxUnseenResidual)
	}
	t.delay.add(residual.Seconds())
	t.add(outcome{
		waited: waited.Seconds(), modelled: p.Wait.Seconds(),
		err: math.Abs(float64(p.Estimate.End-took)) / float64(took), endRatio: float64(took) / float64(max(p.Estimate.End, time.Millisecond)),
	})
}

func (t *Tracker) add(o outcome) {
	if len(t.outcomes) < maxOutcomes {
		t.outcomes = append(t.outcomes, o)
	} else {
		t.outcomes[t.next] = o
		t.next = (t.next + 1) % maxOutcomes
	}
	t.bias = t.newBias()
	errs := t.Errors()
	slices.Sort(errs)
	t.p50, t.p90 = Quantile(errs, 0.5), Quantile(errs, 0.9)
	t.low = t.newLow()
}

// newLow returns the ratio of actual to forecast ends that a tenth of the last jobs stay below; 0
// while there are too few.
func (t *Tracker) newLow() float64 {
	if len(t.outcomes) < minLowOutcomes {
		return 0
	}
	ratios := make([]float64, len(t.outcomes))
	for i, o := range t.outcomes {
		ratios[i] = o.endRatio
	}
	slices.Sort(ratios)
	return min(maxLow, Quantile(ratios, 0.1))
}

// newBias returns the ratio of the waits of the last jobs, without the mean delay, to those of the
// model.
func (t *Tracker) newBias() float64 {
	waited, modelled := biasPrior, biasPrior
	delay := t.startDelay().Seconds()
	for _, o := range t.outcomes {
		if o.modelled >= minBiasWait.Seconds() {
			waited += max(0, o.waited-delay)
			modelled += o.modelled
		}
	}
	return min(maxBias, max(1/maxBias, waited/modelled))
}

// startDelay returns how much longer jobs wait than by the model.
func (t *Tracker) startDelay() time.Duration {
	return min(maxStartDelay, max(0, seconds(t.delay.or(0))))
}

// Errors returns the relative errors of the forecast ends of the last 100 jobs, in no order.
func (t *Tracker) Errors() []float64 {
	errs := make([]float64, len(t.outcomes))
	for i, o := range t.outcomes {
		errs[i] = o.err
	}
	return errs
}

// Stats returns what was learned about the queue, rounded to what a summary needs. approved is the
// fraction of workers that advice approves.
func (t *Tracker) Stats(queue string, approved float64) QueueStats {
	return QueueStats{
		Queue: queue, Ratio: round(t.stepRatio()), Approved: round(approved), Bias: round(t.bias), Low: round(t.low),
		StartDelayMS: t.startDelay().Milliseconds(), ErrorP50: round(t.p50), ErrorP90: round(t.p90),
	}
}

// round rounds to two decimals and bounds a figure, which bounds the size of a summary.
func round(x float64) float64 { return math.Round(100*min(x, maxStatistic)) / 100 }

// Quantile returns a quantile of sorted values; 0 if there are none.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
