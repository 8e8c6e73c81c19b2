// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"slices"
	"strings"
)

// EvacuationOrder says whether a data centre is evacuated: while it is, nothing may start on
// its workers.
type EvacuationOrder struct {
	DataCentre string `json:"data_centre"`
	// Version is the version of the table service at which the operators gave the order.
	Version   int64 `json:"version"`
	Withdrawn bool  `json:"withdrawn,omitempty"`
}

// NewestOrder returns the highest version of some orders, or 0.
func NewestOrder(orders []EvacuationOrder) int64 {
	newest := int64(0)
	for _, o := range orders {
		newest = max(newest, o.Version)
	}
	return newest
}

// Evacuations are the operators' latest orders. Orders may arrive from the store and from other
// nodes in any order; the version of each decides which one is in force. The zero value knows
// of none.
type Evacuations struct {
	// complete is the version up to which the store has shown all orders.
	complete int64
	orders   []EvacuationOrder // by data centre
}

// Apply takes an order, and reports whether it changes which data centres are evacuated. An
// order that an earlier list of the store would have shown is out of date.
func (e *Evacuations) Apply(o EvacuationOrder) bool {
	at, found := slices.BinarySearchFunc(e.orders, o.DataCentre, func(o EvacuationOrder, name string) int { return strings.Compare(o.DataCentre, name) })
	if !found {
		if o.Version <= e.complete {
			return false
		}
		e.orders = slices.Insert(e.orders, at, o)
		return !o.Withdrawn
	}
	known := e.orders[at]
	if o.Version <= known.Version {
		return false
	}
	e.orders[at] = o
	return o.Withdrawn != known.Withdrawn
}

// ApplyList takes a list of all orders as of a version of the store, and reports whether it
// changes which data centres are evacuated.
func (e *Evacuations) ApplyList(list []EvacuationOrder, version int64) bool {
	changed := false
	for _, o := range list {
		changed = e.Apply(o) || changed
	}
	for _, o := range slices.Clone(e.orders) {
		listed := slices.ContainsFunc(list, func(l EvacuationOrder) bool { return l.DataCentre == o.DataCentre })
		if !listed && o.Version < version {
			changed = e.Apply(EvacuationOrder{DataCentre: o.DataCentre, Version: version, Withdrawn: true}) || changed
		}
	}
	e.complete = max(e.complete, version)
	return changed
}

// Orders returns the latest order for each data centre, for other nodes.
func (e *Evacuations) Orders() []EvacuationOrder { return slices.Clone(e.orders) }

// DataCentres returns the names of the evacuated data centres, in order.
func (e *Evacuations) DataCentres() (names []string) {
	for _, o := range e.orders {
		if !o.Withdrawn {
			names = append(names, o.DataCentre)
		}
	}
	return names
}
