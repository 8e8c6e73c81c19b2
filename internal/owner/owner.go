// SPDX-License-Identifier: Apache-2.0

// Package owner runs a shard on the node that owns it: it loads what earlier
// owners persisted, keeps the workers' leases, carries out what the scheduler
// decides and persists progress in batches, always under the condition that
// the shard is still owned.
//
// # Usage
//
//	o := owner.New(owner.Config{Shard: id, Layout: layout, Row: row, Params: params}, deps)
//	err := o.Run(ctx) // until ctx ends, or KindLost when another node has taken over
package owner

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindLost: another node owns the shard.
	KindLost Kind = "lost"
	// KindLoad: what is persisted could not be read.
	KindLoad Kind = "load"
	// KindRefused: the order of another owner can't be carried out.
	KindRefused Kind = "refused"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("owner: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Config is what one ownership works with.
type Config struct {
	Shard cluster.ShardID
	// Layout tells which workers belong to the shard.
	Layout cluster.Layout
	// Row names this owner in the store.
	Row tables.Row
	// Fence is the shard's fence as it was read while Row was written; without a key it
	// is not known. It saves a call of a takeover.
	Fence tables.Row
	// MaxParallelReads is how many parts of the jobs are read at once; 0: tables.MaxParallelLists.
	MaxParallelReads int
	// MaxWriteBytes is how many bytes of progress one write should have at most; 0: any.
	MaxWriteBytes int
	Params        scheduler.Params
}

// Owner runs one shard.
type Owner struct {
	cfg Config
	Deps

	mu    sync.Mutex
	shard *scheduler.Shard
	// holdLoops are the workers that have a loop of holds.
	holdLoops map[string]bool
	// refusedEntries are the entries of the directory that name no worker, by key: what was
	// told of each.
	refusedEntries *lru.Cache[string, string]
	loaded         bool
	startedAt      time.Time
	// feedVersion is the version from which the jobs' feed goes on after the load, and
	// jobsVersion the one up to which all of the shard's jobs have been seen.
	feedVersion, jobsVersion int64
	// fenceVersion is the version of the fence that this owner has written.
	fenceVersion int64

	advice        *AdviceQueue
	replyTimes    ReplyTimeEstimator
	deleteQueue   deleteQueue
	fallback      fallback
	unreadParts   unreadParts
	wakeScheduler chan struct{}
	wakePersist   chan struct{}
	// wakeMachineList asks for a listing of the machines before it is due.
	wakeMachineList chan struct{}
	// cancelRun ends the ownership; lost is why, if that came before Run.
	cancelRun context.CancelCauseFunc
	lostErr   error
	group     *errgroup.Group
	ctx       context.Context
}

// New returns an Owner that has not been started.
func New(cfg Config, deps Deps) *Owner {
	cfg.MaxParallelReads = cmp.Or(cfg.MaxParallelReads, tables.MaxParallelLists)
	cfg.MaxWriteBytes = cmp.Or(cfg.MaxWriteBytes, math.MaxInt)
	return &Owner{
		cfg: cfg, Deps: deps, startedAt: time.Now(), shard: scheduler.New(cfg.Params, time.Now(), deps.Log),
		holdLoops: make(map[string]bool), refusedEntries: newRefusedEntries(),
		wakeScheduler: make(chan struct{}, 1), wakePersist: make(chan struct{}, 1), wakeMachineList: make(chan struct{}, 1),
	}
}

// Age returns how long the shard has been owned here.
func (o *Owner) Age() time.Duration { return time.Since(o.startedAt) }

// inShard reports whether a worker or machine of that service and rack belongs to the shard.
func (o *Owner) inShard(service, rack string) bool {
	return service == o.cfg.Shard.Service && o.cfg.Layout.ShardOf(rack) == o.cfg.Shard.Index
}

// Epoch returns the epoch of this ownership.
func (o *Owner) Epoch() int64 { return o.cfg.Params.Epoch }

// Run owns the shard until ctx ends or the ownership is lost.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancelRun := context.WithCancelCause(ctx)
	defer cancelRun(nil)
	o.mu.Lock()
	o.cancelRun = cancelRun
	lostErr := o.lostErr
	o.mu.Unlock()
	if lostErr != nil {
		return lostErr
	}
	o.group, o.ctx = errgroup.WithContext(ctx)
	o.advice = NewAdviceQueue(o.ctx, func() []Adviser { return o.Advisers.Advisers(o.cfg.Shard) }, o.adviceReceived)
	if err := o.load(o.ctx); err != nil {
		return err
	}
	o.group.Go(func() error { return o.scheduleLoop(o.ctx) })
	o.group.Go(func() error { return o.persistLoop(o.ctx) })
	o.group.Go(func() error { return o.followJobs(o.ctx) })
	o.group.Go(func() error { return o.followWorkers(o.ctx) })
	o.group.Go(func() error { return o.watchMachines(o.ctx) })
	o.group.Go(func() error { return o.deleteLoop(o.ctx) })
	o.group.Go(func() error { return o.fallbackLoop(o.ctx) })
	o.group.Go(func() error { return o.workerListLoop(o.ctx) })
	if o.cfg.Layout.Shards > 1 {
		o.group.Go(func() error { return o.moveLoop(o.ctx) })
		o.group.Go(func() error { return o.gangLoop(o.ctx) })
		o.group.Go(func() error { return o.remoteJobLoop(o.ctx) })
	}
	for _, id := range o.knownWorkers() {
		o.startHoldLoop(o.ctx, id)
	}
	err := o.group.Wait()
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// EndOwnership ends the ownership: another node has taken it.
func (o *Owner) EndOwnership(evidence string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lostErr = &Error{"run", KindLost, errors.New(evidence)}
	if o.cancelRun != nil {
		o.cancelRun(o.lostErr)
	}
}

// updateShard runs fn on the shard and wakes the scheduler.
func (o *Owner) updateShard(fn func(s *scheduler.Shard, now time.Time)) {
	o.mu.Lock()
	fn(o.shard, time.Now())
	o.mu.Unlock()
	notify(o.wakeScheduler)
}

// adviceReceived hands the answer of the advice service to the scheduler.
func (o *Owner) adviceReceived(call scheduler.RequestAdvice, a Advice) {
	o.updateShard(func(s *scheduler.Shard, _ time.Time) {
		s.AdviceReplied(a.IssuedAt, call.Step, call.Workers, a.Tickets, a.ValidFor, a.Err)
	})
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// AddJob takes a job that was persisted with that version. One that was accepted for a
// later owner shows that there is one. One that is not known
// here although all rows up to its version are was moved to another shard before
// this owner came: its acceptance was told late. One of a part that has not been read
// is read with it.
func (o *Owner) AddJob(job cluster.Job, version int64) {
	if job.Epoch > o.Epoch() {
		o.EndOwnership("a job was accepted for a later owner")
		return
	}
	o.updateShard(func(s *scheduler.Shard, now time.Time) {
		if o.loaded && version > o.jobsVersion && !o.mayBeUnread(job.ID) {
			s.AddJob(now, job, nil, false)
		}
	})
}

// CancelJob takes a cancel that has been persisted.
func (o *Owner) CancelJob(id string) {
	o.updateShard(func(s *scheduler.Shard, now time.Time) { s.CancelJob(now, id) })
}

// JobState returns a job's state; ok is false if this owner doesn't know the job.
func (o *Owner) JobState(id string) (state cluster.State, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Job(id)
}

// WaitingJobs returns how many jobs of a queue have not begun; ok is false while
// the shard is being loaded.
func (o *Owner) WaitingJobs(queue string) (n int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Waiting(queue), o.loaded
}

// Load returns how much of the shard's room its work takes and waits for: 1 means
// that it is full, with nothing waiting.
func (o *Owner) Load() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Load()
}

// knownWorkers returns the workers that are known at the moment.
func (o *Owner) knownWorkers() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Workers()
}

// Counts returns the totals of the scheduler's decisions.
func (o *Owner) Counts() scheduler.Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Counts()
}

// WorkersSetAside returns how many workers of the shard are set aside.
func (o *Owner) WorkersSetAside() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.SetAsideWorkers()
}
