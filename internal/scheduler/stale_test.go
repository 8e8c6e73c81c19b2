// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestOlderListDoesNotDropListedRun guards against a task that runs twice on one worker. After
// a start without an answer two requests are open at the worker: the hold, which is a long
// poll, and an immediate poll. The poll may be answered before the start arrives, and its answer
// be read after the answer to the hold, which lists the run: a busy host reads answers up to
// 0.1 s late. The older answer must not make the listed run count as lost.
func TestOlderListDoesNotDropListedRun(t *testing.T) {
	for _, reply := range []cluster.Reply{cluster.ReplyOK, cluster.ReplyUnknown} {
		t.Run(string(reply), func(t *testing.T) { testOlderList(t, reply) })
	}
}

func testOlderList(t *testing.T, reply cluster.Reply) {
	r, start := startOne(t)
	hold, _, _, _ := r.shard.BeginHold(r.now, start.Worker)
	poll, _, _, _ := r.shard.BeginHold(r.now, start.Worker)
	// The worker answers the poll, takes the start and answers the hold, but the answer to
	// the hold is read first.
	clockMS := r.now.UnixMilli()
	r.shard.Observe(r.now, start.Worker, hold, cluster.Report{
		ClockMS: clockMS + 20, Running: []cluster.RunStatus{{Task: start.Task, Run: start.Run}},
	})
	r.shard.Observe(r.now, start.Worker, poll, cluster.Report{ClockMS: clockMS + 10})
	r.shard.StartReplied(r.now, start.Worker, start.Task, start.Run, reply)
	r.now = r.now.Add(100 * time.Millisecond)
	if again := commandsOf[scheduler.Start](r.shard.Schedule(r.now)); len(again) > 0 {
		t.Errorf("run %d was started although run %d is listed", again[0].Run, start.Run)
	}
}
