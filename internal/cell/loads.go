// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// A shard's load is asked of its owner when a job is to be placed, by the node that
// places it. When each node asked each owner twice a second in advance, that alone was
// 2,450 calls a second on 147 nodes with ten shards, for 56 jobs a second.

const (
	// loadFreshFor is for how long a load that an owner has told is good enough to choose
	// by: a shard fills up or empties within some seconds.
	loadFreshFor = 300 * time.Millisecond
	// loadTimeout is how long a job waits for the answer. An owner that doesn't tell in
	// that time is busy: one that has used up its processor quota stands still for 0.1 s.
	loadTimeout = 60 * time.Millisecond
	// loadMaxAge is how old a load may be that is used all the same.
	loadMaxAge = 2 * time.Second
	// assumedLoad is assumed of a shard whose owner doesn't answer: it may be
	// without one for a second.
	assumedLoad = 2.0
)

// refreshLoads asks the owners of shards for their loads, but for those that are known well
// enough, and waits a little for the answers.
func (n *Node) refreshLoads(ctx context.Context, shards []cluster.ShardID) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var asked []<-chan struct{}
	for _, shard := range shards {
		rec, _ := n.owner(shard)
		if n.local(shard) != nil || rec.Owner.Name == "" || n.peers.answeredWithin(rec.Owner, loadFreshFor) {
			continue
		}
		asked = append(asked, n.peers.pingShared(n.ctx, rec.Owner))
	}
	for _, answered := range asked {
		select {
		case <-answered:
		case <-ctx.Done():
			return
		}
	}
}

// answeredWithin reports whether that life of a node answered so lately.
func (p *peers) answeredWithin(m member, d time.Duration) bool {
	q, ok := p.get(m.Name)
	return ok && q.Incarnation == m.Incarnation && time.Since(q.lastOK) < d
}

// pingShared pings a node, once for all that pingShared at the same time; the channel is closed when
// it has answered or failed to.
func (p *peers) pingShared(ctx context.Context, m member) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open := p.pinging[m.Incarnation]; open != nil {
		return open
	}
	answered := make(chan struct{})
	p.pinging[m.Incarnation] = answered
	go func() {
		// ping notes and logs what comes of it.
		_, _ = p.ping(ctx, m)
		p.mu.Lock()
		delete(p.pinging, m.Incarnation)
		p.mu.Unlock()
		close(answered)
	}()
	return answered
}

// shardLoad returns a shard's load as its owner told it last.
func (n *Node) shardLoad(shard cluster.ShardID) float64 {
	if o := n.local(shard); o != nil {
		return o.Load()
	}
	rec, _ := n.owner(shard)
	if load, ok := n.peers.load(rec.Owner.Name, shard); ok {
		return load
	}
	return assumedLoad
}
