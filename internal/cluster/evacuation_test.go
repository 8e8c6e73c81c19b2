// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"slices"
	"testing"

	"switchbank.example/switchbank/internal/cluster"
)

// TestEvacuationsKeepTheNewestOrder checks that neither an old order of a peer nor an old list
// of the store undoes a newer order.
func TestEvacuationsKeepTheNewestOrder(t *testing.T) {
	evacuate := func(dc string, version int64) cluster.EvacuationOrder {
		return cluster.EvacuationOrder{DataCentre: dc, Version: version}
	}
	withdraw := func(dc string, version int64) cluster.EvacuationOrder {
		return cluster.EvacuationOrder{DataCentre: dc, Version: version, Withdrawn: true}
	}
	var e cluster.Evacuations
	steps := []struct {
		name    string
		apply   func() bool
		changed bool
		want    []string
	}{
		{"an order", func() bool { return e.Apply(evacuate("a", 5)) }, true, []string{"a"}},
		{"the same order again", func() bool { return e.Apply(evacuate("a", 5)) }, false, []string{"a"}},
		{"a list from before the order", func() bool { return e.ApplyList(nil, 4) }, false, []string{"a"}},
		{"another data centre", func() bool { return e.Apply(evacuate("b", 7)) }, true, []string{"a", "b"}},
		{"a withdrawal", func() bool { return e.Apply(withdraw("a", 9)) }, true, []string{"b"}},
		{"an order from before the withdrawal", func() bool { return e.Apply(evacuate("a", 5)) }, false, []string{"b"}},
		{"a list that lacks the order", func() bool { return e.ApplyList(nil, 12) }, true, nil},
		{"an order that the list would have shown", func() bool { return e.Apply(evacuate("c", 11)) }, false, nil},
		{"a newer order", func() bool { return e.Apply(evacuate("b", 13)) }, true, []string{"b"}},
		{"a list with the order", func() bool { return e.ApplyList([]cluster.EvacuationOrder{evacuate("b", 13)}, 20) }, false, []string{"b"}},
	}
	for _, s := range steps {
		if changed := s.apply(); changed != s.changed {
			t.Errorf("%s: changed is %t, want %t", s.name, changed, s.changed)
		}
		if got := e.DataCentres(); !slices.Equal(got, s.want) {
			t.Errorf("%s: %v are evacuated, want %v", s.name, got, s.want)
		}
	}
}
