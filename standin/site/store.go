// SPDX-License-Identifier: Apache-2.0

package site

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// Store is the table service. It keeps all rows and changes in memory.
type Store struct {
	mu      sync.Mutex
	rows    map[storeKey]storeRow
	changes []storeRow
	version int64
	faults  StoreFaults
	// unavailableParts are the parts whose calls get no answer, while those of other parts do.
	unavailableParts []string
	// resetParts are the parts whose calls are answered with a reset of the connection.
	resetParts []string
	// busyParts are the parts whose calls are answered with 503.
	busyParts []string
	// moveFault, if not nil, decides the fault of each write that moves a row to another table.
	moveFault func(m RowMove) WriteFault
	// writeFault, if not nil, decides the fault of each write that puts rows into faultTable.
	writeFault func(keys []string) WriteFault
	faultTable string
	// refusedKey, if not empty, is the key of a row that can't be written to faultTable.
	refusedKey string
	// partCalls counts the reads and writes of each part.
	partCalls map[string]int
	// changed is closed and replaced with each change.
	changed chan struct{}
	calls   int64
	// rowsRead counts the rows of each table that were sent to readers.
	rowsRead map[string]int
	// reads counts the answers that held rows of each table.
	reads map[string]int
	// busyUntil is when a part will have finished the writes that it has received so far.
	busyUntil map[string]time.Time
}

type storeKey struct{ table, part, key string }

// storeRow is a row in the platform's protocol.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part,omitempty"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"gone,omitempty"`
}

type storeRows struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"more"`
	Version int64      `json:"ver"`
	NowMS   int64      `json:"now_ms"`
}

// The limits of the platform's table service.
const (
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20
	maxListRows   = 500
	maxKeyBytes   = 200
	maxRowBytes   = 65536
	maxWaitMS     = 30_000
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: make(map[storeKey]storeRow), changed: make(chan struct{}), rowsRead: make(map[string]int), reads: make(map[string]int), busyUntil: make(map[string]time.Time), partCalls: make(map[string]int)}
}

// Calls returns how many calls the store has received.
func (s *Store) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// PartCalls returns how many reads and writes of a part the store has received.
func (s *Store) PartCalls(part string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partCalls[part]
}

// RowsRead returns how many rows of a table lists and feeds have sent to readers.
func (s *Store) RowsRead(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rowsRead[table]
}

// Reads returns how many answers of lists and feeds have sent rows of a table to readers.
func (s *Store) Reads(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[table]
}

// countRead counts rows that are sent to a reader.
func (s *Store) countRead(table string, rows []storeRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rowsRead[table] += len(rows)
	s.reads[table]++
}

// Version returns the version of a row, or 0 if there is none.
func (s *Store) Version(table, part, key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[storeKey{table, part, key}].Version
}

// Value returns the value of a row, or nil if there is none.
func (s *Store) Value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[storeKey{table, part, key}].Value
}

// Keys returns the keys of a table's rows, in order.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.rows {
		if k.table == table {
			keys = append(keys, k.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Put writes a row of the empty part with value encoded as JSON, as operators and workers do.
func (s *Store) Put(table, key string, value any) {
	s.PutRaw(table, "", key, encode(value))
}

// PutRaw writes a row with any bytes as its value.
func (s *Store) PutRaw(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeTxn{Put: []storeRow{{Table: table, Part: part, Key: key, Value: value}}})
}

// Remove deletes a row of the empty part.
func (s *Store) Remove(table, key string) { s.RemoveIn(table, "", key) }

// RemoveIn deletes a row of a part.
func (s *Store) RemoveIn(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeTxn{Remove: []storeRow{{Table: table, Part: part, Key: key}}})
}

// Handler returns the handler that serves the store's calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveTxn)
	mux.HandleFunc("GET /api/rows-get", s.serveList)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		f := s.faults
		s.mu.Unlock()
		if f.Delay > 0 {
			sleep(r, f.Delay)
		}
		if (f.Down && f.Busy) || slices.Contains(f.Deny, hostOf(r.RemoteAddr)) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if f.Down {
			leaveUnanswered(r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}
