// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// rankDelay keeps the successors from trying all at once.
	rankDelay = 120 * time.Millisecond
	// rankPollInterval is how often a waiting successor looks at its rank: it rises when one
	// before it takes another shard, or when the node itself loses one that it wanted.
	rankPollInterval = rankDelay / 4
)

// claim waits until it is this node's turn to take a shard; false: another node was
// first. A shard that this node is taking already counts, so that of several shards
// without an owner it takes one and leaves the others to nodes with more room.
func (n *Node) claim(ctx context.Context, shard cluster.ShardID, version int64) bool {
	for waited := time.Duration(0); ; waited += rankPollInterval {
		if _, current := n.owner(shard); current != version || n.Draining() || ctx.Err() != nil {
			return false
		}
		if n.tryClaim(shard, waited) {
			return true
		}
		tables.Sleep(ctx, rankPollInterval)
	}
}

// tryClaim claims a shard if this node has waited for as long as its rank demands.
func (n *Node) tryClaim(shard cluster.ShardID, waited time.Duration) bool {
	n.claiming.Lock()
	defer n.claiming.Unlock()
	if time.Duration(n.rank(shard))*rankDelay > waited {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claimed[shard] = true
	return true
}

// releaseClaim ends a claim, whether the shard was taken or not.
func (n *Node) releaseClaim(shard cluster.ShardID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.claimed, shard)
}
