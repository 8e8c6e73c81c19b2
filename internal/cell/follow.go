// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

// storeSeen is the table service as this node reaches it, with a note of each answer.
type storeSeen struct {
	n *Node
	tables.Service
}

func (s storeSeen) seen(err error) {
	if err != nil && tables.KindOf(err) != tables.KindHistoryGone {
		return
	}
	now := time.Now()
	before := s.n.storeSeen.Swap(now.UnixNano())
	if away := now.Sub(time.Unix(0, before)); before > 0 && away > storeDownAfter {
		s.n.Log.Info("store answers again", events.StoreBack, zap.Duration("away", away))
	}
}

// Commit commits txn.
func (s storeSeen) Commit(ctx context.Context, txn tables.Txn) (tables.TxnResult, error) {
	res, err := s.Service.Commit(ctx, txn)
	s.seen(err)
	return res, err
}

// List reads rows.
func (s storeSeen) List(ctx context.Context, req tables.ListRequest) (tables.ListResult, error) {
	res, err := s.Service.List(ctx, req)
	s.seen(err)
	return res, err
}

// Feed waits for changes.
func (s storeSeen) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	res, err := s.Service.Feed(ctx, req)
	s.seen(err)
	return res, err
}

// storeDown reports whether the store has answered by no way for a while.
func (n *Node) storeDown() bool {
	return time.Since(time.Unix(0, n.storeSeen.Load())) > storeDownAfter
}

// storeDownAfter is longer than the follower's calls of one second and their
// retry, of which one in any two seconds is answered while the store is well.
const storeDownAfter = 2200 * time.Millisecond

func (n *Node) storeFailed(table string) func(error) {
	return func(err error) {
		n.Log.Info("table not read", events.StoreFailed, zap.String("table", table), zap.Error(err))
	}
}

// followConfig keeps the operators' configuration current.
func (n *Node) followConfig(ctx context.Context) {
	f := tables.Follower{
		Service: storeSeen{n, n.relay}, Table: n.Configs.Table(), Parts: []string{""}, Silence: time.Second,
		Apply: func(rows []tables.Row, _ bool) {
			for _, r := range rows {
				n.applyConfigRow(r)
			}
		},
		Failed: n.storeFailed(n.Configs.Table()),
	}
	f.Run(ctx)
}

func (n *Node) applyConfigRow(r tables.Row) {
	if r.Gone {
		return
	}
	cfg, ok, err := n.Configs.Decode(r)
	if err != nil {
		n.Log.Warn("configuration row skipped", events.RowSkipped, zap.String("key", r.Key), zap.Error(err))
		return
	}
	if ok {
		n.applyConfig(cfg, "store")
	}
}

// applyConfig puts a configuration in force, unless a newer one is.
func (n *Node) applyConfig(cfg cluster.Config, source string) {
	for {
		old := n.config.Load()
		if old != nil && old.Version >= cfg.Version {
			return
		}
		if n.config.CompareAndSwap(old, &cfg) {
			break
		}
	}
	n.Log.Info("configuration in force", events.ConfigInForce, zap.Int64("version", cfg.Version), zap.String("source", source),
		zap.Int("queues", len(cfg.Queues)), zap.Int("services", len(cfg.Services)))
	var services []string
	for _, s := range cfg.Services {
		services = append(services, s.Name)
	}
	n.watchServices(services)
}

// configSeen fetches a newer configuration that a peer has.
func (n *Node) configSeen(ctx context.Context, reply pingReply) {
	old := n.Config()
	if reply.ConfigVersion == 0 || (old != nil && old.Version >= reply.ConfigVersion) {
		return
	}
	cfg, err := call[done, cluster.Config](ctx, n.peers, reply.Me.Address, pathConfig, done{}, askPeer)
	if err != nil {
		n.Log.Info("configuration not fetched", events.PeerLost, zap.String("peer", reply.Me.Name), zap.Error(err))
		return
	}
	n.applyConfig(cfg, reply.Me.Name)
}
