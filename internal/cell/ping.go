// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// pingInterval is the time between two rounds of pings, and peersPerRound how many peers
	// a round reaches, so that the cost doesn't grow with the cell.
	pingInterval  = 700 * time.Millisecond
	peersPerRound = 3
	// duePingInterval is the time between checks for nodes to ping out of turn, and
	// maxDuePings how many of them are pinged at once. New nodes are pinged soon because a
	// new owner calls the advice service from all nodes that it knows to be up, and all of
	// them may have started just now.
	duePingInterval = 100 * time.Millisecond
	maxDuePings     = 64
	// minRetryInterval is the time until a failed node is pinged again; the time doubles with
	// each failure up to maxRetryInterval. The failure may lie with this node, which would
	// otherwise take the other one for down until its turn in the rounds. Retries never end,
	// since two nodes that were cut off from each other for long have no other way to
	// reconnect. A node that is gone for good costs one call a minute.
	minRetryInterval = 500 * time.Millisecond
	maxRetryInterval = time.Minute
	// lateAnswerTime is how long a late reply is waited for: it is a sign of life until then.
	lateAnswerTime = 4 * time.Second
	// forgetAfter is how long a peer may fail before it is left out of the rounds.
	forgetAfter = 20 * time.Second
)

// pingLoop pings the other nodes, a few in each round.
func (p *peers) pingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		p.pingAll(ctx, p.nextRound())
		for end := time.Now().Add(pingInterval); time.Now().Before(end) && ctx.Err() == nil; {
			tables.Sleep(ctx, duePingInterval)
			p.pingAll(ctx, p.duePeers())
		}
	}
}

// pingAll pings nodes without waiting for the answers; ping records the outcome and logs
// failures.
func (p *peers) pingAll(ctx context.Context, list []member) {
	for _, m := range list {
		go func() { _, _ = p.ping(ctx, m) }()
	}
}

// duePeers returns the nodes to ping out of turn: those that haven't been tried, and failed
// ones whose retry is due.
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

// startRetry reports whether a failed node is due for another ping, and if so schedules the
// next one. The caller holds the mu of the peers.
func (q *peer) startRetry(now time.Time) bool {
	if q.failingSince.IsZero() || now.Sub(q.lastRetry) < q.retryInterval {
		return false
	}
	q.lastRetry, q.retryInterval = now, min(2*q.retryInterval, maxRetryInterval)
	return true
}

// nextRound returns the next peers to ping, in turn, or the seeds if no peer is known.
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

// seeds returns the configured seed addresses, except this node's.
func (p *peers) seeds() []string {
	var list []string
	for _, s := range p.n.cfg.Seeds {
		if s != p.n.me.Address {
			list = append(list, s)
		}
	}
	return list
}

// ping pings a node and returns its reply if that comes in time. A late reply is recorded too: it
// shows that the node is slow, and not dead.
func (p *peers) ping(ctx context.Context, m member) (pingReply, error) {
	type result struct {
		reply pingReply
		err   error
	}
	answered := make(chan result, 1)
	go func() {
		reply, err := p.sendPing(m)
		answered <- result{reply, err}
	}()
	timeout := time.NewTimer(peerTimeout)
	defer timeout.Stop()
	select {
	case r := <-answered:
		return r.reply, r.err
	case <-timeout.C:
	case <-ctx.Done():
	}
	return pingReply{}, errLate
}

// sendPing pings a node, and records that it doesn't answer as soon as its reply is late, and the
// reply when it comes.
func (p *peers) sendPing(m member) (pingReply, error) {
	req := pingRequest{From: p.n.me, Knows: p.count(), PartsAway: p.n.store.parts.countAway(), Owns: p.n.ownerEpochs()}
	known, _ := p.get(m.Name)
	refusedSent := p.n.sendRefused(&req, known)
	sent := time.Now()
	ctx, cancel := conns.WithLateResponse(p.n.ctx, peerTimeout, lateAnswerTime, func() { p.recordFailure(m, sent, errLate) })
	defer cancel()
	reply, err := httpx.Call[pingRequest, pingReply](ctx, p.client, "http://"+m.Address+pathPing, req)
	if err != nil {
		p.recordFailure(m, sent, err)
		return reply, err
	}
	p.addMember(reply.Me)
	p.n.admitter.memory.Learn(reply.Me.Name, reply.Refused, p.n.admitter.now())
	reply.Refused = nil
	for _, o := range reply.Members {
		p.addIfUnknown(o)
	}
	p.recordReply(reply, sent, refusedSent)
	p.recordOwners(reply.Me.Name, sent, reply.Owners, reply.Knows)
	if reply.PartsAway > 0 {
		p.n.store.parts.suspect()
	}
	p.n.receiveForecasts(reply)
	p.n.learnEvacuations(reply.Evacuations, reply.Me.Name)
	p.n.fetchNewerConfig(reply)
	return reply, nil
}

// errLate is the cause of a failure while the reply may still come.
var errLate = &Error{"ping", KindNoAnswer, errors.New("the reply is late")}

// recordReply records a node's reply to a ping that was sent at the given time. Of replies that come
// out of order the latest one counts, but each is a sign of life.
func (p *peers) recordReply(reply pingReply, sent time.Time, refusedSent int64) {
	now := time.Now()
	p.mu.Lock()
	q := p.byName[reply.Me.Name]
	if q == nil || q.Incarnation != reply.Me.Incarnation {
		p.mu.Unlock()
		return
	}
	wasDown := !q.failingSince.IsZero()
	q.lastOK, q.failingSince, q.refused = now, time.Time{}, false
	if !p.n.ownDelay.lastLate().After(sent) {
		q.answerTime.Observe(now, now.Sub(sent))
	}
	if !sent.Before(q.replySentAt) {
		q.refusedSent, q.refusedReceived = refusedSent, reply.RefusedLast
		q.reply, q.replySentAt = reply, sent
	}
	p.mu.Unlock()
	if wasDown {
		p.n.Log.Info("peer answers again", events.PeerRecovered, zap.String("peer", reply.Me.Name), zap.Duration("answered_after", now.Sub(sent)))
	}
}

// sendRefused adds to a ping the refused jobs that the peer may not know.
func (n *Node) sendRefused(req *pingRequest, to peer) (sent int64) {
	req.RefusedAfter = to.refusedReceived
	req.Refused, sent = n.admitter.memory.News(to.refusedSent, to.Name, n.admitter.now())
	return sent
}

// addIfUnknown adds a node that a peer has named. A known one isn't updated, since the peer's
// information may be older.
func (p *peers) addIfUnknown(m member) {
	p.mu.Lock()
	_, known := p.byName[m.Name]
	p.mu.Unlock()
	if !known {
		p.addMember(m)
	}
}

// recordFailure records that a call to a node, sent at the given time, has failed or is late, and
// logs the first failure. It counts for nothing if the node has answered another call since.
func (p *peers) recordFailure(m member, sent time.Time, err error) {
	p.mu.Lock()
	q := p.byName[m.Name]
	var first bool
	if q != nil && q.Incarnation == m.Incarnation && !q.lastOK.After(sent) {
		q.refused = q.refused || isRefused(err)
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

// isRefused reports whether the connection was refused: nothing listens at the address.
func isRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !op.Timeout() && !errors.Is(err, context.Canceled)
}
