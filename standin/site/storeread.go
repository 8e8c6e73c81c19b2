// SPDX-License-Identifier: Apache-2.0

package site

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// serveList answers a call with rows of a part.
func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if s.failsPart(w, r, q.Get("part")) {
		return
	}
	limit := maxListRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxListRows)
	}
	res := s.list(q, limit)
	s.countRead(q.Get("table"), res.Rows)
	writeJSON(w, http.StatusOK, res)
}

// list returns at most limit of the rows that a query selects, in the order of their keys.
func (s *Store) list(q url.Values, limit int) storeRows {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := storeRows{Rows: []storeRow{}, Version: s.version, NowMS: time.Now().UnixMilli()}
	for k, row := range s.rows {
		to := q.Get("TargetVersion")
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("From") && (to == "" || k.key < to) {
			res.Rows = append(res.Rows, row)
		}
	}
	slices.SortFunc(res.Rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	if len(res.Rows) > limit {
		res.Rows, res.More = res.Rows[:limit], true
	}
	return res
}

// changesAfter returns the changes of a table after a version, and a channel that is closed
// with the next change. Ok is false if the history has been deleted.
func (s *Store) changesAfter(table string, after int64) (res storeRows, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.NoHistory {
		return storeRows{}, nil, false
	}
	res = storeRows{Rows: []storeRow{}, Version: s.version, NowMS: time.Now().UnixMilli()}
	for _, c := range s.changes {
		if c.Table == table && c.Version > after {
			res.Rows = append(res.Rows, c)
		}
	}
	return res, s.changed, true
}

// serveFeed answers a call with the changes of a table, as soon as there are any or the time
// to wait is over.
func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("DependsOn"), 10, 64)
	waitMS, err2 := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	if err != nil || err2 != nil || waitMS < 0 || waitMS > maxWaitMS {
		writeJSON(w, http.StatusBadRequest, problem{"DependsOn or WaitMs"})
		return
	}
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		res, changed, ok := s.changesAfter(q.Get("table"), after)
		if !ok {
			writeJSON(w, http.StatusGone, problem{"history"})
			return
		}
		if len(res.Rows) > 0 {
			s.countRead(q.Get("table"), res.Rows)
			writeJSON(w, http.StatusOK, res)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, res)
			return
		case <-r.Context().Done():
			return
		}
	}
}
