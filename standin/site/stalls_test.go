// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"net/http"
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
