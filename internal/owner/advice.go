// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

const (
	// minLongCall is the duration from which a call delays the short calls behind it for longer
	// than the shortest latency target (250 ms) allows.
	minLongCall = 120 * time.Millisecond
	// shortOnlyShare is the share of nodes that take no long calls. Of two nodes one takes none, which is
	// more than the share: it takes those that have waited for longCallPatience.
	shortOnlyShare   = 0.34
	longCallPatience = 1500 * time.Millisecond
	// maxShortCalls is how many short calls one node may have in flight. The service handles
	// the calls of a node one at a time; a second call in flight hides the network latency.
	maxShortCalls = 2
	// adviceTimeoutSlack is added to twice the expected duration of a call to get its timeout.
	adviceTimeoutSlack = 800 * time.Millisecond
	// adviserBackoff is how long a node is avoided after its call failed.
	adviserBackoff = time.Second
)

// AdviceQueue spreads the calls of the advice service over the nodes, since the service handles
// the calls of one node one at a time. The most urgent call goes first.
type AdviceQueue struct {
	ctx      context.Context // The calls end with the owner, not with the caller of Add.
	advisers func() []Adviser
	onAnswer func(scheduler.RequestAdvice, Advice)

	mu      sync.Mutex
	pending []pendingCall
	open    map[*openCall]bool
	load    map[string]*adviserLoad
	totals  adviceTotals
}

// pendingCall is a call that waits for a node.
type pendingCall struct {
	scheduler.RequestAdvice
	queuedAt time.Time
}

// openCall is a call that was sent to a node and is not answered.
type openCall struct {
	pendingCall
	adviser Adviser
	load    *adviserLoad
	sentAt  time.Time
}

// adviserLoad tracks the calls of one node.
type adviserLoad struct {
	// short and long count the calls in flight.
	short, long int
	// backoffUntil is when the node may be used again after a failed call.
	backoffUntil time.Time
}

// addInFlight adds n calls of the class of a to those in flight.
func (l *adviserLoad) addInFlight(a scheduler.RequestAdvice, n int) {
	if isLongCall(a) {
		l.long += n
	} else {
		l.short += n
	}
}

// isLongCall reports whether a call delays short calls for too long.
func isLongCall(a scheduler.RequestAdvice) bool { return a.ExpectedDuration >= minLongCall }

// Advice is the answer to a call of the advice service.
type Advice struct {
	Tickets []cluster.Ticket
	// ValidFor is how long the tickets hold; 0 means as long as the queue's policy says.
	ValidFor time.Duration
	// IssuedAt is the latest time at which the service can have issued the tickets, from which
	// ValidFor counts, or the time at which the call failed.
	IssuedAt time.Time
	Err      error
	// Node is the node that made the call, Waited how long the call waited for it, and Took how long
	// it was open there.
	Node         string
	Waited, Took time.Duration
}

// NewAdviceQueue returns an empty queue. Calls go to the nodes that advisers returns, in order
// of preference, and end with ctx. Answers are passed to onAnswer.
func NewAdviceQueue(ctx context.Context, advisers func() []Adviser, onAnswer func(scheduler.RequestAdvice, Advice)) *AdviceQueue {
	return &AdviceQueue{ctx: ctx, advisers: advisers, onAnswer: onAnswer, open: make(map[*openCall]bool), load: make(map[string]*adviserLoad)}
}

// Add queues a call, which is sent as soon as a node can take it.
func (q *AdviceQueue) Add(a scheduler.RequestAdvice) {
	q.mu.Lock()
	call := pendingCall{a, time.Now()}
	i, _ := slices.BinarySearchFunc(q.pending, call, func(x, y pendingCall) int {
		if x.Rank.Before(y.Rank) {
			return -1
		}
		return 1
	})
	q.pending = slices.Insert(q.pending, i, call)
	q.mu.Unlock()
	q.Dispatch()
}

// Dispatch sends the queued calls that a node can take now.
func (q *AdviceQueue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) == 0 {
		return
	}
	advisers, now := q.advisers(), time.Now()
	ignoreBackoff, reserved := q.allBackingOff(advisers, now), shortOnlyNodes(advisers)
	oneForLong := len(advisers)-len(reserved) <= 1
	unsent := q.pending[:0]
	for _, p := range q.pending {
		shortOnly := reserved
		if oneForLong && now.Sub(p.queuedAt) >= longCallPatience {
			shortOnly = nil
		}
		adviser, load := q.pick(advisers, isLongCall(p.RequestAdvice), shortOnly, now, ignoreBackoff)
		if adviser == nil {
			unsent = append(unsent, p)
			if isLongCall(p.RequestAdvice) {
				advisers = q.reserveForLongCall(advisers, shortOnly, now, ignoreBackoff)
			}
			continue
		}
		load.addInFlight(p.RequestAdvice, 1)
		c := &openCall{p, adviser, load, now}
		q.open[c] = true
		go q.call(c)
	}
	q.pending = unsent
}

// pick returns the node that can take the call soonest, or nil. Nodes that back off are used
// only if all do. The caller holds mu.
func (q *AdviceQueue) pick(advisers []Adviser, long bool, shortOnly map[string]bool, now time.Time, ignoreBackoff bool) (Adviser, *adviserLoad) {
	var best Adviser
	var bestLoad *adviserLoad
	for _, a := range advisers {
		l := q.loadOf(a)
		full := l.long > 0 || l.short >= maxShortCalls || (long && l.short > 0)
		if full || (now.Before(l.backoffUntil) && !ignoreBackoff) || (long && shortOnly[a.Name()]) {
			continue
		}
		if best == nil || l.short < bestLoad.short {
			best, bestLoad = a, l
		}
	}
	return best, bestLoad
}

// reserveForLongCall leaves out the node that can take a long call next, so that the less
// urgent short calls behind it in the queue go elsewhere. A long call needs a node without
// calls in flight, and there is none while short calls keep coming. The caller holds mu.
func (q *AdviceQueue) reserveForLongCall(advisers []Adviser, shortOnly map[string]bool, now time.Time, ignoreBackoff bool) []Adviser {
	reserved, fewestShort := -1, maxShortCalls+1
	for i, a := range advisers {
		l := q.loadOf(a)
		if shortOnly[a.Name()] || l.long > 0 || l.short >= fewestShort || (now.Before(l.backoffUntil) && !ignoreBackoff) {
			continue
		}
		reserved, fewestShort = i, l.short
	}
	if reserved < 0 {
		return advisers
	}
	return slices.Delete(slices.Clone(advisers), reserved, reserved+1)
}

// shortOnlyNodes returns the names of the nodes that take no long calls: the first ones of the
// list.
func shortOnlyNodes(advisers []Adviser) map[string]bool {
	shortOnly := make(map[string]bool)
	if len(advisers) <= 1 {
		return shortOnly
	}
	for _, a := range advisers[:int(float64(len(advisers))*shortOnlyShare+0.5)] {
		shortOnly[a.Name()] = true
	}
	return shortOnly
}

// loadOf returns the load of a node. The caller holds mu.
func (q *AdviceQueue) loadOf(a Adviser) *adviserLoad {
	l := q.load[a.Name()]
	if l == nil {
		l = &adviserLoad{}
		q.load[a.Name()] = l
	}
	return l
}

// allBackingOff reports whether the last call of every node failed. That says nothing about a
// single node: the service or the network is at fault. The caller holds mu.
func (q *AdviceQueue) allBackingOff(advisers []Adviser, now time.Time) bool {
	for _, a := range advisers {
		if !now.Before(q.loadOf(a).backoffUntil) {
			return false
		}
	}
	return true
}

// call makes a call through its node and passes the answer to onAnswer.
func (q *AdviceQueue) call(c *openCall) {
	ctx, cancel := context.WithTimeout(q.ctx, c.ExpectedDuration*2+adviceTimeoutSlack)
	sent := time.Now()
	tickets, validFor, err := c.adviser.Advise(ctx, c.Step, c.Workers)
	cancel()
	if q.ctx.Err() != nil {
		return
	}
	answer := Advice{tickets, validFor, estimateIssuedAt(sent, c.ExpectedDuration), err, c.adviser.Name(), sent.Sub(c.queuedAt), time.Since(sent)}
	q.mu.Lock()
	delete(q.open, c)
	c.load.addInFlight(c.RequestAdvice, -1)
	q.totals.add(answer)
	if err != nil {
		answer.IssuedAt = time.Now()
		c.load.backoffUntil = answer.IssuedAt.Add(adviserBackoff)
	}
	q.mu.Unlock()
	q.onAnswer(c.RequestAdvice, answer)
	q.Dispatch()
}

// estimateIssuedAt returns the latest time at which an answer that arrives now can have been
// issued. What a call takes beyond its expected duration and the wait behind one other call is
// time in transit, such as on a node that has stalled. Meanwhile the tickets expire, and starts
// that use them later would be rejected.
func estimateIssuedAt(sent time.Time, expectedDuration time.Duration) time.Time {
	now, expected := time.Now(), sent.Add(expectedDuration+minLongCall)
	if now.After(expected) {
		return expected
	}
	return now
}
