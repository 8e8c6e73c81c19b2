// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// TestStalls checks that a job counts as stalled only if nothing of it runs for the bound beside
// room for its next step.
func TestStalls(t *testing.T) {
	const cores, settled = 4000, 3 * time.Second
	one := site.StallStep{Tasks: 1, CPUMilli: 1000, MemoryMB: 100}
	for name, c := range map[string]struct {
		step   site.StallStep
		check  func(c *site.StallCheck, accepted time.Time)
		stalls int
	}{
		"nothing runs":          {one, func(*site.StallCheck, time.Time) {}, 1},
		"no room for two":       {site.StallStep{Tasks: 1, CPUMilli: 3000, MemoryMB: 100}, func(*site.StallCheck, time.Time) {}, 0},
		"gang needs more room":  {site.StallStep{Tasks: 3, CPUMilli: 1000, MemoryMB: 100, Gang: true}, func(*site.StallCheck, time.Time) {}, 0},
		"no worker with label":  {site.StallStep{Tasks: 1, CPUMilli: 1000, MemoryMB: 100, Label: "gpu"}, func(*site.StallCheck, time.Time) {}, 0},
		"worker unreachable":    {one, func(c *site.StallCheck, _ time.Time) { c.Unreachable = map[string]bool{"i-1": true} }, 0},
		"cancelled soon":        {one, func(c *site.StallCheck, at time.Time) { c.Jobs[0].Cancelled = at.Add(time.Second) }, 0},
		"disturbed":             {one, func(c *site.StallCheck, _ time.Time) { c.Disturbed = func(time.Time, time.Time) bool { return true } }, 0},
		"bound not yet reached": {one, func(c *site.StallCheck, at time.Time) { c.Until = at.Add(2900 * time.Millisecond) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := site.New(site.Config{Service: "billing", Serve: func(string, http.Handler) func() { return func() {} }, WorkerAddress: func(int) string { return "w:1" }})
				s.AddWorker(site.WorkerConfig{Rack: "r", CPUMilli: cores, MemoryMB: 8000})
				time.Sleep(settled)
				accepted := time.Now()
				check := site.StallCheck{Jobs: []site.StallJob{{ID: "j", Accepted: accepted, MaxAttempts: 2, Steps: []site.StallStep{c.step}}}, From: accepted, Until: accepted.Add(5 * time.Second)}
				c.check(&check, accepted)
				if stalls := s.Stalls(check); len(stalls) != c.stalls {
					t.Errorf("%d stalls, want %d: %v", len(stalls), c.stalls, stalls)
				}
				s.Close()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestStallsOfTeams checks that a job counts as stalled only if its step fits twice into its team's
// limit beside all runs of the team, and that the lower limit counts around a change.
func TestStallsOfTeams(t *testing.T) {
	const own, other = "own", "other"
	one := site.StallStep{Tasks: 1, CPUMilli: 1000, MemoryMB: 100}
	gang := site.StallStep{Tasks: 2, CPUMilli: 1000, MemoryMB: 100, Gang: true}
	limit := func(cpu int64, after time.Duration) limitAfter { return limitAfter{cpu, after} }
	for name, c := range map[string]struct {
		step   site.StallStep
		limits []limitAfter
		// runOf is the team of a run that takes 1500 thousandths of a core; "": there is none.
		runOf  string
		until  time.Duration
		stalls int
	}{
		"room within limit":              {one, []limitAfter{limit(2000, -time.Hour)}, "", 5 * time.Second, 1},
		"no room for two within limit":   {one, []limitAfter{limit(1999, -time.Hour)}, "", 5 * time.Second, 0},
		"room for two gangs":             {gang, []limitAfter{limit(4000, -time.Hour)}, "", 5 * time.Second, 1},
		"no room for two gangs":          {gang, []limitAfter{limit(3999, -time.Hour)}, "", 5 * time.Second, 0},
		"run of the team takes the room": {one, []limitAfter{limit(3000, -time.Hour)}, own, 5 * time.Second, 0},
		"room beside run of the team":    {one, []limitAfter{limit(3500, -time.Hour)}, own, 5 * time.Second, 1},
		"run of another team":            {one, []limitAfter{limit(2000, -time.Hour)}, other, 5 * time.Second, 1},
		"limit has just risen":           {one, []limitAfter{limit(1000, -time.Hour), limit(4000, 0)}, "", 5 * time.Second, 0},
		"limit has risen":                {one, []limitAfter{limit(1000, -time.Hour), limit(4000, 0)}, "", 8 * time.Second, 1},
		"limit falls soon":               {one, []limitAfter{limit(4000, -time.Hour), limit(1000, 6*time.Second)}, "", 8 * time.Second, 0},
		"limit falls later":              {one, []limitAfter{limit(4000, -time.Hour), limit(1000, 8*time.Second)}, "", 8 * time.Second, 1},
		"no limit yet":                   {one, []limitAfter{limit(4000, time.Hour)}, "", 8 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, start := newStallSite(t)
				if c.runOf != "" {
					start(c.runOf+"-run", 1500)
				}
				accepted := time.Now()
				check := site.StallCheck{Jobs: []site.StallJob{{ID: own, Accepted: accepted, MaxAttempts: 2, Steps: []site.StallStep{c.step}}}, From: accepted.Add(-time.Minute), Until: accepted.Add(c.until)}
				check.Teams = []site.TeamExpectation{{Name: own, Jobs: map[string]bool{own: true, own + "-run": true}}, {Name: other, Jobs: map[string]bool{other + "-run": true}}}
				for _, l := range c.limits {
					check.Teams[0].Limits = append(check.Teams[0].Limits, site.LimitChange{At: accepted.Add(l.after), CPUMilli: l.cpuMilli})
				}
				if stalls := s.Stalls(check); len(stalls) != c.stalls {
					t.Errorf("%d stalls, want %d: %v", len(stalls), c.stalls, stalls)
				}
				s.Close()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestStallsAfterRunOfTeam checks that a run which has ended takes nothing of its team's limit.
func TestStallsAfterRunOfTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, start := newStallSite(t)
		accepted := time.Now()
		start("run", 1500) // It ends after a second.
		time.Sleep(2 * time.Second)
		team := site.TeamExpectation{Name: "team", Jobs: map[string]bool{"j": true, "run": true}, Limits: []site.LimitChange{{CPUMilli: 3000}}}
		check := site.StallCheck{
			Jobs: []site.StallJob{{ID: "j", Accepted: accepted, MaxAttempts: 2, Steps: []site.StallStep{{Tasks: 1, CPUMilli: 1000, MemoryMB: 100}}}},
			From: accepted, Until: accepted.Add(3900 * time.Millisecond), Teams: []site.TeamExpectation{team},
		}
		if stalls := s.Stalls(check); len(stalls) != 0 {
			t.Errorf("less than 3 s after the run: %v", stalls)
		}
		check.Until = accepted.Add(4300 * time.Millisecond)
		if stalls := s.Stalls(check); len(stalls) != 1 {
			t.Errorf("over 3 s after the run: %d stalls, want 1: %v", len(stalls), stalls)
		}
		s.Close()
		time.Sleep(time.Second)
	})
}

// limitAfter is a limit from some time after the acceptance of a job on.
type limitAfter struct {
	cpuMilli int64
	after    time.Duration
}

// newStallSite returns a site with one worker of four cores, and a function that starts a job's task
// of a second on it.
func newStallSite(t *testing.T) (s *site.Site, start func(job string, cpuMilli int64)) {
	var worker http.Handler
	serve := func(address string, h http.Handler) func() {
		if address == "w:1" {
			worker = h
		}
		return func() {}
	}
	s = site.New(site.Config{Service: "billing", Serve: serve, WorkerAddress: func(int) string { return "w:1" }})
	s.AddWorker(site.WorkerConfig{Rack: "r", CPUMilli: 4000, MemoryMB: 8000})
	time.Sleep(3 * time.Second)
	return s, func(job string, cpuMilli int64) {
		body := fmt.Sprintf(`{"Task":"%s.0.0.0","Run":1,"Spec":"1000 cpu=%d","DeadlineMs":600000,"Fence":1}`, job, cpuMilli)
		worker.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/api/run-start", strings.NewReader(body)))
	}
}
