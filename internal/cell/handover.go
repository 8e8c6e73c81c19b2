// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/tables"
)

// handOverAll hands all shards of this node over to other nodes before it stops, and releases
// those that no node takes.
func (n *Node) handOverAll() {
	ctx, cancel := context.WithTimeout(n.ctx, handOverTotalTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for shard, o := range n.ownedShards() {
		wg.Go(func() {
			if !n.handOverShard(ctx, shard, o) {
				n.releaseShard(ctx, shard, o)
			}
		})
	}
	wg.Wait()
}

// handOverTotalTimeout bounds all hand-overs together: callers' requests have to be completed
// within the same grace period.
const handOverTotalTimeout = 2 * time.Second

// handOverShard hands a shard over to the first candidate that takes it, and reports whether
// one did.
func (n *Node) handOverShard(ctx context.Context, shard cluster.ShardID, o *owner.Owner) bool {
	for _, c := range sortCandidates(shard, n.peers.candidates()) {
		if n.handOverTo(ctx, shard, o, c.member) {
			return true
		}
	}
	return false
}

// handOverTo asks one node to take a shard. The shard keeps running here until that node has
// taken it.
func (n *Node) handOverTo(ctx context.Context, shard cluster.ShardID, o *owner.Owner, to member) bool {
	_, version := n.owner(shard)
	_, err := call[takeRequest, empty](ctx, n.peers, to.Address, pathTake, takeRequest{shard, version}, handOverCallTimeout)
	if err != nil {
		n.Log.Warn("failed to hand over shard", events.PeerLost, zap.Stringer("shard", shard), zap.String("to", to.Name), zap.Error(err))
		return false
	}
	n.Log.Info("shard handed over", events.OwnershipEnded, zap.Stringer("shard", shard), zap.String("to", to.Name))
	o.EndOwnership("handed over to " + to.Name)
	return true
}

const (
	// minCPURatio is the minimum ratio of another node's CPU for the shard to this node's
	// before the shard moves there: each move costs a takeover.
	minCPURatio = 2.0
	// minOwnershipAge is how long a shard stays with the node that took it: nodes that start
	// together don't know each other at first.
	minOwnershipAge = 3 * time.Second
)

// moveToLargerNode hands a shard over to a node with much more CPU for it, such as a large
// node that is back after a failure.
func (n *Node) moveToLargerNode(ctx context.Context, shard cluster.ShardID, o *owner.Owner) {
	if o.Age() < minOwnershipAge || n.store.failing() || !n.relay.DirectAvailable() {
		return
	}
	self := n.asCandidate()
	self.owns--
	best, ok := n.peers.bestCandidate(self, shard.String())
	if ok && best.cpuPerShard() >= minCPURatio*self.cpuPerShard() {
		n.handOverTo(ctx, shard, o, best.member)
	}
}

// handOverCallTimeout bounds one hand-over, which is one write to the store: 0.8 to 1.0 s
// while the store is 60 to 100 times slower.
const handOverCallTimeout = 1500 * time.Millisecond

// releaseShard leaves a shard that this node owns without an owner, so that any node may take it. The
// owner ends once that is done; until the next one knows, it counts as one that may go on.
func (n *Node) releaseShard(ctx context.Context, shard cluster.ShardID, o *owner.Owner) {
	rec, version := n.owner(shard)
	if rec.Owner.Incarnation != n.me.Incarnation {
		return // A node has taken it although the call that handed it over failed.
	}
	released := ownerRecord{Epoch: rec.Epoch, Unsettled: append(slices.Clone(rec.Unsettled), n.me)}
	condition, row := replaceOwnerRow(shard, version, released)
	res, err := n.store.Commit(ctx, tables.Txn{If: []tables.Row{condition}, Put: []tables.Row{row}})
	switch {
	case err != nil:
		n.Log.Warn("failed to release shard", events.StoreFailed, zap.Stringer("shard", shard), zap.Error(err))
	case res.Committed:
		o.EndOwnership("the node stops")
	}
}

// endOwnerships ends the ownerships that are left when the node stops.
func (n *Node) endOwnerships() {
	for _, o := range n.ownedShards() {
		o.EndOwnership("the node stops")
	}
}

const (
	// stoppedSize is how many nodes that have stopped are remembered.
	stoppedSize = 1000
	// stopTimeout bounds the time in which a node that stops says so, which is part of its grace period.
	stopTimeout = 500 * time.Millisecond
	// stopPollInterval is the time between two looks at whether the ownerships have ended.
	stopPollInterval = 5 * time.Millisecond
)

// announceStop writes in the node's row that its ownerships have ended, for the next owners of its
// shards, which may not reach it before it is gone. Nothing is written while an ownership goes on, or
// if another node of the name has written the row.
func (n *Node) announceStop(ctx context.Context) {
	n.mu.Lock()
	hasOwned := len(n.lastEpochs) > 0
	n.mu.Unlock()
	version := n.rowVersion.Load()
	if !hasOwned || version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for len(n.ownedShards()) > 0 {
		if tables.Sleep(ctx, stopPollInterval); ctx.Err() != nil {
			return
		}
	}
	me := n.me
	me.Stopped = true
	row := nodeRow(me)
	condition := row
	condition.Version = version
	if _, err := n.store.Commit(ctx, tables.Txn{If: []tables.Row{condition}, Put: []tables.Row{row}}); err != nil {
		n.Log.Info("failed to announce the stop", events.StoreFailed, zap.Error(err))
	}
}
