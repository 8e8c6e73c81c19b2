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
	// watchEvery is how often a node looks after an owner; the first watchers successors
	// do it, and each further one less often than the one before it, so that looks grow
	// with the logarithm of the nodes. watchMost bounds the pause of the last ones: they
	// count if all before them are lost together with the owner.
	watchEvery = 150 * time.Millisecond
	watchers   = 2
	watchMost  = 3 * time.Second
	// watchFirst is how long after it knows a shard a node first looks after its
	// owner: by then it knows the other nodes too, which come with the same list.
	watchFirst = 20 * time.Millisecond
	// watchPing bounds one ping of an owner: nodes are a few milliseconds apart,
	// and one that has used up its processor quota answers within 0.1 s.
	watchPing = 200 * time.Millisecond
	// refusedPings is how many refused connections show that its process is gone.
	refusedPings = 2
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
	for tables.Sleep(ctx, watchFirst); ctx.Err() == nil; tables.Sleep(ctx, watchEvery) {
		for _, w := range watches {
			if n.isDue(w, time.Now()) {
				n.group.Go(func() error { n.watchOwner(ctx, w); return nil })
			}
		}
	}
}

// ownerWatch is how a node looks after the owner of one shard.
type ownerWatch struct {
	shard   cluster.ShardID
	suspect suspicion

	mu sync.Mutex
	// looking is set while a look goes on, and looked is when the last one ended.
	looking bool
	looked  time.Time
}

// isDue reports whether it is time to look after an owner, and notes that a look begins.
func (n *Node) isDue(w *ownerWatch, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.looking {
		return false
	}
	if now.Sub(w.looked) < n.lookPause(w) {
		return false
	}
	w.looking = true
	return true
}

// lookPause returns the pause between two looks after an owner. The caller holds the
// watch's mu, and no look goes on.
func (n *Node) lookPause(w *ownerWatch) time.Duration {
	if w.suspect.open() || n.local(w.shard) != nil {
		return 0
	}
	after := n.rank(w.shard) - watchers
	if after < 0 {
		return 0
	}
	return min(time.Duration(after+1)*watchEvery, watchMost)
}

// ended notes that a look has ended.
func (w *ownerWatch) ended() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looking, w.looked = false, time.Now()
}

// watchOwner takes a shard over when its owner is lost, and hands one that runs here
// to a node with much more room.
func (n *Node) watchOwner(ctx context.Context, w *ownerWatch) {
	defer w.ended()
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
	cause := n.ownerLost(ctx, shard, rec, suspect)
	if cause == "" || !n.claim(ctx, shard, version) {
		return
	}
	n.takeShard(ctx, shard, version, cause)
	n.releaseClaim(shard)
	*suspect = suspicion{}
}

// suspicion is the evidence against an owner.
type suspicion struct {
	life    string
	refused int
	// silentSince is since when it has not answered, and aloneSince since when no other
	// node answers here; zero: it has, and one does.
	silentSince, aloneSince time.Time
}

// open reports whether something speaks against the owner, so that it is looked after
// again soon.
func (s *suspicion) open() bool {
	return s.refused > 0 || !s.aloneSince.IsZero() || !s.silentSince.IsZero()
}

// ownerLost returns why the owner has to be replaced, or "".
func (n *Node) ownerLost(ctx context.Context, shard cluster.ShardID, rec ownerRecord, s *suspicion) string {
	if rec.Owner.Name == "" {
		return "no owner"
	}
	if rec.Owner.Name == n.me.Name {
		return "owner was an earlier life of this node"
	}
	if s.life != rec.Owner.Incarnation {
		*s = suspicion{life: rec.Owner.Incarnation}
	}
	c, cancel := context.WithTimeout(ctx, watchPing)
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
		if s.refused++; s.refused >= refusedPings {
			return "owner refuses connections"
		}
		return ""
	}
	return n.silentOwnerLost(ctx, shard, rec.Owner, s)
}

// silentOwnerLost returns why an owner that didn't answer a ping has to be
// replaced, or "": others are asked about it first, and one that came lately has time.
func (n *Node) silentOwnerLost(ctx context.Context, shard cluster.ShardID, owner member, s *suspicion) string {
	if s.silentSince.IsZero() {
		s.silentSince = time.Now()
	}
	opinion := n.askWitnesses(ctx, owner)
	if opinion.reachedBy != "" {
		n.Log.Info("owner answers others", events.OwnerSuspected, zap.String("owner", owner.Name), zap.String("peer", opinion.reachedBy))
		s.aloneSince, s.silentSince = time.Time{}, time.Time{}
		return ""
	}
	if !opinion.isolated {
		if time.Since(s.silentSince) < n.silentPatience(shard) {
			return ""
		}
		return "owner is silent"
	}
	if s.aloneSince.IsZero() {
		s.aloneSince = time.Now()
		n.Log.Info("no node answers here", events.OwnerSuspected, zap.String("owner", owner.Name))
	}
	if time.Since(s.aloneSince) < isolationDelay {
		return ""
	}
	return "all other nodes are silent"
}

const (
	// changesCount is for how long a change of a shard's owner counts, and changePatience
	// how much longer for each one, up to patienceMost, a silent owner is waited for. A
	// takeover reads all jobs and asks all workers, on top of the load that made the last
	// owner silent: without this an overloaded shard of 120 workers, on hosts with links
	// of 2 Mbit/s, changed its owner 44 times in 35 s and served nothing.
	changesCount   = 10 * time.Second
	changePatience = 2 * time.Second
	patienceMost   = 4 * time.Second
)

// silentPatience returns how long a silent owner of a shard is waited for.
func (n *Node) silentPatience(shard cluster.ShardID) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, lately := time.Now(), 0
	for _, at := range n.owners[shard].changes {
		if now.Sub(at) < changesCount {
			lately++
		}
	}
	return min(time.Duration(lately)*changePatience, patienceMost)
}
