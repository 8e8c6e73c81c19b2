// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/recent"
)

const (
	// peerUpFor is how long a peer counts as up after an answer, in addition to the time that
	// a full round of pings takes.
	peerUpFor = 3 * time.Second
	// lateFor is how long a peer that has failed may be late only.
	lateFor         = 2 * time.Second
	peerDialTimeout = 250 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to a peer stays open: longer than the time
	// between two pings of a peer among 40 nodes. Among many more, nearly all nodes would have a
	// connection to each other, of some 20 kB at each end, for a ping in minutes.
	peerIdleTimeout = 15 * time.Second
	// idleConnsPerPeer allows for feeds and calls at the same time.
	idleConnsPerPeer = 8
)

// peers holds what this node knows of the other nodes.
type peers struct {
	n      *Node
	client *http.Client

	mu     sync.Mutex
	byName map[string]*peer
	// sorted holds the nodes of byName in the order of their names.
	sorted []*peer
	// pingCursor is the position of the next peer to ping, or to ask about an owner.
	pingCursor int
	// pinging holds the running pings of pingShared, by incarnation.
	pinging map[string]chan struct{}
	// confirmationAt is when all nodes were last asked to confirm this node's ownerships.
	confirmationAt time.Time
	// relayCursor rotates the order in which relays are tried.
	relayCursor int
}

// peer is another node and the state of the calls to it.
type peer struct {
	member
	// hash is the hash of its name.
	hash   uint64
	lastOK time.Time
	// failingSince is the time of the first failure since the last answer; zero if there was
	// none.
	failingSince time.Time
	// refused is set if the failures include a refused connection, so that nothing listens there.
	refused bool
	// lastRetry is when it was last pinged out of turn while failing, and retryInterval is
	// the time until the next such ping.
	lastRetry     time.Time
	retryInterval time.Duration
	// reply is its last reply to a ping, and replySentAt when that ping was sent.
	reply       pingReply
	replySentAt time.Time
	// answerTime is how long it takes to answer pings.
	answerTime recent.Max
	// owners are its last answers about the shards that this node owns.
	owners map[cluster.ShardID]ownerAnswer
	// refusedSent is the last change of this node's record of refused jobs that the node was
	// told of, and refusedReceived the last one of its own that it told this node.
	refusedSent, refusedReceived int64
}

// untried reports whether no call to the node has succeeded or failed yet. The caller holds
// the mu of the peers.
func (q *peer) untried() bool { return q.lastOK.IsZero() && q.failingSince.IsZero() }

func newPeers(n *Node) *peers {
	t := conns.New(conns.Network{Dial: n.Dial, Log: n.Log, Compressed: true, Usage: n.Usage}, idleConnsPerPeer, peerIdleTimeout)
	return &peers{n: n, client: &http.Client{Transport: t}, byName: make(map[string]*peer), pinging: make(map[string]chan struct{})}
}

// addMember adds a node that another source has named, or updates it if it has restarted.
func (p *peers) addMember(m member) {
	if m.Name == "" || m.Name == p.n.me.Name || m.Address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byName[m.Name]
	if old == nil {
		q := &peer{member: m, hash: xxhash.Sum64String(m.Name), owners: make(map[cluster.ShardID]ownerAnswer)}
		p.byName[m.Name] = q
		at, _ := slices.BinarySearchFunc(p.sorted, m.Name, func(q *peer, name string) int { return strings.Compare(q.Name, name) })
		p.sorted = slices.Insert(p.sorted, at, q)
		return
	}
	if old.Incarnation != m.Incarnation {
		old.member, old.failingSince = m, time.Time{}
		old.refusedSent, old.refusedReceived, old.refused = 0, 0, false
		old.replySentAt, old.answerTime = time.Time{}, recent.Max{}
	}
}

// isUp reports whether a peer answered recently and no call to it has failed since. The
// caller holds mu.
func (p *peers) isUp(q *peer, now time.Time) bool {
	return now.Sub(q.lastOK) < peerUpFor+p.roundTime() && q.failingSince.IsZero()
}

// roundTime returns the time that a full round of pings takes. The caller holds mu.
func (p *peers) roundTime() time.Duration {
	return time.Duration(len(p.byName)/peersPerRound) * pingInterval
}

// mayBeUp reports whether a peer is up, or has failed so recently that it may only be late. The caller
// holds mu.
func (p *peers) mayBeUp(q *peer, now time.Time) bool {
	return p.isUp(q, now) || (!q.refused && !q.lastOK.IsZero() && now.Sub(q.failingSince) < lateFor)
}

// countUp returns how many peers are up.
func (p *peers) countUp() (up int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, q := range p.byName {
		if p.isUp(q, now) {
			up++
		}
	}
	return up
}

// candidates returns the other nodes that may own shards.
func (p *peers) candidates() []candidate {
	var list []candidate
	p.eachCandidate(p.n.asCandidate(), func(c candidate) { list = append(list, c) })
	return list
}

// recordContact records a call from a node. One that hasn't been tried yet counts as up,
// which saves half of the pings when all nodes start.
func (p *peers) recordContact(m member) {
	p.addMember(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.byName[m.Name]; q != nil && q.Incarnation == m.Incarnation && q.untried() {
		q.lastOK = time.Now()
	}
}

// eachCandidate calls fn for the other nodes that may own shards and are up. fn must not call peers.
func (p *peers) eachCandidate(self candidate, fn func(c candidate)) {
	p.eachCandidateThat(p.isUp, self, fn)
}

// eachPossibleCandidate is eachCandidate including the nodes that may be up.
func (p *peers) eachPossibleCandidate(self candidate, fn func(c candidate)) {
	p.eachCandidateThat(p.mayBeUp, self, fn)
}

func (p *peers) eachCandidateThat(counts func(q *peer, now time.Time) bool, self candidate, fn func(c candidate)) {
	owned := p.n.shardCounts()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, q := range p.sorted {
		// After a start the other nodes are known from the store before they are pinged,
		// usually by earlier incarnations: the shards of those don't count.
		c := candidate{member: q.member, hash: q.hash}
		if !q.lastOK.IsZero() {
			c.owns = owned[q.Incarnation]
		}
		// Include untried nodes with more CPU, so that a node doesn't take all shards before
		// they can.
		larger := q.untried() && c.cpuPerShard() > self.cpuPerShard()
		if (larger || counts(q, now)) && !q.reply.Draining {
			fn(c)
		}
	}
}

// bestCandidate returns the first of the other nodes in the order of candidates for a key,
// such as a shard's name; ok is false if there is none.
func (p *peers) bestCandidate(self candidate, key string) (best candidate, ok bool) {
	return firstCandidate(key, func(fn func(c candidate)) { p.eachCandidate(self, fn) })
}

// firstCandidate returns the first of the candidates that each passes to its argument, in their order
// for a key; ok is false if there is none.
func firstCandidate(key string, each func(fn func(c candidate))) (first candidate, ok bool) {
	hash := xxhash.Sum64String(key)
	each(func(c candidate) {
		if !ok || c.compareForShard(hash, first) < 0 {
			first, ok = c, true
		}
	})
	return first, ok
}

// witnesses returns a few peers to ask about a node: the one that watches it most, and some that are
// up, other ones each time. others tells whether any other node is known at all.
func (p *peers) witnesses(about, watcher string) (asked []member, others bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.sorted
	if q := p.byName[watcher]; q != nil {
		asked = append(asked, q.member)
	}
	p.pingCursor++
	for i := range list {
		q := list[(p.pingCursor+i)%len(list)]
		if q.Name == about {
			continue
		}
		others = true
		if q.Name == watcher {
			continue
		}
		if p.isUp(q, time.Now()) && len(asked) < maxWitnesses {
			asked = append(asked, q.member)
		}
	}
	return asked, others
}

// membersFor returns a few nodes that are up, for a node that knows fewer nodes than this
// one. Nodes that reach the store find all of them there.
func (p *peers) membersFor(req pingRequest) []member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if req.Knows >= len(p.sorted) {
		return nil
	}
	var list []member
	now := time.Now()
	for i := range p.sorted {
		// The offset gives each sender other nodes, and all of them after some rounds.
		q := p.sorted[(req.Knows+i)%len(p.sorted)]
		if p.isUp(q, now) && len(list) < maxMembersInReply {
			list = append(list, q.member)
		}
	}
	return list
}

// cpuCapacities returns the CPU, in thousandths of a core, of the other nodes that have
// reported it.
func (p *peers) cpuCapacities() (list []int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.sorted {
		if q.CPUMilli > 0 {
			list = append(list, q.CPUMilli)
		}
	}
	return list
}

// count returns how many other nodes are known.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sorted)
}

// load returns the load that a shard's owner reported last; ok is false if it is unknown or
// too old.
func (p *peers) load(owner string, shard cluster.ShardID) (load float64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.byName[owner]
	if q == nil || time.Since(q.lastOK) > loadMaxAge || !q.failingSince.IsZero() {
		return 0, false
	}
	for _, s := range q.reply.Owns {
		if s.Shard == shard {
			return s.Load, true
		}
	}
	return 0, false
}

// anyUp reports whether any peer answers.
func (p *peers) anyUp() bool { return p.countUp() > 0 }

// get returns a copy of what is known of a node.
func (p *peers) get(name string) (peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.byName[name]
	if q == nil {
		return peer{}, false
	}
	return *q, true
}

// answerTime returns the longest time that a node recently took to answer a ping; 0: it is unknown.
func (p *peers) answerTime(m member) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.byName[m.Name]
	if q == nil || q.Incarnation != m.Incarnation {
		return 0
	}
	return q.answerTime.Value(time.Now())
}

// answeredSince reports whether that incarnation of a node has answered since a time.
func (p *peers) answeredSince(m member, since time.Time) bool {
	q, ok := p.get(m.Name)
	return ok && q.Incarnation == m.Incarnation && q.lastOK.After(since)
}

// anyAnsweredSince reports whether any other node has answered since a time.
func (p *peers) anyAnsweredSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.sorted, func(q *peer) bool { return q.lastOK.After(since) })
}

// heardAgo returns how long ago a node last answered, a millisecond at least; 0: it never did.
func (p *peers) heardAgo(name string) time.Duration {
	q, ok := p.get(name)
	if !ok || q.lastOK.IsZero() {
		return 0
	}
	return max(time.Since(q.lastOK), time.Millisecond)
}

// isDown reports whether a node has failed to answer and has not answered since.
func (p *peers) isDown(name string) bool {
	q, ok := p.get(name)
	return ok && !q.failingSince.IsZero()
}

// call sends a request to a peer, whose answer has to begin to arrive within begin.
func call[Req, Resp any](ctx context.Context, p *peers, address, path string, req Req, begin time.Duration) (Resp, error) {
	c, cancel := conns.WithStallTimeout(ctx, begin)
	defer cancel()
	return httpx.Call[Req, Resp](c, p.client, "http://"+address+path, req)
}
