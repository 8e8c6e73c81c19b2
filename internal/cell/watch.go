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

const (
	// watchInterval is how often a node looks after an owner; the first watchers successors
	// do it, and each further one less often than the one before it, so that looks grow
	// with the logarithm of the nodes. watchMost bounds the pause of the last ones: they
	// count if all before them are lost together with the owner.
	watchInterval    = 150 * time.Millisecond
	primaryWatchers  = 2
	maxWatchInterval = 3 * time.Second
	// firstWatchDelay is how long after it knows a shard a node first looks after its
	// owner: by then it knows the other nodes too, which come with the same list.
	firstWatchDelay = 20 * time.Millisecond
	// watchPingTimeout bounds one ping of an owner: nodes are a few milliseconds apart,
	// and one that has used up its processor quota answers within 0.1 s.
	watchPingTimeout = 200 * time.Millisecond
	// maxRefusedPings is how many refused connections show that its process is gone.
	maxRefusedPings = 2
)

// watchServices watches the ownership of each service of the configuration.
func (n *Node) watchServices(services []cluster.Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range services {
		if n.watched[s.Name] {
			continue
		}
		n.watched[s.Name] = true
		n.group.Go(func() error { n.watchShards(n.ctx, s.Name); return nil })
	}
}

// watchShards looks after the owners of a service's shards, once its layout is known:
// one loop for all, since a node that comes to the front, as those before it have taken
// other shards, must not wait a long pause out.
func (n *Node) watchShards(ctx context.Context, service string) {
	layout, ok := n.awaitLayout(ctx, service)
	if !ok {
		return
	}
	watches := make([]*ownerWatch, layout.Shards)
	for i, shard := range layout.IDs() {
		watches[i] = &ownerWatch{shard: shard}
	}
	for tables.Sleep(ctx, firstWatchDelay); ctx.Err() == nil; tables.Sleep(ctx, watchInterval) {
		for _, w := range watches {
			if n.startCheckIfDue(w, time.Now()) {
				n.group.Go(func() error { n.checkOwner(ctx, w); return nil })
			}
		}
	}
}

// ownerWatch is how a node looks after the owner of one shard.
type ownerWatch struct {
	shard   cluster.ShardID
	suspect suspicion

	mu sync.Mutex
	// checking is set while a look goes on, and looked is when the last one ended.
	checking  bool
	checkedAt time.Time
}

// startCheckIfDue reports whether it is time to look after an owner, and notes that a look begins.
func (n *Node) startCheckIfDue(w *ownerWatch, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.checking {
		return false
	}
	if now.Sub(w.checkedAt) < n.checkInterval(w) {
		return false
	}
	w.checking = true
	return true
}

// checkInterval returns the pause between two looks after an owner. The caller holds the
// watch's mu, and no look goes on.
func (n *Node) checkInterval(w *ownerWatch) time.Duration {
	if w.suspect.isOpen() || n.local(w.shard) != nil {
		return 0
	}
	after := n.rank(w.shard) - primaryWatchers
	if after < 0 {
		return 0
	}
	return min(time.Duration(after+1)*watchInterval, maxWatchInterval)
}

// endCheck notes that a look has endCheck.
func (w *ownerWatch) endCheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checking, w.checkedAt = false, time.Now()
}

// checkOwner takes a shard over when its owner is lost, and hands one that runs here
// to a node with much more room.
func (n *Node) checkOwner(ctx context.Context, w *ownerWatch) {
	defer w.endCheck()
	o := n.local(w.shard)
	switch {
	case n.Draining():
		w.suspect = suspicion{}
	case o != nil:
		w.suspect = suspicion{}
		n.moveToLargerNode(ctx, w.shard, o)
	default:
		n.takeIfLost(ctx, w.shard, &w.suspect)
	}
}

// takeIfLost looks after the owner of a shard once, and takes the shard if the owner
// is lost and no other node is before this one.
func (n *Node) takeIfLost(ctx context.Context, shard cluster.ShardID, suspect *suspicion) {
	rec, version := n.owner(shard)
	cause := n.ownerLossCause(ctx, shard, rec, suspect)
	if cause == "" || !n.claim(ctx, shard, version) {
		return
	}
	n.takeShard(ctx, shard, version, cause)
	n.releaseClaim(shard)
	*suspect = suspicion{}
}

// suspicion is the evidence against an owner.
type suspicion struct {
	incarnation string
	refused     int
	// silentSince is since when it has not answered, and isolatedSince since when no other
	// node answers here; zero: it has, and one does.
	silentSince, isolatedSince time.Time
}

// isOpen reports whether something speaks against the owner, so that it is looked after
// again soon.
func (s *suspicion) isOpen() bool {
	return s.refused > 0 || !s.isolatedSince.IsZero() || !s.silentSince.IsZero()
}

// ownerLossCause returns why the owner has to be replaced, or "".
func (n *Node) ownerLossCause(ctx context.Context, shard cluster.ShardID, rec ownerRecord, s *suspicion) string {
	if rec.Owner.Name == "" {
		return "no owner"
	}
	if rec.Owner.Name == n.me.Name {
		return "owner was an earlier life of this node"
	}
	if s.incarnation != rec.Owner.Incarnation {
		*s = suspicion{incarnation: rec.Owner.Incarnation}
	}
	c, cancel := context.WithTimeout(ctx, watchPingTimeout)
	reply, err := n.peers.ping(c, rec.Owner)
	cancel()
	if err == nil {
		s.refused, s.silentSince = 0, time.Time{}
		if reply.Me.Incarnation != rec.Owner.Incarnation {
			return "owner has started anew"
		}
		return ""
	}
	if isRefused(err) {
		if s.refused++; s.refused >= maxRefusedPings {
			return "owner refuses connections"
		}
		return ""
	}
	return n.silentOwnerLossCause(ctx, shard, rec.Owner, s)
}

// silentOwnerLossCause returns why an owner that didn't answer a ping has to be
// replaced, or "": others are asked about it first, and one that came lately has time.
func (n *Node) silentOwnerLossCause(ctx context.Context, shard cluster.ShardID, owner member, s *suspicion) string {
	if s.silentSince.IsZero() {
		s.silentSince = time.Now()
	}
	opinion := n.askWitnesses(ctx, owner)
	if opinion.reachedBy != "" {
		n.Log.Info("owner answers others", events.OwnerSuspected, zap.String("owner", owner.Name), zap.String("peer", opinion.reachedBy))
		s.isolatedSince, s.silentSince = time.Time{}, time.Time{}
		return ""
	}
	if !opinion.isolated {
		if time.Since(s.silentSince) < n.silencePatience(shard) {
			return ""
		}
		return "owner is silent"
	}
	if s.isolatedSince.IsZero() {
		s.isolatedSince = time.Now()
		n.Log.Info("no node answers here", events.OwnerSuspected, zap.String("owner", owner.Name))
	}
	if time.Since(s.isolatedSince) < isolationDelay {
		return ""
	}
	return "all other nodes are silent"
}

const (
	// ownerChangeWindow is for how long a change of a shard's owner counts, and changePatience
	// how much longer for each one, up to patienceMost, a silent owner is waited for. A
	// takeover reads all jobs and asks all workers, on top of the load that made the last
	// owner silent: without this an overloaded shard of 120 workers, on hosts with links
	// of 2 Mbit/s, changed its owner 44 times in 35 s and served nothing.
	ownerChangeWindow = 10 * time.Second
	patiencePerChange = 2 * time.Second
	maxPatience       = 4 * time.Second
)

// silencePatience returns how long a silent owner of a shard is waited for.
func (n *Node) silencePatience(shard cluster.ShardID) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, lately := time.Now(), 0
	for _, at := range n.owners[shard].changes {
		if now.Sub(at) < ownerChangeWindow {
			lately++
		}
	}
	return min(time.Duration(lately)*patiencePerChange, maxPatience)
}
