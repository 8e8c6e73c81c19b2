// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// TestLongRunningJobViolations checks that a task counts as a violation only if it runs
// nowhere for longer than the bound within the interval of the job.
func TestLongRunningJobViolations(t *testing.T) {
	zero := time.Unix(100, 0)
	at := func(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		events     []site.Event
		violations int
	}{
		"runs all the time":           {[]site.Event{{At: at(-1), Task: "j.0.0.0", Kind: site.EventStart}}, 0},
		"never runs":                  {nil, 1},
		"starts late":                 {[]site.Event{{At: at(7), Task: "j.0.0.0", Kind: site.EventStart}}, 1},
		"runs again soon":             {[]site.Event{{At: at(0), Task: "j.0.0.0", Kind: site.EventStart}, {At: at(5), Task: "j.0.0.0", Kind: site.EventEnd}, {At: at(10), Task: "j.0.0.0", Kind: site.EventStart}}, 0},
		"doesn't run again":           {[]site.Event{{At: at(0), Task: "j.0.0.0", Kind: site.EventStart}, {At: at(5), Task: "j.0.0.0", Kind: site.EventEnd}}, 1},
		"stopped before the interval": {[]site.Event{{At: at(-9), Task: "j.0.0.0", Kind: site.EventEnd}, {At: at(5), Task: "j.0.0.0", Kind: site.EventStart}}, 0},
		"another task runs":           {[]site.Event{{At: at(0), Task: "j.0.0.1", Kind: site.EventStart}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			violations := site.LongRunningJob{Job: "j", Tasks: 1, From: at(0), Until: at(20)}.Violations(c.events)
			if len(violations) != c.violations {
				t.Errorf("%d violations, want %d: %v", len(violations), c.violations, violations)
			}
		})
	}
}
