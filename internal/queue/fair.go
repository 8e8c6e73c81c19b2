// SPDX-License-Identifier: Apache-2.0

// Package queue holds a bounded, weighted fair queue.
//
// Each team has a queue of its own; the teams take turns by virtual finish
// time, so that a team's rush makes only that team wait. Push and Pop cost
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

// Limits bound a queue.
type Limits struct {
	PerTeam int
	Total   int
}

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindTeamFull is a push beyond the team's limit.
	KindTeamFull Kind = "team_queue_full"
	// KindFull is a push beyond the limit of all teams together.
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

// Fair is the queue; it is not safe for use by several goroutines at once.
type Fair[T any] struct {
	limits Limits
	teams  map[string]*team[T]
	active teamHeap[T]
	now    float64
	n      int
}

type team[T any] struct {
	name string
	// finish is the virtual time at which the team's first item is due.
	finish float64
	items  []item[T]
	index  int
}

type item[T any] struct {
	value T
	cost  float64
}

// NewFair returns an empty queue.
func NewFair[T any](limits Limits) *Fair[T] {
	return &Fair[T]{limits: limits, teams: make(map[string]*team[T])}
}

// SetLimits changes the limits; what waits already stays.
func (q *Fair[T]) SetLimits(l Limits) { q.limits = l }

// Len returns how many items wait.
func (q *Fair[T]) Len() int { return q.n }

// TeamLen returns how many items of a team wait.
func (q *Fair[T]) TeamLen(name string) int {
	if t, ok := q.teams[name]; ok {
		return len(t.items)
	}
	return 0
}

// Push adds v to a team's queue; a larger weight gives the team more turns.
func (q *Fair[T]) Push(name string, weight float64, v T) error {
	if q.n >= q.limits.Total {
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
	q.n++
	if len(t.items) == 1 {
		t.finish = max(q.now, t.finish) + cost
		heap.Push(&q.active, t)
	}
	return nil
}

// Pop takes the next item.
func (q *Fair[T]) Pop() (T, bool) {
	var zero T
	if len(q.active) == 0 {
		return zero, false
	}
	t := q.active[0]
	v := t.items[0].value
	t.items[0].value = zero
	t.items = t.items[1:]
	q.now = t.finish
	q.n--
	q.requeue(t)
	return v, true
}

// requeue puts a team whose first item has left back in its place.
func (q *Fair[T]) requeue(t *team[T]) {
	if len(t.items) == 0 {
		heap.Remove(&q.active, t.index)
		t.items = nil
		q.forget()
		return
	}
	t.finish += t.items[0].cost
	heap.Fix(&q.active, t.index)
}

// Remove takes out the items of a team that match.
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
	q.n -= len(t.items) - len(kept)
	clear(t.items[len(kept):])
	t.items = kept
	if len(kept) == 0 {
		heap.Remove(&q.active, t.index)
		q.forget()
	}
}

// forget drops the idle teams whose turn lies in the past, so that names do not gather.
func (q *Fair[T]) forget() {
	const idleKept = 256
	if len(q.teams) < idleKept+len(q.active) {
		return
	}
	for name, t := range q.teams {
		if len(t.items) == 0 && t.finish <= q.now {
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
