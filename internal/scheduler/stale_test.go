// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// Twice in some 80 plays of a cell that had just lost its nodes, a task ran twice on one
// worker: run 300002 from 30.644 s, and run 300003 from 30.793 s, both ordered by one
// owner, while the first was being stopped until 31.576 s. Two questions were open at the
// worker, the hold that it keeps open and a look, as after each start without an answer.
// The answer to the look, made before the start arrived, was read after that to the hold,
// which listed the run: the run counted as gone and the task started again. A busy host
// reads answers up to 0.1 s late, and so not in their order.

// TestOlderListDoesNotDropListedRun checks that a run that a worker has listed is not
// taken for gone because of a list that was asked for before that one was read.
func TestOlderListDoesNotDropListedRun(t *testing.T) {
	for _, reply := range []cluster.Reply{cluster.ReplyOK, cluster.ReplyUnknown} {
		t.Run(string(reply), func(t *testing.T) { testOlderList(t, reply) })
	}
}

func testOlderList(t *testing.T, reply cluster.Reply) {
	r, start := startOne(t)
	hold, _, _, _ := r.shard.HoldSent(r.now, start.Worker)
	look, _, _, _ := r.shard.HoldSent(r.now, start.Worker)
	// The worker answers the look, takes the start, and answers the hold; the answer to
	// the hold is read first.
	clock := r.now.UnixMilli()
	r.shard.Observe(r.now, start.Worker, hold, cluster.Report{
		ClockMS: clock + 20, Running: []cluster.RunStatus{{Task: start.Task, Run: start.Run}},
	})
	r.shard.Observe(r.now, start.Worker, look, cluster.Report{ClockMS: clock + 10})
	r.shard.StartReplied(r.now, start.Worker, start.Task, start.Run, reply)
	r.now = r.now.Add(100 * time.Millisecond)
	if again := commandsOf[scheduler.Start](r.shard.Schedule(r.now)); len(again) > 0 {
		t.Errorf("run %d was started while run %d is listed", again[0].Run, start.Run)
	}
}
