// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
)

// TestTasksWaitOnSlowKind runs jobs on workers of two kinds, on one of which tasks take 1.3 times as
// long. Once that is known, a job starts on the fast kind while there is room, and a long-running
// one on the slow kind.
func TestTasksWaitOnSlowKind(t *testing.T) {
	const slowKindPercent = healthyPercent / 1.3
	r := newSlowRig(t, 4)
	kinds := map[string]string{"w0": "fast", "w1": "slow", "w2": "fast", "w3": "slow"}
	for id, kind := range kinds {
		r.shard.UpsertWorker(r.now, cluster.Worker{
			ID: id, Address: id, Service: "svc", Rack: "r1-0", Labels: []string{"r1-0", kind},
			Capacity: resource.Amount{CPUMilli: 4000, MemoryMB: 8000}, ClockMS: r.now.UnixMilli(),
		})
		if kind == "slow" {
			r.percent[id] = slowKindPercent
		}
	}
	for i := range 12 {
		r.add(fmt.Sprintf("before%d", i), 16)
	}
	r.simulate(25 * time.Second)
	r.add("short", 6)
	lasting := batch("lasting", tasks(4, 1000))
	lasting.Steps[0].LongRunning = true
	r.longRunning["lasting"] = true
	r.shard.AddJob(r.now, lasting, nil, false)
	r.simulate(500 * time.Millisecond)
	want := map[string]string{"short": "fast", "lasting": "slow"}
	found := make(map[string]int)
	for task, on := range r.started {
		if kind, ok := want[task.Job]; ok {
			found[task.Job]++
			if kinds[on[0]] != kind {
				t.Errorf("%s starts on %s, a %s worker", task, on[0], kinds[on[0]])
			}
		}
	}
	if found["short"] != 6 || found["lasting"] != 4 {
		t.Errorf("tasks started: %v", found)
	}
}
