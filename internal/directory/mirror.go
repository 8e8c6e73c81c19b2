// SPDX-License-Identifier: Apache-2.0

// Package directory keeps a copy of the workers' directory for the owners of all shards of a
// service.
//
// A worker announces itself every one to two seconds, and each announcement is a change of its
// row. Were each owner to read the table, the bytes read would grow with the number of workers
// times that of owners. An owner needs only the rows of its own workers, and of these only the
// announcements that say something new. So one node reads the table into a Mirror, and the
// owners ask it for what has changed in their shards.
//
// A Cursor says up to where an owner has read. Only the Mirror that gave it can go on from there:
// another one lists the shard.
//
// # Usage
//
//	m := directory.New(id, dir.Worker)
//	m.Apply(rows, full, version) // what a follower of the table has read
//	m.Confirm(now)               // the table was read up to its present state
//	rows, cursor := m.List(inShard)
//	rows, cursor, err := m.Changes(inShard, cursor)
//	<-m.Changed() // another call of Changes may return more
package directory

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/tables"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindNotKept: the changes after that cursor are not kept any more, or never were.
	KindNotKept Kind = "not_kept"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("directory: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Place is where a worker belongs: its service and its rack. An entry that has never named a
// valid worker has the zero Place.
type Place struct{ Service, Rack string }

// Cursor is a position in the changes of a table.
type Cursor struct {
	// Mirror is the ID of the mirror that gave the cursor, and Seq the number of changes that
	// it had seen.
	Mirror string `json:"mirror,omitempty"`
	Seq    int64  `json:"seq,omitempty"`
	// Version is the version of the table service up to which all changes have been read, so
	// that an owner can go on with the table itself.
	Version int64 `json:"version"`
}

// minChangesKept is how many changes are kept at least; a multiple of the entries is, so that a
// reader that has missed an upgrade of all workers can still go on.
const (
	minChangesKept      = 1000
	changesKeptPerEntry = 4
)

const (
	// MinPause is the shortest pause between two reads of the directory's feed, which batches the
	// workers' announcements: some 400 bytes a worker every 1.5 s.
	MinPause = 200 * time.Millisecond
	// MaxPause is the longest one, which is half of the shortest time for which a draining worker
	// keeps serving.
	MaxPause = time.Second
	// pausePerWorker is by how much the pause grows with each worker.
	pausePerWorker = 2 * time.Millisecond
)

// Pause returns the pause between two reads of the feed of a directory of some workers.
func Pause(workers int) time.Duration {
	return min(max(MinPause, time.Duration(workers)*pausePerWorker), MaxPause)
}

// Mirror is a copy of the directory. It is safe for concurrent use.
type Mirror struct {
	id     string
	decode func(row tables.Row) (cluster.Worker, error)

	mu      sync.Mutex
	entries map[string]*entry
	// changes are the last changes, and forgotten is the number of those before them.
	changes   []change
	forgotten int64
	// version is that up to which all of the table has been read; 0: it hasn't been listed.
	version     int64
	confirmedAt time.Time
	changed     chan struct{}
}

// entry is a row and what it says.
type entry struct {
	row tables.Row
	// place is that of the last valid worker which the row has named.
	place   Place
	content content
}

// content is what an announcement says, apart from readings of the clock.
type content struct {
	worker cluster.Worker
	// invalid is what is wrong with the entry; "": it names a valid worker.
	invalid string
}

// change says that an entry has changed. Both places are told, that before and that after.
type change struct {
	key           string
	version       int64
	before, after Place
}

// New returns an empty mirror of a table whose rows decode decodes. The ID differs from that of
// any other mirror.
func New(id string, decode func(row tables.Row) (cluster.Worker, error)) *Mirror {
	return &Mirror{id: id, decode: decode, entries: make(map[string]*entry), changed: make(chan struct{})}
}

// Apply takes rows that were read. full tells that they are the whole table as of a version;
// else they are changes, and the version is that of the last of them.
func (m *Mirror) Apply(rows []tables.Row, full bool, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := len(m.changes)
	for _, r := range rows {
		m.applyRow(r)
	}
	if full {
		m.dropUnlisted(rows, version)
	}
	m.version = max(m.version, version)
	m.trim()
	if full || len(m.changes) > before {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// applyRow applies one row.
func (m *Mirror) applyRow(r tables.Row) {
	old := m.entries[r.Key]
	if old != nil && r.Version <= old.row.Version {
		return
	}
	if r.Deleted {
		if old != nil {
			delete(m.entries, r.Key)
			m.changes = append(m.changes, change{r.Key, r.Version, old.place, old.place})
		}
		return
	}
	e := m.newEntry(r, old)
	m.entries[r.Key] = e
	switch {
	case old == nil:
		m.changes = append(m.changes, change{r.Key, r.Version, e.place, e.place})
	case !reflect.DeepEqual(e.content, old.content):
		m.changes = append(m.changes, change{r.Key, r.Version, old.place, e.place})
	}
}

// newEntry decodes a row that replaces an entry, or none.
func (m *Mirror) newEntry(r tables.Row, old *entry) *entry {
	e := &entry{row: r}
	if old != nil {
		e.place = old.place
	}
	w, err := m.decode(r)
	if err != nil {
		e.content.invalid = err.Error()
		return e
	}
	e.place = Place{w.Service, w.Rack}
	e.content = contentOf(w)
	return e
}

// contentOf returns what an announcement of a worker says.
func contentOf(w cluster.Worker) content {
	w.ClockMS, w.Remaining = 0, 0
	return content{worker: w}
}

// dropUnlisted removes the entries that a list of the whole table lacks.
func (m *Mirror) dropUnlisted(rows []tables.Row, version int64) {
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key] = true
	}
	for key, e := range m.entries {
		if !listed[key] && e.row.Version < version {
			delete(m.entries, key)
			m.changes = append(m.changes, change{key, version, e.place, e.place})
		}
	}
}

// trim forgets the oldest changes.
func (m *Mirror) trim() {
	most := max(minChangesKept, changesKeptPerEntry*len(m.entries))
	if extra := len(m.changes) - most; extra > 0 {
		m.forgotten += int64(extra)
		m.changes = slices.Clone(m.changes[extra:])
	}
}

// Confirm records that the table was read up to its present state.
func (m *Mirror) Confirm(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedAt = now
}

// Age returns for how long nothing has shown the table's present state, and false while the
// table hasn't been read at all.
func (m *Mirror) Age(now time.Time) (age time.Duration, read bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.confirmedAt), m.version != 0
}

// Changed returns a channel that is closed with the next change.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// List returns the rows of the accepted places, by key. The version of its cursor may be below
// one that the owner has read up to elsewhere; then the list is out of date for it.
func (m *Mirror) List(accept func(Place) bool) ([]tables.Row, Cursor) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []tables.Row
	for _, e := range m.entries {
		if accept(e.place) {
			rows = append(rows, e.row)
		}
	}
	slices.SortFunc(rows, func(a, b tables.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, m.cursor()
}

// cursor returns the cursor after all changes. The caller holds mu.
func (m *Mirror) cursor() Cursor {
	return Cursor{Mirror: m.id, Seq: m.forgotten + int64(len(m.changes)), Version: m.version}
}

// Changes returns the present rows of the accepted places that have changed after a cursor, and
// the cursor after them. A row that has left a place is returned there as it is now.
func (m *Mirror) Changes(accept func(Place) bool, after Cursor) ([]tables.Row, Cursor, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from, err := m.position(after)
	if err != nil {
		return nil, Cursor{}, err
	}
	seen := make(map[string]bool)
	var rows []tables.Row
	for _, c := range m.changes[from:] {
		if seen[c.key] || (!accept(c.before) && !accept(c.after)) {
			continue
		}
		seen[c.key] = true
		if e := m.entries[c.key]; e != nil {
			rows = append(rows, e.row)
		} else {
			rows = append(rows, tables.Row{Key: c.key, Version: c.version, Deleted: true})
		}
	}
	return rows, m.cursor(), nil
}

// position returns the index of the first change after a cursor. The caller holds mu.
func (m *Mirror) position(after Cursor) (int, error) {
	if after.Mirror != m.id || after.Seq < m.forgotten {
		return 0, &Error{"changes", KindNotKept, errors.Errorf("mirror %s keeps changes from %d on", m.id, m.forgotten)}
	}
	return int(after.Seq - m.forgotten), nil
}
