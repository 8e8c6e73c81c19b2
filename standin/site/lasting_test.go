// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// TestLastingBreaches checks that only a task that is away for longer than the bound, within
// the time that is judged, counts.
func TestLastingBreaches(t *testing.T) {
	zero := time.Unix(100, 0)
	at := func(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		sights []site.Sight
		wrong  int
	}{
		"runs all the while":       {[]site.Sight{{At: at(-1), Task: "j.0.0.0", What: site.SawStart}}, 0},
		"never runs":               {nil, 1},
		"starts late":              {[]site.Sight{{At: at(7), Task: "j.0.0.0", What: site.SawStart}}, 1},
		"runs again soon":          {[]site.Sight{{At: at(0), Task: "j.0.0.0", What: site.SawStart}, {At: at(5), Task: "j.0.0.0", What: site.SawEnd}, {At: at(10), Task: "j.0.0.0", What: site.SawStart}}, 0},
		"doesn't run again":        {[]site.Sight{{At: at(0), Task: "j.0.0.0", What: site.SawStart}, {At: at(5), Task: "j.0.0.0", What: site.SawEnd}}, 1},
		"away before it is judged": {[]site.Sight{{At: at(-9), Task: "j.0.0.0", What: site.SawEnd}, {At: at(5), Task: "j.0.0.0", What: site.SawStart}}, 0},
		"another task runs":        {[]site.Sight{{At: at(0), Task: "j.0.0.1", What: site.SawStart}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			wrong := site.Lasting{Job: "j", Tasks: 1, From: at(0), Until: at(20)}.Breaches(c.sights)
			if len(wrong) != c.wrong {
				t.Errorf("%d breaches, want %d: %v", len(wrong), c.wrong, wrong)
			}
		})
	}
}
