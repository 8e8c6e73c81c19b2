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
	// overdueAfter is how long after the time at which it should have been answered a call is made again
	// through another node.
	overdueAfter = 300 * time.Millisecond
)

// AdviceQueue spreads the calls of the advice service over the nodes, since the service handles
// the calls of one node one at a time. Calls go in the order of their urgency, and some by
// how long they have waited.
type AdviceQueue struct {
	ctx      context.Context // The calls end with the owner, not with the caller of Add.
	advisers func() []Adviser
	onAnswer func(scheduler.RequestAdvice, Advice)

	mu      sync.Mutex
	pending []*pendingCall
	// rankTurns is how many calls in a row have gone by their urgency.
	rankTurns int
	open      map[*openCall]bool
	load      map[string]*adviserLoad
	speed     serviceSpeed
	totals    adviceTotals
}

// pendingCall is a call that waits for a node.
type pendingCall struct {
	scheduler.RequestAdvice
	queuedAt time.Time
	// repeats is the first attempt of the call if this one repeats it through another node; nil: it is the
	// first one.
	repeats *openCall
}

// openCall is a call that was sent to a node and is not answered.
type openCall struct {
	*pendingCall
	adviser Adviser
	load    *adviserLoad
	sentAt  time.Time
	// patience is how long the answer is waited for.
	patience time.Duration
	// repeated is set once the call is made again through another node, and delivered, of the first attempt,
	// once the answer of any attempt was passed on.
	repeated, delivered bool
}

// first returns the first attempt of the call.
func (c *openCall) first() *openCall {
	if c.repeats != nil {
		return c.repeats
	}
	return c
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
	q.insert(&pendingCall{RequestAdvice: a, queuedAt: time.Now()})
	q.mu.Unlock()
	q.Dispatch()
}

// insert puts a call in its place by rank. The caller holds mu.
func (q *AdviceQueue) insert(call *pendingCall) {
	i, _ := slices.BinarySearchFunc(q.pending, call, func(x, y *pendingCall) int {
		if x.Rank.Before(y.Rank) {
			return -1
		}
		return 1
	})
	q.pending = slices.Insert(q.pending, i, call)
}

// Dispatch sends the queued calls that a node can take now, and repeats those that are overdue.
func (q *AdviceQueue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.repeatOverdue(now)
	if len(q.pending) == 0 {
		return
	}
	nodes := q.newAdviserSet(now)
	for _, t := range q.turns(now, len(nodes.advisers)) {
		adviser, load := nodes.pick(t)
		if adviser == nil {
			if isLongCall(t.call.RequestAdvice) && t.call.repeats == nil {
				nodes.keepForLongCall()
			}
			continue
		}
		q.rankTurns++
		if t.byAge {
			q.rankTurns = 0
		}
		q.send(now, t.call, adviser, load)
	}
}

// send makes a call through a node. The caller holds mu.
func (q *AdviceQueue) send(now time.Time, p *pendingCall, adviser Adviser, load *adviserLoad) {
	q.pending = slices.DeleteFunc(q.pending, func(o *pendingCall) bool { return o == p })
	c := &openCall{pendingCall: p, adviser: adviser, load: load, sentAt: now, patience: q.speed.patience(p.RequestAdvice)}
	load.addInFlight(isLongCall(p.RequestAdvice), 1)
	q.open[c] = true
	go q.call(c)
}

// repeatOverdue queues the calls again that are overdue at one node while others are answered: the node
// stands still, or can't reach the service. The caller holds mu.
func (q *AdviceQueue) repeatOverdue(now time.Time) {
	for c := range q.open {
		if c.repeated || c.first().delivered || now.Sub(c.sentAt) < q.speed.expected(c.RequestAdvice)+overdueAfter || !q.answeredElsewhere(c) {
			continue
		}
		c.repeated = true
		c.load.fail(now)
		q.insert(&pendingCall{RequestAdvice: c.RequestAdvice, queuedAt: now, repeats: c.first()})
	}
}

// answeredElsewhere reports whether a call of the same class that was sent to another node after c has been
// answered. The caller holds mu.
func (q *AdviceQueue) answeredElsewhere(c *openCall) bool {
	for _, l := range q.load {
		if l != c.load && l.answeredSentAt(isLongCall(c.RequestAdvice)).After(c.sentAt) {
			return true
		}
	}
	return false
}

// call makes a call through its node and passes the answer to onAnswer.
func (q *AdviceQueue) call(c *openCall) {
	ctx, cancel := context.WithTimeout(q.ctx, c.patience)
	tickets, validFor, err := c.adviser.Advise(ctx, c.Step, c.Workers)
	cancel()
	if q.ctx.Err() != nil {
		return
	}
	answer := Advice{tickets, validFor, estimateIssuedAt(c.sentAt, c.ExpectedDuration), err, c.adviser.Name(), c.sentAt.Sub(c.queuedAt), time.Since(c.sentAt)}
	if err != nil {
		answer.IssuedAt = time.Now()
	}
	q.mu.Lock()
	delete(q.open, c)
	c.load.addInFlight(isLongCall(c.RequestAdvice), -1)
	q.totals.add(answer)
	q.observe(c, answer)
	deliver := q.isFirstAnswer(c, err)
	q.mu.Unlock()
	if deliver {
		q.onAnswer(c.RequestAdvice, answer)
	}
	q.Dispatch()
}

// observe learns from the end of a call. The caller holds mu.
func (q *AdviceQueue) observe(c *openCall, answer Advice) {
	switch {
	case answer.Err == nil:
		c.load.answered(c)
		q.blameSuspects(c)
		q.speed.answered(c.RequestAdvice, answer.Took)
	case c.repeated:
	case q.answeredElsewhere(c):
		c.load.fail(time.Now())
	default:
		c.load.backOff(time.Now(), minAdviserBackoff)
		c.load.suspectSince = time.Now()
		q.speed.timedOut(c)
	}
}

// blameSuspects counts the failures of nodes since which another node was answered. The caller holds mu.
func (q *AdviceQueue) blameSuspects(c *openCall) {
	for _, l := range q.load {
		if !l.suspectSince.IsZero() && c.sentAt.After(l.suspectSince) {
			l.fail(l.suspectSince)
			l.suspectSince = time.Time{}
		}
	}
}

// isOpenAt reports whether an attempt of a call is open at a node. The caller holds mu.
func (q *AdviceQueue) isOpenAt(first *openCall, l *adviserLoad) bool {
	for o := range q.open {
		if o.load == l && o.first() == first {
			return true
		}
	}
	return false
}

// isFirstAnswer reports whether the end of a call is to be passed on: of a call that was made several times
// the first answer, or the failure of the last attempt to end. The caller holds mu.
func (q *AdviceQueue) isFirstAnswer(c *openCall, err error) bool {
	first := c.first()
	if first.delivered || (err != nil && q.hasOtherAttempt(c, first)) {
		return false
	}
	first.delivered = true
	q.pending = slices.DeleteFunc(q.pending, func(p *pendingCall) bool { return p.repeats == first })
	return true
}

// hasOtherAttempt reports whether another attempt of the call waits or is open. The caller holds mu.
func (q *AdviceQueue) hasOtherAttempt(c, first *openCall) bool {
	if slices.ContainsFunc(q.pending, func(p *pendingCall) bool { return p.repeats == first }) {
		return true
	}
	for o := range q.open {
		if o != c && o.first() == first {
			return true
		}
	}
	return false
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
