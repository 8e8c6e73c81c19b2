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

// adviser is a node whose calls are taken one at a time.
type adviser struct {
	name string
	// turn has one entry, for the call that the service answers.
	turn chan struct{}
	// sent is when the call for each job was sent.
	sent *sync.Map
}

// The times that a cheap and a dear call take.
const cheapTakes, dearTakes = 20 * time.Millisecond, 500 * time.Millisecond

func (a *adviser) Name() string { return a.name }

func (a *adviser) Advise(_ context.Context, step scheduler.StepID, _ []string) ([]cluster.Ticket, time.Duration, error) {
	a.sent.Store(step.Job, time.Now())
	a.turn <- struct{}{}
	defer func() { <-a.turn }()
	takes := cheapTakes
	if step.Job == "lasts" {
		takes = dearTakes
	}
	time.Sleep(takes)
	return nil, time.Second, nil
}

// TestUrgentDearCallIsNotPassedOver lets cheap calls of the advice service keep all nodes
// busy, and checks that a dear call which is more urgent is sent soon.
//
// A dear call went only to a node without any call open, and cheap ones that were less
// urgent took each place meanwhile: after a time of many failures, tasks that last waited
// 3.8 s for a call that takes 0.5 s.
//
//	83.85 starting run (the step's first task; its call of the moment is answered)
//	86.71 task waits waited=4.15s asking=true unasked=43
//	87.67 advice given asked=10 good=6
func TestUrgentDearCallIsNotPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(2 * dearTakes) // until the open calls have ended
		}()
		var sent sync.Map
		var nodes []owner.Adviser
		for i := range 3 {
			nodes = append(nodes, &adviser{name: fmt.Sprintf("n%d", i), turn: make(chan struct{}, 1), sent: &sent})
		}
		var q *owner.AdviceQueue
		var n atomic.Int64
		cheap := func() {
			job := fmt.Sprintf("j%d", n.Add(1))
			q.Add(scheduler.RequestAdvice{Step: scheduler.StepID{Job: job}, ExpectedDuration: cheapTakes, Rank: scheduler.Rank{Priority: 1}})
		}
		q = owner.NewAdviceQueue(ctx, func() []owner.Adviser { return nodes }, func(a scheduler.RequestAdvice, _ owner.Advice) {
			if a.ExpectedDuration == cheapTakes {
				cheap()
			}
		})
		for range 12 {
			cheap()
		}
		time.Sleep(time.Second)
		handedIn := time.Now()
		q.Add(scheduler.RequestAdvice{Step: scheduler.StepID{Job: "lasts"}, ExpectedDuration: dearTakes, Rank: scheduler.Rank{Priority: -1}})
		time.Sleep(time.Second)
		at, ok := sent.Load("lasts")
		if !ok {
			t.Fatal("the dear call has not been sent after a second")
		}
		if waited := at.(time.Time).Sub(handedIn); waited > 5*cheapTakes {
			t.Errorf("the dear call was sent after %v, want %v at most", waited, 5*cheapTakes)
		}
	})
}

// TestDearCallsLeaveNodesToCheapOnes lets more dear calls wait than there are nodes for
// them, and checks that those which are for cheap calls alone get none.
//
// Where a node was kept for a dear call, the share for cheap calls was counted anew among
// the others, and a dear call came to a node of that share.
func TestDearCallsLeaveNodesToCheapOnes(t *testing.T) {
	// By the number of nodes, how many are for cheap calls alone.
	for n, alone := range map[int]int{2: 1, 7: 2} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				time.Sleep(4 * dearTakes)
			}()
			var took sync.Map
			var nodes []owner.Adviser
			for i := range n {
				nodes = append(nodes, &noting{adviser{name: fmt.Sprintf("n%d", i), turn: make(chan struct{}, 1), sent: new(sync.Map)}, &took})
			}
			q := owner.NewAdviceQueue(ctx, func() []owner.Adviser { return nodes }, func(scheduler.RequestAdvice, owner.Advice) {})
			for i := range n {
				q.Add(scheduler.RequestAdvice{Step: scheduler.StepID{Job: fmt.Sprintf("j%d", i)}, ExpectedDuration: cheapTakes, Rank: scheduler.Rank{Priority: 1}})
			}
			for range n + 1 {
				q.Add(scheduler.RequestAdvice{Step: scheduler.StepID{Job: "lasts"}, ExpectedDuration: dearTakes})
			}
			time.Sleep(2 * time.Second)
			for i := range alone {
				if _, ok := took.Load(fmt.Sprintf("n%d", i)); ok {
					t.Errorf("of %d nodes, n%d is for cheap calls alone and took a dear one", n, i)
				}
			}
		})
	}
}

// noting is an adviser that notes when it takes a dear call.
type noting struct {
	adviser
	took *sync.Map
}

func (n *noting) Advise(ctx context.Context, step scheduler.StepID, workers []string) ([]cluster.Ticket, time.Duration, error) {
	if step.Job == "lasts" {
		n.took.Store(n.name, true)
	}
	return n.adviser.Advise(ctx, step, workers)
}

// stalled is a node that gets the service's answer in time, and hands it on late.
type stalled struct{ by time.Duration }

func (s stalled) Name() string { return "n0" }

func (s stalled) Advise(context.Context, scheduler.StepID, []string) ([]cluster.Ticket, time.Duration, error) {
	time.Sleep(cheapTakes + s.by)
	return nil, time.Second, nil
}

// TestLateAnswerHoldsNoLonger: the node that calls the advice service for an owner stands
// still while the answer is there, and hands it on later. The tickets must count as given
// when the service can have given them. Counted from when the answer came, they had run
// out before starts brought them, which were rejected: a call went out at 12.2 s or later,
// "advice given" at 13.3 s, "starting run" at 15.202 s, "start not taken" reply=ticket
// 3 ms later, for tickets that hold for 2.5 s.
func TestLateAnswerHoldsNoLonger(t *testing.T) {
	// most is how far behind the service an answer may count, so that the quarter of a
	// second that is taken off each ticket covers it and the start's way.
	const most = 150 * time.Millisecond
	for _, by := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			sent := time.Now()
			answers := make(chan owner.Advice, 1)
			q := owner.NewAdviceQueue(t.Context(), func() []owner.Adviser { return []owner.Adviser{stalled{by}} },
				func(_ scheduler.RequestAdvice, a owner.Advice) { answers <- a })
			q.Add(scheduler.RequestAdvice{Step: scheduler.StepID{Job: "j"}, ExpectedDuration: cheapTakes})
			a := <-answers
			if late := a.IssuedAt.Sub(sent.Add(cheapTakes)); a.Err != nil || late > most || late < min(by, most)/2 {
				t.Errorf("an answer that is %s late counts as given %s after the service gave it (%v), want at most %s", by, late, a.Err, most)
			}
		})
	}
}
