// SPDX-License-Identifier: Apache-2.0

package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/journal"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/shard"
)

// Options are the settings of a Set.
type Options struct {
	// RoundInterval is the maximum time between two rounds of scheduling.
	RoundInterval time.Duration
	// VerifyInterval is the time after which the owner of a worker shard is asked again
	// about a task whose start or state it has not confirmed.
	VerifyInterval time.Duration
	// Retention is how long a workload is stored after its end.
	Retention time.Duration
	// KeyWindow is how long the key of a request is stored.
	KeyWindow time.Duration
	// KeyMargin is added wherever the clocks of two processes are compared.
	KeyMargin time.Duration
	// KeyAnswerBytes is the size of the largest answer that is stored with a key.
	KeyAnswerBytes int
	// MaxKeys and MaxJobs bound what callers can make a shard store.
	MaxKeys int
	MaxJobs int
	// SnapshotEvery is the length of a journal, in batches, at which a snapshot is taken.
	SnapshotEvery int64
	// WorkerShards is the number of worker shards of the cell.
	WorkerShards int
	// StartBeforeJournal starts tasks before their placement is durable. Tests set it to
	// verify that they detect the missing safeguard.
	StartBeforeJournal bool
}

// Pools calls the owners of worker shards.
type Pools interface {
	Reserve(ctx context.Context, req peer.ReserveRequest) (peer.ReserveReply, error)
	Confirm(ctx context.Context, req peer.ConfirmRequest) (peer.ConfirmReply, error)
	Stop(ctx context.Context, req peer.StopRequest) (peer.ConfirmReply, error)
	CancelReservations(ctx context.Context, req peer.StopRequest) (peer.ConfirmReply, error)
}

// CellLoad returns the free capacity of the cell's worker shards and the usage of teams.
type CellLoad interface {
	Pools() []peer.PoolSummary
	Teams() []peer.TeamUsage
}

// Deps are the dependencies of a Set.
type Deps struct {
	Journal *journal.Committer
	Pools   Pools
	Load    CellLoad
	Bundle  func() *bundle.Bundle
}

// Set holds the job shards that a node owns.
type Set struct {
	deps Deps
	opts Options
	log  *zap.Logger
	wake chan struct{}

	mu     sync.Mutex
	shards map[shard.Key]*Shard
	// verify holds the worker shards whose owner has changed since the last scan. The new
	// owner must be asked about the tasks there.
	verify map[string]bool
	// scanNeeded is set by changes after which tasks may have to be stopped or asked
	// about, and lastScan is when reconcile last scanned the tasks.
	scanNeeded bool
	lastScan   time.Time
}

// NewSet returns a Set that holds no shard.
func NewSet(deps Deps, opts Options, log *zap.Logger) *Set {
	return &Set{
		deps: deps, opts: opts, log: log,
		wake:   make(chan struct{}, 1),
		shards: make(map[shard.Key]*Shard),
		verify: make(map[string]bool),
	}
}

// Acquire loads a job shard from its journal.
func (s *Set) Acquire(ctx context.Context, g shard.Grant) error {
	sh, err := openShard(ctx, g, s.deps.Journal, s.opts, s.log)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.shards[g.Key] = sh
	s.scanNeeded = true
	s.mu.Unlock()
	s.Wake()
	return nil
}

// Release removes a shard, and waits until its last append is durable.
func (s *Set) Release(ctx context.Context, key shard.Key) {
	sh, ok := s.get(string(key))
	if !ok {
		return
	}
	s.Drop(key)
	sh.mu.Lock()
	pending := sh.lastAppend
	sh.mu.Unlock()
	_ = waitDurable(ctx, pending)
}

// Drop removes a shard without waiting for its appends, since another node may own it.
func (s *Set) Drop(key shard.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.shards, key)
}

func (s *Set) get(key string) (*Shard, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh, ok := s.shards[shard.Key(key)]
	return sh, ok
}

// ownedShard returns a shard if this node certainly owns it now.
func (s *Set) ownedShard(op, key string) (*Shard, error) {
	sh, ok := s.get(key)
	switch {
	case !ok:
		return nil, &Error{op, KindNotOwner, errors.New(key)}
	case sh.grant.Held():
		return sh, nil
	case sh.grant.ExpiredFor() > 0:
		// The node cannot reach the store, so it is no use for the caller to wait for
		// another owner.
		return nil, &Error{op, KindUnavailable, errors.New(key)}
	}
	return nil, &Error{op, KindNotOwner, errors.New(key)}
}

// ownedShards returns the shards that this node certainly owns now.
func (s *Set) ownedShards() []*Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*Shard
	for _, sh := range s.shards {
		if sh.grant.Held() {
			all = append(all, sh)
		}
	}
	return all
}

// Wake makes Run start a round of scheduling.
func (s *Set) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// WorkerShardOwnerChanged makes the next round ask the new owner of a worker shard about
// the tasks there.
func (s *Set) WorkerShardOwnerChanged(key shard.Key) {
	s.mu.Lock()
	s.verify[string(key)] = true
	s.scanNeeded = true
	s.mu.Unlock()
	s.Wake()
}

// Create adds a workload, and returns once it is durable. Creating the same workload again
// changes nothing.
func (s *Set) Create(ctx context.Context, key string, w api.Workload) (api.Status, error) {
	sh, err := s.ownedShard("create", key)
	if err != nil {
		return api.Status{}, err
	}
	ctx, span := tracer().Start(ctx, "admit", trace.WithAttributes(attribute.String("job", w.ID)))
	defer span.End()
	st, err := sh.create(ctx, w)
	s.Wake()
	return st, err
}

// Get returns a workload once its revision is above since or ctx ends.
func (s *Set) Get(ctx context.Context, key, id string, since int64, tasks bool) (api.Status, error) {
	sh, err := s.ownedShard("get", key)
	if err != nil {
		return api.Status{}, err
	}
	return sh.get(ctx, id, since, tasks)
}

// List returns the workloads of a team in the shards of this node, or all if team is "".
func (s *Set) List(team string) []api.Status {
	var list []api.Status
	for _, sh := range s.ownedShards() {
		list = append(list, sh.list(team)...)
	}
	return list
}

// Cancel cancels a workload: waiting tasks are cancelled, and active ones are stopped.
func (s *Set) Cancel(ctx context.Context, key, id string) (api.Status, error) {
	sh, err := s.ownedShard("cancel", key)
	if err != nil {
		return api.Status{}, err
	}
	st, err := sh.cancel(ctx, id)
	if err == nil {
		// Send the stops before the answer, so that no task starts after it.
		s.stopTasks(ctx, sh, sh.markStopSent(id))
	}
	s.Wake()
	return st, err
}

// Events journals events of tasks, and returns nil once all of them are durable.
func (s *Set) Events(ctx context.Context, req peer.EventsRequest) error {
	sh, err := s.ownedShard("events", req.Shard)
	if err != nil {
		return err
	}
	if err := sh.applyEvents(ctx, req.Events); err != nil {
		return err
	}
	s.requestScan()
	s.Wake()
	return nil
}

// requestScan makes the next round scan the tasks.
func (s *Set) requestScan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scanNeeded = true
}

// Run schedules, reconciles, takes snapshots and deletes expired entries until ctx ends.
func (s *Set) Run(ctx context.Context) error {
	t := time.NewTicker(s.opts.RoundInterval)
	defer t.Stop()
	var lastForget time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-t.C:
		}
		s.schedule(ctx)
		s.reconcile(ctx)
		for _, sh := range s.ownedShards() {
			sh.maybeSnapshot(ctx)
		}
		if now := time.Now(); now.Sub(lastForget) > s.opts.Retention/16 {
			lastForget = now
			for _, sh := range s.ownedShards() {
				sh.forgetExpired(now)
			}
		}
	}
}
