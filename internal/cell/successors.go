// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"switchbank.example/switchbank/internal/cluster"
)

// candidate is a node that may own a shard.
type candidate struct {
	member
	// hash is that of its name.
	hash uint64
	// owns is how many shards it owns already.
	owns int
}

// cpuPerShard returns the processor that the node would have for one more shard.
func (c candidate) cpuPerShard() float64 { return float64(c.CPUMilli) / float64(1+max(0, c.owns)) }

// compareForShard orders nodes as successors of the owner of a shard, whose name has that
// hash: those with more processor for one more shard first, and those that have the
// same by rendezvous hash.
func (c candidate) compareForShard(shard uint64, o candidate) int {
	return cmp.Or(cmp.Compare(o.cpuPerShard(), c.cpuPerShard()), cmp.Compare(mixHashes(o.hash, shard), mixHashes(c.hash, shard)), strings.Compare(c.Name, o.Name))
}

// mixHashes joins two hashes to one. It is called for each node by each node that looks
// after a shard, so that it has to be cheap.
func mixHashes(a, b uint64) uint64 {
	x := (a ^ b) * 0x9e3779b97f4a7c15
	return x ^ x>>32
}

// asCandidate returns this node as one that may own a shard, with those that it is
// taking.
func (n *Node) asCandidate() candidate {
	n.mu.Lock()
	defer n.mu.Unlock()
	owns := len(n.owned)
	for shard := range n.claimed {
		if n.owned[shard] == nil {
			owns++
		}
	}
	return candidate{n.me, xxhash.Sum64String(n.me.Name), owns}
}

// rank returns this node's place among the successors of a shard's owner. It counts
// those before it: each node asks for its rank several times a second and shard.
func (n *Node) rank(shard cluster.ShardID) int {
	here, hash, before := n.asCandidate(), xxhash.Sum64String(shard.String()), 0
	n.peers.eachCandidate(here, func(c candidate) {
		if c.compareForShard(hash, here) < 0 {
			before++
		}
	})
	return before
}

// successors sorts nodes in the order in which they should own a shard.
func successors(shard cluster.ShardID, nodes []candidate) []candidate {
	hash := xxhash.Sum64String(shard.String())
	slices.SortFunc(nodes, func(a, b candidate) int { return a.compareForShard(hash, b) })
	return nodes
}
