// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"time"
)

// runsAgainWithin is the platform's bound for tasks that last: within it from the end of
// its last run, each runs again as long as there is room.
const runsAgainWithin = 6 * time.Second

// Lasting is a job of one step whose tasks last, and a time without faults in which all
// of them have room.
type Lasting struct {
	Job         string
	Tasks       int
	From, Until time.Time
}

// Breaches describes the times for which a task ran nowhere for longer than the bound.
func (l Lasting) Breaches(sights []Sight) []string {
	var wrong []string
	for i := range l.Tasks {
		task := fmt.Sprintf("%s.0.0.%d", l.Job, i)
		for _, away := range l.aways(task, sights) {
			if away > runsAgainWithin {
				wrong = append(wrong, fmt.Sprintf("%s lasts, and ran nowhere for %s", task, away))
			}
		}
	}
	return wrong
}

// aways returns for how long a task ran nowhere, each time.
func (l Lasting) aways(task string, sights []Sight) []time.Duration {
	var list []time.Duration
	away, since := true, l.From
	for _, e := range sights {
		if e.Task != task || e.At.After(l.Until) {
			continue
		}
		switch e.What {
		case SawStart:
			if away {
				list = append(list, e.At.Sub(later(since, l.From)))
			}
			away = false
		case SawEnd, SawDone, SawAlone:
			away, since = true, e.At
		}
	}
	if away {
		list = append(list, l.Until.Sub(later(since, l.From)))
	}
	return list
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
