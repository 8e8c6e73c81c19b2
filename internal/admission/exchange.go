// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"slices"
	"time"
)

// This file addresses callers that return at another node than the one that refused them: nodes
// exchange records of refused jobs with their pings.

// Record tells another node of a refused job. Its times are relative to the moment at which it is
// sent, since the clocks of nodes differ.
type Record struct {
	ID       string `json:"id"`
	Team     string `json:"team,omitempty"`
	Priority int    `json:"p,omitempty"`
	// Work is in milli-CPU x seconds.
	Work int64 `json:"work"`
	// FirstMS and LastMS are the times since the first and the last refusal, and RetryMS the time
	// until the caller should retry; all in milliseconds.
	FirstMS int64 `json:"first"`
	LastMS  int64 `json:"last"`
	RetryMS int64 `json:"retry"`
	// Attempts is how often the job was refused, and Returned is set once it was admitted.
	Attempts int  `json:"n"`
	Returned bool `json:"back,omitempty"`
}

const (
	// maxIDBytes and maxTeamBytes bound the names in a record of another node.
	maxIDBytes, maxTeamBytes = 64, 256
	// maxRecordTime bounds its times: a job may be refused several times in a row.
	maxRecordTime = 10 * time.Minute
	// maxRecordWork bounds its work, in milli-CPU x seconds.
	maxRecordWork = 1e12
)

// valid reports whether the figures of a record are plausible.
func (r *Record) valid() bool {
	within := func(ms int64) bool { return ms >= 0 && ms <= maxRecordTime.Milliseconds() }
	return r.ID != "" && len(r.ID) <= maxIDBytes && len(r.Team) <= maxTeamBytes && r.Work >= 0 && r.Work <= maxRecordWork &&
		within(r.FirstMS) && within(r.LastMS) && within(max(r.RetryMS, -r.RetryMS)) && r.LastMS <= r.FirstMS && r.Attempts > 0
}

// News returns the records that changed after the given change, at most the MaxRecords newest,
// except those that the peer itself told of; and the number of the last change.
func (m *Memory) News(after int64, peer string, now time.Duration) (records []Record, last int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = m.advance(now)
	for e := m.order.Back(); e != nil && len(records) < MaxRecords; e = e.Prev() {
		f := refusalOf(e)
		if f.sequence <= after && after <= m.sequence {
			break
		}
		if f.from == "" || f.from != peer {
			records = append(records, f.record(now))
		}
	}
	// The oldest comes first, so that the receiver forgets in the same order.
	slices.Reverse(records)
	return records, m.sequence
}

func (f *refusal) record(now time.Duration) Record {
	return Record{
		ID: f.id, Team: f.team, Priority: f.priority, Work: f.work, Attempts: f.attempts, Returned: f.returned,
		FirstMS: (now - f.first).Milliseconds(), LastMS: (now - f.last).Milliseconds(), RetryMS: (f.retryAt - now).Milliseconds(),
	}
}

// Learn records what a peer tells of refused jobs. Records that are not valid, or that tell nothing
// new, are skipped.
func (m *Memory) Learn(peer string, records []Record, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = m.advance(now)
	for i := range records[:min(len(records), MaxRecords)] {
		r := &records[i]
		if !r.valid() || !r.newerThan(m.get(r.ID)) {
			continue
		}
		ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
		f := refusal{
			id: r.ID, team: r.Team, priority: r.Priority, work: r.Work, attempts: r.Attempts, returned: r.Returned, from: peer,
			first: now - ms(r.FirstMS), last: now - ms(r.LastMS), retryAt: now + ms(r.RetryMS),
		}
		if !f.over(now) {
			m.put(f)
		}
	}
}

// newerThan reports whether a record tells more of a job than is known.
func (r *Record) newerThan(f *refusal) bool {
	return f == nil || r.Attempts > f.attempts || (r.Attempts == f.attempts && r.Returned && !f.returned)
}
