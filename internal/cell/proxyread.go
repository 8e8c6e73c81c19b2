// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

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
	// machineCacheTTL is how long a node answers other nodes with the same list of machines. It
	// grows by machineCachePerMachine for each machine, so that the pages that are read a second
	// don't grow with the machines.
	machineCacheTTL        = 200 * time.Millisecond
	machineCachePerMachine = 100 * time.Microsecond
)

// machineList is the reply to a node that reads the list of machines through this one.
type machineList struct {
	Machines []cluster.Machine `json:"machines"`
	// AgeMS is how long ago the list was requested.
	AgeMS int64 `json:"age_ms"`
}

// machineCache holds the last list of machines that this node read for others.
type machineCache struct {
	// reads lets concurrent calls share one list.
	reads singleflight.Group

	mu   sync.Mutex
	list []cluster.Machine
	// at is when the list was requested.
	at time.Time
}

// get returns the last list, and when it was requested.
func (c *machineCache) get() ([]cluster.Machine, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list, c.at
}

// set replaces the list.
func (c *machineCache) set(list []cluster.Machine, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list, c.at = list, at
}

// handleMachines lists the machines for another node.
func (n *Node) handleMachines(ctx context.Context, _ empty) (machineList, error) {
	c := &n.machineCache
	list, at := c.get()
	if time.Since(at) >= machineCacheTTL+time.Duration(len(list))*machineCachePerMachine {
		_, err, _ := c.reads.Do("", func() (any, error) {
			// The call serves all who wait for it, so it doesn't end with the first of them, but it
			// must end: its connection may have gone silent.
			bounded, cancel := conns.WithStallTimeout(context.WithoutCancel(ctx), machinesTimeout)
			defer cancel()
			began := time.Now()
			list, err := n.Machines.Machines(bounded)
			if err == nil {
				c.set(list, began)
			}
			return nil, err
		})
		if err != nil {
			return machineList{}, err
		}
		list, at = c.get()
	}
	return machineList{list, time.Since(at).Milliseconds()}, nil
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

// Machines lists the machines, through the same node as the owners of the service's other
// shards: a list of 6,000 machines has 30 pages, and the platform serves all nodes together 200
// a second.
func (r proxiedMachines) Machines(ctx context.Context) ([]cluster.Machine, time.Duration, error) {
	m, ok := r.n.readProxy(r.service)
	if layout, known := r.n.layout(r.service); !ok && known && layout.Shards > 1 {
		var best candidate
		best, ok = r.n.peers.bestCandidate(r.n.asCandidate(), r.service)
		m = best.member
	}
	if ok {
		began := time.Now()
		res, err := call[empty, machineList](ctx, r.n.peers, m.Address, pathMachines, empty{}, machinesTimeout)
		if err == nil {
			return res.Machines, time.Since(began) + time.Duration(res.AgeMS)*time.Millisecond, nil
		}
		r.n.probeFailedHelper(m.Name)
	}
	began := time.Now()
	list, err := r.n.Machines.Machines(ctx)
	return list, time.Since(began), err
}

// proxiedStore is the store as owners use it: reads go through other nodes, a different one
// for each part, and writes go directly.
type proxiedStore struct {
	*watchedStore
	n *Node
}

// ownerStore is the store of one shard's owner, to whom the directory has a way of its own.
type ownerStore struct {
	proxiedStore
	directory *shardDirectory
}

func (n *Node) newOwnerStore(shard cluster.ShardID) ownerStore {
	store := proxiedStore{n.store, n}
	return ownerStore{store, &shardDirectory{n: n, shard: shard, store: store}}
}

// List reads rows.
func (s ownerStore) List(ctx context.Context, req tables.ListRequest) (tables.ListResult, error) {
	if req.Table == s.n.Directory.Table() {
		return s.directory.List(ctx, req)
	}
	return s.proxiedStore.List(ctx, req)
}

// Feed waits for changes of rows.
func (s ownerStore) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	if req.Table == s.n.Directory.Table() {
		return s.directory.Feed(ctx, req)
	}
	return s.proxiedStore.Feed(ctx, req)
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
