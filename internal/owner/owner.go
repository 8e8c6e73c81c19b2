// SPDX-License-Identifier: Apache-2.0

// Package owner runs a shard on the node that owns it: it loads what earlier owners persisted,
// renews the workers' leases, executes the scheduler's decisions and persists progress in
// batches, on condition that this node still owns the shard.
//
// A new owner first takes the fence, which shuts out writes of the previous owner, then reads
// the shard's rows and passes them to the scheduler. After that, loops follow the feeds of jobs
// and workers, keep one hold open per worker (a long poll that renews the lease and reports
// ended runs), and write progress. While the store's part that holds the progress does not
// answer, progress goes to fallback rows in another part.
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
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/forecast"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindLost: another node owns the shard.
	KindLost Kind = "lost"
	// KindLoad: persisted state could not be read.
	KindLoad Kind = "load"
	// KindRefused: a request of another shard's owner can't be carried out.
	KindRefused Kind = "refused"
	// KindConflict: a row has changed since it was read.
	KindConflict Kind = "conflict"
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

// Config configures the ownership of one shard.
type Config struct {
	Shard cluster.ShardID
	// Layout assigns workers to shards.
	Layout cluster.Layout
	// Row is the row in the store that names this owner.
	Row tables.Row
	// Fence is the shard's fence as read while Row was written, which saves a takeover one
	// call. Without a key, the fence is not known.
	Fence tables.Row
	// ConfirmedAt is when the call was sent that has shown that Row names this owner.
	ConfirmedAt time.Time
	// MaxParallelReads is how many parts of the jobs are read at once; 0 means
	// tables.MaxParallelLists.
	MaxParallelReads int
	// MaxWriteBytes limits the progress in one write, approximately; 0 means no limit.
	MaxWriteBytes int
	Params        scheduler.Params
}

// Owner runs one shard.
type Owner struct {
	cfg Config
	Deps

	mu    sync.Mutex
	shard *scheduler.Shard
	// askSlots limit how many workers are asked at once what they run.
	askSlots chan struct{}
	// holdLoops are the workers for which a holdLoop runs.
	holdLoops map[string]bool
	// invalidEntries maps the key of each invalid directory entry to the reason last reported.
	invalidEntries *lru.Cache[string, string]
	loaded         bool
	startedAt      time.Time
	// feedVersion is the version from which the jobs' feed continues after the load, and
	// jobsVersion the version up to which all of the shard's jobs have been seen.
	feedVersion, jobsVersion int64
	// fenceVersion is the version of the fence that this owner wrote.
	fenceVersion int64

	advice      *AdviceQueue
	replyTimes  ReplyTimeEstimator
	workerDelay workerDelay
	// unansweredStarts is how many orders to start a run have not been answered.
	unansweredStarts atomic.Int64
	deleteQueue      deleteQueue
	fallback         fallback
	unreadParts      unreadParts
	// tombstones are those of the shard, by job.
	tombstones    map[string]tombstone
	teamParts     teamParts
	wakeScheduler chan struct{}
	wakePersist   chan struct{}
	// singleWrites is how many jobs are still written one by one, since the store has refused a write
	// with several. Only the persist loop uses it.
	singleWrites int
	// wakeConfirm requests a confirmation of the ownership before the next one is due.
	wakeConfirm chan struct{}
	// wakeMachineList requests a listing of the machines before the next one is due.
	wakeMachineList chan struct{}
	// wakeTeamParts requests a round of requests for parts of teams' limits before the next one.
	wakeTeamParts chan struct{}
	// cancelRun ends the ownership. lostErr is the reason, also if it was set before Run.
	cancelRun context.CancelCauseFunc
	lostErr   error
	group     *errgroup.Group
	ctx       context.Context
}

// New returns an Owner that has not been started.
func New(cfg Config, deps Deps) *Owner {
	cfg.MaxParallelReads = cmp.Or(cfg.MaxParallelReads, tables.MaxParallelLists)
	cfg.MaxWriteBytes = cmp.Or(cfg.MaxWriteBytes, math.MaxInt)
	shard := scheduler.New(cfg.Params, time.Now(), deps.Log)
	shard.ConfirmOwnership(cfg.ConfirmedAt)
	return &Owner{
		cfg: cfg, Deps: deps, startedAt: time.Now(), shard: shard,
		askSlots: make(chan struct{}, maxParallelAsks), holdLoops: make(map[string]bool), invalidEntries: newInvalidEntries(), tombstones: make(map[string]tombstone), teamParts: teamParts{writing: make(chan struct{}, 1), answered: make(map[int]bool), next: cfg.Shard.Index},
		wakeScheduler: make(chan struct{}, 1), wakePersist: make(chan struct{}, 1), wakeConfirm: make(chan struct{}, 1), wakeMachineList: make(chan struct{}, 1), wakeTeamParts: make(chan struct{}, 1),
	}
}

// Age returns for how long this node has owned the shard.
func (o *Owner) Age() time.Duration { return time.Since(o.startedAt) }

// Loaded reports whether the shard has been loaded.
func (o *Owner) Loaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loaded
}

// EarlierOwnersEnded records that all earlier owners have ended by now.
func (o *Owner) EarlierOwnersEnded() {
	o.updateShard(func(s *scheduler.Shard, now time.Time) { s.EarlierOwnersEnded(now) })
}

// inShard reports whether a worker or machine of the given service and rack belongs to the
// shard.
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
	advice := NewAdviceQueue(o.ctx, func() []Adviser { return o.Advisers.Advisers(o.cfg.Shard) }, o.adviceReceived)
	o.mu.Lock()
	o.advice = advice
	o.mu.Unlock()
	if err := o.loadShard(o.ctx); err != nil {
		return err
	}
	o.group.Go(func() error { return o.confirmLoop(o.ctx) })
	o.group.Go(func() error { return o.scheduleLoop(o.ctx) })
	o.group.Go(func() error { return o.reportAdviceLoop(o.ctx) })
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
		o.group.Go(func() error { return o.participantLoop(o.ctx) })
		o.group.Go(func() error { return o.teamPartsLoop(o.ctx) })
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

// EndOwnership makes Run return a KindLost error because another node has taken the shard. The
// evidence is the cause of the error.
func (o *Owner) EndOwnership(evidence string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lostErr = &Error{"run", KindLost, errors.New(evidence)}
	if o.cancelRun != nil {
		o.cancelRun(o.lostErr)
	}
}

// updateShard calls fn with the shard locked and wakes the scheduler.
func (o *Owner) updateShard(fn func(s *scheduler.Shard, now time.Time)) {
	o.mu.Lock()
	fn(o.shard, time.Now())
	o.mu.Unlock()
	notify(o.wakeScheduler)
}

// adviceReceived passes an answer of the advice service to the scheduler.
func (o *Owner) adviceReceived(call scheduler.RequestAdvice, a Advice) {
	if a.Err != nil {
		a.Err = errors.Wrapf(a.Err, "through %s, after %s in the queue and %s", a.Node, a.Waited, a.Took)
	}
	o.updateShard(func(s *scheduler.Shard, _ time.Time) {
		s.AdviceReplied(a.IssuedAt, call.Step, call.Workers, a.Tickets, a.ValidFor, a.Err)
	})
}

// notify wakes the receiver of c, unless a wake-up is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// AddJob adds a job that was persisted with the given version. A job accepted for a later owner
// proves that this ownership is over. A job up to jobsVersion that is not known here was moved
// to another shard before this owner took over, and its acceptance was reported late: it is
// ignored. So is a job in a part that has not been read yet, since it is loaded with its part.
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

// CancelJob applies a cancel that has been persisted.
func (o *Owner) CancelJob(id string) {
	o.updateShard(func(s *scheduler.Shard, now time.Time) { s.EndJob(now, id, cluster.StateCancelled) })
}

// JobState returns a job's state and team; ok is false if this owner doesn't know the job.
func (o *Owner) JobState(id string) (state cluster.State, team string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state, ok = o.shard.Job(id)
	return state, o.shard.JobTeam(id), ok
}

// WaitingJobs returns how many jobs of a queue have not begun; ok is false while the shard is
// being loaded.
func (o *Owner) WaitingJobs(queue string) (n int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.WaitingJobs(queue), o.loaded
}

// Load returns the demand of the running and waiting work relative to the shard's capacity. 1
// means that the shard is full and nothing waits.
func (o *Owner) Load() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Load()
}

// Forecast returns the summary of the shard's capacity and backlog and its age, or nil while it is
// unknown, as during the takeover.
func (o *Owner) Forecast() (summary *forecast.Summary, age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Forecast(time.Now())
}

// ForecastErrors returns the relative errors of the forecast ends of the last jobs of each queue.
func (o *Owner) ForecastErrors() map[string][]float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.ForecastErrors()
}

// knownWorkers returns the IDs of the workers that are known now.
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

// TakeoverWait returns what a takeover that is not complete waits for and holds back.
func (o *Owner) TakeoverWait() scheduler.TakeoverWait {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.TakeoverWait()
}

// StalledJobs returns how many jobs of the shard have stalled.
func (o *Owner) StalledJobs() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.StalledJobs()
}

// QuarantinedWorkers returns how many workers of the shard are quarantined, or on probation after
// it.
func (o *Owner) QuarantinedWorkers() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.QuarantinedWorkers()
}
