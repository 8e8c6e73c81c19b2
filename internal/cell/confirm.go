// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
)

// An owner learns from the store that it has been replaced. While the store doesn't answer it asks
// the other nodes, with its pings, for the latest owner of the shard that they know of. Any of them
// may be the next owner, so only the answers of all of them confirm the ownership. A node that has
// restarted doesn't know what it owned before, and gives no answer until it has read the owners'
// rows.

// ownerEpoch names an owner of a shard by its epoch.
type ownerEpoch struct {
	Shard cluster.ShardID `json:"shard"`
	Epoch int64           `json:"epoch"`
}

// Two rounds in which all nodes are asked out of turn are minConfirmationPause apart at least. Among
// many nodes the pause grows with their number, which bounds the calls that an owner makes.
const (
	minConfirmationPause     = 500 * time.Millisecond
	confirmationPausePerNode = 10 * time.Millisecond
	maxConfirmationPause     = 3 * time.Second
)

// ownerEpochs returns the epochs of the shards that this node owns.
func (n *Node) ownerEpochs() (list []ownerEpoch) {
	for shard, o := range n.ownedShards() {
		list = append(list, ownerEpoch{shard, o.Epoch()})
	}
	return list
}

// latestOwners returns the latest epochs that this node knows of the given shards.
func (n *Node) latestOwners(of []ownerEpoch) (list []ownerEpoch) {
	if !n.ownersRead.Load() {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range of {
		list = append(list, ownerEpoch{o.Shard, n.owners[o.Shard].Epoch})
	}
	return list
}

// recordOwners records a node's answers about the shards that this node owns, to a ping that was
// sent at the given time. knows is how many other nodes it knows: if it knows one that is unknown
// here, that one may be the next owner.
func (p *peers) recordOwners(from string, sent time.Time, answers []ownerEpoch, knows int) {
	for _, a := range answers {
		if o := p.n.local(a.Shard); o != nil && a.Epoch > o.Epoch() {
			o.EndOwnership(from + " knows a later owner")
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.byName[from]
	if q == nil || knows > len(p.sorted) {
		return
	}
	for _, a := range answers {
		if answered := q.owners[a.Shard]; !sent.Before(answered.at) {
			q.owners[a.Shard] = ownerAnswer{a.Epoch, sent}
		}
	}
}

// ownerAnswer is the latest epoch of a shard that a node knows, as of the time at which it was
// asked.
type ownerAnswer struct {
	epoch int64
	at    time.Time
}

// ownerConfirmer confirms ownerships by what the other nodes answer to pings.
type ownerConfirmer struct{ *peers }

var _ owner.Confirmer = ownerConfirmer{}

// ConfirmedAt returns a time at which no other node knew of a later owner, if all have answered.
func (c ownerConfirmer) ConfirmedAt(shard cluster.ShardID, epoch int64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sorted) == 0 && len(c.seeds()) > 0 {
		return time.Time{}
	}
	confirmedAt := time.Now()
	for _, q := range c.sorted {
		a := q.owners[shard]
		if a.epoch > epoch {
			return time.Time{}
		}
		if a.at.Before(confirmedAt) {
			confirmedAt = a.at
		}
	}
	return confirmedAt
}

// RequestConfirmation pings all other nodes, unless that was done recently.
func (c ownerConfirmer) RequestConfirmation() {
	c.mu.Lock()
	due := time.Since(c.confirmationAt) >= scaled(len(c.sorted), confirmationPausePerNode, minConfirmationPause, maxConfirmationPause)
	var list []member
	if due {
		c.confirmationAt = time.Now()
		for _, q := range c.sorted {
			list = append(list, q.member)
		}
	}
	c.mu.Unlock()
	c.pingAll(c.n.ctx, list)
}
