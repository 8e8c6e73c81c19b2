// SPDX-License-Identifier: Apache-2.0

package site

import (
	"io"
	"net/http"
	"slices"
	"time"
)

// StoreFaults are the faults that the store simulates.
type StoreFaults struct {
	// Down: no call takes effect or is answered. With Busy the answer is 503 instead.
	Down bool
	Busy bool
	// Deny are the hosts whose calls are refused with 503, while others are served.
	Deny []string
	// Delay is how long each call waits before it is handled.
	Delay time.Duration
	// AnswerDelay is the time between a write's effect and its answer.
	AnswerDelay time.Duration
	// PartBusy is how long each write occupies its part, while other writes to it wait.
	PartBusy time.Duration
	// LoseReplies is how many of the next writes take effect but get no answer.
	LoseReplies int
	// Late is how many of the next writes get no answer and take effect only after LateBy.
	Late   int
	LateBy time.Duration
	// NoHistory makes every feed answer that the history of changes has been deleted.
	NoHistory bool
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetUnavailableParts replaces the set of parts whose calls get no answer. It is independent
// of the other faults.
func (s *Store) SetUnavailableParts(parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailableParts = parts
}

// SetResetParts replaces the set of parts whose calls have no effect and are answered with a
// reset of the connection. It is independent of the other faults.
func (s *Store) SetResetParts(parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetParts = parts
}

// SetBusyParts replaces the set of parts whose calls have no effect and are answered with 503. It
// is independent of the other faults.
func (s *Store) SetBusyParts(parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busyParts = parts
}

// RowMove is a write that removes a row from one table and writes one with its key to another.
type RowMove struct{ Key, From, To string }

// WriteFault is the fault of one write.
type WriteFault struct {
	// LoseAnswer: the write takes effect and gets no answer. With LateBy it takes effect only
	// after that time, if its conditions hold then.
	LoseAnswer bool
	LateBy     time.Duration
	// AnswerDelay is the time between the write's effect and its answer.
	AnswerDelay time.Duration
}

// SetMoveFault sets a function that decides the fault of each write that moves a row. It is
// independent of the other faults, and must not call the store.
func (s *Store) SetMoveFault(f func(m RowMove) WriteFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveFault = f
}

// SetWriteFault sets a function that decides the fault of each write that puts rows into a table, by
// the keys of these rows. It is independent of the other faults, and must not call the store.
func (s *Store) SetWriteFault(table string, f func(keys []string) WriteFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultTable, s.writeFault = table, f
}

// faultOf returns the fault of a write. The caller holds mu.
func (s *Store) faultOf(txn storeTxn) WriteFault {
	if keys := txn.keysIn(s.faultTable); s.writeFault != nil && len(keys) > 0 {
		return s.writeFault(keys)
	}
	if s.moveFault == nil {
		return WriteFault{}
	}
	for _, from := range txn.Remove {
		for _, to := range txn.Put {
			if to.Key == from.Key && to.Table != from.Table {
				return s.moveFault(RowMove{from.Key, from.Table, to.Table})
			}
		}
	}
	return WriteFault{}
}

// SetRefusedRow has the store refuse, as not valid, all writes that put a row with the key into a table; an
// empty key ends that. It replaces the table of SetWriteFault.
func (s *Store) SetRefusedRow(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultTable, s.refusedKey = table, key
}

// refuses reports whether the store refuses a write for one of its rows.
func (s *Store) refuses(txn storeTxn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedKey != "" && slices.Contains(txn.keysIn(s.faultTable), s.refusedKey)
}

// keysIn returns the keys of the rows that the write puts into a table.
func (t storeTxn) keysIn(table string) (keys []string) {
	for _, r := range t.Put {
		if r.Table == table {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// failsPart counts a call of a part, and reports whether the part is unavailable. Such a call is
// over when failsPart returns, or ends with a reset of its connection.
func (s *Store) failsPart(w http.ResponseWriter, r *http.Request, part string) bool {
	s.mu.Lock()
	s.partCalls[part]++
	silent, reset, busy := slices.Contains(s.unavailableParts, part), slices.Contains(s.resetParts, part), slices.Contains(s.busyParts, part)
	s.mu.Unlock()
	switch {
	case reset:
		panic(http.ErrAbortHandler)
	case silent:
		leaveUnanswered(r)
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return silent || busy
}

// isDown reports whether the store is down.
func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// answerDelay returns the time between a write's effect and its answer.
func (s *Store) answerDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.AnswerDelay
}

// maxSilence bounds how long an unanswered call is kept open; no caller waits that long.
const maxSilence = 30 * time.Second

// leaveUnanswered keeps a call open until its caller gives up, and then closes the
// connection. It reads the body first, since the server detects that a caller has gone only
// after that.
func leaveUnanswered(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	sleep(r, maxSilence)
	panic(http.ErrAbortHandler)
}

// sleep waits for d or until the caller gives up.
func sleep(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	}
}
