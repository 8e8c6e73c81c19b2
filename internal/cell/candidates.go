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
	// hash is the hash of its name.
	hash uint64
	// owns is the number of shards that it owns.
	owns int
}

// cpuPerShard returns the CPU that the node would have for one more shard.
func (c candidate) cpuPerShard() float64 { return float64(c.CPUMilli) / float64(1+max(0, c.owns)) }

// compareForShard orders candidates for the shard whose name has the given hash: by the CPU
// that they have for one more shard, largest first, and then by rendezvous hash.
func (c candidate) compareForShard(shard uint64, o candidate) int {
	return cmp.Or(cmp.Compare(o.cpuPerShard(), c.cpuPerShard()), cmp.Compare(mixHashes(o.hash, shard), mixHashes(c.hash, shard)), strings.Compare(c.Name, o.Name))
}

// mixHashes combines two hashes into one. It has to be cheap: every node that watches a shard
// calls it for each other node.
func mixHashes(a, b uint64) uint64 {
	x := (a ^ b) * 0x9e3779b97f4a7c15
	return x ^ x>>32
}

// asCandidate returns this node as a candidate, counting the shards that it is about to take.
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

// rank returns this node's position among the candidates for a shard, not counting its owner. It
// counts the nodes ahead instead of sorting them, since each node computes its rank several times a
// second for each shard. A node that is late counts, so that a small node doesn't take a shard because
// the large ones are busy.
func (n *Node) rank(shard cluster.ShardID) int {
	self, hash, before := n.asCandidate(), xxhash.Sum64String(shard.String()), 0
	rec, _ := n.owner(shard)
	n.peers.eachPossibleCandidate(self, func(c candidate) {
		if c.Incarnation != rec.Owner.Incarnation && c.compareForShard(hash, self) < 0 {
			before++
		}
	})
	return before
}

// firstCandidate returns the first of all nodes in the order of candidates for a key, this one
// included; ok is false if there is no other node.
func (n *Node) firstCandidate(key string) (m member, ok bool) {
	self := n.asCandidate()
	best, ok := n.peers.bestCandidate(self, key)
	if ok && self.compareForShard(xxhash.Sum64String(key), best) < 0 {
		return self.member, true
	}
	return best.member, ok
}

// sortCandidates sorts nodes in the order in which they are candidates for a shard.
func sortCandidates(shard cluster.ShardID, nodes []candidate) []candidate {
	hash := xxhash.Sum64String(shard.String())
	slices.SortFunc(nodes, func(a, b candidate) int { return a.compareForShard(hash, b) })
	return nodes
}
