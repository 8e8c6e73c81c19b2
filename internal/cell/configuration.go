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

// The ways in which a configuration row arrives from the store.
const (
	fromFeed = "feed"
	fromList = "list"
)

// configFetchTimeout bounds the wait for the first bytes of a peer's configuration. Encoding
// and compressing one of 4,246 routes takes 5.5 ms of a whole core, 30 ms on a fifth of one.
// A node that has used up its CPU quota pauses for 0.1 s, and several nodes may fetch from it
// at once.
const configFetchTimeout = 600 * time.Millisecond

// newConfigFollower returns what follows the operators' table in the store.
func (n *Node) newConfigFollower() *tables.Follower {
	f := &tables.Follower{
		Service: directStore{n.store, n.relay}, Table: n.Configs.Table(), Parts: []string{""}, FeedWait: configFeedWait,
		OnError: n.logReadFailure(n.Configs.Table()),
	}
	f.OnCurrent = func() {
		n.configConfirmed.note()
		n.configRead.note()
		n.scaleConfigFeed(f)
	}
	f.Apply = func(rows []tables.Row, full bool) {
		n.applyEvacuationRows(rows, full, f.ListedVersion())
		for _, r := range rows {
			n.applyConfigRow(r, full)
		}
	}
	return f
}

// applyConfigRow applies a row of the operators' table; listed tells that it came from a list
// and not from the feed.
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

// applyConfig puts a configuration in force, unless a newer one already is. The size is only
// logged; 0 means that it isn't known.
func (n *Node) applyConfig(cfg cluster.Config, source string, size int) {
	cfg.IndexTeams()
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
	n.configChanges.notify()
	n.updateTeams()
	n.watchServices(cfg.Services)
}

// fetchNewerConfig fetches the configuration of a peer that reports a newer version, unless a
// fetch is already running. With one fetch for each ping, parallel fetches filled the link of
// a slow node and none of them completed.
func (n *Node) fetchNewerConfig(reply pingReply) {
	inForce := versionOf(n.Config())
	if reply.ConfigVersion <= inForce {
		if reply.ConfigVersion == inForce && reply.StoreGood {
			n.configConfirmed.note()
		}
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

// fetchConfig fetches and applies a peer's configuration.
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

// versionOf returns the version of a configuration, or 0 if there is none.
func versionOf(cfg *cluster.Config) int64 {
	if cfg == nil {
		return 0
	}
	return cfg.Version
}

// configLag records since when this node has known that its configuration is outdated.
type configLag struct {
	mu sync.Mutex
	// newest is the newest version that a peer reported. since is when this node first heard
	// of a version above the one in force.
	newest int64
	since  time.Time
}

// note records that a peer has a version above the one in force here.
func (l *configLag) note(version, inForce int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest <= inForce {
		l.since = time.Now()
	}
	l.newest = max(l.newest, version)
}

// known reports whether a peer has reported a version above the one in force here.
func (l *configLag) known(inForce int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest > inForce
}

// duration returns how long this node has known of a version above the one in force, or 0.
func (l *configLag) duration(inForce int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest <= inForce {
		return 0
	}
	return time.Since(l.since)
}
