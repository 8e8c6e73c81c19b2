// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"time"
)

// maxGap is the platform's bound for long-running tasks: as long as there is room, each runs
// again within this time of the end of its last run.
const maxGap = 6 * time.Second

// LongRunningJob is a job of one step whose tasks run until they are stopped, with an interval
// without faults in which there is room for all of them.
type LongRunningJob struct {
	Job         string
	Tasks       int
	From, Until time.Time
}

// Violations describes each time that a task ran nowhere for longer than the bound.
func (l LongRunningJob) Violations(events []Event) []string {
	var violations []string
	for i := range l.Tasks {
		task := fmt.Sprintf("%s.0.0.%d", l.Job, i)
		for _, gap := range l.gaps(task, events) {
			if gap > maxGap {
				violations = append(violations, fmt.Sprintf("long-running task %s ran nowhere for %s", task, gap))
			}
		}
	}
	return violations
}

// gaps returns the durations for which a task ran nowhere within the interval.
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
