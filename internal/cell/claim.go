// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// rankDelay is the time between the claims of two successive candidates, so that they
	// don't all write at once.
	rankDelay = 120 * time.Millisecond
	// rankPollInterval is how often a waiting candidate computes its rank again. The rank
	// changes when a candidate ahead of it takes another shard, or when this node loses one
	// that it wanted.
	rankPollInterval = rankDelay / 4
)

// claim waits until it is this node's turn to take a shard, and returns false if another node
// took it first. Claimed shards count in the rank like owned ones. So when several shards
// lose their owner at once, this node takes one and leaves the others to nodes with more CPU
// for each shard.
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

// tryClaim claims a shard if this node has waited as long as its rank requires.
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

// releaseClaim ends a claim, whether or not the shard was taken.
func (n *Node) releaseClaim(shard cluster.ShardID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.claimed, shard)
}
