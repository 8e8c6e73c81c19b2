// SPDX-License-Identifier: Apache-2.0

// Package queue provides a bounded, weighted fair queue.
//
// Each team has a queue of its own. Teams are served in order of virtual finish
// time, so that a burst of one team delays only that team. Push and Pop take
// O(log teams).
//
// # Usage
//
//	q := queue.NewFair[*waiter](queue.Limits{PerTeam: 64, Total: 1024})
//	if err := q.Push("inkasoft", 1, w); err != nil { … }
//	w, ok := q.Pop()
package queue

import (
	"container/heap"
	"fmt"
)

// Limits are the maximum numbers of waiting items.
type Limits struct {
	PerTeam int
	Total   int
}

// Kind is the kind of an Error.
type Kind string

// The kinds of error.
const (
	// KindTeamFull means that the team has reached its limit.
	KindTeamFull Kind = "team_queue_full"
	// KindFull means that all teams together have reached the limit.
	KindFull Kind = "queue_full"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Team string
}

// Error returns the operation, kind and team.
func (e *Error) Error() string { return fmt.Sprintf("queue: %s: %s: team %s", e.Op, e.Kind, e.Team) }

// Fair is a weighted fair queue. It is not safe for concurrent use.
type Fair[T any] struct {
	limits Limits
	teams  map[string]*team[T]
	// active holds the teams with waiting items, the next one first.
	active teamHeap[T]
	// virtualTime is the finish time of the last item that was removed by Pop.
	virtualTime float64
	length      int
}

type team[T any] struct {
	name string
	// finish is the virtual finish time of the team's first item.
	finish float64
	items  []item[T]
	// index is the position in the heap of active teams.
	index int
}

type item[T any] struct {
	value T
	// cost is the virtual time that the item takes: the inverse of the weight.
	cost float64
}

// NewFair returns an empty queue.
func NewFair[T any](limits Limits) *Fair[T] {
	return &Fair[T]{limits: limits, teams: make(map[string]*team[T])}
}

// SetLimits changes the limits. Items that already wait stay.
func (q *Fair[T]) SetLimits(l Limits) { q.limits = l }

// Len returns the number of waiting items.
func (q *Fair[T]) Len() int { return q.length }

// TeamLen returns the number of waiting items of a team.
func (q *Fair[T]) TeamLen(name string) int {
	if t, ok := q.teams[name]; ok {
		return len(t.items)
	}
	return 0
}

// Push adds v to the queue of the team with that name. Teams are served in proportion to their
// weights.
func (q *Fair[T]) Push(name string, weight float64, v T) error {
	if q.length >= q.limits.Total {
		return &Error{"push", KindFull, name}
	}
	if q.TeamLen(name) >= q.limits.PerTeam {
		return &Error{"push", KindTeamFull, name}
	}
	cost := 1 / max(weight, 1e-6)
	t, ok := q.teams[name]
	if !ok {
		t = &team[T]{name: name}
		q.teams[name] = t
	}
	t.items = append(t.items, item[T]{v, cost})
	q.length++
	if len(t.items) == 1 {
		t.finish = max(q.virtualTime, t.finish) + cost
		heap.Push(&q.active, t)
	}
	return nil
}

// Pop removes and returns the next item; it returns false if the queue is empty.
func (q *Fair[T]) Pop() (T, bool) {
	var zero T
	if len(q.active) == 0 {
		return zero, false
	}
	t := q.active[0]
	v := t.items[0].value
	t.items[0].value = zero
	t.items = t.items[1:]
	q.virtualTime = t.finish
	q.length--
	q.updateTeam(t)
	return v, true
}

// updateTeam updates the position of a team whose first item was removed.
func (q *Fair[T]) updateTeam(t *team[T]) {
	if len(t.items) == 0 {
		heap.Remove(&q.active, t.index)
		t.items = nil
		q.removeIdleTeams()
		return
	}
	t.finish += t.items[0].cost
	heap.Fix(&q.active, t.index)
}

// Remove removes the matching items of a team.
func (q *Fair[T]) Remove(name string, match func(T) bool) {
	t, ok := q.teams[name]
	if !ok || len(t.items) == 0 {
		return
	}
	kept := t.items[:0]
	for _, it := range t.items {
		if !match(it.value) {
			kept = append(kept, it)
		}
	}
	q.length -= len(t.items) - len(kept)
	clear(t.items[len(kept):])
	t.items = kept
	if len(kept) == 0 {
		heap.Remove(&q.active, t.index)
		q.removeIdleTeams()
	}
}

// removeIdleTeams removes idle teams whose finish time has passed, so that the map does not grow
// without bound. Others are kept, since their finish time still delays their next item.
func (q *Fair[T]) removeIdleTeams() {
	const maxIdleTeams = 256
	if len(q.teams) < maxIdleTeams+len(q.active) {
		return
	}
	for name, t := range q.teams {
		if len(t.items) == 0 && t.finish <= q.virtualTime {
			delete(q.teams, name)
		}
	}
}

type teamHeap[T any] []*team[T]

func (h teamHeap[T]) Len() int           { return len(h) }
func (h teamHeap[T]) Less(i, j int) bool { return h[i].finish < h[j].finish }
func (h teamHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *teamHeap[T]) Push(x any) {
	t := x.(*team[T])
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *teamHeap[T]) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}
