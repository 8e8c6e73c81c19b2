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
	// dearCall is from when a call keeps cheap ones waiting for longer than the
	// shortest latency target (250 ms) allows.
	dearCall = 120 * time.Millisecond
	// cheapShare is the share of nodes that dear calls leave alone.
	cheapShare = 0.34
	// cheapDepth is how many cheap calls one node may have open: the service
	// takes a node's calls one at a time, and a second one hides the way there.
	cheapDepth = 2
	// adviceSlack is how much longer than expected a call may take.
	adviceSlack = 800 * time.Millisecond
	// avoidAdviser is how long a node is left alone after its call failed.
	avoidAdviser = time.Second
)

// AdviceQueue spreads the calls of the advice service over the nodes, since the
// service takes the calls of one node in turn. The most urgent call goes first.
type AdviceQueue struct {
	ctx      context.Context // the calls end with the owner, not with who adds them
	advisers func() []Adviser
	answered func(scheduler.Advise, Advice)

	mu      sync.Mutex
	pending []scheduler.Advise
	load    map[string]*adviserLoad
}

// adviserLoad is what one node has to do for the advice service.
type adviserLoad struct {
	// cheap and dear are the calls that it has open.
	cheap, dear int
	// avoidUntil is until when it is left alone, since a call failed.
	avoidUntil time.Time
}

// count adds n calls like a to those that are open.
func (l *adviserLoad) count(a scheduler.Advise, n int) {
	if isDear(a) {
		l.dear += n
	} else {
		l.cheap += n
	}
}

// isDear reports whether a call keeps cheap ones waiting for too long.
func isDear(a scheduler.Advise) bool { return a.Takes >= dearCall }

// Advice is the answer to a call of the advice service.
type Advice struct {
	Tickets []cluster.Ticket
	// ValidFor is for how long the tickets hold; 0: for as long as the queue's policy says.
	ValidFor time.Duration
	// IssuedAt is by when the service gave the tickets, which hold from then on, or when the call
	// failed.
	IssuedAt time.Time
	Err      error
}

// NewAdviceQueue returns an empty queue. Its calls go to the nodes that advisers names, in
// the order of preference, end with ctx, and their answers go to answered.
func NewAdviceQueue(ctx context.Context, advisers func() []Adviser, answered func(scheduler.Advise, Advice)) *AdviceQueue {
	return &AdviceQueue{ctx: ctx, advisers: advisers, answered: answered, load: make(map[string]*adviserLoad)}
}

// Add takes in a call, to be sent as soon as a node can take it.
func (q *AdviceQueue) Add(a scheduler.Advise) {
	q.mu.Lock()
	at, _ := slices.BinarySearchFunc(q.pending, a, func(x, y scheduler.Advise) int {
		if x.Rank.Before(y.Rank) {
			return -1
		}
		return 1
	})
	q.pending = slices.Insert(q.pending, at, a)
	q.mu.Unlock()
	q.Dispatch()
}

// Dispatch sends what can be sent now.
func (q *AdviceQueue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) == 0 {
		return
	}
	advisers, now := q.advisers(), time.Now()
	avoidAll, alone := q.avoidsAll(advisers, now), leftAlone(advisers)
	rest := q.pending[:0]
	for _, a := range q.pending {
		adviser, load := q.pick(advisers, isDear(a), alone, now, avoidAll)
		if adviser == nil {
			rest = append(rest, a)
			if isDear(a) {
				advisers = q.keepOne(advisers, alone, now, avoidAll)
			}
			continue
		}
		load.count(a, 1)
		go q.call(q.ctx, adviser, load, a)
	}
	q.pending = rest
}

// pick returns the node that can take the call soonest, or nil; nodes that are left
// alone count only if all are. The caller holds mu.
func (q *AdviceQueue) pick(advisers []Adviser, dear bool, alone map[string]bool, now time.Time, avoidAll bool) (Adviser, *adviserLoad) {
	var best Adviser
	var bestLoad *adviserLoad
	for _, a := range advisers {
		l := q.loadOf(a)
		full := l.dear > 0 || l.cheap >= cheapDepth || (dear && l.cheap > 0)
		if full || (now.Before(l.avoidUntil) && !avoidAll) || (dear && alone[a.Name()]) {
			continue
		}
		if best == nil || l.cheap < bestLoad.cheap {
			best, bestLoad = a, l
		}
	}
	return best, bestLoad
}

// keepOne leaves out the node that can take a dear call next, so that the less urgent cheap
// calls behind it in the queue go elsewhere: a dear call goes to a node without any open
// call, of which there is none while cheap ones keep coming. The caller holds mu.
func (q *AdviceQueue) keepOne(advisers []Adviser, alone map[string]bool, now time.Time, avoidAll bool) []Adviser {
	kept, least := -1, cheapDepth+1
	for i, a := range advisers {
		l := q.loadOf(a)
		if alone[a.Name()] || l.dear > 0 || l.cheap >= least || (now.Before(l.avoidUntil) && !avoidAll) {
			continue
		}
		kept, least = i, l.cheap
	}
	if kept < 0 {
		return advisers
	}
	return slices.Delete(slices.Clone(advisers), kept, kept+1)
}

// leftAlone returns the names of the nodes that dear calls leave alone, the first ones.
func leftAlone(advisers []Adviser) map[string]bool {
	alone := make(map[string]bool)
	if len(advisers) <= 1 {
		return alone
	}
	for _, a := range advisers[:int(float64(len(advisers))*cheapShare+0.5)] {
		alone[a.Name()] = true
	}
	return alone
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

// avoidsAll reports whether the last call of every node failed, which tells nothing
// about any one of them: the service or the network was at fault. The caller holds mu.
func (q *AdviceQueue) avoidsAll(advisers []Adviser, now time.Time) bool {
	for _, a := range advisers {
		if !now.Before(q.loadOf(a).avoidUntil) {
			return false
		}
	}
	return true
}

// call makes one call through a node, and hands the answer to the scheduler.
func (q *AdviceQueue) call(ctx context.Context, adviser Adviser, load *adviserLoad, a scheduler.Advise) {
	c, cancel := context.WithTimeout(ctx, a.Takes*2+adviceSlack)
	sent := time.Now()
	tickets, validFor, err := adviser.Advise(c, a.Step, a.Workers)
	cancel()
	if ctx.Err() != nil {
		return
	}
	given := givenBy(sent, a.Takes)
	q.mu.Lock()
	load.count(a, -1)
	if err != nil {
		given = time.Now()
		load.avoidUntil = given.Add(avoidAdviser)
	}
	q.mu.Unlock()
	q.answered(a, Advice{tickets, validFor, given, err})
	q.Dispatch()
}

// givenBy returns by when an answer that comes now was given. What a call takes beyond its
// time at the service, and behind another call there, counts as the answer's way, such as
// by a node that stands still: its tickets run out meanwhile, and starts that brought them
// later would be rejected.
func givenBy(sent time.Time, takes time.Duration) time.Time {
	now, expected := time.Now(), sent.Add(takes+dearCall)
	if now.After(expected) {
		return expected
	}
	return now
}
