// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"iter"
	"slices"
	"sort"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/forecast"
)

// job is an accepted job and its progress.
type job struct {
	spec cluster.Job
	// team is the job's team; nil: it has none.
	team *teamState
	rank Rank
	// deferralEnded is set once the job was deferred for maxDeferral beyond its due time.
	deferralEnded bool
	// repeats are those that are open, by number; ended are the numbers of those that have ended and
	// were released, and nextRepeat is the first one that was not looked at yet.
	repeats    []*repeat
	ended      numberSet
	nextRepeat int
	state      cluster.State
	// begun is set once a run of the job was ordered, or found on a worker, and ran once one may have run
	// there: no worker has refused it.
	begun, ran bool
	// inherited is set for jobs that an earlier owner may have started.
	inherited bool
	// uncertain is set from the load of an inherited job until the takeover is complete: tasks without
	// state may be running on a worker that has not answered.
	uncertain bool
	// moving is set while the job may be on its way to another shard.
	moving bool
	// offeredAt is when the job was last offered to other shards, or when it was added if
	// it never was.
	offeredAt time.Time
	// finalPersisted is set once the final state is in the store.
	finalPersisted bool
	finishedAt     time.Time
	version        int64 // of the progress row
	changeCount    int64 // rises with each change that has to be persisted
	durableChange  int64 // the last change that is persisted
	// isChunked is set once the progress is divided over several rows. chunkHashes are the hashes of the
	// rows of chunks in the store.
	isChunked   bool
	chunkHashes map[chunkID]uint64
	// refusedUntil is until when no write of the job's progress is tried, since the store refused it.
	refusedUntil time.Time
	// failing is set while the job is being failed in all of its shards.
	failing bool
	// skippedBatches is how many batches in a row have not included the job's changes.
	skippedBatches int
	// failures has a record of failures for each step that has any; nil: no step has.
	failures []*failureRecord
	// tasksLeft is how many tasks have not succeeded.
	tasksLeft int
	// forecast is the forecast that was made when the job was accepted; nil: there is none.
	forecast *forecast.Pending
	// stalledSince is since when nothing of the job runs although a step's turn has come; zero:
	// something runs, or nothing should. nextStallLog is the stall after which the log reports it
	// next.
	stalledSince time.Time
	nextStallLog time.Duration
}

// step is a step of one repeat.
type step struct {
	id     StepID
	job    *job
	repeat *repeat
	spec   *cluster.Step
	// tasks are the first tasks of the step, which have state; pristine is how many of the others may
	// run here and have not succeeded.
	tasks    []*task
	pristine int
	// done is how many of all tasks have succeeded, or are run by another shard.
	done int
	// released stands for all tasks whose state was released, at releasedAtDone done ones, and
	// longestRun is the longest run time of these.
	released       *task
	releasedAtDone int
	longestRun     time.Duration
	// depsDone is how many of the steps that it depends on, in the order of the specification,
	// are known to be done.
	depsDone int
	// end is when its tasks are expected to have ended, as last computed.
	end stepEnd
	// lastGangRun is the highest run number that the gang has used.
	lastGangRun int64
	advice      advice
	joint       jointState
	// reservedOn are the workers that hold a reservation for the step, or held one that
	// has expired since.
	reservedOn []*worker
	// failedOn is when a member of the gang last failed, by worker ID.
	failedOn map[string]time.Time
	// waitingSince is when the step last began to wait for room; zero: it does not wait.
	waitingSince time.Time
	// limitSince is since when a gang waits for its team's limit; zero: it does not.
	limitSince time.Time
	// pendingSince is since when tasks of the step may start within their team's limit and wait for
	// advice or a worker; zero: none does.
	pendingSince time.Time
	// firstStart is when its first task started, and allStarted is set once all have.
	firstStart time.Time
	allStarted bool
	// noRoomAt is when the step last found no room to reserve.
	noRoomAt time.Time
}

// task is one task of a step.
type task struct {
	id   cluster.TaskID
	step *step
	done bool
	// failed are the numbers of the runs that failed, which count as attempts. A worker
	// reports an end, also to the next owner, until it is confirmed, so that numbers and
	// not reports are counted.
	failed  []int64
	lastRun int64
	// runs are those that may occupy resources: one, or two of a speculative task.
	runs       []*run
	checkpoint string
	// uncertain tasks may be running on a worker that has not answered since the
	// takeover.
	uncertain bool
	notBefore time.Time
	// failureDelay is for how long a long-running task was last delayed after a failure.
	failureDelay time.Duration
	// lostAt is the time at which the last run that was lost with its worker had ended; zero: none
	// was lost.
	lostAt time.Time
	// avoidWorker is the ID of the worker on which the task last failed, or was stopped
	// because it was slow or stalled, and avoidSince when. The worker may be the cause,
	// so others are tried first.
	avoidWorker string
	avoidSince  time.Time
	// waitingSince is since when the task could start but has no worker, and nextWaitLog
	// the waiting time after which the log reports it next.
	waitingSince time.Time
	nextWaitLog  time.Duration
	// restarts is how often the task was stopped because it was slow or stalled.
	restarts int
	// crashes are the crashes of workers under the task. crashChange is the job's change that
	// recorded the last one, and crashedAt when that was.
	crashes     CrashRecord
	crashChange int64
	crashedAt   time.Time
	// runTime is how long the successful run took, if it started without a checkpoint.
	runTime time.Duration
}

// newRank returns the rank of a job: by the queue's priority, then by the time at which
// the job is due.
func newRank(j *cluster.Job, now time.Time) Rank {
	age := time.Duration(0)
	if ms := now.UnixMilli() - j.AcceptedMS; ms > 0 {
		age = min(time.Duration(ms)*time.Millisecond, maxCountedAge)
	}
	allowed := allowedTime(j)
	priority := j.Policy.Priority
	if slices.ContainsFunc(j.Steps, func(s cluster.Step) bool { return s.LongRunning }) {
		priority = longRunningPriority
	}
	return Rank{Priority: priority, Due: now.Add(allowed - age), Accepted: now.Add(-age)}
}

// maxAllowedTime bounds the time after which a job is due.
const maxAllowedTime = 10 * 365 * 24 * time.Hour

// allowedTime returns how long a job may take by its queue's policy.
func allowedTime(j *cluster.Job) time.Duration {
	ms := float64(criticalPathMS(j.Steps))*max(1, j.Policy.Stretch) + float64(j.Policy.TargetMS)
	return time.Duration(min(ms, float64(maxAllowedTime.Milliseconds()))) * time.Millisecond
}

// maxCountedAge bounds the time since acceptance that is taken into account: the
// accepting node may be another one, whose clock may be wrong.
const maxCountedAge = time.Hour

// longRunningPriority places long-running tasks before all others: they must be running
// again within seconds, however full the shard is.
const longRunningPriority = -1

// criticalPathMS returns the longest chain of dependent steps by their estimates, in
// milliseconds.
func criticalPathMS(steps []cluster.Step) int64 {
	ends := make([]int64, len(steps))
	latest := int64(0)
	for i := range steps {
		start := int64(0)
		for _, k := range steps[i].After {
			start = max(start, ends[k])
		}
		ends[i] = start + steps[i].Estimate().Milliseconds()
		latest = max(latest, ends[i])
	}
	return latest
}

// AddJob adds an accepted job. One that is known stays as it is, unless the row shows that it has
// moved away and come back. progress is what an earlier owner persisted, or nil. Tasks
// of an uncertain job may already be running somewhere. So may, while the takeover is
// open, those of a job that was accepted for an earlier owner, which may not have known
// yet that it had been replaced.
func (s *Shard) AddJob(now time.Time, spec cluster.Job, progress *Progress, uncertain bool) {
	if known := s.jobs[spec.ID]; known != nil {
		if !known.hasComeBack(&spec) {
			return
		}
		s.log.Info("job has moved away and come back", events.JobMoved, zap.String("job", spec.ID), zap.Int("from_moves", known.spec.Moves), zap.Int("moves", spec.Moves))
		s.CompleteMove(now, spec.ID, known.spec.Moves)
	}
	if away, ok := s.movedAway[spec.ID]; ok && spec.Moves <= away.moves {
		return
	}
	uncertain = uncertain || (s.takeover.open && spec.Epoch < s.params.Epoch)
	if progress == nil {
		progress = s.carriedProgress(&spec)
	}
	spec.CarriedProgress = nil
	j := &job{spec: spec, team: s.team(now, spec.Team), rank: newRank(&spec, now), state: cluster.StatePending, inherited: uncertain, uncertain: uncertain, offeredAt: now}
	j.rank.BeyondWeight = s.countJob(j.team, &spec) && j.rank.Priority != longRunningPriority
	s.jobs[spec.ID] = j
	if progress != nil && progress.State.Finished() {
		j.state, j.begun, j.version = progress.State, true, progress.version
		s.noteEndedUnseen(j)
		s.endPersisted(now, j)
		return
	}
	j.tasksLeft = j.numRepeats() * j.tasksPerRepeat()
	if progress != nil {
		s.restore(j, progress)
	}
	s.openDueRepeats(now, j)
	at, _ := slices.BinarySearchFunc(s.active, j, func(a, b *job) int {
		if a.rank.Before(b.rank) {
			return -1
		}
		return 1
	})
	s.active = slices.Insert(s.active, at, j)
	s.forecastJob(now, j)
	s.log.Info("job added", events.JobAdded, zap.String("job", spec.ID), zap.String("queue", spec.Queue),
		zap.Int("tasks", j.tasksLeft), zap.Int("priority", j.rank.Priority), zap.Duration("due_in", j.rank.Due.Sub(now)),
		zap.Bool("uncertain", uncertain))
	s.finishIfDone(now, j)
	s.failIfAnyCauseConfirmed(now, j)
}

// carriedProgress returns the progress that a job brought from another shard, or nil.
func (s *Shard) carriedProgress(spec *cluster.Job) *Progress {
	if len(spec.CarriedProgress) == 0 {
		return nil
	}
	p, err := ParseProgress(spec.CarriedProgress, 0)
	if err != nil {
		s.log.Warn("progress of a moved job not readable, job starts anew", events.RowSkipped, zap.String("job", spec.ID), zap.Error(err))
		return nil
	}
	p.Moving = false
	return p
}

// task returns a task of the shard, or nil if the job or the task is unknown.
func (s *Shard) task(id cluster.TaskID) *task {
	st := s.step(StepID{id.Job, id.Repeat, id.Step})
	if st == nil || id.Index < 0 || id.Index >= st.spec.Count {
		return nil
	}
	return s.taskAt(st, id.Index)
}

// steps ranges over the steps of all open repeats of a job.
func (j *job) steps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, rep := range j.repeats {
			for _, st := range rep.steps {
				if !yield(st) {
					return
				}
			}
		}
	}
}

// ready reports whether the step is due and all steps that it depends on are done. The
// tasks of a participant start only while the lead keeps asking about them.
func (st *step) ready(now time.Time) bool {
	if now.Before(st.repeat.due) {
		return false
	}
	if st.job.isParticipant() {
		return st.recentlyQueried(now)
	}
	return st.dependenciesDone()
}

// EndJob ends a job as cancelled or failed, as persisted for all of its shards: none of its
// tasks start any more, and its runs are stopped.
func (s *Shard) EndJob(now time.Time, id string, state cluster.State) {
	j := s.jobs[id]
	if j == nil || j.state.Finished() {
		return
	}
	s.log.Info("job ended by its cancel row", events.JobEnded, zap.String("job", id), zap.String("state", string(state)))
	s.finishJob(now, j, state)
}

// finishJob sets a job's final state and stops its remaining runs.
func (s *Shard) finishJob(now time.Time, j *job, state cluster.State) {
	j.state, j.finishedAt = state, now
	s.forecastEnded(now, j)
	s.noteEndedUnseen(j)
	s.markChanged(j)
	s.active = slices.DeleteFunc(s.active, func(o *job) bool { return o == j })
	for st := range j.steps() {
		for _, t := range st.tasks {
			for _, r := range t.runs {
				s.stop(now, r, "job "+string(state))
			}
		}
	}
}

// finishIfDone ends a job as succeeded once all its tasks have.
func (s *Shard) finishIfDone(now time.Time, j *job) {
	if j.tasksLeft > 0 || j.state.Finished() || j.isParticipant() {
		return
	}
	s.log.Info("job ended", events.JobEnded, zap.String("job", j.spec.ID), zap.String("state", string(cluster.StateSucceeded)),
		zap.Duration("late_by", now.Sub(j.rank.Due)))
	s.finishJob(now, j, cluster.StateSucceeded)
}

// markTaskDone records that a task has succeeded, and stops its other copies.
func (s *Shard) markTaskDone(now time.Time, t *task) {
	if t.done {
		return
	}
	t.done = true
	if t.suspect() {
		s.clearFromCrashes(t)
	}
	st := t.step
	st.done++
	st.job.tasksLeft--
	s.counts.Done++
	s.markChanged(st.job)
	s.learnStepTime(now, st)
	for _, r := range t.runs {
		if !st.spec.Gang {
			s.stop(now, r, "another copy has succeeded")
		}
	}
	s.finishIfDone(now, st.job)
}

// markChanged records that the job's progress has to be persisted.
func (s *Shard) markChanged(j *job) {
	j.changeCount++
	s.dirty[j.spec.ID] = j
}

// endPersisted records that a job's final state is in the store.
func (s *Shard) endPersisted(now time.Time, j *job) {
	j.finalPersisted, j.finishedAt = true, now
	s.finished = append(s.finished, j)
}

// forgetFinished drops jobs whose final state has been kept for long enough.
func (s *Shard) forgetFinished(now time.Time) {
	for len(s.finished) > 0 && now.Sub(s.finished[0].finishedAt) > s.params.FinishedRetention {
		id := s.finished[0].spec.ID
		s.finished[0] = nil
		s.finished = s.finished[1:]
		delete(s.jobs, id)
		s.forgotten = append(s.forgotten, id)
	}
	for id, away := range s.movedAway {
		if now.Sub(away.at) > s.params.FinishedRetention {
			delete(s.movedAway, id)
		}
	}
}

// TakeForgottenJobs returns the jobs that were dropped since the last call; their rows in
// the store are not needed any more.
func (s *Shard) TakeForgottenJobs() []string {
	ids := s.forgotten
	s.forgotten = nil
	return ids
}

// workersByID returns the workers sorted by ID. The order of a map would make decisions
// random.
func workersByID(m map[string]*worker) []*worker {
	list := make([]*worker, 0, len(m))
	for _, w := range m {
		list = append(list, w)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].info.ID < list[k].info.ID })
	return list
}
