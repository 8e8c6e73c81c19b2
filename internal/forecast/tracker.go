// SPDX-License-Identifier: Apache-2.0

package forecast

import (
	"math"
	"slices"
	"time"
)

// This file addresses shards whose demand exceeds their capacity: jobs that have started and ended
// show how far the model is off for their queue, and correct it.

const (
	// maxWeight bounds the weight of the past in a running mean, in observations.
	maxWeight = 30
	// minObservations is how many observations are needed before they are used.
	minObservations = 5
	// maxErrors is how many of the last errors are kept.
	maxErrors = 100
	// maxCorrection bounds the correction of a wait, in both directions: a larger one follows
	// from a fault, not from the model.
	maxCorrection = 4.0
	// minLearnedWait is the wait from which a forecast counts for the correction: the ratio of
	// shorter waits says more about delays than about the capacity.
	minLearnedWait = time.Second
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
	// tasks is run time / estimate of tasks, and runs (end - start) / critical path of jobs.
	tasks, runs mean
	// waited and modelled are the actual waits and those of the model, whose quotient corrects
	// the model. delay is the wait of jobs for which the model had none.
	waited, modelled, delay mean
	// errors holds the last relative errors, the oldest at next once it is full.
	errors []float64
	next   int
	p50    float64
	p90    float64
}

// Pending is the forecast of an accepted job, kept until its end.
type Pending struct {
	Job      Job
	Estimate Estimate
	// Wait is the wait by the model, without the learned correction.
	Wait time.Duration
	// AcceptedAt is when the forecast was made, and StartedAt when the job started; zero: it has
	// not.
	AcceptedAt, StartedAt time.Time
}

// TaskEnded learns from the run time of a task compared to its estimate.
func (t *Tracker) TaskEnded(ratio float64) { t.tasks.add(ratio) }

// TaskRatio returns the mean ratio of the run time of tasks to their estimates.
func (t *Tracker) TaskRatio() float64 { return t.tasks.or(1) }

// Started learns from the first start of a job.
func (t *Tracker) Started(p *Pending, now time.Time) {
	p.StartedAt = now
	waited := now.Sub(p.AcceptedAt)
	switch {
	case p.Wait >= minLearnedWait:
		t.waited.add(waited.Seconds())
		t.modelled.add(p.Wait.Seconds())
	case p.Wait == 0:
		t.delay.add(waited.Seconds())
	}
}

// Ended learns from the success of a job.
func (t *Tracker) Ended(p *Pending, now time.Time) {
	if p.StartedAt.IsZero() || p.Job.CriticalPath <= 0 {
		return
	}
	t.runs.add(float64(now.Sub(p.StartedAt)) / float64(p.Job.CriticalPath))
	if p.Estimate.Known {
		took := max(now.Sub(p.AcceptedAt), time.Millisecond)
		t.addError(math.Abs(float64(p.Estimate.End-took)) / float64(took))
	}
}

func (t *Tracker) addError(e float64) {
	if len(t.errors) < maxErrors {
		t.errors = append(t.errors, e)
	} else {
		t.errors[t.next] = e
		t.next = (t.next + 1) % maxErrors
	}
	sorted := slices.Sorted(slices.Values(t.errors))
	t.p50, t.p90 = Quantile(sorted, 0.5), Quantile(sorted, 0.9)
}

// Errors returns the relative errors of the forecast ends of the last 100 jobs, in no order.
func (t *Tracker) Errors() []float64 { return slices.Clone(t.errors) }

// Stats returns what was learned about the queue, rounded to what a summary needs.
func (t *Tracker) Stats(queue string, approved float64) QueueStats {
	bias := 1.0
	if modelled := t.modelled.or(0); modelled > 0 {
		bias = min(maxCorrection, max(1/maxCorrection, t.waited.value/modelled))
	}
	return QueueStats{
		Queue: queue, Ratio: round(t.runs.or(t.TaskRatio())), Approved: round(approved), Bias: round(bias),
		StartDelayMS: int64(1000 * t.delay.or(0)), ErrorP50: round(t.p50), ErrorP90: round(t.p90),
	}
}

// round rounds to two decimals, which bounds the size of a summary.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// Quantile returns a quantile of sorted values; 0 if there are none.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
