// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/tables"
)

// handOverAll asks other nodes to take what this one owns, before it stops.
func (n *Node) handOverAll() {
	n.mu.Lock()
	owned := maps.Clone(n.owned)
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, handOverTotalTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for shard, o := range owned {
		wg.Go(func() {
			if !n.handOverShard(ctx, shard, o) {
				n.releaseShard(ctx, shard)
			}
		})
	}
	wg.Wait()
}

// handOverTotalTimeout bounds all hand-overs together: the grace period is for callers too.
const handOverTotalTimeout = 2 * time.Second

// handOverShard hands a shard to the first successor that takes it, and reports whether one did.
func (n *Node) handOverShard(ctx context.Context, shard cluster.ShardID, o *owner.Owner) bool {
	for _, c := range successors(shard, n.peers.candidates()) {
		if n.handOverTo(ctx, shard, o, c.member) {
			return true
		}
	}
	return false
}

// handOverTo asks one node to take a shard, which goes on here until it has.
func (n *Node) handOverTo(ctx context.Context, shard cluster.ShardID, o *owner.Owner, to member) bool {
	_, version := n.owner(shard)
	_, err := call[takeRequest, empty](ctx, n.peers, to.Address, pathTake, takeRequest{shard, version}, handOverCallTimeout)
	if err != nil {
		n.Log.Warn("shard not handed over", events.PeerLost, zap.Stringer("shard", shard), zap.String("to", to.Name), zap.Error(err))
		return false
	}
	n.Log.Info("shard handed over", events.OwnershipEnded, zap.Stringer("shard", shard), zap.String("to", to.Name))
	o.EndOwnership("handed over to " + to.Name)
	return true
}

const (
	// minRoomRatio is how many times the processor that this node has for a shard
	// another one must have for the shard to move there: a move costs a takeover.
	minRoomRatio = 2.0
	// minOwnershipAge is how long a shard stays where it was taken: nodes that start
	// together don't know each other at first.
	minOwnershipAge = 3 * time.Second
)

// moveToLargerNode hands a shard over to a node with much more processor for it, such
// as a large one that comes back after its loss.
func (n *Node) moveToLargerNode(ctx context.Context, shard cluster.ShardID, o *owner.Owner) {
	if o.Age() < minOwnershipAge || n.store.failing() || !n.relay.DirectAvailable() {
		return
	}
	here := n.asCandidate()
	here.owns--
	best, ok := n.peers.bestCandidate(here, shard.String())
	if ok && best.cpuPerShard() >= minRoomRatio*here.cpuPerShard() {
		n.handOverTo(ctx, shard, o, best.member)
	}
}

// handOverCallTimeout bounds one hand-over, which is one write of the store: it takes 0.8 to
// 1.0 s while the store is 60 to 100 times slower.
const handOverCallTimeout = 1500 * time.Millisecond

// releaseShard leaves the shard without an owner, for whichever node comes first.
func (n *Node) releaseShard(ctx context.Context, shard cluster.ShardID) {
	rec, version := n.owner(shard)
	seen, row := replaceOwnerRow(shard, version, ownerRecord{Epoch: rec.Epoch})
	if _, err := n.store.Commit(ctx, tables.Txn{If: []tables.Row{seen}, Put: []tables.Row{row}}); err != nil {
		n.Log.Warn("shard not released", events.StoreFailed, zap.Stringer("shard", shard), zap.Error(err))
	}
}
