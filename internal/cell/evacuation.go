// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"sync"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

// The operators' orders to evacuate a data centre are rows of the table that holds the
// configuration. A node that doesn't reach the store learns of them from the answers to its
// pings.

// evacuations are the operators' orders as far as this node knows them.
type evacuations struct {
	mu    sync.Mutex
	known cluster.Evacuations
}

// orders returns the latest order for each data centre.
func (e *evacuations) orders() []cluster.EvacuationOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known.Orders()
}

// dataCentres returns the evacuated data centres.
func (e *evacuations) dataCentres() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known.DataCentres()
}

// update changes what is known, and reports whether other data centres are evacuated now.
func (e *evacuations) update(apply func(known *cluster.Evacuations) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return apply(&e.known)
}

// applyEvacuationRows takes the orders among rows of the operators' table. full tells that the
// rows are the whole table as of a version.
func (n *Node) applyEvacuationRows(rows []tables.Row, full bool, version int64) {
	var orders []cluster.EvacuationOrder
	for _, r := range rows {
		if name, ok := n.Configs.EvacuatedDataCentre(r); ok {
			orders = append(orders, cluster.EvacuationOrder{DataCentre: name, Version: r.Version, Withdrawn: r.Deleted})
		}
	}
	changed := n.evacuations.update(func(known *cluster.Evacuations) bool {
		if full {
			return known.ApplyList(orders, version)
		}
		return applyOrders(known, orders)
	})
	n.noteEvacuations(changed, "store")
}

// learnEvacuations takes the orders that a peer knows.
func (n *Node) learnEvacuations(orders []cluster.EvacuationOrder, peer string) {
	changed := n.evacuations.update(func(known *cluster.Evacuations) bool { return applyOrders(known, orders) })
	n.noteEvacuations(changed, peer)
}

// applyOrders applies single orders, and reports whether other data centres are evacuated now.
func applyOrders(known *cluster.Evacuations, orders []cluster.EvacuationOrder) bool {
	changed := false
	for _, o := range orders {
		changed = known.Apply(o) || changed
	}
	return changed
}

// noteEvacuations puts a change in force on the shards that run here.
func (n *Node) noteEvacuations(changed bool, source string) {
	if !changed {
		return
	}
	names := n.evacuations.dataCentres()
	n.Log.Info("evacuated data centres changed", events.EvacuationsChanged, zap.Strings("data_centres", names), zap.String("source", source))
	for _, name := range names {
		if !n.hasDataCentre(name) {
			n.Log.Warn("evacuated data centre is unknown", events.EvacuationsChanged, zap.String("data_centre", name))
		}
	}
	n.configChanges.notify()
	n.updateEvacuations()
}

// hasDataCentre reports whether a known node is in a data centre.
func (n *Node) hasDataCentre(name string) bool {
	if n.me.DataCentre == name {
		return true
	}
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	for _, q := range n.peers.sorted {
		if q.DataCentre == name {
			return true
		}
	}
	return false
}

// updateEvacuations passes the evacuated data centres to the owners that run here.
func (n *Node) updateEvacuations() {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := n.evacuations.dataCentres()
	for _, o := range n.owned {
		o.SetEvacuated(names)
	}
}
