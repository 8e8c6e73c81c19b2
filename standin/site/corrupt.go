// SPDX-License-Identifier: Apache-2.0

package site

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strings"
)

// CorruptEntry is an entry of the directory that another program has corrupted: nodes must
// not use it as a worker.
type CorruptEntry struct {
	// Name says what is wrong with the entry.
	Name string
	// Field is the invalid field, or "" for an entry that can't be decoded at all.
	Field string
	// value replaces the value of the field; nil: the field is missing.
	value any
	// raw is the whole entry if Field is "".
	raw string
}

// deepNesting is a depth of brackets that no entry has, at about half of the longest row.
const deepNesting = 30_000

// CorruptEntries returns an entry for each way in which one can be corrupt.
func CorruptEntries() []CorruptEntry {
	list := []CorruptEntry{
		{Name: "empty", raw: ""},
		{Name: "bytes that can't be read", raw: "\xff\x00{"},
		{Name: "truncated", raw: `{"Upstream":"billing","Addr`},
		{Name: "a list", raw: "[]"},
		{Name: "an empty object", raw: "{}"},
		{Name: "null", raw: "null"},
		{Name: "an unknown state", Field: "State", value: "retired"},
		{Name: "an empty state", Field: "State", value: ""},
		{Name: "a number for the state", Field: "State", value: 1},
		{Name: "no port", Field: "Address", value: "10.0.0.1"},
		{Name: "a port that is out of range", Field: "Address", value: "10.0.0.1:70000"},
		{Name: "no host", Field: "Address", value: ":80"},
		{Name: "an address with blanks", Field: "Address", value: "some where:80"},
		{Name: "a negative port", Field: "Address", value: "10.0.0.1:-1"},
		{Name: "a port of 20 digits", Field: "Address", value: "10.0.0.1:10000000000000000000"},
		{Name: "a list for the address", Field: "Address", value: []string{"10.0.0.1:80"}},
		{Name: "an empty data centre", Field: "Zone", value: ""},
		{Name: "a text for the capacity", Field: "Capacity", value: "large"},
		{Name: "no processors", Field: "Capacity", value: map[string]any{"Cpu": 0, "MemMb": 1000}},
		{Name: "negative memory", Field: "Capacity", value: map[string]any{"Cpu": 1000, "MemMb": -1}},
		{Name: "negative accelerators", Field: "Capacity", value: map[string]any{"Cpu": 1000, "MemMb": 1000, "Gpu": -1}},
		{Name: "absurdly many processors", Field: "Capacity", value: map[string]any{"Cpu": int64(100_000_000_000), "MemMb": 1000}},
		{Name: "as many processors as a number can tell", Field: "Capacity", value: map[string]any{"Cpu": int64(math.MaxInt64), "MemMb": int64(math.MaxInt64)}},
		{Name: "processors beyond 64 bits", Field: "Capacity", value: json.RawMessage(`{"Cpu":99999999999999999999,"MemMb":1000}`)},
		{Name: "an exponent for the memory", Field: "Capacity", value: json.RawMessage(`{"Cpu":1000,"MemMb":1e30}`)},
		{Name: "a text for the processors", Field: "Capacity", value: map[string]any{"Cpu": "1000", "MemMb": 1000}},
		{Name: "a text for the labels", Field: "Labels", value: "r1-1"},
		{Name: "numbers for the labels", Field: "Labels", value: []int{1, 2}},
		{Name: "no labels in the list", Field: "Labels", value: []string{}},
		{Name: "a text for the slots", Field: "Slots", value: "8"},
		{Name: "a text for the clock", Field: "ClockMs", value: "now"},
		{Name: "a clock that is out of range", Field: "ClockMs", value: int64(math.MaxInt64)},
		{Name: "a remaining time that is out of range", Field: "RemainingMs", value: int64(math.MaxInt64)},
		{Name: "deeply nested brackets", raw: strings.Repeat("[", deepNesting) + strings.Repeat("]", deepNesting)},
		{Name: "brackets that aren't closed", raw: strings.Repeat(`{"a":[`, deepNesting/2)},
		{Name: "deep nesting in an unknown field", raw: `{"Upstream":"billing","Unknown":` + strings.Repeat("[", deepNesting) + strings.Repeat("]", deepNesting) + "}"},
	}
	for _, field := range []string{"Upstream", "Address", "Zone", "Version", "Slots", "State", "ColdRemainingMs", "Seq", "Capacity", "Labels"} {
		list = append(list, CorruptEntry{Name: "without " + field, Field: field})
	}
	return list
}

// CorruptStartTimes returns an entry for each way in which a start time can be invalid.
func CorruptStartTimes() []CorruptEntry {
	return []CorruptEntry{
		{Name: "a text for the start", Field: "born", value: "1764742000000"},
		{Name: "a fraction for the start", Field: "born", value: 1764742000000.5},
		{Name: "a negative start", Field: "born", value: -1},
		{Name: "a start that is too large", Field: "born", value: 1e300},
		{Name: "a start that is out of range", Field: "born", value: json.RawMessage("1e999")},
		{Name: "a list for the start", Field: "born", value: []int64{1764742000000}},
		{Name: "null for the start", Field: "born", value: json.RawMessage("null")},
		{Name: "an object for the start", Field: "born", value: map[string]any{}},
	}
}

// Encode returns the worker's entry, corrupted in this way.
func (c CorruptEntry) Encode(w *Worker) []byte {
	if c.Field == "" {
		return []byte(c.raw)
	}
	w.mu.Lock()
	entry := w.entry()
	w.mu.Unlock()
	var fields map[string]any
	if err := json.Unmarshal(encode(entry), &fields); err != nil {
		panic("site: entry can't be decoded: " + err.Error())
	}
	fields[c.Field] = c.value
	if c.value == nil {
		delete(fields, c.Field)
	}
	return encode(fields)
}

func encode(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic("site: row can't be encoded: " + err.Error())
	}
	return body
}

// OverwriteEntry replaces the worker's entry by a corrupt one, as another program may. The
// worker's next announcement restores it, unless its announcements are paused.
func (w *Worker) OverwriteEntry(c CorruptEntry) {
	w.site.Store.PutRaw("servers", "", w.ID, c.Encode(w))
}

// SetAnnouncementsPaused stops the worker's announcements, while its entry stays, or resumes
// them with one at once.
func (w *Worker) SetAnnouncementsPaused(paused bool) {
	w.mu.Lock()
	w.paused = paused
	w.mu.Unlock()
	if !paused {
		w.announce()
	}
}

// CorruptSomeEntries acts as another program that writes to the directory: it corrupts the
// entries of one worker in four, and as often adds a corrupt entry under an ID that no worker
// has.
func (s *Site) CorruptSomeEntries(rng *rand.Rand) {
	const oneIn = 4
	s.mu.Lock()
	workers := append([]*Worker(nil), s.workers...)
	s.mu.Unlock()
	entries := CorruptEntries()
	for _, w := range workers {
		entry := entries[rng.IntN(len(entries))]
		switch rng.IntN(2 * oneIn) {
		case 0, 1:
			if !w.Crashed() {
				w.OverwriteEntry(entry)
			}
		case 2, 3:
			s.Store.PutRaw("servers", "", "i-of-nobody-"+w.ID, entry.Encode(w))
		}
	}
}

// UnknownServiceEntry returns a valid entry for a service that isn't in the configuration.
func UnknownServiceEntry() CorruptEntry {
	return CorruptEntry{Name: "another service", Field: "Upstream", value: "of-nobody"}
}
