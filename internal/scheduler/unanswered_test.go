// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// commandsOf returns the commands of the given type.
func commandsOf[C scheduler.Command](list []scheduler.Command) []C {
	var found []C
	for _, c := range list {
		if c, ok := c.(C); ok {
			found = append(found, c)
		}
	}
	return found
}

// startOne submits a job of one task to one worker and returns the order to start it, which
// the worker has not answered.
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

// TestUnansweredStartIsResolvedAtOnce checks that a worker that did not answer a start is
// polled for its runs as soon as it has taken the stop. Without that, the open hold and the
// next one could each delay the answer by half a second.
func TestUnansweredStartIsResolvedAtOnce(t *testing.T) {
	r, start := startOne(t)
	r.shard.StartReplied(r.now, start.Worker, start.Task, start.Run, cluster.ReplyUnknown)
	stops := commandsOf[scheduler.Stop](r.shard.Schedule(r.now))
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	r.shard.StopReplied(r.now, start.Worker, start.Task, start.Run, cluster.ReplyOK)
	if polls := commandsOf[scheduler.Poll](r.shard.Schedule(r.now)); len(polls) != 1 || polls[0].Worker != start.Worker {
		t.Fatalf("polls are %v, want one at %s", polls, start.Worker)
	}
	r.reportAll()
	r.now = r.now.Add(50 * time.Millisecond)
	if starts := commandsOf[scheduler.Start](r.shard.Schedule(r.now)); len(starts) != 1 || starts[0].Run <= start.Run {
		t.Errorf("starts are %v, want one with a new run number", starts)
	}
}

// TestUnansweredStopIsSentAgain checks that the stop of an unanswered start is sent again at
// once if it is not answered either.
func TestUnansweredStopIsSentAgain(t *testing.T) {
	r, start := startOne(t)
	r.shard.StartReplied(r.now, start.Worker, start.Task, start.Run, cluster.ReplyUnknown)
	r.shard.Schedule(r.now)
	r.shard.StopReplied(r.now, start.Worker, start.Task, start.Run, cluster.ReplyUnknown)
	if stops := commandsOf[scheduler.Stop](r.shard.Schedule(r.now)); len(stops) != 1 {
		t.Errorf("%d stops, want 1", len(stops))
	}
}

// TestRefusedJobWaits guards against jobs that are left out of the count of those that wait, since they
// count as begun though each of their starts was refused, or never reached its worker.
func TestRefusedJobWaits(t *testing.T) {
	for _, reply := range []cluster.Reply{cluster.ReplyNoRoom, cluster.ReplyBusy, cluster.ReplyNotSent, cluster.ReplyDeadlinePassed, cluster.ReplyUnknown} {
		t.Run(string(reply), func(t *testing.T) {
			r := newRig(t, 1)
			r.upsertWorkers()
			r.reportAll()
			r.shard.AddJob(r.now, batch("j", tasks(2, 1000)), nil, false)
			for range 10 {
				r.now = r.now.Add(100 * time.Millisecond)
				r.reportAll()
				for _, c := range r.shard.Schedule(r.now) {
					switch c := c.(type) {
					case scheduler.Start:
						r.shard.StartReplied(r.now, c.Worker, c.Task, c.Run, reply)
					case scheduler.Stop:
						r.shard.StopReplied(r.now, c.Worker, c.Task, c.Run, cluster.ReplyOK)
					}
				}
			}
			r.reportAll()
			r.now = r.now.Add(100 * time.Millisecond)
			r.reportAll()
			if n := r.shard.WaitingJobs("q"); n != 1 {
				t.Errorf("%d jobs wait, want the one whose starts are answered with %q", n, reply)
			}
			r.runFor(2 * time.Second)
			if n := r.shard.WaitingJobs("q"); n != 0 {
				t.Errorf("%d jobs wait after the worker has accepted the starts", n)
			}
		})
	}
}
