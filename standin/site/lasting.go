// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"time"
)

// runsAgainWithin is the platform's bound for tasks that last: within it from the end of
// its last run, each runs again as long as there is room.
const runsAgainWithin = 6 * time.Second

// LongRunningJob is a job of one step whose tasks last, and a time without faults in which all
// of them have room.
type LongRunningJob struct {
	Job         string
	Tasks       int
	From, Until time.Time
}

// Violations describes the times for which a task ran nowhere for longer than the bound.
func (l LongRunningJob) Violations(sights []Event) []string {
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
func (l LongRunningJob) aways(task string, sights []Event) []time.Duration {
	var list []time.Duration
	away, since := true, l.From
	for _, e := range sights {
		if e.Task != task || e.At.After(l.Until) {
			continue
		}
		switch e.Kind {
		case EventStart:
			if away {
				list = append(list, e.At.Sub(later(since, l.From)))
			}
			away = false
		case EventEnd, EventSuccess, EventGangTimeout:
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
