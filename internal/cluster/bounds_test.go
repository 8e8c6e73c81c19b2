// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"math"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
)

// TestAbsurdNumbersAreRefused guards against jobs whose numbers exceed 64 bits when they are added
// or multiplied: with a repeat count of 2^62 the number of tasks was 0, and an owner built repeats
// without end.
func TestAbsurdNumbersAreRefused(t *testing.T) {
	for name, change := range map[string]func(j *cluster.Job){
		"tasks that overflow":          func(j *cluster.Job) { j.Steps[0].Count, j.Repeats = 4, 1<<62 },
		"as many repeats as possible":  func(j *cluster.Job) { j.Repeats = math.MaxInt },
		"more tasks than allowed":      func(j *cluster.Job) { j.Steps[0].Count, j.Repeats = 1001, 100 },
		"an interval that overflows":   func(j *cluster.Job) { j.Repeats, j.IntervalMS = 3, math.MaxInt64/2 },
		"a start that overflows":       func(j *cluster.Job) { j.Repeats, j.StartMS, j.IntervalMS = 2, math.MaxInt64, 1 },
		"a start before 1970":          func(j *cluster.Job) { j.Repeats, j.StartMS = 1, -1 },
		"processors that overflow":     func(j *cluster.Job) { j.Steps[0].Need.CPUMilli = math.MaxInt64 },
		"memory beyond any host":       func(j *cluster.Job) { j.Steps[0].Need.MemoryMB = cluster.MaxAmount + 1 },
		"negative accelerators":        func(j *cluster.Job) { j.Steps[0].Need.Accelerators = -1 },
		"a negative estimate":          func(j *cluster.Job) { j.Steps[0].EstimateMS = -1 },
		"a negative limit on a worker": func(j *cluster.Job) { j.Steps[0].MaxPerWorker = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			j := cluster.Job{Steps: []cluster.Step{{Count: 1, Need: resource.Amount{CPUMilli: 1}}}}
			if err := j.Validate(); err != nil {
				t.Fatal(err)
			}
			change(&j)
			if err := j.Validate(); err == nil {
				t.Errorf("the job is accepted: %+v", j)
			}
		})
	}
}

// TestLargeNumbersAreAccepted checks that numbers at their bounds are accepted.
func TestLargeNumbersAreAccepted(t *testing.T) {
	j := cluster.Job{Repeats: 100, StartMS: cluster.MaxTimeMS - 100, IntervalMS: 1, Steps: []cluster.Step{{
		Count: 1000, Need: resource.Amount{CPUMilli: cluster.MaxAmount, MemoryMB: cluster.MaxAmount}, EstimateMS: math.MaxInt64,
	}}}
	if err := j.Validate(); err != nil {
		t.Error(err)
	}
	if got := j.Steps[0].Estimate(); got != 30*24*time.Hour {
		t.Errorf("an absurd estimate counts as %v", got)
	}
}
