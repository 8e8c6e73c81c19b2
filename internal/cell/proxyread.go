// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/internal/tables"
)

// An owner on a slow link reads the store and the list of machines through other nodes, which
// compress the answers; the platform doesn't, although they are repetitive. With 120 workers,
// the list of machines and the directory alone took 65 of the 140 kB/s that an owner used of
// a link of 2 Mbit/s. A takeover read 0.5 MB, which blocked the link for two seconds.

const (
	// proxyBelowMbps is the link speed below which an owner reads through another node.
	proxyBelowMbps = 50
	// proxyTimeout bounds the wait for the first bytes of an answer: a list takes 0.4 s while
	// the store is 100 times slower.
	proxyTimeout = 600 * time.Millisecond
	// machineCacheTTL is how long a node answers other nodes with the same list of machines.
	machineCacheTTL = 200 * time.Millisecond
)

// machineList is the reply to a node that reads the list of machines through this one.
type machineList struct {
	Machines []cluster.Machine `json:"machines"`
}

// machineCache holds the last list of machines that this node read for others.
type machineCache struct {
	mu   sync.Mutex
	list []cluster.Machine
	at   time.Time
}

// handleMachines lists the machines for another node.
func (n *Node) handleMachines(ctx context.Context, _ empty) (machineList, error) {
	n.machineCache.mu.Lock()
	defer n.machineCache.mu.Unlock()
	if time.Since(n.machineCache.at) < machineCacheTTL {
		return machineList{n.machineCache.list}, nil
	}
	began := time.Now()
	list, err := n.Machines.Machines(ctx)
	if err != nil {
		return machineList{}, err
	}
	n.machineCache.list, n.machineCache.at = list, began
	return machineList{list}, nil
}

// readProxy returns the node through which this one reads a key; ok is false if it reads
// directly. For a given key, all owners read through the same node.
func (n *Node) readProxy(key string) (m member, ok bool) {
	if n.cfg.Limits.LinkMbps <= 0 || n.cfg.Limits.LinkMbps >= proxyBelowMbps {
		return m, false
	}
	best, ok := n.peers.bestCandidate(n.asCandidate(), key)
	return best.member, ok && best.owns == 0
}

// proxiedMachines lists the machines for the owner of a shard of a service.
type proxiedMachines struct {
	n       *Node
	service string
}

// Machines lists the machines.
func (r proxiedMachines) Machines(ctx context.Context) ([]cluster.Machine, error) {
	if m, ok := r.n.readProxy(r.service); ok {
		res, err := call[empty, machineList](ctx, r.n.peers, m.Address, pathMachines, empty{}, peerTimeout)
		if err == nil {
			return res.Machines, nil
		}
		r.n.probeFailedHelper(m.Name)
	}
	return r.n.Machines.Machines(ctx)
}

// proxiedStore is the store as owners use it: reads go through other nodes, a different one
// for each part, and writes go directly.
type proxiedStore struct {
	*watchedStore
	n *Node
}

// List reads rows.
func (s proxiedStore) List(ctx context.Context, req tables.ListRequest) (tables.ListResult, error) {
	return readThroughProxy(ctx, s, req.Table+"/"+req.Part+"/"+req.From, 0, req, tables.Service.List)
}

// Feed waits for changes of rows.
func (s proxiedStore) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	return readThroughProxy(ctx, s, req.Table, req.Wait, req, tables.Service.Feed)
}

// readThroughProxy reads through another node, or directly if that fails.
func readThroughProxy[Req, Res any](ctx context.Context, s proxiedStore, key string, wait time.Duration, req Req, read func(tables.Service, context.Context, Req) (Res, error)) (Res, error) {
	m, ok := s.n.readProxy(key)
	if !ok || s.down() {
		return read(s.watchedStore, ctx, req)
	}
	c, cancel := conns.WithStallTimeout(ctx, wait+proxyTimeout)
	defer cancel()
	res, err := read(peerRelay{s.n.peers, m.Address}, c, req)
	if err == nil || tables.IsFinal(err) || ctx.Err() != nil {
		return res, err
	}
	s.n.probeFailedHelper(m.Name)
	return read(s.watchedStore, ctx, req)
}
