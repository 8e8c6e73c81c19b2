// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
)

// fakeAdviser is a node whose calls are handled one at a time.
type fakeAdviser struct {
	name string
	// slot holds the call that the service is handling.
	slot chan struct{}
	// sentAt maps a job to the time at which its call was sent.
	sentAt *sync.Map
}

// The durations of a short and a long call.
const shortDuration, longDuration = 20 * time.Millisecond, 500 * time.Millisecond

func (a *fakeAdviser) Name() string { return a.name }

func (a *fakeAdviser) Advise(_ context.Context, step scheduler.StepID, _ []string) ([]cluster.Ticket, time.Duration, error) {
	a.sentAt.Store(step.Job, time.Now())
	a.slot <- struct{}{}
	defer func() { <-a.slot }()
	duration := shortDuration
	if step.Job == "lasts" {
		duration = longDuration
	}
	time.Sleep(duration)
	return nil, time.Second, nil
}

// TestUrgentLongCallIsNotStarved keeps all nodes busy with short calls of the advice service,
// and checks that a more urgent long call is sent soon. A long call needs a node without calls
// in flight, and less urgent short calls took each free place: long-running tasks waited
// 3.8 s for a call that takes 0.5 s.
func TestUrgentLongCallIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(2 * longDuration) // Until the calls in flight have ended.
		}()
		var sentAt sync.Map
		var nodes []owner.Adviser
		for i := range 3 {
			nodes = append(nodes, &fakeAdviser{name: fmt.Sprintf("n%d", i), slot: make(chan struct{}, 1), sentAt: &sentAt})
		}
		var q *owner.AdviceQueue
		var n atomic.Int64
		addShortCall := func() {
			job := fmt.Sprintf("j%d", n.Add(1))
			q.Add(scheduler.RequestAdvice{Step: scheduler.StepID{Job: job}, ExpectedDuration: shortDuration, Rank: scheduler.Rank{Priority: 1}})
		}
		q = owner.NewAdviceQueue(ctx, func() []owner.Adviser { return nodes }, func(a scheduler.RequestAdvice, _ owner.Advice) {
			if a.ExpectedDuration == shortDuration {
				addShortCall()
			}
		})
		for range 12 {
			addShortCall()
		}
		time.Sleep(time.Second)
		addedAt := time.Now()
		q.Add(scheduler.RequestAdvice{Step: scheduler.StepID{Job: "lasts"}, ExpectedDuration: longDuration, Rank: scheduler.Rank{Priority: -1}})
		time.Sleep(time.Second)
		at, ok := sentAt.Load("lasts")
		if !ok {
			t.Fatal("the long call has not been sent after a second")
		}
		if waited := at.(time.Time).Sub(addedAt); waited > 5*shortDuration {
			t.Errorf("the long call was sent after %v, want %v at most", waited, 5*shortDuration)
		}
	})
}

// TestLongCallsLeaveNodesToShortCalls queues more long calls than there are nodes for them, and
// checks that the nodes reserved for short calls get none. Where a node was kept free for the
// next long call, the reserved share was computed from the remaining nodes, and a long call
// went to a reserved node.
func TestLongCallsLeaveNodesToShortCalls(t *testing.T) {
	// The number of nodes, and how many of them are reserved for short calls.
	for n, shortOnly := range map[int]int{2: 1, 7: 2} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				time.Sleep(4 * longDuration)
			}()
			var tookLongCall sync.Map
			var nodes []owner.Adviser
			for i := range n {
				nodes = append(nodes, &recordingAdviser{fakeAdviser{name: fmt.Sprintf("n%d", i), slot: make(chan struct{}, 1), sentAt: new(sync.Map)}, &tookLongCall})
			}
			q := owner.NewAdviceQueue(ctx, func() []owner.Adviser { return nodes }, func(scheduler.RequestAdvice, owner.Advice) {})
			for i := range n {
				q.Add(scheduler.RequestAdvice{Step: scheduler.StepID{Job: fmt.Sprintf("j%d", i)}, ExpectedDuration: shortDuration, Rank: scheduler.Rank{Priority: 1}})
			}
			for range n + 1 {
				q.Add(scheduler.RequestAdvice{Step: scheduler.StepID{Job: "lasts"}, ExpectedDuration: longDuration})
			}
			time.Sleep(2 * time.Second)
			for i := range shortOnly {
				if _, ok := tookLongCall.Load(fmt.Sprintf("n%d", i)); ok {
					t.Errorf("of %d nodes, n%d is reserved for short calls and took a long one", n, i)
				}
			}
		})
	}
}

// recordingAdviser is an adviser that records whether it has taken a long call.
type recordingAdviser struct {
	fakeAdviser
	tookLongCall *sync.Map
}

func (n *recordingAdviser) Advise(ctx context.Context, step scheduler.StepID, workers []string) ([]cluster.Ticket, time.Duration, error) {
	if step.Job == "lasts" {
		n.tookLongCall.Store(n.name, true)
	}
	return n.fakeAdviser.Advise(ctx, step, workers)
}

// stalledAdviser is a node that gets the service's answer in time and passes it on late.
type stalledAdviser struct{ delay time.Duration }

func (s stalledAdviser) Name() string { return "n0" }

func (s stalledAdviser) Advise(context.Context, scheduler.StepID, []string) ([]cluster.Ticket, time.Duration, error) {
	time.Sleep(shortDuration + s.delay)
	return nil, time.Second, nil
}

// TestLateAnswerDoesNotExtendTickets lets the node that calls the advice service stall between
// the service's answer and passing it on. The tickets must count from the time at which the
// service can have issued them. Counted from the arrival of the answer, tickets had expired
// before starts used them, and workers rejected the starts.
func TestLateAnswerDoesNotExtendTickets(t *testing.T) {
	// maxLag is how much later than issued an answer may count, so that the 0.25 s by which
	// each ticket is shortened cover both this and the time until the start arrives.
	const maxLag = 150 * time.Millisecond
	for _, delay := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			sent := time.Now()
			answers := make(chan owner.Advice, 1)
			q := owner.NewAdviceQueue(t.Context(), func() []owner.Adviser { return []owner.Adviser{stalledAdviser{delay}} },
				func(_ scheduler.RequestAdvice, a owner.Advice) { answers <- a })
			q.Add(scheduler.RequestAdvice{Step: scheduler.StepID{Job: "j"}, ExpectedDuration: shortDuration})
			a := <-answers
			if lag := a.IssuedAt.Sub(sent.Add(shortDuration)); a.Err != nil || lag > maxLag || lag < min(delay, maxLag)/2 {
				t.Errorf("an answer that is %s late counts as issued %s after the service issued it (%v), want at most %s", delay, lag, a.Err, maxLag)
			}
		})
	}
}

// TestFewNodesServeLongCalls guards against jobs that wait for advice beside free workers after most
// nodes have left: the only node that took long calls was always behind, while the one that is kept for
// short calls had hardly any.
func TestFewNodesServeLongCalls(t *testing.T) {
	const calls = 24
	// The number of nodes, and the time in which they serve all calls.
	for n, most := range map[int]time.Duration{1: calls * longDuration, 2: (calls/2 + 2) * longDuration, 3: calls / 2 * longDuration} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var nodes []owner.Adviser
			for i := range n {
				nodes = append(nodes, &fakeAdviser{name: fmt.Sprintf("n%d", i), slot: make(chan struct{}, 1), sentAt: new(sync.Map)})
			}
			var lastAt atomic.Int64
			began := time.Now()
			q := owner.NewAdviceQueue(ctx, func() []owner.Adviser { return nodes }, func(scheduler.RequestAdvice, owner.Advice) { lastAt.Store(int64(time.Since(began))) })
			for range calls {
				q.Add(scheduler.RequestAdvice{Step: scheduler.StepID{Job: "lasts"}, ExpectedDuration: longDuration})
			}
			time.Sleep(2 * calls * longDuration)
			if took := time.Duration(lastAt.Load()); took > most {
				t.Errorf("%d nodes serve %d calls in %v, at most %v are allowed", n, calls, took, most)
			}
		})
	}
}
