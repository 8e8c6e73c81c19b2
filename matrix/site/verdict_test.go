// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"strings"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// cancelWithin is the platform's bound: after it nothing of a cancelled job starts.
const cancelWithin = 3 * time.Second

// drainWithin is the platform's bound for starts on a worker that is draining.
const drainWithin = 2 * time.Second

// judge holds what the workers saw against the promises.
func (w *world) judge() []string {
	var wrong []string
	add := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	running := make(map[string]string)
	highest := make(map[string]int64)
	drains := w.drainedAt
	for _, e := range w.site.Sights() {
		job, _, _ := strings.Cut(e.Task, ".")
		switch e.What {
		case site.SawStart:
			if where, ok := running[e.Task]; ok {
				add("%s runs on %s and starts on %s", e.Task, where, e.Worker)
			}
			running[e.Task] = e.Worker
			if w.refused[job] {
				add("%s starts, and its job was refused", e.Task)
			}
			if at, ok := w.cancelled[job]; ok && e.At.Sub(at) > cancelWithin {
				add("%s starts %s after its cancel", e.Task, e.At.Sub(at))
			}
			if e.Fence < highest[e.Worker] {
				add("%s took epoch %d after %d", e.Worker, e.Fence, highest[e.Worker])
			}
			highest[e.Worker] = max(highest[e.Worker], e.Fence)
		case site.SawEnd:
			delete(running, e.Task)
		case site.SawOverload:
			add("%s has more than its room with %s", e.Worker, e.Task)
		case site.SawNoTicket:
			add("%s came to %s without a valid ticket", e.Task, e.Worker)
		case site.SawDraining:
			if at, ok := drains[e.Worker]; ok && e.At.Sub(at) > drainWithin {
				add("%s starts on %s, which drains since %s", e.Task, e.Worker, e.At.Sub(at))
			}
		}
	}
	return wrong
}
