// SPDX-License-Identifier: Apache-2.0

package site

import (
	"encoding/json"
	"math/rand/v2"
)

// CorruptEntry is an entry of the directory as another writer may leave it: it names no
// worker to use.
type CorruptEntry struct {
	// Name says what is wrong with it.
	Name string
	// Field is the member that is wrong, "" for an entry that can't be read at all.
	Field string
	// value replaces the member; nil: it is missing.
	value any
	// raw is the whole entry, if it isn't a worker's with one member changed.
	raw string
}

// CorruptEntries are the ways in which an entry can be spoilt.
func CorruptEntries() []CorruptEntry {
	list := []CorruptEntry{
		{Name: "empty", raw: ""},
		{Name: "bytes that can't be read", raw: "\xff\x00{"},
		{Name: "cut short", raw: `{"Upstream":"billing","Addr`},
		{Name: "a list", raw: "[]"},
		{Name: "nothing in it", raw: "{}"},
		{Name: "null", raw: "null"},
		{Name: "an unknown state", Field: "State", value: "retired"},
		{Name: "an empty state", Field: "State", value: ""},
		{Name: "a number for the state", Field: "State", value: 1},
		{Name: "no port", Field: "Address", value: "10.0.0.1"},
		{Name: "a port that is none", Field: "Address", value: "10.0.0.1:70000"},
		{Name: "no host", Field: "Address", value: ":80"},
		{Name: "an address with blanks", Field: "Address", value: "some where:80"},
		{Name: "a list for the address", Field: "Address", value: []string{"10.0.0.1:80"}},
		{Name: "an empty data centre", Field: "Zone", value: ""},
		{Name: "a text for the capacity", Field: "Capacity", value: "large"},
		{Name: "no processors", Field: "Capacity", value: map[string]any{"Cpu": 0, "MemMb": 1000}},
		{Name: "negative memory", Field: "Capacity", value: map[string]any{"Cpu": 1000, "MemMb": -1}},
		{Name: "negative accelerators", Field: "Capacity", value: map[string]any{"Cpu": 1000, "MemMb": 1000, "Gpu": -1}},
		{Name: "a text for the processors", Field: "Capacity", value: map[string]any{"Cpu": "1000", "MemMb": 1000}},
		{Name: "a text for the labels", Field: "Labels", value: "r1-1"},
		{Name: "numbers for the labels", Field: "Labels", value: []int{1, 2}},
		{Name: "no labels in the list", Field: "Labels", value: []string{}},
		{Name: "a text for the slots", Field: "Slots", value: "8"},
		{Name: "a text for the clock", Field: "ClockMs", value: "now"},
	}
	for _, field := range []string{"Upstream", "Address", "Zone", "Version", "Slots", "State", "ColdRemainingMs", "Seq", "Capacity", "Labels"} {
		list = append(list, CorruptEntry{Name: "without " + field, Field: field})
	}
	return list
}

// CorruptStartTimes are the ways in which the start that an entry tells can be spoilt.
func CorruptStartTimes() []CorruptEntry {
	return []CorruptEntry{
		{Name: "a text for the start", Field: "born", value: "1764742000000"},
		{Name: "a fraction for the start", Field: "born", value: 1764742000000.5},
		{Name: "a negative start", Field: "born", value: -1},
		{Name: "a start that is too large", Field: "born", value: 1e300},
		{Name: "a start beyond all numbers", Field: "born", value: json.RawMessage("1e999")},
		{Name: "a list for the start", Field: "born", value: []int64{1764742000000}},
		{Name: "null for the start", Field: "born", value: json.RawMessage("null")},
		{Name: "an object for the start", Field: "born", value: map[string]any{}},
	}
}

// Encode returns the worker's entry, spoilt.
func (s CorruptEntry) Encode(w *Worker) []byte {
	if s.Field == "" {
		return []byte(s.raw)
	}
	w.mu.Lock()
	entry := w.entry()
	w.mu.Unlock()
	var members map[string]any
	if err := json.Unmarshal(encode(entry), &members); err != nil {
		panic("site: an entry is an object: " + err.Error())
	}
	members[s.Field] = s.value
	if s.value == nil {
		delete(members, s.Field)
	}
	return encode(members)
}

func encode(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic("site: a row can't be encoded: " + err.Error())
	}
	return body
}

// OverwriteEntry writes over the worker's entry as another writer does. Unless the worker is
// quiet, it writes its own again with the next announcement.
func (w *Worker) OverwriteEntry(s CorruptEntry) {
	w.site.Store.PutRaw("servers", "", w.ID, s.Encode(w))
}

// SetAnnouncementsPaused keeps the worker from announcing itself, while its entry stays, or lets it
// announce itself at once.
func (w *Worker) SetAnnouncementsPaused(paused bool) {
	w.mu.Lock()
	w.paused = paused
	w.mu.Unlock()
	if !paused {
		w.announce()
	}
}

// CorruptSomeEntries is another writer at work: it spoils the entry of one worker in four, and
// as often writes one under a name that no worker has.
func (s *Site) CorruptSomeEntries(rng *rand.Rand) {
	const oneIn = 4
	s.mu.Lock()
	workers := append([]*Worker(nil), s.workers...)
	s.mu.Unlock()
	kinds := CorruptEntries()
	for _, w := range workers {
		kind := kinds[rng.IntN(len(kinds))]
		switch rng.IntN(2 * oneIn) {
		case 0, 1:
			if !w.Crashed() {
				w.OverwriteEntry(kind)
			}
		case 2, 3:
			s.Store.PutRaw("servers", "", "i-of-nobody-"+w.ID, kind.Encode(w))
		}
	}
}

// UnknownServiceEntry is an entry that can be read, and names a service which no
// configuration does.
func UnknownServiceEntry() CorruptEntry {
	return CorruptEntry{Name: "another service", Field: "Upstream", value: "of-nobody"}
}
