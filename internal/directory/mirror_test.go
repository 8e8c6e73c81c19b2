// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/directory"
	"switchbank.example/switchbank/internal/tables"
)

// decode decodes a row whose value is "RACK ADDRESS CLOCK", or "invalid".
func decode(row tables.Row) (cluster.Worker, error) {
	parts := strings.Fields(string(row.Value))
	if len(parts) != 3 {
		return cluster.Worker{}, errors.New("unreadable")
	}
	clock, err := strconv.ParseInt(parts[2], 10, 64)
	return cluster.Worker{ID: row.Key, Service: "billing", Rack: parts[0], Address: parts[1], ClockMS: clock}, err
}

// announce returns the row of a worker.
func announce(key, rack, address string, version int64) tables.Row {
	return tables.Row{Key: key, Value: fmt.Appendf(nil, "%s %s %d", rack, address, version), Version: version}
}

// onFirstRack accepts the workers of the owner in these tests.
func onFirstRack(p directory.Place) bool { return p.Rack == "r0" }

// TestOwnerGetsOnlyWhatConcernsIt checks that repeated announcements, and changes of other
// owners' workers, are not passed on.
func TestOwnerGetsOnlyWhatConcernsIt(t *testing.T) {
	m := directory.New("m", decode)
	m.Apply([]tables.Row{announce("w0", "r0", "a", 1), announce("w1", "r1", "a", 2)}, true, 2)
	rows, cursor := m.List(onFirstRack)
	if len(rows) != 1 || rows[0].Key != "w0" {
		t.Fatalf("the list has %v, want w0", rows)
	}
	steps := []struct {
		name string
		row  tables.Row
		want bool
	}{
		{"the same again", announce("w0", "r0", "a", 3), false},
		{"another owner's worker", announce("w1", "r1", "b", 4), false},
		{"another address", announce("w0", "r0", "b", 5), true},
		{"an invalid row", tables.Row{Key: "w0", Value: []byte("invalid"), Version: 6}, true},
		{"a valid row on another rack", announce("w0", "r1", "b", 7), true},
		{"a change there", announce("w0", "r1", "c", 8), false},
		{"a worker that comes", announce("w2", "r0", "a", 9), true},
		{"its deletion", tables.Row{Key: "w2", Deleted: true, Version: 10}, true},
	}
	for _, s := range steps {
		m.Apply([]tables.Row{s.row}, false, s.row.Version)
		rows, next, err := m.Changes(onFirstRack, cursor)
		if err != nil {
			t.Fatalf("%s: %v", s.name, err)
		}
		if got := len(rows) == 1 && rows[0].Key == s.row.Key && rows[0].Version == s.row.Version; got != s.want {
			t.Errorf("%s: got %v, want it to be passed on: %t", s.name, rows, s.want)
		}
		cursor = next
	}
}

// TestOwnerChangesMirror checks that an owner which goes from one mirror to another, and back,
// always ends up with the table's rows of its shard. The mirrors read at unlike times, and list
// the table again now and then.
func TestOwnerChangesMirror(t *testing.T) {
	const seeds, rounds, keys, racks = 200, 300, 8, 3
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // Each seed must be reproducible.
		var history []tables.Row
		table := make(map[string]tables.Row)
		mirrors := []*directory.Mirror{directory.New("a", decode), directory.New("b", decode)}
		read := []int64{0, 0}
		refresh := func(i int, relist bool) {
			version := int64(len(history))
			if read[i] == 0 || relist {
				var rows []tables.Row
				for _, r := range table {
					rows = append(rows, r)
				}
				// A list of several pages may show changes later than its version.
				listed := max(1, read[i], version-int64(rng.IntN(3)))
				mirrors[i].Apply(rows, true, listed)
				read[i] = listed
				return
			}
			if read[i] < version {
				mirrors[i].Apply(history[read[i]:version], false, version)
				read[i] = version
			}
		}
		owned := make(map[string]tables.Row)
		var cursor directory.Cursor
		list := true
		poll := func(i int) {
			if list {
				rows, next := mirrors[i].List(onFirstRack)
				if next.Version < cursor.Version {
					return
				}
				clear(owned)
				for _, r := range rows {
					owned[r.Key] = r
				}
				cursor, list = next, false
				return
			}
			rows, next, err := mirrors[i].Changes(onFirstRack, cursor)
			if err != nil {
				list = true
				return
			}
			for _, r := range rows {
				if r.Deleted {
					delete(owned, r.Key)
				} else {
					owned[r.Key] = r
				}
			}
			cursor = next
		}
		for range rounds {
			key, version := "w"+strconv.Itoa(rng.IntN(keys)), int64(len(history)+1)
			row := announce(key, "r"+strconv.Itoa(rng.IntN(racks)), strconv.Itoa(rng.IntN(2)), version)
			if _, there := table[key]; there && rng.IntN(4) == 0 {
				row = tables.Row{Key: key, Deleted: true, Version: version}
			}
			history = append(history, row)
			if row.Deleted {
				delete(table, key)
			} else {
				table[key] = row
			}
			if i := rng.IntN(2); rng.IntN(3) == 0 {
				refresh(i, rng.IntN(10) == 0)
				poll(i)
			}
		}
		for range 3 { // A list, and the changes after it.
			refresh(0, false)
			poll(0)
		}
		want, got := make(map[string]string), make(map[string]string)
		for _, r := range table {
			if w, err := decode(r); err == nil && w.Rack == "r0" {
				want[r.Key] = w.Address
			}
		}
		for _, r := range owned {
			if w, err := decode(r); err == nil && w.Rack == "r0" {
				got[r.Key] = w.Address
			}
		}
		if !maps.Equal(got, want) {
			t.Errorf("seed %d: the owner has %v, want %v", seed, got, want)
		}
	}
}

// TestForgottenChanges checks that a cursor from before the changes that are kept is refused.
func TestForgottenChanges(t *testing.T) {
	const changes = 5000
	m := directory.New("m", decode)
	if _, read := m.Age(time.Time{}); read {
		t.Error("an empty mirror says that it has read the table")
	}
	m.Apply(nil, true, 1)
	_, cursor := m.List(onFirstRack)
	for v := int64(2); v < changes; v++ {
		m.Apply([]tables.Row{announce("w0", "r0", strconv.FormatInt(v, 10), v)}, false, v)
	}
	_, _, err := m.Changes(onFirstRack, cursor)
	var e *directory.Error
	if !errors.As(err, &e) || e.Kind != directory.KindNotKept {
		t.Errorf("changes after a forgotten cursor: %v, want %s", err, directory.KindNotKept)
	}
}
