// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"slices"
	"strings"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
)

// Advisers returns the nodes from which a shard's owner calls the advice service, in a stable
// order. The service handles one call of a node at a time. So the nodes are divided among the
// shards, by their position in the order of names, as long as there is at least one for each
// shard.
func (p *peers) Advisers(shard cluster.ShardID) []owner.Adviser {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []owner.Adviser{localAdviser{p.n}}
	now := time.Now()
	for _, q := range p.sorted {
		if p.isUp(q, now) && !q.reply.Draining {
			list = append(list, peerAdviser{p, q.member})
		}
	}
	layout, _ := p.n.layout(shard.Service)
	if layout.Shards <= 1 || len(list) < layout.Shards {
		return list
	}
	slices.SortFunc(list, func(a, b owner.Adviser) int { return strings.Compare(a.Name(), b.Name()) })
	var assigned []owner.Adviser
	for i, a := range list {
		if i%layout.Shards == shard.Index {
			assigned = append(assigned, a)
		}
	}
	return assigned
}

// localAdviser calls the advice service from this node.
type localAdviser struct{ n *Node }

// Name returns the node's name.
func (a localAdviser) Name() string { return a.n.me.Name }

// Advise calls the advice service from this node.
func (a localAdviser) Advise(ctx context.Context, step scheduler.StepID, workers []string) ([]cluster.Ticket, time.Duration, error) {
	return a.n.Advice.Advise(ctx, step, workers)
}

// peerAdviser calls the advice service from another node.
type peerAdviser struct {
	p *peers
	m member
}

// Name returns the peer's name.
func (a peerAdviser) Name() string { return a.m.Name }

// Advise calls the advice service from the peer.
func (a peerAdviser) Advise(ctx context.Context, step scheduler.StepID, workers []string) ([]cluster.Ticket, time.Duration, error) {
	reply, err := httpx.Call[adviseRequest, adviseReply](ctx, a.p.client, "http://"+a.m.Address+pathAdvise, adviseRequest{step, workers})
	return reply.Tickets, time.Duration(reply.ValidMS) * time.Millisecond, err
}
