// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"time"
)

// maxGap is the platform's bound for tasks that last: within it from the end of
// its last run, each runs again as long as there is room.
const maxGap = 6 * time.Second

// LongRunningJob is a job of one step whose tasks last, and a time without faults in which all
// of them have room.
type LongRunningJob struct {
	Job         string
	Tasks       int
	From, Until time.Time
}

// Violations describes the times for which a task ran nowhere for longer than the bound.
func (l LongRunningJob) Violations(events []Event) []string {
	var violations []string
	for i := range l.Tasks {
		task := fmt.Sprintf("%s.0.0.%d", l.Job, i)
		for _, gap := range l.gaps(task, events) {
			if gap > maxGap {
				violations = append(violations, fmt.Sprintf("%s lasts, and ran nowhere for %s", task, gap))
			}
		}
	}
	return violations
}

// gaps returns for how long a task ran nowhere, each time.
func (l LongRunningJob) gaps(task string, events []Event) []time.Duration {
	var list []time.Duration
	notRunning, since := true, l.From
	for _, e := range events {
		if e.Task != task || e.At.After(l.Until) {
			continue
		}
		switch e.Kind {
		case EventStart:
			if notRunning {
				list = append(list, e.At.Sub(laterOf(since, l.From)))
			}
			notRunning = false
		case EventEnd, EventSuccess, EventGangTimeout:
			notRunning, since = true, e.At
		}
	}
	if notRunning {
		list = append(list, l.Until.Sub(laterOf(since, l.From)))
	}
	return list
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
