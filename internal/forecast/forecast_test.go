// SPDX-License-Identifier: Apache-2.0

package forecast_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

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

// Guards against a summary that is valid but not accepted, and against figures that would make a
// forecast absurd.
func TestValidate(t *testing.T) {
	if err := validSummary().Validate(); err != nil {
		t.Fatalf("valid summary: %v", err)
	}
	tests := []struct {
		name   string
		change func(s *forecast.Summary)
		kind   forecast.Kind
	}{
		{"later version", func(s *forecast.Summary) { s.Version = 2 }, forecast.KindVersion},
		{"no version", func(s *forecast.Summary) { s.Version = 0 }, forecast.KindVersion},
		{"capacity 0", func(s *forecast.Summary) { s.CapacityMilli = 0 }, forecast.KindInvalid},
		{"negative capacity", func(s *forecast.Summary) { s.CapacityMilli = -1 }, forecast.KindInvalid},
		{"absurd capacity", func(s *forecast.Summary) { s.CapacityMilli = 2e12 }, forecast.KindInvalid},
		{"negative epoch", func(s *forecast.Summary) { s.Epoch = -1 }, forecast.KindInvalid},
		{"negative free", func(s *forecast.Summary) { s.FreeMilli = -1 }, forecast.KindInvalid},
		{"free above capacity", func(s *forecast.Summary) { s.FreeMilli = 200_000 }, forecast.KindInvalid},
		{"negative work", func(s *forecast.Summary) { s.Lanes[1].Waiting[3] = -1 }, forecast.KindInvalid},
		{"absurd work", func(s *forecast.Summary) { s.Lanes[1].Running = math.MaxInt64 }, forecast.KindInvalid},
		{"negative arrival", func(s *forecast.Summary) { s.Lanes[1].ArrivalMilli = -1 }, forecast.KindInvalid},
		{"negative part that is not ready", func(s *forecast.Summary) { s.Lanes[1].NotReady = -1 }, forecast.KindInvalid},
		{"missing bucket", func(s *forecast.Summary) { s.Lanes[1].Waiting = s.Lanes[1].Waiting[1:] }, forecast.KindInvalid},
		{"lanes not sorted", func(s *forecast.Summary) { s.Lanes[1].Priority = 0 }, forecast.KindInvalid},
		{"too many lanes", func(s *forecast.Summary) { s.Lanes = make([]forecast.Lane, 9) }, forecast.KindInvalid},
		{"too many queues", func(s *forecast.Summary) { s.Queues = make([]forecast.QueueStats, 33) }, forecast.KindInvalid},
		{"long name", func(s *forecast.Summary) { s.Queues[0].Queue = strings.Repeat("q", 300) }, forecast.KindInvalid},
		{"ratio not a number", func(s *forecast.Summary) { s.Queues[0].Ratio = math.NaN() }, forecast.KindInvalid},
		{"infinite ratio", func(s *forecast.Summary) { s.Queues[0].Ratio = math.Inf(1) }, forecast.KindInvalid},
		{"negative bias", func(s *forecast.Summary) { s.Queues[0].Bias = -1 }, forecast.KindInvalid},
		{"negative low", func(s *forecast.Summary) { s.Queues[0].Low = -1 }, forecast.KindInvalid},
		{"more than all approved", func(s *forecast.Summary) { s.Queues[0].Approved = 1.5 }, forecast.KindInvalid},
		{"negative delay", func(s *forecast.Summary) { s.Queues[0].StartDelayMS = -1 }, forecast.KindInvalid},
	}
	for _, tt := range tests {
		s := validSummary()
		tt.change(s)
		var e *forecast.Error
		if err := s.Validate(); !errors.As(err, &e) || e.Kind != tt.kind {
			t.Errorf("%s: error %v, want kind %s", tt.name, err, tt.kind)
		}
	}
}
