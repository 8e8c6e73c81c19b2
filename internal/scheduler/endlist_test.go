// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestFullEndListDoesNotMeanRunIsLost guards against done tasks that run twice. A worker lists
// at most 500 ends, so a run that it lists neither as running nor as ended may have an end
// that does not fit in; if the run is taken for lost, its task starts again. One end of a job
// whose part of the store is unavailable keeps all later ends of the worker from being
// confirmed, so that 500 gather within a minute.
func TestFullEndListDoesNotMeanRunIsLost(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	r.shard.AddJob(r.now, batch("j", tasks(1, 500)), nil, false)
	r.runFor(300 * time.Millisecond)
	if len(r.running()) != 1 {
		t.Fatal("the task does not run")
	}
	var ends []cluster.RunEnd
	for n := range int64(listedEnds) {
		ends = append(ends, cluster.RunEnd{N: n + 1, Task: cluster.TaskID{Job: "old", Index: int(n)}, Run: 1, Outcome: cluster.OutcomeDone})
	}
	starts := 0
	for range 10 {
		r.now = r.now.Add(100 * time.Millisecond)
		seq, _, _, _ := r.shard.BeginHold(r.now, "w0")
		r.shard.Observe(r.now, "w0", seq, cluster.Report{ClockMS: r.now.UnixMilli(), Ended: ends})
		starts += len(commandsOf[scheduler.Start](r.shard.Schedule(r.now)))
	}
	if starts != 0 {
		t.Errorf("the task was started again %d times although its end may not be listed yet", starts)
	}
}
