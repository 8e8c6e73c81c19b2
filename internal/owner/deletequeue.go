// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"slices"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/tables"
)

const (
	// maxDeleteRows is the most rows of one removal, each with a condition, beside the
	// condition on the fence. One is made for sweepLeast rows, or for fewer that are there for
	// sweepAnyway: a removal costs a write, and each takeover reads what is left.
	maxDeleteRows = (tables.MaxTxnRows - 1) / 2
	minDeleteRows = 10
	maxDeleteWait = 10 * time.Second
	// maxWriteTimeForDelete keeps the removals out of the way of a slow store, which answers
	// in 4 ms as a rule, and in 0.24 to 0.4 s when it is slow. On a busy link of 2 Mbit/s a
	// write takes up to 0.1 s, and what isn't removed makes a takeover read more over it.
	maxWriteTimeForDelete = 150 * time.Millisecond
)

// deleteQueue are rows that nothing needs any more, until they are removed.
type deleteQueue struct {
	mu    sync.Mutex
	parts map[string]*queuedPart
	// lastWriteTime is how long the last write of progress took.
	lastWriteTime time.Duration
}

// queuedPart are those of one part of the store.
type queuedPart struct {
	rows []tables.Row
	// queued are those of the rows: the store takes no row twice in one write.
	queued map[rowID]bool
	// firstAt is when the first of them came.
	firstAt time.Time
}

// rowID names a row within its part.
type rowID struct{ table, key string }

func rowIDOf(r tables.Row) rowID { return rowID{r.Table, r.Key} }

// add notes rows to be removed, each once.
func (l *deleteQueue) add(rows ...tables.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.parts == nil {
		l.parts = make(map[string]*queuedPart)
	}
	for _, r := range rows {
		p := l.parts[r.Part]
		if p == nil {
			p = &queuedPart{firstAt: time.Now(), queued: make(map[rowID]bool)}
			l.parts[r.Part] = p
		}
		if p.queued[rowIDOf(r)] {
			continue
		}
		p.queued[rowIDOf(r)] = true
		p.rows = append(p.rows, r)
	}
}

// observeWrite notes how long a write of progress observeWrite.
func (l *deleteQueue) observeWrite(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastWriteTime = d
}

// takeBatch takes rows of one part, if there is one whose rows are worth a call.
func (l *deleteQueue) takeBatch() []tables.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastWriteTime > maxWriteTimeForDelete {
		return nil
	}
	for part, p := range l.parts {
		if !p.due() {
			continue
		}
		n := min(len(p.rows), maxDeleteRows)
		rows := slices.Clone(p.rows[:n])
		for _, r := range rows {
			delete(p.queued, rowIDOf(r))
		}
		if p.rows = p.rows[n:]; len(p.rows) == 0 {
			delete(l.parts, part)
		}
		return rows
	}
	return nil
}

// due reports whether the rows are worth a call.
func (p *queuedPart) due() bool {
	return len(p.rows) >= minDeleteRows || time.Since(p.firstAt) >= maxDeleteWait
}
