// SPDX-License-Identifier: Apache-2.0

package site

import (
	"net/http"
	"slices"
	"time"
)

// storeTxn is a transaction in the platform's protocol.
type storeTxn struct {
	If     []storeRow `json:"ExpectedRev"`
	Put    []storeRow `json:"put"`
	Remove []storeRow `json:"Remove"`
}

// serveTxn commits a transaction and answers the call.
func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn storeTxn
	if !decodeBody(w, r, &txn) {
		return
	}
	reason := txn.invalidReason()
	if s.refuses(txn) {
		reason = "a row that is refused"
	}
	if reason != "" {
		writeJSON(w, http.StatusBadRequest, problem{reason})
		return
	}
	if s.failsPart(w, r, txn.part()) {
		return
	}
	s.waitForPart(r, &txn)
	s.mu.Lock()
	fault := s.faultOf(txn)
	res, status, answered := s.commit(txn, fault)
	s.mu.Unlock()
	if !answered {
		leaveUnanswered(r)
		return
	}
	sleep(r, max(s.answerDelay(), fault.AnswerDelay))
	writeJSON(w, status, res)
}

// commit applies a transaction, now or late, and returns its result. Answered is false if a
// simulated fault keeps the answer from the caller, who holds mu.
func (s *Store) commit(txn storeTxn, fault WriteFault) (res storeRows, status int, answered bool) {
	if fault.LateBy > 0 {
		go s.commitLate(txn, fault.LateBy)
		return storeRows{}, 0, false
	}
	if s.faults.Late > 0 {
		s.faults.Late--
		go s.commitLate(txn, s.faults.LateBy)
		return storeRows{}, 0, false
	}
	status = http.StatusOK
	if current := s.failedConditions(txn); len(current) > 0 {
		res.Rows, status = current, http.StatusPreconditionFailed
	} else {
		s.apply(txn)
	}
	res.Version, res.NowMS = s.version, time.Now().UnixMilli()
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return res, status, false
	}
	return res, status, !fault.LoseAnswer
}

// commitLate applies a transaction after a delay, if its conditions hold then.
func (s *Store) commitLate(txn storeTxn, delay time.Duration) {
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.failedConditions(txn)) == 0 {
		s.apply(txn)
	}
}

// waitForPart waits until a busy part has finished the writes that came before and this one.
func (s *Store) waitForPart(r *http.Request, t *storeTxn) {
	s.mu.Lock()
	busy, part := s.faults.PartBusy, t.part()
	if busy == 0 {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	done := s.busyUntil[part]
	if done.Before(now) {
		done = now
	}
	done = done.Add(busy)
	s.busyUntil[part] = done
	s.mu.Unlock()
	sleep(r, done.Sub(now))
}

// part returns the part of the transaction's first row.
func (t *storeTxn) part() string {
	if all := t.rows(); len(all) > 0 {
		return all[0].Part
	}
	return ""
}

// rows returns all rows of the transaction: conditions, puts and removals.
func (t *storeTxn) rows() []storeRow { return slices.Concat(t.If, t.Put, t.Remove) }

// invalidReason returns why the platform would refuse the transaction, or "".
func (t *storeTxn) invalidReason() string {
	all := t.rows()
	if len(all) > maxTxnEntries {
		return "too many entries"
	}
	for _, r := range all {
		if r.Table == "" || r.Key == "" || len(r.Key) > maxKeyBytes || len(r.Value) > maxRowBytes {
			return "a row's table, key or value"
		}
		// Not all sites accept rows of several parts in one transaction.
		if r.Part != all[0].Part {
			return "several parts"
		}
	}
	return ""
}

// failedConditions returns the current rows of all conditions if one of them doesn't hold,
// and nil otherwise. The caller holds mu.
func (s *Store) failedConditions(t storeTxn) []storeRow {
	var current []storeRow
	differs := false
	for _, c := range t.If {
		row, ok := s.rows[storeKey{c.Table, c.Part, c.Key}]
		if !ok {
			row = storeRow{Table: c.Table, Part: c.Part, Key: c.Key}
		}
		differs = differs || row.Version != c.Version
		current = append(current, row)
	}
	if !differs {
		return nil
	}
	return current
}

// apply applies a transaction and wakes the feeds. The caller holds mu.
func (s *Store) apply(t storeTxn) {
	s.version++
	for _, r := range t.Put {
		r.Version = s.version
		s.rows[storeKey{r.Table, r.Part, r.Key}] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range t.Remove {
		k := storeKey{r.Table, r.Part, r.Key}
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.changes = append(s.changes, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
