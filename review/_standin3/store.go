// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The store's limits, as the settings and the pages give them.
const (
	rowBytes     = 65536
	maxTxnRows   = 100
	maxTxnBytes  = 1 << 20
	maxKeyBytes  = 200
	maxListRows  = 500
	maxListBytes = 1 << 20
	maxFeedWait  = 30 * time.Second
	storeLatency = 4 * time.Millisecond
)

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table,omitempty"`
	Part    string `json:"part,omitempty"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Version int64  `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

type rowsAnswer struct {
	Rows    []row    `json:"rows,omitempty"`
	Parts   []string `json:"parts,omitempty"`
	More    bool     `json:"more"`
	Version int64    `json:"ver"`
	NowMS   int64    `json:"now_ms"`
}

// store is the platform's table service. It keeps everything that it has acknowledged, and all
// of its history.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	changes []row
	version int64
	began   time.Time
	changed chan struct{}
	// rejected counts the writes that were answered 400, by their reason.
	rejected map[string]int
	// delay, if not nil, returns how much longer than usual a call takes to be answered.
	delay func(path, table, part string) time.Duration
	// late, if not nil, returns after how long a write is done that gets no answer; 0: it is done
	// and answered as usual.
	late func(t *txn) time.Duration
}

func newStore() *store {
	return &store{rows: make(map[rowKey]row), began: time.Now(), changed: make(chan struct{}), rejected: make(map[string]int)}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveTxn)
	mux.HandleFunc("GET /api/rows-get", s.serveList)
	mux.HandleFunc("GET /api/rows-parts", s.serveParts)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	return mux
}

type txn struct {
	If     []row `json:"ExpectedRev"`
	Put    []row `json:"put"`
	Remove []row `json:"Remove"`
	Across bool  `json:"across"`
}

// invalid returns why the store refuses a transaction, or "".
func (t *txn) invalid(size int) string {
	parts, written := make(map[string]bool), make(map[rowKey]bool)
	for _, r := range slices.Concat(t.If, t.Put, t.Remove) {
		parts[r.Part] = true
		if len(r.Key) > maxKeyBytes || r.Key == "" {
			return "key"
		}
	}
	for _, r := range slices.Concat(t.Put, t.Remove) {
		k := rowKey{r.Table, r.Part, r.Key}
		if written[k] {
			return "a row twice"
		}
		written[k] = true
		if len(r.Value) > rowBytes {
			return "row_bytes"
		}
		if r.Table == "servers" {
			return "servers"
		}
	}
	switch {
	case len(t.If)+len(t.Put)+len(t.Remove) > maxTxnRows:
		return "entries"
	case size > maxTxnBytes:
		return "bytes"
	case len(parts) > 1 && !t.Across:
		return "parts"
	}
	return ""
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t txn
	if err == nil {
		err = json.Unmarshal(body, &t)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := t.invalid(len(body)); reason != "" {
		s.mu.Lock()
		s.rejected[reason]++
		s.mu.Unlock()
		writeJSON(w, http.StatusBadRequest, map[string]string{"Error": reason})
		return
	}
	part := ""
	if len(t.If)+len(t.Put)+len(t.Remove) > 0 {
		part = slices.Concat(t.If, t.Put, t.Remove)[0].Part
	}
	s.wait(r, part, part)
	s.mu.Lock()
	if s.late != nil {
		if d := s.late(&t); d > 0 {
			s.mu.Unlock()
			time.AfterFunc(d, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.holds(t) {
					s.apply(t)
				}
			})
			<-r.Context().Done()
			return
		}
	}
	status, res := http.StatusOK, rowsAnswer{}
	if !s.holds(t) {
		status = http.StatusPreconditionFailed
		for _, c := range t.If {
			if now, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]; ok {
				res.Rows = append(res.Rows, now)
			}
		}
	} else {
		s.apply(t)
	}
	res.Version, res.NowMS = s.version, time.Since(s.began).Milliseconds()
	s.mu.Unlock()
	writeJSON(w, status, res)
}

// holds reports whether the conditions of a transaction hold. The caller holds mu.
func (s *store) holds(t txn) bool {
	for _, c := range t.If {
		if s.rows[rowKey{c.Table, c.Part, c.Key}].Version != c.Version {
			return false
		}
	}
	return true
}

// apply applies a transaction. The caller holds mu.
func (s *store) apply(t txn) {
	s.version++
	for _, p := range t.Put {
		p.Version = s.version
		s.rows[rowKey{p.Table, p.Part, p.Key}] = p
		s.changes = append(s.changes, p)
	}
	for _, p := range t.Remove {
		k := rowKey{p.Table, p.Part, p.Key}
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.changes = append(s.changes, row{Table: p.Table, Part: p.Part, Key: p.Key, Version: s.version, Gone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, v any) {
	value, err := json.Marshal(v)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(txn{Put: []row{{Table: table, Key: key, Value: value}}})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(txn{Remove: []row{{Table: table, Key: key}}})
}

// wait takes the time of a call.
func (s *store) wait(r *http.Request, table, part string) {
	d := storeLatency
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay != nil {
		d += delay(r.URL.Path, table, part)
	}
	sleep(r, d)
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, to := q.Get("table"), q.Get("part"), q.Get("From"), q.Get("TargetVersion")
	limit := maxListRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.wait(r, table, part)
	s.mu.Lock()
	var rows []row
	for k, v := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, v)
		}
	}
	res := rowsAnswer{Version: s.version, NowMS: time.Since(s.began).Milliseconds()}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for i, v := range rows {
		size += len(v.Value)
		if i == limit || (size > maxListBytes && i > 0) {
			rows, res.More = rows[:i], true
			break
		}
	}
	res.Rows = rows
	writeJSON(w, http.StatusOK, res)
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	table := r.URL.Query().Get("table")
	s.wait(r, table, "")
	s.mu.Lock()
	seen := make(map[string]bool)
	res := rowsAnswer{Version: s.version, NowMS: time.Since(s.began).Milliseconds()}
	for k := range s.rows {
		if k.table == table && !seen[k.part] {
			seen[k.part] = true
			res.Parts = append(res.Parts, k.part)
		}
	}
	s.mu.Unlock()
	slices.Sort(res.Parts)
	writeJSON(w, http.StatusOK, res)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table := q.Get("table")
	after, err := strconv.ParseInt(q.Get("DependsOn"), 10, 64)
	if err != nil {
		http.Error(w, "DependsOn", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	s.wait(r, table, "")
	for {
		s.mu.Lock()
		var rows []row
		at, _ := slices.BinarySearchFunc(s.changes, after+1, func(c row, v int64) int { return int(c.Version - v) })
		for _, c := range s.changes[at:] {
			if c.Table == table {
				rows = append(rows, c)
			}
		}
		res := rowsAnswer{Rows: rows, Version: s.version, NowMS: time.Since(s.began).Milliseconds()}
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, res)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, http.StatusOK, res)
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func sleep(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
