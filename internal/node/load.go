// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/lease"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/requests"
)

const (
	// summaryIntervals is for how many exchange intervals a peer's summary is used if no
	// newer one arrives.
	summaryIntervals = 4
	// maxConcurrentExchanges bounds the peers that are called concurrently.
	maxConcurrentExchanges = 16
	// minRefreshInterval is the minimum time between two exchanges triggered by requests.
	minRefreshInterval = 100 * time.Millisecond
)

// cellLoad holds what this node knows of the load of all nodes. Every node asks the
// others for their summaries at a regular interval.
type cellLoad struct {
	n *Node
	// refreshSem lets only one request at a time trigger an exchange.
	refreshSem  chan struct{}
	lastRefresh time.Time

	mu    sync.Mutex
	peers map[string]*peerState
	// exchangedOnce is set once an exchange has ended while the lease was held.
	exchangedOnce bool
}

// peerState is the latest summary of a peer.
type peerState struct {
	node       lease.Node
	summary    peer.Summary
	receivedAt time.Time
}

func newCellLoad(n *Node) *cellLoad {
	return &cellLoad{n: n, refreshSem: make(chan struct{}, 1), peers: make(map[string]*peerState)}
}

func (l *cellLoad) run(ctx context.Context) error {
	t := time.NewTicker(l.n.cfg.Requests.LoadInterval)
	defer t.Stop()
	for {
		l.exchange(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// RefreshLoads asks the peers for their summaries now, unless the last refresh is
// more recent than minRefreshInterval.
func (l *cellLoad) RefreshLoads(ctx context.Context) {
	select {
	case l.refreshSem <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-l.refreshSem }()
	if time.Since(l.lastRefresh) < minRefreshInterval {
		return
	}
	l.exchange(ctx)
	l.lastRefresh = time.Now()
}

// exchange asks every known peer for its summary, and drops expired summaries.
func (l *cellLoad) exchange(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentExchanges)
	for _, node := range l.n.lease.OtherNodes() {
		g.Go(func() error {
			l.fetchSummary(ctx, node)
			return nil
		})
	}
	_ = g.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchangedOnce = l.exchangedOnce || l.n.lease.Held()
	for id, p := range l.peers {
		if time.Since(p.receivedAt) > l.summaryLifetime() {
			delete(l.peers, id)
		}
	}
}

func (l *cellLoad) summaryLifetime() time.Duration {
	return summaryIntervals * l.n.cfg.Requests.LoadInterval
}

func (l *cellLoad) fetchSummary(ctx context.Context, node lease.Node) {
	ctx, cancel := context.WithTimeout(ctx, l.n.cfg.Requests.LoadInterval)
	defer cancel()
	sentAt := time.Now()
	sum, err := httpx.Call[httpx.Empty, peer.Summary](ctx, l.n.peerHTTP, "http://"+node.PeerAddress+peer.PathSummary, httpx.Empty{})
	if err != nil || sum.Node != node.ID {
		return
	}
	l.mu.Lock()
	l.peers[node.ID] = &peerState{node, sum, time.Now()}
	l.mu.Unlock()
	l.n.follower.observePeer(node.PeerAddress, sum.BundleVersion, sum.Confirmed, sentAt)
}

// hasExchanged reports whether the node has completed an exchange while it held its
// lease.
func (l *cellLoad) hasExchanged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exchangedOnce
}

// ownSummary returns this node's summary.
func (l *cellLoad) ownSummary() peer.Summary {
	pools, teams := l.n.pools.Summaries()
	head, _ := l.n.follower.state()
	return peer.Summary{
		Node: l.n.cfg.Node, BundleVersion: head.Version, Confirmed: l.n.follower.confirmsPeers(), Pools: pools, Teams: teams, Services: l.n.balancer.ServiceSummaries(),
	}
}

// eachSummary calls fn for the summary of every node, starting with this one's.
func (l *cellLoad) eachSummary(fn func(peer.Summary)) {
	fn(l.ownSummary())
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		fn(p.summary)
	}
}

// Pools returns the summaries of all worker shards of the cell.
func (l *cellLoad) Pools() []peer.PoolSummary {
	var pools []peer.PoolSummary
	l.eachSummary(func(s peer.Summary) { pools = append(pools, s.Pools...) })
	return pools
}

// Teams returns the usage of each team on each node.
func (l *cellLoad) Teams() []peer.TeamUsage {
	var teams []peer.TeamUsage
	l.eachSummary(func(s peer.Summary) { teams = append(teams, s.Teams...) })
	return teams
}

// ServiceLoads returns the load of a service on each peer that owns instances of it.
func (l *cellLoad) ServiceLoads(name string) []requests.PeerLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var loads []requests.PeerLoad
	for id, p := range l.peers {
		for _, s := range p.summary.Services {
			if s.Service == name {
				loads = append(loads, requests.PeerLoad{Node: id, Free: s.Free, Queued: s.Queued, Instances: s.Instances})
			}
		}
	}
	return loads
}

// Forward sends a request to a peer. It counts one slot less as free until the peer's
// next summary, so that not all requests go to the same peer.
func (l *cellLoad) Forward(ctx context.Context, node string, r requests.Request) (requests.Result, error) {
	l.mu.Lock()
	p, ok := l.peers[node]
	if !ok {
		l.mu.Unlock()
		return requests.Result{}, requests.NotSent(errors.Errorf("node %s is gone", node))
	}
	for i := range p.summary.Services {
		if s := &p.summary.Services[i]; s.Service == r.Service {
			s.Free = max(0, s.Free-1)
		}
	}
	address := p.node.PeerAddress
	l.mu.Unlock()
	res, err := l.n.forward(ctx, address, r)
	if requests.IsNotSent(err) {
		l.dropPeer(node)
	}
	return res, err
}

// dropPeer drops the summary of an unreachable peer, until it answers again.
func (l *cellLoad) dropPeer(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, node)
}
