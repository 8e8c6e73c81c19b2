// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"slices"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/tables"
)

const (
	// maxDeleteRows is the most rows of one deletion, each with a condition, in addition to the
	// condition on the fence. A deletion costs a write, and each takeover reads the rows that
	// are left: a deletion is made once minDeleteRows rows are queued, and of fewer after
	// maxDeleteWait.
	maxDeleteRows = (tables.MaxTxnRows - 1) / 2
	minDeleteRows = 10
	maxDeleteWait = 10 * time.Second
	// maxWriteTimeForDelete suspends deletions while the store is slow: a write usually takes
	// 4 ms, and 0.24 to 0.4 s in a slow store. On a busy link of 2 Mbit/s a write takes up to
	// 0.1 s, and deletions go on there, since undeleted rows slow down a takeover over that
	// link.
	maxWriteTimeForDelete = 150 * time.Millisecond
)

// deleteQueue holds rows that are no longer needed, until they are deleted.
type deleteQueue struct {
	mu    sync.Mutex
	parts map[string]*queuedPart
	// lastWriteTime is how long the last write of progress took.
	lastWriteTime time.Duration
}

// queuedPart holds the queued rows of one part of the store.
type queuedPart struct {
	rows []tables.Row
	// queued is the set of the rows: the store rejects a write that names a row twice.
	queued map[rowID]bool
	// firstAt is when the first of the rows was queued.
	firstAt time.Time
}

// rowID identifies a row within its part.
type rowID struct{ table, key string }

func rowIDOf(r tables.Row) rowID { return rowID{r.Table, r.Key} }

// add queues rows, each once.
func (q *deleteQueue) add(rows ...tables.Row) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.parts == nil {
		q.parts = make(map[string]*queuedPart)
	}
	for _, r := range rows {
		p := q.parts[r.Part]
		if p == nil {
			p = &queuedPart{firstAt: time.Now(), queued: make(map[rowID]bool)}
			q.parts[r.Part] = p
		}
		if p.queued[rowIDOf(r)] {
			continue
		}
		p.queued[rowIDOf(r)] = true
		p.rows = append(p.rows, r)
	}
}

// observeWrite records how long a write of progress took.
func (q *deleteQueue) observeWrite(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastWriteTime = d
}

// takeBatch removes and returns rows of one part, if any part has enough of them.
func (q *deleteQueue) takeBatch() []tables.Row {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lastWriteTime > maxWriteTimeForDelete {
		return nil
	}
	for part, p := range q.parts {
		if !p.due() {
			continue
		}
		n := min(len(p.rows), maxDeleteRows)
		rows := slices.Clone(p.rows[:n])
		for _, r := range rows {
			delete(p.queued, rowIDOf(r))
		}
		if p.rows = p.rows[n:]; len(p.rows) == 0 {
			delete(q.parts, part)
		}
		return rows
	}
	return nil
}

// due reports whether the rows are worth a write.
func (p *queuedPart) due() bool {
	return len(p.rows) >= minDeleteRows || time.Since(p.firstAt) >= maxDeleteWait
}
