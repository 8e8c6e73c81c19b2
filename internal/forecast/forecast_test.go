// SPDX-License-Identifier: Apache-2.0

package forecast_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/forecast"
	"switchbank.example/switchbank/internal/resource"
)

// validSummary is a shard of 100 cores with 1,000 core-seconds of waiting work of priority 2.
func validSummary() *forecast.Summary {
	return &forecast.Summary{
		Version: forecast.SummaryVersion, Epoch: 3, CapacityMilli: 100_000,
		Lanes: []forecast.Lane{
			{Priority: 0, Waiting: make([]int64, 9)},
			{Priority: 2, Running: 300_000, Waiting: []int64{1_000_000, 0, 0, 0, 0, 0, 0, 0, 0}, ArrivalMilli: 150_000},
		},
		Queues: []forecast.QueueStats{{Queue: "q", Ratio: 1, Approved: 1}},
	}
}

func twoSteps() cluster.Job {
	step := cluster.Step{Count: 17, Need: resource.Amount{CPUMilli: 4500}, EstimateMS: 4800}
	second := step
	second.After = []int{0}
	return cluster.Job{Queue: "q", Policy: cluster.Policy{Priority: 2, Stretch: 2, TargetMS: 1000}, Steps: []cluster.Step{step, second}}
}

// Guards against a forecast that uses other figures than the scheduler's rank.
func TestFromJob(t *testing.T) {
	j := twoSteps()
	f := forecast.FromJob(&j)
	want := forecast.Job{
		Queue: "q", Priority: 2, WorkMilliSec: 2 * 17 * 4500 * 48 / 10, CriticalPath: 9600 * time.Millisecond,
		Objective: 20_200 * time.Millisecond, Due: 20_200 * time.Millisecond, WidestMilli: 17 * 4500,
	}
	if f != want {
		t.Errorf("FromJob: %+v, want %+v", f, want)
	}
	j.Policy.Stretch, j.Policy.TargetMS = 0, 0
	if f := forecast.FromJob(&j); f.Objective != 0 || f.Due != f.CriticalPath {
		t.Errorf("without an objective: %+v", f)
	}
}
