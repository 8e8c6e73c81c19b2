// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/settings"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// layoutPollInterval is the time between two checks for a service's layout, which the
	// store holds after the first start. layoutCreateDelay is how long a node waits for it
	// before it creates one. machinesTimeout bounds the wait for the first bytes of a list of
	// machines.
	layoutPollInterval = 10 * time.Millisecond
	layoutCreateDelay  = 100 * time.Millisecond
	machinesTimeout    = 700 * time.Millisecond
)

// layout returns the layout of a service; ok is false while it isn't known.
func (n *Node) layout(service string) (l cluster.Layout, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok = n.layouts[service]
	return l, ok
}

// knownLayouts returns the layouts of all services that are or were in the configuration, by name.
func (n *Node) knownLayouts() []cluster.Layout {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.SortedFunc(maps.Values(n.layouts), func(a, b cluster.Layout) int { return strings.Compare(a.Service, b.Service) })
}

// applyLayout records the layout of a service. The first one stays: it is written once and
// never changes. The service's shards are watched also if it isn't in the configuration any
// more, since they may have jobs.
func (n *Node) applyLayout(r tables.Row) {
	var l cluster.Layout
	if err := json.Unmarshal(r.Value, &l); err != nil || l.Shards < 1 || l.Shards > cluster.MaxShards || layoutPrefix+l.Service != r.Key {
		n.Log.Warn("layout row skipped", events.RowSkipped, zap.String("key", r.Key), zap.Error(err))
		return
	}
	n.mu.Lock()
	_, known := n.layouts[l.Service]
	if !known {
		n.layouts[l.Service] = l
	}
	n.mu.Unlock()
	if !known {
		n.Log.Info("layout in force", events.LayoutInForce, zap.String("service", l.Service), zap.Int("shards", l.Shards), zap.Int("racks", len(l.Racks)))
		if n.Config() != nil {
			n.watchService(l.Service)
		}
	}
}

// awaitLayout waits for a service's layout, and creates it if the store has none.
func (n *Node) awaitLayout(ctx context.Context, service string) (cluster.Layout, bool) {
	since := time.Now()
	for ctx.Err() == nil {
		if l, ok := n.layout(service); ok {
			return l, true
		}
		// The first candidate for shard 0 creates it, the others only after a delay.
		rank := n.rank(cluster.ShardID{Service: service})
		if time.Since(since) >= layoutCreateDelay+time.Duration(rank)*rankDelay {
			n.createLayout(ctx, service)
			since = time.Now()
		}
		tables.Sleep(ctx, layoutPollInterval)
	}
	return cluster.Layout{}, false
}

// createLayout plans a service's layout from the machines that the platform lists, and writes
// it unless another node already has.
func (n *Node) createLayout(ctx context.Context, service string) {
	c, cancel := conns.WithStallTimeout(ctx, machinesTimeout)
	machines, err := n.Machines.Machines(c)
	cancel()
	if err != nil && n.cfg.Machines != "" {
		n.Log.Info("failed to list machines", events.MachinesNotRead, zap.Error(err))
		return
	}
	// Without a list of machines the service has one shard.
	value, err := json.Marshal(cluster.PlanLayout(service, machines, n.workersPerShard()))
	if err != nil {
		panic("cell: a layout holds only strings and numbers: " + err.Error())
	}
	row := tables.Row{Table: TableCell, Key: layoutPrefix + service, Value: value}
	absent := row
	absent.Value = nil
	res, err := n.store.Commit(ctx, tables.Txn{If: []tables.Row{absent}, Put: []tables.Row{row}})
	switch {
	case err != nil:
		n.Log.Warn("failed to write layout", events.StoreFailed, zap.String("service", service), zap.Error(err))
	case res.Committed:
		n.applyLayout(row)
	default:
		for _, r := range res.Current {
			n.applyLayout(r)
		}
	}
}

const (
	// ownerCPUShare is the share of its CPU that a shard's owner uses at its usual load;
	// bursts take twice as much.
	ownerCPUShare = 0.6
	// minShardWorkers is the minimum size of a shard: a small one can't run a wide job.
	minShardWorkers = 24
)

// workersPerShard returns the maximum number of workers of a shard: as many as half of the
// hosts can own, since the large ones may be lost. Shards are as large as that allows,
// because a gang usually runs in one: with shards of 110 workers, of which advice allows a
// third, gangs of 69 and 91 tasks never started.
func (n *Node) workersPerShard() int {
	if n.cfg.WorkersPerShard > 0 {
		return n.cfg.WorkersPerShard
	}
	hosts := append(n.peers.cpuCapacities(), n.me.CPUMilli)
	slices.Sort(hosts)
	typical := float64(hosts[(len(hosts)-1)/2])
	return min(max(minShardWorkers, int(typical*ownerCPUShare/settings.OwnerMilliCPUPerWorker)), settings.MaxWorkersPerShard)
}
