// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// pingInterval is the pause between two rounds of pings, and pingAtOnce how many
	// peers a round reaches, so that the cost does not grow with the cell.
	pingInterval  = 700 * time.Millisecond
	peersPerRound = 3
	// duePingInterval is the pause while there are nodes that have not been pinged yet, and
	// pingUntried how many of them a round reaches: a new owner calls the advice service
	// from all nodes that it knows to be up, and all may have started just now.
	duePingInterval = 100 * time.Millisecond
	maxDuePings     = 64
	// minRetryInterval is how soon a node that failed to answer is pinged again, and then after
	// twice that, and so on up to retryMost: that it did not answer may tell of this node,
	// which would else take it for down until its turn comes in the rounds. It goes on for
	// good: two nodes that were cut off from each other for long have no other way back.
	// Nodes that are gone for good cost one call a minute each.
	minRetryInterval = 500 * time.Millisecond
	maxRetryInterval = time.Minute
	// forgetAfter is when a peer that never answers is left out of the rounds.
	forgetAfter = 20 * time.Second
)

// pingLoop keeps in touch with the other nodes, a few in each round.
func (p *peers) pingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		p.pingAll(ctx, p.nextRound())
		for end := time.Now().Add(pingInterval); time.Now().Before(end) && ctx.Err() == nil; {
			tables.Sleep(ctx, duePingInterval)
			p.pingAll(ctx, p.duePeers())
		}
	}
}

// pingAll pings nodes without waiting for them: ping notes and logs what comes of it.
func (p *peers) pingAll(ctx context.Context, list []member) {
	for _, m := range list {
		go func() { _, _ = p.ping(ctx, m) }()
	}
}

// duePeers returns nodes that are pinged out of turn: those that have neither answered nor
// failed to, and those that failed a short while ago.
func (p *peers) duePeers() []member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var list []member
	for _, q := range p.sorted {
		if len(list) == maxDuePings {
			break
		}
		if q.untried() || q.startRetry(now) {
			list = append(list, q.member)
		}
	}
	return list
}

// startRetry reports whether it is time to ping a node again that failed to answer, and
// notes that this is done. The caller holds the mu of the peers.
func (q *peer) startRetry(now time.Time) bool {
	if q.failingSince.IsZero() || now.Sub(q.lastRetry) < q.retryInterval {
		return false
	}
	q.lastRetry, q.retryInterval = now, min(2*q.retryInterval, maxRetryInterval)
	return true
}

// nextRound returns the next peers to ping, in turn; the seeds while no peer is known.
func (p *peers) nextRound() []member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var round []member
	list := p.sorted
	now := time.Now()
	for range list {
		q := list[p.pingCursor%len(list)]
		p.pingCursor++
		if !q.failingSince.IsZero() && now.Sub(q.failingSince) > forgetAfter {
			continue
		}
		if round = append(round, q.member); len(round) == peersPerRound {
			break
		}
	}
	if len(list) == 0 {
		for _, s := range p.seeds() {
			round = append(round, member{Address: s})
		}
	}
	return round
}

// seeds returns the addresses of the configured first nodes, but for this one's.
func (p *peers) seeds() []string {
	var list []string
	for _, s := range p.n.cfg.Seeds {
		if s != p.n.me.Address {
			list = append(list, s)
		}
	}
	return list
}

// ping asks a node for a sign of life and notes what it says.
func (p *peers) ping(ctx context.Context, m member) (pingReply, error) {
	reply, err := call[pingRequest, pingReply](ctx, p, m.Address, pathPing, pingRequest{From: p.n.me, Knows: p.count()}, peerTimeout)
	if err != nil {
		p.recordFailure(m, err)
		return reply, err
	}
	p.addMember(reply.Me)
	for _, o := range reply.Members {
		p.addIfUnknown(o)
	}
	p.mu.Lock()
	q := p.list[reply.Me.Name]
	var wasDown bool
	if q != nil {
		wasDown = !q.failingSince.IsZero()
		q.lastOK, q.failingSince, q.reply = time.Now(), time.Time{}, reply
	}
	p.mu.Unlock()
	if wasDown {
		p.n.Log.Info("peer answers again", events.PeerRecovered, zap.String("peer", reply.Me.Name))
	}
	p.n.fetchNewerConfig(reply)
	return reply, nil
}

// addIfUnknown notes a node that a peer has named, unless it is known already:
// what peers repeat may be older than what is known here.
func (p *peers) addIfUnknown(m member) {
	p.mu.Lock()
	_, known := p.list[m.Name]
	p.mu.Unlock()
	if !known {
		p.addMember(m)
	}
}

// recordFailure notes that a call of a node recordFailure, and logs the first failure.
func (p *peers) recordFailure(m member, err error) {
	p.mu.Lock()
	q := p.list[m.Name]
	var first bool
	if q != nil && q.Incarnation == m.Incarnation {
		if first = q.failingSince.IsZero(); first {
			q.failingSince = time.Now()
			q.lastRetry, q.retryInterval = q.failingSince, minRetryInterval
		}
	}
	p.mu.Unlock()
	if first && p.n.ctx.Err() == nil {
		p.n.Log.Info("peer does not answer", events.PeerLost, zap.String("peer", m.Name), zap.Error(err))
	}
}

// isRefused reports whether nothing listens at the other end.
func isRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !op.Timeout() && !errors.Is(err, context.Canceled)
}
