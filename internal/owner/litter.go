// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"slices"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/tables"
)

const (
	// sweepRows is the most rows of one removal, each with a condition, beside the
	// condition on the fence. One is made for sweepLeast rows, or for fewer that are there for
	// sweepAnyway: a removal costs a write, and each takeover reads what is left.
	sweepRows   = (tables.MaxTxnRows - 1) / 2
	sweepLeast  = 10
	sweepAnyway = 10 * time.Second
	// sweepWhenFaster keeps the removals out of the way of a slow store, which answers
	// in 4 ms as a rule, and in 0.24 to 0.4 s when it is slow. On a busy link of 2 Mbit/s a
	// write takes up to 0.1 s, and what isn't removed makes a takeover read more over it.
	sweepWhenFaster = 150 * time.Millisecond
)

// litter are rows that nothing needs any more, until they are removed.
type litter struct {
	mu    sync.Mutex
	parts map[string]*litterPart
	// lastWrite is how long the last write of progress took.
	lastWrite time.Duration
}

// litterPart are those of one part of the store.
type litterPart struct {
	rows []tables.Row
	// names are those of the rows: the store takes no row twice in one write.
	names map[rowName]bool
	// since is when the first of them came.
	since time.Time
}

// rowName names a row within its part.
type rowName struct{ table, key string }

func nameOf(r tables.Row) rowName { return rowName{r.Table, r.Key} }

// add notes rows to be removed, each once.
func (l *litter) add(rows ...tables.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.parts == nil {
		l.parts = make(map[string]*litterPart)
	}
	for _, r := range rows {
		p := l.parts[r.Part]
		if p == nil {
			p = &litterPart{since: time.Now(), names: make(map[rowName]bool)}
			l.parts[r.Part] = p
		}
		if p.names[nameOf(r)] {
			continue
		}
		p.names[nameOf(r)] = true
		p.rows = append(p.rows, r)
	}
}

// took notes how long a write of progress took.
func (l *litter) took(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastWrite = d
}

// next takes rows of one part, if there is one whose rows are worth a call.
func (l *litter) next() []tables.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastWrite > sweepWhenFaster {
		return nil
	}
	for part, p := range l.parts {
		if !p.due() {
			continue
		}
		n := min(len(p.rows), sweepRows)
		rows := slices.Clone(p.rows[:n])
		for _, r := range rows {
			delete(p.names, nameOf(r))
		}
		if p.rows = p.rows[n:]; len(p.rows) == 0 {
			delete(l.parts, part)
		}
		return rows
	}
	return nil
}

// due reports whether the rows are worth a call.
func (p *litterPart) due() bool {
	return len(p.rows) >= sweepLeast || time.Since(p.since) >= sweepAnyway
}
