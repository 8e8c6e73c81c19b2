// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
)

// runState is what the owner knows about the state of a run.
type runState uint8

const (
	// runStarting: ordered, no reply yet.
	runStarting runState = iota
	// runRunning: the worker has accepted the order or reported the run.
	runRunning
	// runUnanswered: the call for the order failed; the worker may still start the run
	// seconds later.
	runUnanswered
)

// run is one run of a task on a worker. It occupies its resources until the worker
// reports its end, or it is certain that it is not running there.
type run struct {
	task   *task
	number int64
	worker *worker
	state  runState
	// stopping is set once a stop was ordered, and stopped once it was acknowledged.
	stopping   bool
	stopped    bool
	stopSentAt time.Time
	stopCause  string
	// knownSinceHold is the number of the last hold sent before the latest reply about
	// the run: only reports of later holds tell whether it is there.
	knownSinceHold int64
	startedAt      time.Time
	// orderedAt is when the run was ordered, or found, and accepted is set once its
	// worker's incarnation is known to have accepted the order.
	orderedAt time.Time
	accepted  bool
	// percent is how much of the work is done, and percentChangedAt when that last
	// changed. firstPercent and firstAt are the first progress that was reported.
	percent          int
	percentChangedAt time.Time
	firstPercent     int
	firstAt          time.Time
	// latencyMS is the last tail latency that a serving task reported; of other tasks it is
	// not used.
	latencyMS int64
	// pace is the share of its full speed at which the run works, in percent, paceSetAt
	// when it was last set, and calmSince when the calm period began in which the latency
	// of the serving tasks beside it is low; each rise of the pace begins a new one.
	pace      int
	paceSetAt time.Time
	calmSince time.Time
	// resumed is set if the run started from a checkpoint.
	resumed bool
	// isolated is set while the run keeps other tasks from starting on its worker.
	isolated bool
	// credited is set once a long-running run has counted as a success of its worker.
	credited bool
	// survived is set once the run has counted as a success of its step, because it has run
	// for far longer than those that failed.
	survived bool
}

func (r *run) key() runKey { return runKey{r.task.id, r.number} }

// sortedRuns returns runs in a fixed order, so that decisions are deterministic.
func sortedRuns(m map[runKey]*run) []*run {
	list := make([]*run, 0, len(m))
	for _, r := range m {
		list = append(list, r)
	}
	slices.SortFunc(list, compareRun)
	return list
}

func compareRun(a, b *run) int {
	return cmp.Or(cmp.Compare(a.number, b.number), compareTask(a.task.id, b.task.id))
}

// compareTask orders tasks by job, repeat, step and index.
func compareTask(a, b cluster.TaskID) int {
	switch {
	case a.Job < b.Job:
		return -1
	case a.Job > b.Job:
		return 1
	case a.Repeat != b.Repeat:
		return a.Repeat - b.Repeat
	case a.Step != b.Step:
		return a.Step - b.Step
	}
	return a.Index - b.Index
}

// addRun records a run on a worker and allocates its resources there.
func (s *Shard) addRun(now time.Time, t *task, n int64, w *worker, state runState) *run {
	r := &run{task: t, number: n, worker: w, state: state, startedAt: now, orderedAt: now, percentChangedAt: now, knownSinceHold: w.holdsSent, pace: fullPace}
	t.runs, t.waitingSince, t.nextWaitLog = append(t.runs, r), time.Time{}, 0
	t.lastRun = max(t.lastRun, n)
	t.step.lastGangRun = max(t.step.lastGangRun, n)
	w.runs[r.key()] = r
	w.used = w.used.Add(t.step.spec.Allocation())
	s.runs[r.key()] = r
	if team := t.step.job.team; team != nil {
		team.addUse(t.step, 1)
	}
	t.step.repeat.begun = true
	if j := t.step.job; !j.begun {
		j.begun = true
		s.markChanged(j)
	}
	return r
}

// dropRun removes a run that is certain not to be running any more.
func (s *Shard) dropRun(r *run) {
	if s.runs[r.key()] != r {
		return
	}
	s.endIsolation(r)
	delete(s.runs, r.key())
	if team := r.task.step.job.team; team != nil {
		team.addUse(r.task.step, -1)
	}
	delete(r.worker.runs, r.key())
	r.worker.used = r.worker.used.Sub(r.task.step.spec.Allocation())
	r.task.runs = slices.DeleteFunc(r.task.runs, func(o *run) bool { return o == r })
}

// stopRetryInterval is after what time an unanswered stop is sent again.
const stopRetryInterval = 350 * time.Millisecond

// stop orders a run to stop. It keeps its resources until its worker reports its end.
func (s *Shard) stop(now time.Time, r *run, cause string) {
	if r.stopping && (r.stopped || now.Sub(r.stopSentAt) < stopRetryInterval) {
		return
	}
	if !r.stopping {
		s.counts.Stops++
		s.log.Info("stopping run", events.RunStopped, zap.Stringer("task", r.task.id), zap.Int64("run", r.number),
			zap.String("worker", r.worker.info.ID), zap.String("cause", cause), zap.Int("percent", r.percent))
	}
	r.stopping, r.stopSentAt, r.stopCause = true, now, cause
	s.emit(Stop{Order: s.orderFor(r.worker), Task: r.task.id, Run: r.number})
}

// stopOtherMembers stops the other members of a gang's run when one is lost.
func (s *Shard) stopOtherMembers(now time.Time, r *run, cause string) {
	if !r.task.step.spec.Gang || r.task.done {
		return
	}
	s.stopGangRun(now, r.task.step, r.number, cause)
}

// StartReplied takes the reply to a start.
func (s *Shard) StartReplied(now time.Time, id string, task cluster.TaskID, n int64, reply cluster.Reply) {
	r := s.runs[runKey{task, n}]
	if r == nil || r.worker.info.ID != id {
		return
	}
	if s.workers[id] != r.worker {
		s.inDoubtStartReplied(now, r, reply)
		return
	}
	if reply != cluster.ReplyOK {
		s.log.Info("start rejected", events.StartRejected, zap.Stringer("task", task), zap.Int64("run", n),
			zap.String("worker", id), zap.String("reply", string(reply)))
	}
	switch reply {
	case cluster.ReplyOK:
		if r.state == runStarting {
			r.state, r.startedAt, r.percentChangedAt = runRunning, now, now
		}
		r.knownSinceHold, r.accepted, r.task.step.job.ran = r.worker.holdsSent, true, true
		return
	case cluster.ReplyNewIncarnation:
		// It may run there under an incarnation that is not known yet, whose report will
		// tell.
		s.emit(Poll{Worker: id})
		return
	case cluster.ReplyUnknown:
		r.state, r.knownSinceHold = runUnanswered, r.worker.holdsSent
		if r.isolated {
			// A task that crashes its workers has few starts, so a run that is there goes on.
			s.emit(Poll{Worker: id})
			return
		}
		s.stop(now, r, "start not answered")
		s.stopOtherMembers(now, r, "start not answered")
		return
	case cluster.ReplyOtherIncarnation:
		s.WorkerEnded(now, id, EvidenceOtherIncarnation)
		return
	case cluster.ReplyTicketInvalid:
		r.task.step.advice.discardTicket(id)
	case cluster.ReplyBusy:
		s.workerFailed(now, r.worker, r, r.task.step)
		r.worker.busyUntil = now.Add(s.params.StopTime + busyWorkerDelay)
	case cluster.ReplyInvalid:
		// It may be the fault of the job.
		s.runFailed(now, r.worker, r, r.task.step)
	case cluster.ReplyNotSent:
		s.HoldFailed(now, id, "connection not made")
	case cluster.ReplyFenced, cluster.ReplyStaleRun, cluster.ReplyDeadlinePassed, cluster.ReplyNoRoom:
	}
	r.task.notBefore = now.Add(rejectedStartDelay)
	s.dropRun(r)
	s.noteNotRun(r)
	s.stopOtherMembers(now, r, "start rejected")
}

// noteNotRun records that a run that was dropped has never run. A job all of whose starts were refused
// has not begun.
func (s *Shard) noteNotRun(r *run) {
	j := r.task.step.job
	if r.accepted || j.ran || !j.begun || j.state.Finished() || j.mayBeRunning() {
		return
	}
	j.begun = false
	s.markChanged(j)
}

// rejectedStartDelay keeps a task whose start was rejected from being tried again at
// once.
const rejectedStartDelay = 50 * time.Millisecond

// busyWorkerDelay is how much longer than a stop takes a busy worker gets no other start:
// a task whose worker refuses has to start elsewhere, and a gang again as soon as its
// other members are stopped.
const busyWorkerDelay = 300 * time.Millisecond

// StopReplied takes the reply to a stop.
func (s *Shard) StopReplied(now time.Time, id string, task cluster.TaskID, n int64, reply cluster.Reply) {
	r := s.runs[runKey{task, n}]
	if r == nil || r.worker.info.ID != id || s.workers[id] != r.worker {
		return
	}
	switch reply {
	case cluster.ReplyOK:
		r.stopped, r.knownSinceHold = true, r.worker.holdsSent
		if r.state == runUnanswered {
			// The report of the open hold does not tell about it, and the worker may keep
			// the next hold open.
			s.emit(Poll{Worker: id})
		}
	case cluster.ReplyOtherIncarnation:
		s.WorkerEnded(now, id, EvidenceOtherIncarnation)
	default:
		r.stopSentAt = now
		if r.state == runUnanswered && reply == cluster.ReplyUnknown && !r.worker.silent {
			s.emit(Stop{Order: s.orderFor(r.worker), Task: task, Run: n})
		}
	}
}

// PaceReplied takes the reply to a change of pace.
func (s *Shard) PaceReplied(_ time.Time, id string, task cluster.TaskID, n int64, reply cluster.Reply) {
	r := s.runs[runKey{task, n}]
	if r != nil && r.worker.info.ID == id && reply != cluster.ReplyOK {
		// It is not known whether the pace was set; the next round sets it again.
		r.pace = paceUnknown
	}
}
