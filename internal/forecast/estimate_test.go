// SPDX-License-Identifier: Apache-2.0

package forecast_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/forecast"
)

// job is one of 10 s that is due in 20 s.
func job(priority int) forecast.Job {
	return forecast.Job{
		Queue: "q", Priority: priority, WorkMilliSec: 100_000, CriticalPath: 10 * time.Second,
		Objective: 20 * time.Second, Due: 20 * time.Second, WidestMilli: 10_000,
	}
}

func wantAbout(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want-100*time.Millisecond || got > want+100*time.Millisecond {
		t.Errorf("%s: %v, want about %v", what, got, want)
	}
}

// Guards against a decision by a summary that says nothing: the job has to be accepted then.
func TestUnknown(t *testing.T) {
	var none *forecast.Summary
	for name, e := range map[string]forecast.Estimate{
		"no summary":           none.Estimate(job(2), 0),
		"empty summary":        (&forecast.Summary{}).Estimate(job(2), 0),
		"stale summary":        validSummary().Estimate(job(2), forecast.MaxAge+time.Millisecond),
		"clock that went back": validSummary().Estimate(job(2), -time.Second),
	} {
		if e.Known || e.Start != 0 || e.End != 0 {
			t.Errorf("%s: %+v, want an unknown forecast", name, e)
		}
	}
	if e := validSummary().Estimate(job(2), forecast.MaxAge); !e.Known {
		t.Errorf("summary that is just fresh enough: %+v", e)
	}
}

// Guards against a wait that is forecast in a shard with room: its jobs would be refused.
func TestNoWaitWithRoom(t *testing.T) {
	s := validSummary()
	s.FreeMilli, s.Lanes[1].Waiting[0], s.Lanes[1].Running = 60_000, 0, 300_000
	e := s.Estimate(job(2), 0)
	if e.Start != 0 || e.End != 10*time.Second || !e.Known {
		t.Errorf("with room and nothing waiting: %+v", e)
	}
	// The next steps of what runs need room later, as the runs before them end.
	s.Lanes[1].Waiting[5], s.Lanes[1].NotReady = 300_000, 300_000
	if e := s.Estimate(job(2), 0); e.Start != 0 {
		t.Errorf("with room and steps that wait for earlier ones: %+v", e)
	}
	// A step of 10 cores in a full shard waits for the first runs to end.
	s.FreeMilli, s.Lanes[1].Waiting[5], s.Lanes[1].NotReady = 0, 0, 0
	if e := s.Estimate(job(2), 0); e.Start <= 0 || e.Start > 3*time.Second {
		t.Errorf("without room: %+v, want a wait below the mean remaining time", e)
	}
}

// Guards against a forecast that ignores the order in which work starts.
func TestWaitByRank(t *testing.T) {
	s := validSummary()
	// 1,000 core-seconds are overdue on 100 cores.
	wantAbout(t, "same priority", s.Estimate(job(2), 0).Start, 10*time.Second)
	wantAbout(t, "an older summary", s.Estimate(job(2), time.Second).Start, 9*time.Second)
	if e := s.Estimate(job(0), 0); e.Start > 7*time.Second {
		t.Errorf("more urgent than all that waits: %+v, want no wait for it", e)
	}
	s.Lanes[0].ArrivalMilli = 50_000
	wantAbout(t, "urgent work takes half of the capacity", s.Estimate(job(2), 0).Start, 20*time.Second)
	s.Lanes[0].ArrivalMilli = 500_000
	wantAbout(t, "urgent work takes more than all", s.Estimate(job(2), 0).Start, 100*time.Second)
	s.Lanes[0].ArrivalMilli = 0
	s.Lanes[1].Waiting[0], s.Lanes[1].Waiting[8] = 0, 1_000_000
	if e := s.Estimate(job(2), 0); e.Start > 7*time.Second {
		t.Errorf("all that waits is due later: %+v, want no wait for it", e)
	}
}

// Guards against a forecast for a job that is due late, which more and more jobs overtake.
func TestOvertaking(t *testing.T) {
	s := validSummary()
	s.Lanes[1].DueMS, s.Lanes[1].ArrivalMilli = 15_000, 50_000
	// Half of the capacity for 5 s is due sooner than the job, and comes later.
	wantAbout(t, "overtaken for 5 s", s.Estimate(job(2), 0).Start, 12_500*time.Millisecond)
	s.Lanes[1].DueMS = 20_000
	wantAbout(t, "due as soon as the others", s.Estimate(job(2), 0).Start, 10*time.Second)
	s.Lanes[1].DueMS, s.Lanes[1].Waiting[0] = 1, 500_000
	wantAbout(t, "overtaken all the time", s.Estimate(job(2), 0).Start, 10*time.Second)
}

// Guards against learned figures that are not used, or are used for other queues.
func TestLearnedFigures(t *testing.T) {
	s := validSummary()
	s.Queues[0] = forecast.QueueStats{Queue: "q", Ratio: 1.5, Bias: 1.2, StartDelayMS: 500, Low: 0.8}
	e := s.Estimate(job(2), 0)
	wantAbout(t, "start", e.Start, 12_500*time.Millisecond)
	wantAbout(t, "end", e.End, 27_500*time.Millisecond)
	wantAbout(t, "optimistic end", e.EndLow, 22*time.Second)
	other := job(2)
	other.Queue = "other"
	wantAbout(t, "end in a queue without figures", s.Estimate(other, 0).End, 20*time.Second)
}

// Guards against a correction that never comes, or is without bounds.
func TestTrackerLearnsBias(t *testing.T) {
	now := time.Unix(1_000, 0)
	var tr forecast.Tracker
	ended := func(n int, modelled, took time.Duration) {
		for range n {
			tr.JobEnded(&forecast.Pending{Job: job(2), Estimate: forecast.Estimate{Start: modelled, End: modelled + 10*time.Second, Known: true}, Wait: modelled, AcceptedAt: now}, now.Add(took))
		}
	}
	if q := tr.Stats("q", 1); q.Ratio != 1 || q.StartDelayMS != 0 || q.Low != 0 {
		t.Errorf("nothing learned: %+v", q)
	}
	ended(100, 40*time.Second, 90*time.Second)
	if q := tr.Stats("q", 1); q.Bias < 1.4 || q.Bias > 2 || q.StartDelayMS != 5000 || q.ErrorP50 != 0.44 || q.Low != 0.9 {
		t.Errorf("waits of 80 s instead of 40 s: %+v", q)
	}
	ended(100, 40*time.Second, 20*time.Second)
	if q := tr.Stats("q", 1); q.Bias > 0.5 || q.StartDelayMS != 0 || q.ErrorP50 != 1.5 || q.Low != 0.4 {
		t.Errorf("waits of 10 s instead of 40 s: %+v", q)
	}
	ended(100, 400*time.Second, 10*time.Second)
	if q := tr.Stats("q", 1); q.Bias != 0.25 {
		t.Errorf("no waits instead of 400 s: %+v, want the bound of the correction", q)
	}
}

// Guards against an overflow, by which a shard with an absurd backlog would seem to be empty.
func TestLargestFigures(t *testing.T) {
	const largest = 1_000_000_000_000
	s := validSummary()
	s.CapacityMilli, s.Lanes[1].Waiting[0] = 1, largest
	s.Queues[0] = forecast.QueueStats{Queue: "q", Ratio: largest, Bias: largest, StartDelayMS: largest, Low: 1}
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	if e := s.Estimate(job(2), 0); e.Start < time.Hour || e.End < e.Start || e.EndLow < time.Hour {
		t.Errorf("%+v, want a wait of hours", e)
	}
}
