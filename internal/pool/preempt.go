// SPDX-License-Identifier: Apache-2.0

package pool

import (
	"fmt"

	"switchbank.example/switchbank/internal/policy"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/worker"
)

// preemptLocked frees capacity for spec by stopping less urgent tasks on the worker where the
// fewest have to be stopped. Each is checkpointed first.
func (p *Pool) preemptLocked(spec worker.Spec, candidates []policy.Candidate) (int, bool) {
	best, bestVictims := -1, []*task(nil)
	for i, w := range p.workerList {
		if candidates[i].Unschedulable {
			continue
		}
		victims, ok := w.victimsLocked(spec, candidates[i].Free)
		if ok && (best < 0 || len(victims) < len(bestVictims)) {
			best, bestVictims = i, victims
		}
	}
	if best < 0 {
		return 0, false
	}
	w := p.workerList[best]
	for _, t := range bestVictims {
		t.stopping, t.stopReason = true, fmt.Sprintf("preempted for %s of class %s", spec.Attempt.Job, spec.Class)
		w.checkpoints = append(w.checkpoints, t.spec.Attempt)
		w.stops = append(w.stops, t.spec.Attempt)
		candidates[best].Free = candidates[best].Free.Add(t.allocation())
	}
	w.signal()
	return best, true
}

// victimsLocked returns the tasks to stop on the worker to make spec fit.
func (w *workerState) victimsLocked(spec worker.Spec, free resource.Amount) ([]*task, bool) {
	var tasks []*task
	var candidates []policy.RunningTask
	for _, t := range w.tasks {
		if t.state != running || t.stopping {
			continue
		}
		tasks = append(tasks, t)
		candidates = append(candidates, policy.RunningTask{
			Priority: t.spec.Priority, Size: t.allocation(), Attempt: t.spec.Attempt.N, Preemptible: t.spec.Preemptible,
		})
	}
	chosen, ok := policy.Victims(spec.Size, free, spec.Priority, candidates)
	if !ok {
		return nil, false
	}
	victims := make([]*task, len(chosen))
	for i, c := range chosen {
		victims[i] = tasks[c]
	}
	return victims, true
}

// fitsLocked reports whether t fits beside the tasks that are still on the worker.
func (w *workerState) fitsLocked(t *task) bool {
	allocated := t.spec.Size
	for _, other := range w.tasks {
		if other != t && other.state != reserved && !other.awaitsPreemption {
			allocated = allocated.Add(other.allocation())
		}
	}
	return w.host.Capacity.Fits(allocated)
}

// updateUsageLocked applies the usage that a worker reports. Usage above the declared size counts
// as allocated, and the task is throttled to its declared size.
func (p *Pool) updateUsageLocked(w *workerState, usage []worker.Usage) {
	for _, u := range usage {
		t, ok := w.tasks[u.Attempt]
		if !ok {
			continue
		}
		if t.used == u.Used {
			continue
		}
		before := t.allocation()
		t.used = u.Used
		w.addAllocationLocked(t.spec.Team, t.allocation().Sub(before))
		if !t.spec.Size.Fits(u.Used) {
			w.throttles = append(w.throttles, u.Attempt)
			w.signal()
		}
	}
}
