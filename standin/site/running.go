// SPDX-License-Identifier: Apache-2.0

package site

import "slices"

// RunningRuns returns the start of each run that has not ended, according to the events on the
// workers, in order.
func (s *Site) RunningRuns() (starts []Event) {
	for _, e := range s.Events() {
		switch e.Kind {
		case EventStart:
			starts = append(starts, e)
		case EventEnd, EventSuccess, EventGangTimeout:
			starts = slices.DeleteFunc(starts, func(start Event) bool {
				return start.Worker == e.Worker && start.Task == e.Task && start.Run == e.Run
			})
		}
	}
	return starts
}
