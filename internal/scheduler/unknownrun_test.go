// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestUnknownRunFillsWorker checks that a worker with a run of an unknown job counts as full,
// also if it reported the run before the directory told its capacity.
func TestUnknownRunFillsWorker(t *testing.T) {
	r := newRig(t, 1)
	r.shard.UpsertWorker(r.now, cluster.Worker{ID: "w0", Address: "w0", Service: "svc"})
	r.workers["w0"].running = []cluster.RunStatus{{Task: cluster.TaskID{Job: "gone"}, Run: 7}}
	r.reportAll()
	r.shard.UpsertWorker(r.now, cluster.Worker{
		ID: "w0", Address: "w0", Service: "svc", Capacity: resource.Amount{CPUMilli: 4000, MemoryMB: 8000},
	})
	r.shard.AddJob(r.now, batch("a", tasks(1, 4000)), nil, false)
	for _, c := range r.shard.Schedule(r.now) {
		if start, ok := c.(scheduler.Start); ok {
			t.Errorf("%v starts beside a run of unknown size", start.Task)
		}
	}
}
