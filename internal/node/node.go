// SPDX-License-Identifier: Apache-2.0

// Package node puts the parts of a switchbank node together: its three
// listeners, its lease, its shards, the journal, the pools and the requests.
//
// # Usage
//
//	n, err := node.New(cfg, node.Deps{Platform: client, Callers: l1, Peers: l2, Operators: l3, Log: log})
//	err = n.Run(ctx) // a planned stop begins when ctx ends
package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/config"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/jobs"
	"switchbank.example/switchbank/internal/journal"
	"switchbank.example/switchbank/internal/lease"
	"switchbank.example/switchbank/internal/platform"
	"switchbank.example/switchbank/internal/policy"
	"switchbank.example/switchbank/internal/pool"
	"switchbank.example/switchbank/internal/requests"
	"switchbank.example/switchbank/internal/shard"
	"switchbank.example/switchbank/internal/worker"
)

// maxForwardedIDs is how many ids of requests that were handed over are kept.
const maxForwardedIDs = 1 << 14

// Platform is what a node uses of the platform.
type Platform interface {
	Commit(ctx context.Context, t platform.Txn) (platform.TxnResult, error)
	Get(ctx context.Context, table, key string) (platform.Row, error)
	List(ctx context.Context, table, prefix string) ([]platform.Row, error)
	PutObject(ctx context.Context, key string, data []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
	Hosts(ctx context.Context, dataCentre string) ([]platform.Host, error)
}

// Guards are safeguards that a test can switch off, to show that it would see
// their absence. All are on in a node that serves.
type Guards struct {
	// NoEpochs lets a shard's new owner keep the old epoch.
	NoEpochs bool
	// NoLeaseCheck takes the lease for held whatever the clock says.
	NoLeaseCheck bool
	// SkipConditions writes the journal without its conditions.
	SkipConditions bool
	// StartBeforeJournal starts tasks before their place is journalled.
	StartBeforeJournal bool
	// SkipKeyJournal runs keyed requests without journalling them.
	SkipKeyJournal bool
	// AllowOvercommit leaves the slots of instances uncounted.
	AllowOvercommit bool
	// SkipRequestIDCheck passes on answers without comparing their request id.
	SkipRequestIDCheck bool
	// AssumeNotRun says of a call that broke off that it did not run.
	AssumeNotRun bool
	// IgnoreLeaving goes on using workers that leave.
	IgnoreLeaving bool
	// ServeStaleBundle serves without having heard of the bundle in force lately.
	ServeStaleBundle bool
	// NoDrain drops what is in flight at a planned stop.
	NoDrain bool
}

// Deps are the dependencies of a Node.
type Deps struct {
	// Platform is the way to the platform; nil means HTTP to the URL of the settings.
	Platform  Platform
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
	// Dial opens connections to peers, workers and instances; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Wrap goes around the transport of each of the node's HTTP clients; nil
	// means nothing.
	Wrap   func(http.RoundTripper) http.RoundTripper
	Log    *zap.Logger
	Guards Guards
}

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindListen is a listener that ended by itself.
	KindListen Kind = "listen"
	// KindLease is a lease that another process has taken.
	KindLease Kind = "lease"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("node: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Node is a switchbank node.
type Node struct {
	cfg     config.Config
	deps    Deps
	log     *zap.Logger
	metrics *metrics.Set

	lease     *lease.Lease
	shards    *shard.Manager
	journal   *journal.Committer
	pools     *pool.Set
	jobs      *jobs.Set
	balancer  *requests.Balancer
	entry     *requests.Entry
	bundles   *bundle.Store
	follower  *follower
	load      *cellLoad
	peerHTTP  *http.Client
	clients   []*http.Client
	shardKeys []shard.Key

	draining atomic.Bool
	drain    chan struct{}
	inFlight chan struct{}
	// forwardedIDs holds the ids of the requests that peers forwardedIDs over last.
	forwardedIDs *lru.Cache[string, struct{}]
	counters     counters
	runCtx       context.Context
	stopRun      context.CancelFunc
}

// New returns a node that does not run yet.
func New(cfg config.Config, deps Deps) *Node {
	n := &Node{
		cfg: cfg, deps: deps, metrics: metrics.NewSet(),
		log:      deps.Log.With(zap.String("node", cfg.Node)),
		drain:    make(chan struct{}, 1),
		inFlight: make(chan struct{}, cfg.Limits.InFlight),
	}
	// The size is a constant above 0, so that this can't fail.
	n.forwardedIDs, _ = lru.New[string, struct{}](maxForwardedIDs)
	n.runCtx, n.stopRun = context.WithCancel(context.Background())
	n.peerHTTP = n.newClient("peers", peerConns)
	if deps.Platform == nil {
		n.deps.Platform = platform.NewClient(cfg.Platform.URL, n.newClient("platform", platformConns), cfg.Platform.Timeout)
	}
	n.follower = newFollower(n)
	n.load = newCellLoad(n)
	n.newStores()
	n.newShards()
	n.newRequests()
	n.counters = newCounters(n)
	return n
}

func (n *Node) newStores() {
	cfg, p := n.cfg, n.deps.Platform
	n.lease = lease.New(p, lease.Node{
		ID: cfg.Node, DataCentre: cfg.DataCentre,
		PeerAddress:     cfg.PeerAddress(n.deps.Peers.Addr().String()),
		OperatorAddress: cfg.OperatorAddress(n.deps.Operators.Addr().String()),
	}, lease.Options{
		TTL: cfg.Lease.TTL, Margin: cfg.Lease.Margin, Every: cfg.Lease.Every, NoCheck: n.deps.Guards.NoLeaseCheck,
	}, n.log)
	n.journal = journal.New(p, p, journal.Options{
		MinWriteInterval: cfg.Journal.Spacing, DownAfter: cfg.Journal.DownAfter, SkipConditions: n.deps.Guards.SkipConditions,
	}, n.log)
	n.bundles = bundle.NewStore(p, p, cfg.Review)
}

func (n *Node) newShards() {
	cfg := n.cfg
	n.balancer = requests.NewBalancer(n.bundle)
	if n.deps.Guards.AllowOvercommit {
		n.balancer.AllowOvercommit()
	}
	n.pools = pool.NewSet(n.runCtx, cfg.DataCentres, pool.Deps{
		Hosts:     n.deps.Platform,
		Workers:   worker.NewClient(n.newClient("workers", workerConns), cfg.Tasks.Lease/3),
		Events:    eventSink{n},
		Instances: n.balancer,
		Weights:   func() policy.Weights { return n.bundle().Weights() },
	}, pool.Options{
		Lease: cfg.Tasks.Lease, Margin: cfg.Tasks.Margin, Grace: cfg.Tasks.Grace,
		Reservation: cfg.Tasks.Reservation, HostInterval: cfg.Tasks.Hosts, SetAside: cfg.Tasks.SetAside,
		IgnoreLeaving: n.deps.Guards.IgnoreLeaving,
	}, n.log)
	n.jobs = jobs.NewSet(jobs.Deps{Journal: n.journal, Pools: poolRouter{n}, Load: n.load, Bundle: n.bundle}, jobs.Options{
		RoundInterval: cfg.Tasks.Every, VerifyInterval: cfg.Tasks.Ask, Retention: cfg.Tasks.Retention,
		KeyWindow: cfg.Requests.KeyWindow, KeyMargin: cfg.Requests.KeyMargin, KeyAnswerBytes: cfg.Requests.KeyAnswerBytes,
		MaxKeys: cfg.Limits.Keys, MaxJobs: cfg.Limits.Workloads,
		SnapshotEvery: cfg.Journal.SnapshotEvery, WorkerShards: workerShards(cfg), StartBeforeJournal: n.deps.Guards.StartBeforeJournal,
	}, n.log)
	n.shardKeys = shard.Layout(cfg.JobShards, cfg.DataCentres)
	handlers := map[shard.Kind]shard.Handler{shard.KindJob: n.jobs, shard.KindWorker: n.pools}
	n.shards = shard.New(n.deps.Platform, n.lease, n.shardKeys, handlers, shard.Options{
		PollInterval: cfg.Lease.Every / 2, ReleaseTimeout: cfg.Requests.DrainTimeout, NoEpochs: n.deps.Guards.NoEpochs,
	}, n.log)
	n.shards.OnOwnerChange(n.shardChanged)
}

func workerShards(cfg config.Config) int {
	n := 0
	for _, dc := range cfg.DataCentres {
		n += dc.WorkerShards
	}
	return n
}

func (n *Node) newRequests() {
	cfg := n.cfg.Requests
	n.entry = requests.NewEntry(requests.Deps{
		Balancer: n.balancer,
		Upstream: requests.NewUpstream(n.newClient("instances", upstreamConns), requests.UpstreamOptions{
			AbandonedTimeout: cfg.Linger, SkipRequestIDCheck: n.deps.Guards.SkipRequestIDCheck, AssumeNotRun: n.deps.Guards.AssumeNotRun,
		}),
		Peers:  n.load,
		Keys:   keyRouter{n},
		Bundle: n.bundle,
	}, requests.Options{KeyWindow: cfg.KeyWindow, KeyMargin: cfg.KeyMargin, SkipKeyJournal: n.deps.Guards.SkipKeyJournal}, n.log)
}

// shardChanged passes on that a shard has a new owner.
func (n *Node) shardChanged(key shard.Key) {
	if key.Kind() == shard.KindWorker {
		n.jobs.WorkerShardOwnerChanged(key)
	}
}

// bundle returns the bundle in force.
func (n *Node) bundle() *bundle.Bundle { return n.follower.current() }

// Run serves until ctx ends or Drain is called; then it stops as planned: it
// hands its shards over and finishes what is in flight.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("node started", events.NodeStarted, zap.String("callers", n.deps.Callers.Addr().String()),
		zap.String("peers", n.deps.Peers.Addr().String()), zap.String("operators", n.deps.Operators.Addr().String()))
	defer n.stopRun()
	servers := n.newServers()
	g, runCtx := errgroup.WithContext(n.runCtx)
	for _, loop := range []func(context.Context) error{
		n.lease.Run, n.shards.Run, n.journal.Run, n.pools.Run, n.jobs.Run, n.follower.run, n.load.run,
	} {
		g.Go(func() error { return loop(runCtx) })
	}
	for _, s := range servers {
		g.Go(s.serve)
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-n.drain:
		case <-runCtx.Done():
		}
		n.stop(runCtx, servers)
		return nil
	})
	err := g.Wait()
	if err != nil {
		n.log.Error("node failed", events.NodeFailed, zap.Error(err))
		return err
	}
	n.log.Info("node stopped", events.NodeStopped)
	return nil
}

// Drain begins a planned stop.
func (n *Node) Drain() {
	select {
	case n.drain <- struct{}{}:
	default:
	}
}

// stop is a planned stop, unless run has ended by a failure.
func (n *Node) stop(runCtx context.Context, servers []*server) {
	if runCtx.Err() == nil && !n.deps.Guards.NoDrain {
		n.draining.Store(true)
		n.log.Info("node draining", events.NodeDraining)
		n.lease.SetDraining()
		sleep(runCtx, n.cfg.Requests.DrainDelay)
		n.shards.ReleaseAll(runCtx)
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.Requests.DrainTimeout)
	defer cancel()
	if runCtx.Err() != nil || n.deps.Guards.NoDrain {
		cancel()
	}
	for _, s := range servers {
		s.stop(ctx)
	}
	for _, c := range n.clients {
		c.CloseIdleConnections()
	}
	if runCtx.Err() == nil {
		resignCtx, cancel := context.WithTimeout(context.Background(), n.cfg.Platform.Timeout)
		defer cancel()
		if err := n.lease.Resign(resignCtx); err != nil {
			n.log.Warn("lease not resigned", events.LeaseNotRenewed, zap.Error(err))
		}
	}
	n.stopRun()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Ready reports whether the node serves callers: it has read the bundle in
// force, holds or has held its lease, and does not drain.
func (n *Node) Ready() error {
	switch {
	case n.draining.Load():
		return errors.New("draining")
	case !n.follower.headRead():
		return errors.New("the bundle in force has not been read yet")
	case !n.follower.isFresh():
		return errors.New("the bundle in force was not confirmed lately")
	case !n.load.hasExchanged():
		return errors.New("the shards have not been read yet")
	}
	return nil
}
