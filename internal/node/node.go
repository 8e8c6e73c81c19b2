// SPDX-License-Identifier: Apache-2.0

// Package node assembles a switchbank node from its parts: the listeners for
// callers, peers and operators, the node's lease, the shards that it owns, the
// journal, the worker pools and the request path.
//
// A node holds a lease as long as it is alive, and owns shards under that lease.
// It schedules the jobs of its job shards and runs tasks on the workers of its
// worker shards. Every node serves callers: it forwards calls to the owner of the
// shard they concern, and requests to the peers with free instances.
//
// # Usage
//
//	n := node.New(cfg, node.Deps{Platform: client, Callers: l1, Peers: l2, Operators: l3, Log: log})
//	err := n.Run(ctx) // a planned stop begins when ctx ends
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

// maxForwardedIDs is how many IDs of forwarded requests are remembered to detect duplicates.
const maxForwardedIDs = 1 << 14

// Platform is the part of the platform's API that a node uses.
type Platform interface {
	Commit(ctx context.Context, t platform.Txn) (platform.TxnResult, error)
	Get(ctx context.Context, table, key string) (platform.Row, error)
	List(ctx context.Context, table, prefix string) ([]platform.Row, error)
	PutObject(ctx context.Context, key string, data []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
	Hosts(ctx context.Context, dataCentre string) ([]platform.Host, error)
}

// Guards switch individual safeguards off, so that a test can show that it detects
// the faults they prevent. The zero value leaves all safeguards on.
type Guards struct {
	// NoEpochs does not raise a shard's epoch when its owner changes.
	NoEpochs bool
	// NoLeaseCheck treats the lease as held even after it has expired.
	NoLeaseCheck bool
	// SkipConditions writes the journal without the conditions that fence a previous owner.
	SkipConditions bool
	// StartBeforeJournal starts tasks before their placement is journalled.
	StartBeforeJournal bool
	// SkipKeyJournal runs requests with a key without journalling them first.
	SkipKeyJournal bool
	// AllowOvercommit does not count the occupied slots of instances.
	AllowOvercommit bool
	// SkipRequestIDCheck returns answers without checking that they carry the request's ID.
	SkipRequestIDCheck bool
	// AssumeNotRun reports an interrupted call as not run although it may have run.
	AssumeNotRun bool
	// IgnoreLeaving keeps using workers that are leaving.
	IgnoreLeaving bool
	// ServeStaleBundle serves callers even if the bundle in force was not confirmed recently.
	ServeStaleBundle bool
	// NoDrain drops the requests in flight at a planned stop.
	NoDrain bool
}

// Deps are the dependencies of a Node.
type Deps struct {
	// Platform is the client of the platform; nil means HTTP to the URL in the settings.
	Platform  Platform
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
	// Dial opens connections to peers, workers and instances; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Wrap wraps the transport of each of the node's HTTP clients; nil leaves it as it is.
	Wrap   func(http.RoundTripper) http.RoundTripper
	Log    *zap.Logger
	Guards Guards
}

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindListen means that a listener failed.
	KindListen Kind = "listen"
	// KindLease means that another process has taken the node's lease.
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
	// forwardedIDs holds the IDs of the requests that peers forwarded most recently.
	forwardedIDs *lru.Cache[string, struct{}]
	counters     counters
	runCtx       context.Context
	stopRun      context.CancelFunc
}

// New returns a node that Run has yet to start.
func New(cfg config.Config, deps Deps) *Node {
	n := &Node{
		cfg: cfg, deps: deps, metrics: metrics.NewSet(),
		log:      deps.Log.With(zap.String("node", cfg.Node)),
		drain:    make(chan struct{}, 1),
		inFlight: make(chan struct{}, cfg.Limits.InFlight),
	}
	// lru.New fails only for a size of 0 or less.
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
		TTL: cfg.Lease.TTL, Margin: cfg.Lease.Margin, RenewInterval: cfg.Lease.RenewInterval, IgnoreExpiry: n.deps.Guards.NoLeaseCheck,
	}, n.log)
	n.journal = journal.New(p, p, journal.Options{
		MinWriteInterval: cfg.Journal.MinWriteInterval, DownAfter: cfg.Journal.DownAfter, SkipConditions: n.deps.Guards.SkipConditions,
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
		Reservation: cfg.Tasks.Reservation, HostInterval: cfg.Tasks.HostInterval, Quarantine: cfg.Tasks.Quarantine,
		IgnoreLeaving: n.deps.Guards.IgnoreLeaving,
	}, n.log)
	n.jobs = jobs.NewSet(jobs.Deps{Journal: n.journal, Pools: poolRouter{n}, Load: n.load, Bundle: n.bundle}, jobs.Options{
		RoundInterval: cfg.Tasks.RoundInterval, VerifyInterval: cfg.Tasks.VerifyInterval, Retention: cfg.Tasks.Retention,
		KeyWindow: cfg.Requests.KeyWindow, KeyMargin: cfg.Requests.KeyMargin, KeyAnswerBytes: cfg.Requests.KeyAnswerBytes,
		MaxKeys: cfg.Limits.Keys, MaxJobs: cfg.Limits.Workloads,
		SnapshotEvery: cfg.Journal.SnapshotEvery, WorkerShards: workerShards(cfg), StartBeforeJournal: n.deps.Guards.StartBeforeJournal,
	}, n.log)
	n.shardKeys = shard.Layout(cfg.JobShards, cfg.DataCentres)
	handlers := map[shard.Kind]shard.Handler{shard.KindJob: n.jobs, shard.KindWorker: n.pools}
	n.shards = shard.New(n.deps.Platform, n.lease, n.shardKeys, handlers, shard.Options{
		PollInterval: cfg.Lease.RenewInterval / 2, ReleaseTimeout: cfg.Requests.DrainTimeout, NoEpochs: n.deps.Guards.NoEpochs,
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
			AbandonedTimeout: cfg.AbandonedTimeout, SkipRequestIDCheck: n.deps.Guards.SkipRequestIDCheck, AssumeNotRun: n.deps.Guards.AssumeNotRun,
		}),
		Peers:  n.load,
		Keys:   keyRouter{n},
		Bundle: n.bundle,
	}, requests.Options{KeyWindow: cfg.KeyWindow, KeyMargin: cfg.KeyMargin, SkipKeyJournal: n.deps.Guards.SkipKeyJournal}, n.log)
}

// shardChanged tells the job shards that a worker shard has a new owner.
func (n *Node) shardChanged(key shard.Key) {
	if key.Kind() == shard.KindWorker {
		n.jobs.WorkerShardOwnerChanged(key)
	}
}

// bundle returns the bundle in force.
func (n *Node) bundle() *bundle.Bundle { return n.follower.current() }

// Run serves until ctx ends or Drain is called. It then makes a planned stop: it
// hands its shards over and finishes the requests in flight.
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

// stop hands the shards over and shuts the servers down. After a failure, when
// runCtx has ended, it neither hands over nor waits for requests in flight.
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

// Ready returns nil if the node serves callers, and otherwise the reason why not.
// A node is ready once it has read the bundle in force, has had it confirmed
// recently, and has exchanged load with its peers while holding its lease. It is
// not ready while it drains.
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
