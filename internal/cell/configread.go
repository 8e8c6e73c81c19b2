// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/httpx"
)

// Among many nodes only some follow the configuration in the store, and each of the others asks
// one of these. A configuration has some 350 bytes a route in the store, and 17 compressed
// between nodes.

const (
	// minNodesForReaders is the number of other nodes from which a node may ask a reader, and
	// configReaders is how many nodes are readers then.
	minNodesForReaders = 100
	configReaders      = 32
	// directConfigTime is how long a node follows the store at least after its start, and after its
	// reader did not answer.
	directConfigTime = 5 * time.Second
	// maxReaderAge is the age from which a reader's knowledge is too old to be handed on.
	maxReaderAge = maxConfigFeedWait + time.Second
)

// configFeedRequest asks for a newer configuration, or newer orders to evacuate a data centre.
type configFeedRequest struct {
	Version     int64 `json:"version"`
	Evacuations int64 `json:"evacuations,omitempty"`
	WaitMS      int64 `json:"wait_ms"`
}

// configFeedReply holds the configuration if it is newer, and all orders.
type configFeedReply struct {
	// AgeMS is how long ago the reader last read the store.
	AgeMS       int64                     `json:"age_ms"`
	Config      *cluster.Config           `json:"config,omitempty"`
	Evacuations []cluster.EvacuationOrder `json:"evacuations,omitempty"`
}

// notifier tells waiting calls of a change.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// changed returns a channel that is closed with the next change.
func (c *notifier) changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ch == nil {
		c.ch = make(chan struct{})
	}
	return c.ch
}

// notify closes the channel.
func (c *notifier) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ch != nil {
		close(c.ch)
		c.ch = nil
	}
}

// handleConfigFeed answers once there is something newer than the caller knows, or the time to
// wait is over. A node that doesn't follow the store itself refuses: two that asked each other
// would confirm an old version to each other.
func (n *Node) handleConfigFeed(ctx context.Context, req configFeedRequest) (configFeedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond)
	defer cancel()
	for {
		changed := n.configChanges.changed()
		age := n.configRead.age()
		if n.Draining() || age > maxReaderAge {
			return configFeedReply{}, httpx.NewProblem(http.StatusServiceUnavailable, "not_current", "this node does not know the newest configuration")
		}
		reply := configFeedReply{AgeMS: age.Milliseconds(), Evacuations: n.evacuations.orders()}
		if cfg := n.Config(); versionOf(cfg) > req.Version {
			reply.Config = cfg
		}
		if reply.Config != nil || cluster.NewestOrder(reply.Evacuations) > req.Evacuations {
			return reply, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			reply.AgeMS = n.configRead.age().Milliseconds()
			return reply, nil
		}
	}
}

// followConfig follows the operators' configuration and evacuations, in the store or through
// another node.
func (n *Node) followConfig(ctx context.Context) {
	f := n.newConfigFollower()
	var since time.Time
	f.Until = func() bool {
		_, ok := n.configReader()
		return ok && time.Since(since) >= directConfigTime
	}
	for ctx.Err() == nil {
		since = time.Now()
		f.Run(ctx)
		for ctx.Err() == nil {
			reader, ok := n.configReader()
			if !ok || !n.askConfigReader(ctx, reader) {
				break
			}
		}
	}
}

// configReader returns the node that this one asks; ok is false if it follows the store itself.
func (n *Node) configReader() (m member, ok bool) {
	if n.Config() == nil || n.peers.count() < minNodesForReaders {
		return m, false
	}
	readers := n.firstCandidates(n.Configs.Table(), configReaders)
	if slices.ContainsFunc(readers, func(c candidate) bool { return c.Name == n.me.Name }) {
		return m, false
	}
	return readers[xxhash.Sum64String(n.me.Name)%uint64(len(readers))].member, true
}

// firstCandidates returns the first of all nodes in the order of candidates for a key, without
// regard to the shards that they own: those come and go.
func (n *Node) firstCandidates(key string, count int) []candidate {
	hash := xxhash.Sum64String(key)
	list := append(n.peers.candidates(), n.asCandidate())
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.CPUMilli, a.CPUMilli), cmp.Compare(mixHashes(b.hash, hash), mixHashes(a.hash, hash)), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(count, len(list))]
}

// askConfigReader makes one call, and reports whether the reader has answered.
func (n *Node) askConfigReader(ctx context.Context, reader member) bool {
	req := configFeedRequest{Version: versionOf(n.Config()), Evacuations: cluster.NewestOrder(n.evacuations.orders()), WaitMS: maxConfigFeedWait.Milliseconds()}
	c, cancel := conns.WithStallTimeout(ctx, maxConfigFeedWait+configFetchTimeout)
	defer cancel()
	reply, err := httpx.Call[configFeedRequest, configFeedReply](c, n.peers.client, "http://"+reader.Address+pathConfigFeed, req)
	if err != nil {
		if ctx.Err() == nil {
			n.Log.Info("node follows the configuration itself", events.ConfigDirect, zap.String("reader", reader.Name), zap.Error(err))
			n.probeFailedHelper(reader.Name)
		}
		return false
	}
	n.learnEvacuations(reply.Evacuations, reader.Name)
	if reply.Config != nil {
		n.applyConfig(*reply.Config, reader.Name, 0)
	}
	n.configConfirmed.noteAt(time.Now().Add(-time.Duration(reply.AgeMS) * time.Millisecond))
	return true
}
