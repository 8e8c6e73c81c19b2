// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"switchbank.example/switchbank/internal/resource"
)

// loadInterval is how often the load is measured: as often as other nodes ask for it.
const loadInterval = 100 * time.Millisecond

// Load returns the share of the shard's capacity that is in use or waited for, as last
// measured: 1 is a full shard in which nothing waits.
func (s *Shard) Load() float64 { return s.load }

// unknownLoad is the load of a shard whose workers have not answered yet.
const unknownLoad = 1.0

// updateLoad measures the load every loadInterval.
func (s *Shard) updateLoad(now time.Time) {
	if now.Sub(s.loadMeasuredAt) >= loadInterval {
		s.load, s.loadMeasuredAt = s.measureLoad(now), now
	}
}

// measureLoad returns the running and waiting work as a share of the capacity of the
// workers that accept work.
func (s *Shard) measureLoad(now time.Time) float64 {
	var capacity, demand resource.Amount
	for _, w := range s.workerList {
		if s.acceptsStarts(now, w) {
			capacity = capacity.Add(w.info.Capacity)
			demand = demand.Add(w.used)
		}
	}
	if capacity.CPUMilli <= 0 {
		return unknownLoad
	}
	for _, j := range s.active {
		demand = demand.Add(j.waitingDemand(now))
	}
	return demand.DominantShare(capacity)
}

// waitingDemand returns what the job's waiting tasks need.
func (j *job) waitingDemand(now time.Time) resource.Amount {
	var sum resource.Amount
	for st := range j.steps() {
		if st.done < st.spec.Count && st.ready(now) {
			sum = sum.Add(st.spec.Allocation().Times(st.waitingTasksHere()))
		}
	}
	return sum
}

// waitingTasksHere is waitingTasks for this shard's part: a joint gang waits in all its
// shards.
func (st *step) waitingTasksHere() int64 {
	n := st.waitingTasks()
	if st.job.isJoint() && st.spec.Gang {
		n /= int64(st.job.spec.Share.Of)
	}
	return n
}

// waitingTasks returns how many tasks of the step neither run nor have succeeded.
func (st *step) waitingTasks() int64 {
	n := int64(st.pristine)
	for _, t := range st.tasks {
		if !t.done && len(t.runs) == 0 {
			n++
		}
	}
	return n
}
