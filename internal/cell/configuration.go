// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

// The ways in which a configuration is read from the store.
const (
	fromFeed = "feed"
	fromList = "list"
)

// configFetchTimeout is by when a peer's configuration has to begin to arrive. To encode and pack
// one of 4,246 routes takes 5.5 ms of a whole core, 30 ms on a fifth of one; a node that has
// used up its quota stands still for 0.1 s, and several may fetch from it at once.
const configFetchTimeout = 600 * time.Millisecond

// followConfig keeps the operators' configuration current.
func (n *Node) followConfig(ctx context.Context) {
	f := tables.Follower{
		Service: directStore{n.store, n.relay}, Table: n.Configs.Table(), Parts: []string{""}, FeedWait: configFeedWait,
		Apply: func(rows []tables.Row, whole bool) {
			for _, r := range rows {
				n.applyConfigRow(r, whole)
			}
		},
		OnError: n.logReadFailure(n.Configs.Table()),
	}
	f.Run(ctx)
}

// applyConfigRow takes in a row of the operators' table, from a list if listed is set.
func (n *Node) applyConfigRow(r tables.Row, listed bool) {
	if r.Deleted {
		return
	}
	cfg, ok, err := n.Configs.Decode(r)
	if err != nil {
		n.Log.Warn("configuration row skipped", events.RowSkipped, zap.String("key", r.Key), zap.Error(err))
		return
	}
	if !ok {
		return
	}
	from := fromFeed
	if listed {
		from = fromList
	}
	n.metrics.GetOrCreateCounter(`switchbank_config_bytes_total{from="` + from + `"}`).Add(len(r.Value))
	n.applyConfig(cfg, "store "+from, len(r.Value))
}

// applyConfig puts a configuration in force, unless a newer one is. Its size is 0 if
// that isn't known.
func (n *Node) applyConfig(cfg cluster.Config, source string, size int) {
	var behind time.Duration
	for {
		old := n.config.Load()
		if old != nil && old.Version >= cfg.Version {
			return
		}
		behind = n.configLag.duration(versionOf(old))
		if n.config.CompareAndSwap(old, &cfg) {
			break
		}
	}
	n.Log.Info("configuration in force", events.ConfigInForce, zap.Int64("version", cfg.Version), zap.String("source", source),
		zap.Int("queues", len(cfg.Queues)), zap.Int("services", len(cfg.Services)), zap.Int("bytes", size),
		zap.Duration("behind", behind))
	n.watchServices(cfg.Services)
}

// fetchNewerConfig fetches a newer configuration that a peer has, unless one is being
// fetched: side by side, and begun anew with each sign of life, fetches filled the
// link of a slow node and none ended.
func (n *Node) fetchNewerConfig(reply pingReply) {
	inForce := versionOf(n.Config())
	if reply.ConfigVersion <= inForce {
		return
	}
	n.configLag.note(reply.ConfigVersion, inForce)
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		n.fetchConfig(n.ctx, reply.Me)
	}()
}

// fetchConfig fetches a peer's configuration.
func (n *Node) fetchConfig(ctx context.Context, from member) {
	cfg, err := call[empty, cluster.Config](ctx, n.peers, from.Address, pathConfig, empty{}, configFetchTimeout)
	if err != nil {
		n.countFetch("failed")
		if ctx.Err() == nil {
			n.Log.Info("configuration not fetched", events.PeerLost, zap.String("peer", from.Name), zap.Error(err))
		}
		return
	}
	n.countFetch("read")
	n.applyConfig(cfg, from.Name, 0)
}

// countFetch counts a fetch of the configuration from a peer.
func (n *Node) countFetch(outcome string) {
	n.metrics.GetOrCreateCounter(`switchbank_config_fetches_total{outcome="` + outcome + `"}`).Inc()
}

// versionOf returns the version of a configuration; 0: there is none.
func versionOf(cfg *cluster.Config) int64 {
	if cfg == nil {
		return 0
	}
	return cfg.Version
}

// configLag notes since when a node has known that its configuration is not the newest.
type configLag struct {
	mu sync.Mutex
	// newest is the newest version that a peer has told of, and since is when the node
	// heard of a version above the one in force, which it had not been behind before.
	newest int64
	since  time.Time
}

// note notes that a peer has a version above the one in force here.
func (b *configLag) note(version, inForce int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.newest <= inForce {
		b.since = time.Now()
	}
	b.newest = max(b.newest, version)
}

// duration returns for how long the node has known of a version above the one in force,
// or 0.
func (b *configLag) duration(inForce int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.newest <= inForce {
		return 0
	}
	return time.Since(b.since)
}
