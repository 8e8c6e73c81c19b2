// SPDX-License-Identifier: Apache-2.0

package forecast

import (
	"slices"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// LongRunningPriority is the priority of jobs with long-running tasks.
const LongRunningPriority = -1

// Job holds the properties of a job that the forecast needs.
type Job struct {
	Queue    string
	Priority int
	// WorkMilliSec is the work of all tasks, in milli-CPU x seconds.
	WorkMilliSec int64
	// CriticalPath is the longest chain of the estimates of dependent steps.
	CriticalPath time.Duration
	// Objective is the time within which the job should end; 0 if its queue declares none.
	Objective time.Duration
	// Due is when the job is due, from now.
	Due time.Duration
	// WidestMilli is the CPU that all tasks of the widest step occupy together.
	WidestMilli int64
}

// FromJob returns the properties of a job that arrives now, by its specification and policy.
func FromJob(j *cluster.Job) Job {
	f, work := Job{Queue: j.Queue, Priority: j.Policy.Priority}, 0.0
	for i := range j.Steps {
		st := &j.Steps[i]
		milli := int64(st.Count) * st.Allocation().CPUMilli
		f.WidestMilli = max(f.WidestMilli, milli)
		work += float64(milli) * estimate(st).Seconds()
	}
	f.WorkMilliSec = int64(min(MaxFigure, work*float64(max(1, j.Repeats))))
	f.CriticalPath = criticalPath(j.Steps)
	// A job can't end before its critical path, so the scheduler counts a smaller stretch as 1.
	f.Due = scale(f.CriticalPath, max(1, j.Policy.Stretch)) + seconds(float64(j.Policy.TargetMS)/1000)
	if j.Policy.Stretch > 0 || j.Policy.TargetMS > 0 {
		f.Objective = f.Due
	}
	if slices.ContainsFunc(j.Steps, func(s cluster.Step) bool { return s.LongRunning }) {
		f.Priority = LongRunningPriority
	}
	return f
}

// estimate returns the estimated run time of a task of a step.
func estimate(st *cluster.Step) time.Duration {
	return seconds(max(0, float64(st.EstimateMS)/1000))
}

// criticalPath returns the longest chain of dependent steps by their estimates.
func criticalPath(steps []cluster.Step) (longest time.Duration) {
	ends := make([]time.Duration, len(steps))
	for i := range steps {
		for _, k := range steps[i].After {
			ends[i] = max(ends[i], ends[k])
		}
		ends[i] = min(maxForecast, ends[i]+estimate(&steps[i]))
		longest = max(longest, ends[i])
	}
	return longest
}
