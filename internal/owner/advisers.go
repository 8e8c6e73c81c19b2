// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"cmp"
	"slices"
	"time"
)

// This file chooses the node through which a call for advice is made.

const (
	// shortOnlyShare is the share of nodes that take no long calls.
	shortOnlyShare = 0.34
	// maxShortCalls is how many short calls one node may have in flight. The service handles
	// the calls of a node one at a time; a second call in flight hides the network latency.
	maxShortCalls = 2
	// minAdviserBackoff is how long a node is avoided after its call failed. The time doubles up to
	// maxAdviserBackoff with each further failure while other nodes are answered.
	minAdviserBackoff = time.Second
	maxAdviserBackoff = 16 * time.Second
)

// adviserLoad tracks the calls of one node.
type adviserLoad struct {
	// short and long count the calls in flight.
	short, long int
	// failures counts the failed calls since the last answer, and backoffUntil is when the node may be used
	// again after one.
	failures     int
	backoffUntil time.Time
	// suspectSince is when a call failed while no other node was answered, so that the node or the service may
	// be at fault; zero: that is settled.
	suspectSince time.Time
	// shortSentAt and longSentAt are when the last calls of each class were sent that have been answered.
	shortSentAt, longSentAt time.Time
}

// addInFlight adds n calls, long or short ones, to those in flight.
func (l *adviserLoad) addInFlight(long bool, n int) {
	if long {
		l.long += n
	} else {
		l.short += n
	}
}

// fail records that a call has failed, or is overdue, while other nodes were answered.
func (l *adviserLoad) fail(now time.Time) {
	l.backOff(now, min(minAdviserBackoff<<min(l.failures, 8), maxAdviserBackoff))
	l.failures++
}

// backOff keeps calls from the node for a time.
func (l *adviserLoad) backOff(now time.Time, d time.Duration) {
	l.backoffUntil = later(l.backoffUntil, now.Add(d))
}

// answered records that a call was answered.
func (l *adviserLoad) answered(c *openCall) {
	l.failures, l.backoffUntil, l.suspectSince = 0, time.Time{}, time.Time{}
	if isLongCall(c.RequestAdvice) {
		l.longSentAt = later(l.longSentAt, c.sentAt)
	} else {
		l.shortSentAt = later(l.shortSentAt, c.sentAt)
	}
}

// answeredSentAt returns when the last answered call of a class was sent.
func (l *adviserLoad) answeredSentAt(long bool) time.Time {
	if long {
		return l.longSentAt
	}
	return l.shortSentAt
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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

// adviserSet are the nodes among which the calls of one dispatch are divided.
type adviserSet struct {
	q        *AdviceQueue
	now      time.Time
	advisers []Adviser
	// shortOnly are the nodes that take no long calls, and spare how many of them may take late ones now.
	shortOnly map[string]bool
	spare     int
	// ignoreBackoff is set if all nodes back off, which says nothing about a single one.
	ignoreBackoff bool
}

// newAdviserSet returns the nodes that may be used now. The caller holds mu.
func (q *AdviceQueue) newAdviserSet(now time.Time) *adviserSet {
	advisers := q.advisers()
	reserved := advisers[:numShortOnly(len(advisers))]
	s := &adviserSet{
		q: q, now: now, advisers: advisers, shortOnly: make(map[string]bool), spare: -numKeptIdle(len(advisers)),
		ignoreBackoff: !slices.ContainsFunc(advisers, func(a Adviser) bool { return !now.Before(q.loadOf(a).backoffUntil) }),
	}
	for _, a := range reserved {
		s.shortOnly[a.Name()] = true
		if l := q.loadOf(a); l.short == 0 && l.long == 0 && s.usable(l) {
			s.spare++
		}
	}
	return s
}

// numShortOnly returns how many of a number of nodes take no long calls: the first ones of the list.
func numShortOnly(nodes int) int {
	if nodes <= 1 {
		return 0
	}
	return int(float64(nodes)*shortOnlyShare + 0.5)
}

// numKeptIdle returns how many of the nodes for short calls are kept idle if others of them take late long
// calls: half, and none of two nodes, one of which would be more than their share.
func numKeptIdle(nodes int) int {
	if nodes <= 2 {
		return 0
	}
	return (numShortOnly(nodes) + 1) / 2
}

// pick returns the node that can take a call soonest, or nil. Nodes that back off are used only if all do.
// A repeated attempt goes to another node than the first. The caller holds mu.
func (s *adviserSet) pick(t turn) (best Adviser, bestLoad *adviserLoad) {
	long, first := isLongCall(t.call.RequestAdvice), t.call.repeats
	for _, a := range s.advisers {
		l := s.q.loadOf(a)
		full := l.long > 0 || l.short >= maxShortCalls || (long && l.short > 0)
		reserved := long && s.shortOnly[a.Name()] && (!t.late || s.spare <= 0)
		if full || reserved || !s.usable(l) || (first != nil && s.q.isOpenAt(first, l)) {
			continue
		}
		if best == nil || s.comparePreference(long, a, best) < 0 {
			best, bestLoad = a, l
		}
	}
	if long && best != nil && s.shortOnly[best.Name()] {
		s.spare--
	}
	return best, bestLoad
}

// comparePreference compares two nodes that can take a call, by their class and then by how many short calls they
// have in flight. The caller holds mu.
func (s *adviserSet) comparePreference(long bool, a, b Adviser) int {
	return cmp.Or(cmp.Compare(s.preferenceClass(long, a), s.preferenceClass(long, b)), cmp.Compare(s.q.loadOf(a).short, s.q.loadOf(b).short))
}

// preferenceClass returns the class of a node, the lowest one to be used first: a node whose last call failed comes
// after all others, and one that is kept for short calls after the others for a long call. The caller holds mu.
func (s *adviserSet) preferenceClass(long bool, a Adviser) (class int) {
	if s.q.loadOf(a).failures > 0 {
		class += 2
	}
	if long && s.shortOnly[a.Name()] {
		class++
	}
	return class
}

// usable reports whether a node doesn't back off.
func (s *adviserSet) usable(l *adviserLoad) bool {
	return s.ignoreBackoff || !s.now.Before(l.backoffUntil)
}

// keepForLongCall leaves out the node that can take a long call next, so that the less
// urgent short calls behind it in the queue go elsewhere. A long call needs a node without
// calls in flight, and there is none while short calls keep coming. The caller holds mu.
func (s *adviserSet) keepForLongCall() {
	kept, fewestShort := -1, maxShortCalls+1
	for i, a := range s.advisers {
		l := s.q.loadOf(a)
		if s.shortOnly[a.Name()] || l.long > 0 || l.short >= fewestShort || !s.usable(l) {
			continue
		}
		kept, fewestShort = i, l.short
	}
	if kept >= 0 {
		s.advisers = slices.Delete(slices.Clone(s.advisers), kept, kept+1)
	}
}
