// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// commandsOf returns the commands of one type.
func commandsOf[C scheduler.Command](list []scheduler.Command) []C {
	var found []C
	for _, c := range list {
		if c, ok := c.(C); ok {
			found = append(found, c)
		}
	}
	return found
}

// startOne hands in a job of one task on one worker, and returns its start, to which the
// worker has not replied.
func startOne(t *testing.T) (*rig, scheduler.Start) {
	r := newRig(t, 1)
	r.upsertWorkers()
	r.reportAll()
	r.shard.AddJob(r.now, batch("j", tasks(1, 1000)), nil, false)
	starts := commandsOf[scheduler.Start](r.shard.Schedule(r.now))
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	return r, starts[0]
}

// TestUnansweredStartIsResolvedAtOnce checks that the worker of a start without an answer
// is asked what it runs as soon as it has taken the stop: the hold that is open, and the
// next one, may be kept open for half a second each.
func TestUnansweredStartIsResolvedAtOnce(t *testing.T) {
	r, start := startOne(t)
	r.shard.StartReplied(r.now, start.Worker, start.Task, start.Run, cluster.ReplyUnknown)
	stops := commandsOf[scheduler.Stop](r.shard.Schedule(r.now))
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	r.shard.StopReplied(r.now, start.Worker, start.Task, start.Run, cluster.ReplyOK)
	if looks := commandsOf[scheduler.Poll](r.shard.Schedule(r.now)); len(looks) != 1 || looks[0].Worker != start.Worker {
		t.Fatalf("looks %v, want one at %s", looks, start.Worker)
	}
	r.reportAll()
	r.now = r.now.Add(50 * time.Millisecond)
	if starts := commandsOf[scheduler.Start](r.shard.Schedule(r.now)); len(starts) != 1 || starts[0].Run <= start.Run {
		t.Errorf("starts %v, want one under a new number", starts)
	}
}

// TestUnansweredStopIsSentAgain checks that the stop of a start without an answer is sent
// again at once if it gets none either.
func TestUnansweredStopIsSentAgain(t *testing.T) {
	r, start := startOne(t)
	r.shard.StartReplied(r.now, start.Worker, start.Task, start.Run, cluster.ReplyUnknown)
	r.shard.Schedule(r.now)
	r.shard.StopReplied(r.now, start.Worker, start.Task, start.Run, cluster.ReplyUnknown)
	if stops := commandsOf[scheduler.Stop](r.shard.Schedule(r.now)); len(stops) != 1 {
		t.Errorf("%d stops, want 1", len(stops))
	}
}
