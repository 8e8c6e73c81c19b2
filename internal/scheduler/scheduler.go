// SPDX-License-Identifier: Apache-2.0

// Package scheduler decides where and when the tasks of one shard run. A shard
// is a set of workers together with the jobs that run on them; one node owns
// it at a time, under an epoch.
//
// The package does no I/O and reads no clock: the owner feeds it jobs, reports
// and replies together with the time, and carries out the commands that
// Schedule returns. It is not safe for concurrent use.
//
// A run is one execution of a task on a worker. A hold is the long poll by which the
// owner renews a worker's lease and gets its report. A run's end is its outcome, which
// the worker reports until the owner has confirmed it. An incarnation of a worker lasts
// from one start of its process to the next. A task's allocation is what it occupies of a
// worker's capacity, and room is the free part of the capacity.
//
// # Usage
//
//	s := scheduler.New(params, now, log)
//	s.AddJob(now, job, nil, false)
//	s.UpsertWorker(now, worker)
//	seq, order, lastSeen, ok := s.BeginHold(now, worker.ID)
//	s.Observe(now, worker.ID, seq, report)
//	for _, c := range s.Schedule(now) { … } // carry out, and feed back the reply
//	batch := s.NextBatch(now, maxJobs, maxBytes) // persist, then
//	s.Persisted(now, batch, version)
package scheduler

import (
	"math"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/quota"
)

// Params are the bounds under which a shard works.
type Params struct {
	// Epoch is the ownership's epoch, and the fence of all orders.
	Epoch int64
	// Lease is how long a worker keeps running without hearing from the owner, and
	// MaxLease the longest lease that a worker accepts.
	Lease, MaxLease time.Duration
	// StopTime is how long a worker may take to stop a run.
	StopTime time.Duration
	// OwnershipLease bounds the leases of workers: none lasts longer than this after the last
	// confirmation that no later owner had loaded the shard. 0 means that there can be no later
	// owner.
	OwnershipLease time.Duration
	// UncertainFor is how long after the shard was loaded a worker that does not answer may still
	// execute runs that an earlier owner started: one that doesn't know that it was replaced.
	// UncertainAfterEnd is the same after the time at which all earlier owners had ended.
	UncertainFor, UncertainAfterEnd time.Duration
	// FinishedRetention is how long the state of a finished job is kept.
	FinishedRetention time.Duration
	// OrderByDue orders waiting work by due time alone, also while the shard is overloaded.
	OrderByDue bool
	// Index is that of the shard among the Shards of its service; 0 shards count as one.
	Index, Shards int
}

// runsPerEpoch separates the run numbers of successive owners: a new owner starts above
// any number that its predecessor may have used. A task uses up 100,000 numbers only if
// it is started every 0.1 s for almost three hours.
const runsPerEpoch = 100_000

// Command is an instruction that the owner carries out.
type Command interface{ command() }

// Start starts a run; the reply goes to StartReplied.
type Start struct{ cluster.StartOrder }

// Stop stops a run; the reply goes to StopReplied.
type Stop struct {
	cluster.Order
	Task cluster.TaskID
	Run  int64
}

// SetPace sets the share of its full speed at which a run works, in percent; the reply
// goes to PaceReplied.
type SetPace struct {
	cluster.Order
	Task    cluster.TaskID
	Run     int64
	Percent int
}

// Poll asks a worker for a report at once; the report goes to Observe.
type Poll struct{ Worker string }

// RequestAdvice asks the advice service which workers may run a step; the answer goes to
// AdviceReplied.
type RequestAdvice struct {
	Step    StepID
	Workers []string
	// ExpectedDuration is how long the call is expected to take.
	ExpectedDuration time.Duration
	// Rank orders waiting calls; the lowest goes first.
	Rank Rank
	// StandsSince is since when nothing of the job has been running although the turn of a task has come;
	// zero: something runs.
	StandsSince time.Time
}

// FailJob ends a job as failed in all shards that run parts of it; the end comes back to
// EndJob.
type FailJob struct{ Job string }

func (FailJob) command()       {}
func (Start) command()         {}
func (Stop) command()          {}
func (SetPace) command()       {}
func (Poll) command()          {}
func (RequestAdvice) command() {}

// StepID names a step of one repeat of a job.
type StepID struct {
	Job    string
	Repeat int
	Step   int
}

// Shard is the state of one shard in its owner's memory.
type Shard struct {
	params    Params
	log       *zap.Logger
	startedAt time.Time
	ownership ownership
	workers   map[string]*worker
	// incarnations holds the history of each worker ID. inDoubt holds, by worker ID, the
	// runs whose start an incarnation that has ended, or a later one, may have accepted
	// without the owner knowing.
	incarnations map[string]*incarnationHistory
	inDoubt      map[string][]*run
	// maxForgottenGeneration is the highest generation of the worker IDs that were
	// forgotten: a worker that comes back refuses orders of a lower generation.
	maxForgottenGeneration int64
	workerList             []*worker // sorted by ID, so that decisions are deterministic
	jobs                   map[string]*job
	active                 []*job // unfinished, sorted by rank
	// runs are all runs that may occupy resources on a worker, by task and number.
	runs  map[runKey]*run
	dirty map[string]*job
	// finished are the jobs whose final state is persisted, in the order in which they
	// are forgotten; forgotten are those whose rows the owner has yet to delete.
	finished  []*job
	forgotten []string
	// movedAway are the jobs that moved to another shard, kept until no late message can
	// mention them to this owner.
	movedAway map[string]movedJob
	takeover  takeover
	// evacuated are the data centres on whose workers nothing may start.
	evacuated map[string]bool
	// teams are those of the configuration and of the jobs, teamList the same by name, and ledger holds this shard's
	// parts of their limits. unseenRound is the round in which the teams' unseen was computed.
	teams       map[string]*teamState
	teamList    []*teamState
	ledger      *quota.Ledger
	unseenRound int64
	// newlyBlocked is set once tasks of a team wait at its limit that did not before.
	newlyBlocked bool
	// partsKnown is set once all other shards have said what they have given to this one.
	partsKnown bool
	// unreadFunc reports whether a job may be in a part of the store that has not been
	// read; nil: all parts have been read.
	unreadFunc func(job string) bool
	commands   []Command
	// approvalRates are the shares of workers that the advice service approves, by queue.
	approvalRates map[string]float64
	// ratios are the learned ratios of run time to estimate.
	ratios map[stepKind]*ratio
	// kindSpeeds are the learned speeds of the kinds of workers.
	kindSpeeds map[string]*kindSpeed
	counts     Counts
	// directoryReadAt is when the directory was last read, and directoryReadSince since
	// when it has been read without a gap.
	directoryReadAt, directoryReadSince time.Time
	// scannedAt is when all workers and runs were last scanned.
	scannedAt time.Time
	// stallsCheckedAt is when the jobs were last checked for stalls, and stalledJobs how many had
	// stalled for firstStallLog then.
	stallsCheckedAt time.Time
	stalledJobs     int
	// startsLeft is how many more runs are started before the next round ends.
	startsLeft int
	// round counts the rounds of decisions.
	round int64
	// reservingSteps is how many steps have reserved room in this round.
	reservingSteps int
	// gangReserved is set once a gang has reserved room in this round, or has found none.
	gangReserved bool
	// isolatedRuns is how many runs are isolated. isolatedCrashes are the times of the last
	// crashes of workers under such runs, and lastCrashAt is when a worker was last found to
	// have crashed.
	isolatedRuns    int
	isolatedCrashes []time.Time
	lastCrashAt     time.Time
	// confirmedCauses are tasks that were found in this round to crash their workers.
	confirmedCauses []*task
	// spontaneousCrashes are the times of the last crashes of workers without a suspect, and
	// suspectCrashes the other crashes.
	spontaneousCrashes []time.Time
	suspectCrashes     []suspectCrash
	// load is what Load returns, measured at loadMeasuredAt.
	load           float64
	loadMeasuredAt time.Time
	// overloaded is set while the load is above the capacity, and latenessAt is when the
	// lateness of the jobs was last determined.
	overloaded bool
	latenessAt time.Time
	ordering   ordering
	// startSpreads are the learned times between the first and the last start of a step.
	startSpreads map[stepKind]*meanSpread
	forecasts    forecasts
}

// runKey identifies a run.
type runKey struct {
	task cluster.TaskID
	run  int64
}

// Counts are totals of decisions, for the metrics.
type Counts struct {
	Starts, Done, Failed, Lost, Stops, Preempted, Copies, AdviceCalls, Quarantines int64
	// CrashedRuns counts the runs under which a worker crashed soon after the start, and
	// CrashingJobs the jobs that failed because a task crashes its workers.
	CrashedRuns, CrashingJobs int64
	// AboveLimit counts the runs that were stopped since their team's limit was lowered.
	AboveLimit int64
	// RefusedProgress counts the writes of a job's progress that the store could not accept.
	RefusedProgress int64
}

// New returns an empty shard.
func New(params Params, now time.Time, log *zap.Logger) *Shard {
	return &Shard{
		params: params, log: log, startedAt: now,
		workers: make(map[string]*worker), incarnations: make(map[string]*incarnationHistory), inDoubt: make(map[string][]*run), jobs: make(map[string]*job), runs: make(map[runKey]*run),
		dirty: make(map[string]*job), movedAway: make(map[string]movedJob), takeover: takeover{open: true, loadedAt: now, jobsLoadedAt: now},
		approvalRates: make(map[string]float64), ratios: make(map[stepKind]*ratio), kindSpeeds: make(map[string]*kindSpeed), load: unknownLoad, forecasts: newForecasts(),
		teams: make(map[string]*teamState), ledger: quota.NewLedger(params.Index, params.Shards), unseenRound: -1, partsKnown: params.Shards <= 1,
		startsLeft: math.MaxInt, ordering: params.ordering(), startSpreads: make(map[stepKind]*meanSpread),
	}
}

// Counts returns the totals so far.
func (s *Shard) Counts() Counts { return s.counts }

// LimitStarts limits how many runs are started from now on. The step that reaches the limit is placed
// as a whole, and the others wait for a higher limit.
func (s *Shard) LimitStarts(n int) { s.startsLeft = n }

// Schedule takes all decisions that are open at now and returns the commands that carry
// them out.
func (s *Shard) Schedule(now time.Time) []Command {
	s.updateTakeover(now)
	if now.Sub(s.scannedAt) >= scanInterval {
		s.scannedAt = now
		s.scan(now)
	}
	s.placeAll(now)
	for _, t := range s.confirmedCauses {
		s.failIfCauseConfirmed(now, t)
	}
	s.confirmedCauses = nil
	out := s.commands
	s.commands = nil
	return out
}

// scanInterval is how often all workers and runs are scanned. Their reports are up to
// half a second old, while a busy shard places work up to 250 times a second: scanning
// each time was a sixth of an owner's own work with 120 workers.
const scanInterval = 50 * time.Millisecond

// scan checks all workers and runs for what changes by the passing of time alone, such as
// expired leases and stalled runs.
func (s *Shard) scan(now time.Time) {
	s.updateRepeats(now)
	s.endDeferral(now)
	s.expireLeases(now)
	s.expireInDoubt(now)
	s.forgetIncarnations(now)
	s.checkProgress(now)
	s.findFailingSteps(now)
	s.detectLeavingWorkers(now)
	s.stopOnLeavingWorkers(now)
	s.paceBestEffortRuns(now)
	s.enforceLimits(now)
	s.forgetFinished(now)
	s.updateLoad(now)
	s.updateLateness(now)
	s.updateForecast(now)
	s.updateSlowness()
	s.logWaitingTasks(now)
	s.checkStalls(now)
	s.logTakeover(now)
}

// emit queues a command for Schedule to return.
func (s *Shard) emit(c Command) { s.commands = append(s.commands, c) }

// WaitingJobs returns how many accepted jobs of a queue have no task that has begun.
func (s *Shard) WaitingJobs(queue string) int {
	n := 0
	for _, j := range s.active {
		if j.spec.Queue == queue && j.spec.Share.Leads() && !j.begun && !j.state.Finished() {
			n++
		}
	}
	return n
}

// Job returns a job's state as far as it is persisted; ok is false for an unknown job,
// and for one that another shard leads.
func (s *Shard) Job(id string) (state cluster.State, ok bool) {
	j := s.jobs[id]
	if j == nil || j.isParticipant() {
		return "", false
	}
	if j.state.Finished() && !j.finalPersisted {
		return cluster.StateRunning, true
	}
	if !j.state.Finished() && j.begun {
		return cluster.StateRunning, true
	}
	return j.state, true
}

// JobTeam returns the team to which a job belongs; empty if it is unknown, or came without a
// token.
func (s *Shard) JobTeam(id string) string {
	if j := s.jobs[id]; j != nil {
		return j.spec.Team
	}
	return ""
}

// HasJob reports whether the job is known.
func (s *Shard) HasJob(id string) bool { return s.jobs[id] != nil }

// IsMoving reports whether the job may be on its way to another shard.
func (s *Shard) IsMoving(id string) bool { return s.jobs[id] != nil && s.jobs[id].moving }
