// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/tables"
)

// An owner that is replaced because it is silent may be cut off, and may go on with the workers that
// it reaches until its ownership expires. The owner's row names such owners until the next one knows
// that they have ended, also over several takeovers, since each of them would have to be waited for.
// An owner that has ended grants no more leases, so the next one waits for the last of them only.

const (
	// unsettledRetention is how long earlier owners stay in a row: much longer than their
	// ownership.
	unsettledRetention = 3 * ownershipLease
	// settleInterval is the time between two pings of an earlier owner. Most of them answer again,
	// or have restarted, within seconds.
	settleInterval = 300 * time.Millisecond
)

// ownerLoss is why a shard's owner has to be replaced.
type ownerLoss struct {
	// cause is empty if the owner isn't lost.
	cause string
	// ended is set if the owner has certainly ended.
	ended bool
	// silentFor is how long the owner had not answered.
	silentFor time.Duration
}

// unsettledOwners returns the earlier owners of a shard that may not have ended when the given
// record is replaced.
func (n *Node) unsettledOwners(shard cluster.ShardID, rec ownerRecord, loss ownerLoss) []member {
	var list []member
	if age, known := n.ownerRowAge(shard); !known || age < unsettledRetention {
		list = slices.Clone(rec.Unsettled)
	}
	if rec.Owner.Name != "" && !loss.ended {
		list = append(list, rec.Owner)
	}
	return list
}

// ownerRowAge returns how long ago this node saw the present row of a shard's owner appear.
func (n *Node) ownerRowAge(shard cluster.ShardID) (age time.Duration, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changes := n.owners[shard].changes
	if len(changes) == 0 {
		return 0, false
	}
	return time.Since(changes[len(changes)-1]), true
}

// settleOwners tells the owner of a shard once all the given earlier ones have ended. It pings them
// only after the shard was loaded, since one that was just about to load it could do so after its
// answer otherwise.
func (n *Node) settleOwners(ctx context.Context, shard cluster.ShardID, o *owner.Owner, list []member) {
	for n.local(shard) == o && o.Age() < unsettledRetention && len(list) > 0 {
		tables.Sleep(ctx, settleInterval)
		if ctx.Err() != nil {
			return
		}
		if o.Loaded() {
			list = slices.DeleteFunc(list, func(m member) bool { return n.hasEnded(ctx, shard, m) })
		}
	}
	if len(list) == 0 && n.local(shard) == o {
		n.Log.Info("earlier owners have ended", events.EarlierOwnersEnded, zap.Stringer("shard", shard), zap.Duration("after", o.Age()))
		o.EarlierOwnersEnded()
	}
}

// hasEnded reports whether a node certainly doesn't run a shard any more: it says so itself, or another
// process answers at its address, or its row says that it has stopped. A connection that is refused says
// nothing, since the network may refuse it for a node that still reaches workers.
func (n *Node) hasEnded(ctx context.Context, shard cluster.ShardID, m member) bool {
	if m.Incarnation == n.me.Incarnation {
		return true
	}
	if m.Address == "" {
		return false
	}
	c, cancel := context.WithTimeout(ctx, watchPingTimeout)
	defer cancel()
	reply, err := n.peers.ping(c, m)
	if err != nil {
		return n.stopped.Contains(m.Incarnation)
	}
	return reply.Me.Incarnation != m.Incarnation || !slices.ContainsFunc(reply.Owns, func(s ownedShard) bool { return s.Shard == shard })
}
