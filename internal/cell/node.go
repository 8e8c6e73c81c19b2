// SPDX-License-Identifier: Apache-2.0

// Package cell runs a node on a platform: it accepts and persists callers' jobs,
// follows the operators' configuration, monitors the other nodes, and takes over
// shards whose owner is lost.
//
// All nodes run the same code. They have to agree only on the owner of each shard,
// which is decided by conditional writes to the platform's store. All other messages
// between them may be lost or stale without harm.
//
// # Usage
//
//	n := cell.New(cfg, cell.Deps{Store: …, Workers: …, Log: log})
//	err := n.Run(ctx) // until ctx ends, then shuts down in order
package cell

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/fanout"
	"switchbank.example/switchbank/internal/forecast"
	"switchbank.example/switchbank/internal/intake"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/settings"
	"switchbank.example/switchbank/internal/tables"
)

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	KindListen Kind = "listen"
	KindServe  Kind = "serve"
	KindDecode Kind = "decode"
	// KindNoAnswer means that neither the owner nor the store answered.
	KindNoAnswer Kind = "no_answer"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("cell: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Configs decodes the rows of the operators' table.
type Configs interface {
	Table() string
	// Decode returns false for a row that doesn't hold the configuration.
	Decode(row tables.Row) (cfg cluster.Config, ok bool, err error)
	// EvacuatedDataCentre returns the data centre that a row orders to evacuate; ok is false
	// for other rows. The deletion of the row withdraws the order.
	EvacuatedDataCentre(row tables.Row) (name string, ok bool)
}

// Advice calls the advice service from this node.
type Advice interface {
	Advise(ctx context.Context, step scheduler.StepID, workers []string) (tickets []cluster.Ticket, validFor time.Duration, err error)
}

// Machines lists the platform's machines.
type Machines interface {
	Machines(ctx context.Context) ([]cluster.Machine, error)
}

// Deps are the services of the platform that a node uses.
type Deps struct {
	Store     tables.Service
	Workers   owner.Workers
	Advice    Advice
	Machines  Machines
	Directory owner.Directory
	Configs   Configs
	// Callers returns the handler of callers' requests to the node.
	Callers func(n *Node) http.Handler
	// Dial and Listen make the connections between nodes; TCP if nil.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	// Usage counts the node's outgoing calls; if nil, only those to other nodes are counted.
	Usage *conns.Usage
	Log   *zap.Logger
}

// Node is one node of a cell.
type Node struct {
	cfg settings.Settings
	Deps
	me           member
	relay        *tables.Relay
	store        *watchedStore
	peers        *peers
	helperServer *fanout.Server
	machineCache machineCache
	directory    directoryReader
	metrics      *metrics.Set
	config       atomic.Pointer[cluster.Config]
	configLag    configLag
	evacuations  evacuations
	// forecasts holds the summaries that the owners of shards reported last.
	forecasts  forecast.Received
	admitter   *admitter
	tombstones tombstoneBudget
	// intake bounds what callers make this process hold, and readyIntake what the balancer's
	// checks do.
	intake, readyIntake *intake.Limiter
	// configChanges tells of changes of the configuration and of the evacuations.
	configChanges notifier
	// configConfirmed is when the configuration in force was last known to be the newest.
	configConfirmed confirmation
	// configRead is when this node last read the configuration in the store.
	configRead confirmation
	// ownersRead is set once the owners' rows have been read.
	ownersRead atomic.Bool
	// ownDelay is how late this process runs.
	ownDelay delayMeter
	// fetching is set while a configuration is being fetched from a peer.
	fetching atomic.Bool
	draining atomic.Bool

	mu sync.Mutex
	// owned holds the shards that this node owns.
	owned map[cluster.ShardID]*owner.Owner
	// lastEpochs holds the epoch of the last owner of each shard that has run here.
	lastEpochs map[cluster.ShardID]int64
	// claimed holds the shards that it is this node's turn to take. taking holds those for
	// which the write that takes them is in flight.
	claimed, taking map[cluster.ShardID]bool
	// owners holds the last known owner of each shard, by its row in the store.
	owners map[cluster.ShardID]ownerState
	// layouts holds the layout of each service.
	layouts map[string]cluster.Layout
	// pins caches the pins of jobs that this node has accepted or looked up.
	pins *lru.Cache[string, owner.Pin]
	// unresolved holds the jobs whose submission here ended with an unknown outcome.
	unresolved *lru.Cache[string, struct{}]
	// watched holds the services whose shards have a watcher.
	watched map[string]bool
	// rowVersion is the version of this node's row; 0: it isn't known to be written. stopped holds the
	// incarnations of nodes whose rows say that they have stopped.
	rowVersion atomic.Int64
	stopped    *lru.Cache[string, struct{}]

	// claiming serializes the claims of the shards' watchers.
	claiming sync.Mutex

	group *errgroup.Group
	ctx   context.Context
}

// New returns a node that has not been started.
func New(cfg settings.Settings, deps Deps) *Node {
	if deps.Dial == nil {
		deps.Dial = (&net.Dialer{Timeout: peerDialTimeout}).DialContext
	}
	if deps.Listen == nil {
		deps.Listen = (&net.ListenConfig{}).Listen
	}
	if deps.Usage == nil {
		deps.Usage = &conns.Usage{}
	}
	n := &Node{
		cfg: cfg, Deps: deps, metrics: metrics.NewSet(),
		me:    member{Name: cfg.Node, Address: cfg.Listen.AdvertisePeers, Incarnation: newIncarnation(), DataCentre: cfg.DataCentre, CPUMilli: cfg.Limits.CPUMilli()},
		owned: make(map[cluster.ShardID]*owner.Owner), lastEpochs: make(map[cluster.ShardID]int64), claimed: make(map[cluster.ShardID]bool),
		taking: make(map[cluster.ShardID]bool), owners: make(map[cluster.ShardID]ownerState),
		layouts: make(map[string]cluster.Layout), watched: make(map[string]bool), pins: newCache[owner.Pin](pinCacheSize), unresolved: newCache[struct{}](unresolvedSize), stopped: newCache[struct{}](stoppedSize),
		admitter: newAdmitter(cfg.Admission), intake: newIntake(cfg.Limits), readyIntake: newReadyIntake(cfg.Limits),
	}
	n.helperServer = fanout.NewServer(deps.Workers, deps.Log)
	n.peers = newPeers(n)
	n.relay = tables.NewRelay(deps.Store, n.peers, tables.ListRequest{Table: TableCell, Limit: 1})
	n.store = newWatchedStore(n.relay, deps.Log)
	n.registerMetrics()
	return n
}

func newIncarnation() string {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("cell: no randomness: " + err.Error())
	}
	return hex.EncodeToString(b[:])
}

// Config returns the configuration in force, or nil if none is known yet.
func (n *Node) Config() *cluster.Config { return n.config.Load() }

// Draining reports whether the node is about to stop.
func (n *Node) Draining() bool { return n.draining.Load() }

const (
	// drainAcceptTime is how long a stopping node still accepts connections: the balancer
	// checks each second and needs two failed checks.
	drainAcceptTime = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is left for the process to exit.
	shutdownMargin = 700 * time.Millisecond
)

// Run serves until ctx ends, then hands over the node's shards and stops.
func (n *Node) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.group, n.ctx = errgroup.WithContext(run)
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	n.Log.Info("node started", events.NodeStarted, zap.String("node", n.me.Name), zap.String("life", n.me.Incarnation),
		zap.String("store", n.cfg.Store), zap.Strings("seeds", n.cfg.Seeds))
	n.group.Go(func() error { n.followConfig(n.ctx); return nil })
	n.group.Go(func() error { n.followCell(n.ctx); return nil })
	n.group.Go(func() error { n.peers.pingLoop(n.ctx); return nil })
	n.group.Go(func() error { n.announce(n.ctx); return nil })
	n.group.Go(func() error { n.store.probe(n.ctx); return nil })
	n.group.Go(func() error { n.relay.Probe(n.ctx); return nil })
	select {
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	n.shutdown(servers)
	stop()
	err = n.group.Wait()
	n.Log.Info("node stopped", events.NodeStopped, zap.String("node", n.me.Name), zap.Error(err))
	return err
}

// shutdown hands over the shards, and stops the servers when their requests are answered.
func (n *Node) shutdown(servers []*http.Server) {
	started := time.Now()
	n.draining.Store(true)
	n.Log.Info("node is draining", events.NodeDraining, zap.String("node", n.me.Name))
	n.handOverAll()
	n.helperServer.Close()
	grace := time.Duration(n.cfg.Bounds.GraceMS) * time.Millisecond
	tables.Sleep(n.ctx, min(drainAcceptTime, grace/2)-time.Since(started))
	n.endOwnerships()
	n.announceStop(n.ctx)
	c, cancel := context.WithTimeout(n.ctx, grace-shutdownMargin-time.Since(started))
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(c); err != nil {
			n.Log.Warn("server did not stop in time", events.NodeFailed, zap.Error(err))
		}
	}
}

// listen opens all listeners and starts their servers.
func (n *Node) listen(ctx context.Context) ([]*http.Server, error) {
	mux := n.peerMux()
	listeners := []struct {
		address string
		handler http.Handler
		// intake bounds what the clients hold; nil if only nodes and operators are clients.
		intake *intake.Limiter
	}{
		{n.cfg.Listen.Callers, n.closeWhenDraining(n.Callers(n)), n.intake},
		{n.cfg.Listen.Ready, n.readyHandler(), n.readyIntake},
		{n.cfg.Listen.Peers, mux, nil},
		{n.cfg.Listen.Metrics, http.HandlerFunc(n.serveMetrics), nil},
	}
	var servers []*http.Server
	for _, p := range listeners {
		if p.address == "" {
			continue
		}
		l, err := n.Listen(ctx, "tcp", p.address)
		if err != nil {
			for _, s := range servers {
				// The error of the failed listener is the one to report.
				_ = s.Close()
			}
			return nil, &Error{"run", KindListen, err}
		}
		s := &http.Server{Handler: p.handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
		if p.intake != nil {
			p.intake.Attach(s)
			l = p.intake.Listener(l)
		}
		servers = append(servers, s)
		n.group.Go(func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return &Error{"run", KindServe, err}
			}
			return nil
		})
	}
	return servers, nil
}

const (
	// maxHeaderBytes bounds the head of a request, to which the server adds 4 KB.
	maxHeaderBytes = 8 << 10
	// readHeaderTimeout and idleTimeout bound how long slow and idle clients keep a
	// connection open.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
)

func (n *Node) closeWhenDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Draining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// readyHandler answers the balancer's checks: ready if the node has a configuration, isn't
// draining, and reaches the store or a peer.
func (n *Node) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n.Draining() || n.Config() == nil || n.isolated() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// isolatedAfter is how long neither the store nor a peer may answer before the node reports
// that it isn't ready for callers.
const isolatedAfter = 2 * time.Second

func (n *Node) isolated() bool {
	return n.store.silentFor() > isolatedAfter && !n.peers.anyUp()
}
