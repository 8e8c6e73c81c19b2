// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"container/list"
	"sync"
	"time"
)

// This file addresses callers that return with a refused job: jobs that have been refused go before
// new ones of their team and priority. Losing the memory makes a returning job count as new.

const (
	// MaxRemembered bounds the refused jobs that a node remembers.
	MaxRemembered = 2000
	// MaxRecords bounds the refused jobs that one message names.
	MaxRecords = 200
	// rememberFor is how long a refused job is remembered after its last refusal, at least until
	// the caller should have returned.
	rememberFor = 30 * time.Second
	// returnWindow is how long after the advised time a caller is still expected to return:
	// callers have a deadline of some 3 s.
	returnWindow = 3 * time.Second
)

// Memory remembers refused jobs. It is safe for concurrent use.
type Memory struct {
	mu sync.Mutex
	// now is the latest time that was passed.
	now  time.Duration
	byID map[string]*list.Element
	// order holds the refusals by the time of their last change, the oldest first.
	order *list.List
	// sequence numbers the changes.
	sequence int64
}

// refusal is what is known of a refused job.
type refusal struct {
	id, team string
	priority int
	work     int64
	// first and last are the times of the first and the last refusal.
	first, last time.Duration
	// retryAt is when the caller should retry.
	retryAt time.Duration
	// attempts is how often the job was refused.
	attempts int
	// returned is set once the job was admitted.
	returned bool
	// sequence is the number of the last change, and from the node that told of it.
	sequence int64
	from     string
}

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{byID: make(map[string]*list.Element), order: list.New()} }

// Complete adds what is known of refused jobs to a request.
func (m *Memory) Complete(r *Request, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = m.advance(now)
	if f := m.get(r.ID); f != nil {
		r.Returning, r.Sent = true, now-f.first
	}
	for e := m.order.Front(); e != nil; e = e.Next() {
		f := refusalOf(e)
		if f.id == r.ID || !f.expected(now) || f.priority > r.Job.Priority {
			continue
		}
		r.Expected.Ahead += f.work
		if f.team == r.Team && f.priority == r.Job.Priority && f.retryAt <= now+r.Job.Objective {
			r.Expected.Class += f.work
		}
	}
}

// expected reports whether the caller is expected to return.
func (f *refusal) expected(now time.Duration) bool {
	return !f.returned && now <= f.retryAt+returnWindow
}

// Refuse records the refusal of a job.
func (m *Memory) Refuse(r Request, d Decision, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = m.advance(now)
	f := refusal{id: r.ID, team: r.Team, priority: r.Job.Priority, work: r.Job.WorkMilliSec, first: now}
	if old := m.get(r.ID); old != nil {
		f.first, f.attempts = old.first, old.attempts
	}
	f.attempts++
	f.last, f.retryAt = now, now+d.RetryAfter
	m.put(f)
}

// Admit records that a job was admitted, if it had been refused before.
func (m *Memory) Admit(r Request, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	if f := m.get(r.ID); f != nil && !f.returned {
		next := *f
		next.returned, next.from = true, ""
		m.put(next)
	}
}

// Len returns how many refused jobs are remembered.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byID)
}

// advance moves the time forward, forgets what is too old, and returns the time. A clock that goes
// back a little counts as standing still. After a long jump back the ages of all refusals are
// wrong, so that they are forgotten. The caller holds mu.
func (m *Memory) advance(now time.Duration) time.Duration {
	if now < m.now-rememberFor {
		clear(m.byID)
		m.order.Init()
		m.now = now
	}
	m.now = max(m.now, now)
	for e := m.order.Front(); e != nil; {
		next := e.Next()
		if f := refusalOf(e); f.over(m.now) {
			m.remove(e)
		} else if m.now-f.last <= rememberFor {
			break
		}
		e = next
	}
	return m.now
}

// over reports whether a refusal is too old to be remembered.
func (f *refusal) over(now time.Duration) bool {
	return now-f.last > rememberFor && now > f.retryAt+returnWindow
}

func (m *Memory) get(id string) *refusal {
	if e := m.byID[id]; e != nil {
		return refusalOf(e)
	}
	return nil
}

// put stores the newest state of a refusal, and forgets the oldest beyond MaxRemembered. The caller
// holds mu.
func (m *Memory) put(f refusal) {
	if e := m.byID[f.id]; e != nil {
		m.remove(e)
	}
	m.sequence++
	f.sequence = m.sequence
	m.byID[f.id] = m.order.PushBack(&f)
	if len(m.byID) > MaxRemembered {
		m.remove(m.order.Front())
	}
}

func (m *Memory) remove(e *list.Element) {
	delete(m.byID, refusalOf(e).id)
	m.order.Remove(e)
}

// refusalOf returns the value of an element: order holds only refusals.
func refusalOf(e *list.Element) *refusal {
	f, ok := e.Value.(*refusal)
	if !ok {
		panic("admission: the list of refusals holds another value")
	}
	return f
}
