// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/scheduler"
)

// tick is the interval of reports and scheduling rounds in a simulation.
const tick = 100 * time.Millisecond

// fault is what is wrong with a worker for some seconds.
type fault uint8

const (
	noFault fault = iota
	faultFailsRuns
	faultStalls
	faultSlow
	faultSilent
	faultBusy
	faultInvalidEntry
	faultDrains
	faultDies
	faultCount
)

var faultNames = [faultCount]string{
	"is healthy", "fails its runs", "stalls", "is slow", "is silent", "is busy", "has an invalid entry", "drains", "dies",
}

// workerState is the part of a worker's state that fakeWorker does not hold.
type workerState struct {
	info       cluster.Worker
	fault      fault
	faultUntil time.Time
	deadline   int64
	// lastEndedRun holds the highest run of each task that ended or was stopped here.
	lastEndedRun map[cluster.TaskID]int64
	// drainedAt is when a draining worker ends; zero: it does not drain.
	drainedAt time.Time
	// clockZero is the origin of the worker's clock, and entryReadAt when its directory entry is
	// read next; zero: it is up to date.
	clockZero, entryReadAt time.Time
}

// clock returns the reading of a worker's monotonic clock in milliseconds.
func (s *simulation) clock(m *workerState) int64 {
	if m.clockZero.IsZero() {
		return s.now.UnixMilli()
	}
	return s.now.Sub(m.clockZero).Milliseconds()
}

// simRun is a run that a worker has accepted.
type simRun struct {
	startedAt time.Time
	progress  float64
	// failsAt is when the run fails; zero: it does not.
	failsAt time.Time
	// failsAtProgress is the progress, out of 1, at which the run fails; 0: it does not.
	failsAtProgress float64
}

// simJob is a job of one step.
type simJob struct {
	spec     cluster.Job
	duration time.Duration
	// approvalRate is the fraction of workers that the advice service approves.
	approvalRate float64
	// fails is set if the long-running tasks fail by themselves, or if the batch tasks always
	// fail.
	fails bool
	// crashesAfter is the time after which its tasks crash their workers; 0: they don't.
	crashesAfter time.Duration
	// added is set once the owner has the job, and ended once the job has ended.
	added, ended bool
	state        cluster.State
}

func (j *simJob) step() *cluster.Step { return &j.spec.Steps[0] }

// adviceCall is an open advice call.
type adviceCall struct {
	scheduler.RequestAdvice
	answerAt time.Time
}

type runKey struct {
	task cluster.TaskID
	run  int64
}

// adviceApproves reports whether the advice service approves a worker for a job.
func (s *simulation) adviceApproves(j *simJob, worker string) bool {
	if j.spec.Policy.Advice == nil {
		return true
	}
	h := fnv.New64a()
	_, err := fmt.Fprintf(h, "%d %s %s", s.seed, j.spec.ID, worker)
	if err != nil {
		panic("write to hash: " + err.Error())
	}
	return rand.New(rand.NewPCG(h.Sum64(), 0)).Float64() < j.approvalRate //nolint:gosec // Each seed must be reproducible.
}

// randomDuration draws a duration between two bounds.
func (s *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Float64()*float64(high-low))
}

// chance returns true with the given probability.
func (s *simulation) chance(probability float64) bool { return s.rng.Float64() < probability }

// addWorker adds a worker.
func (s *simulation) addWorker() {
	id := fmt.Sprintf("w%d", s.workersAdded)
	s.workersAdded++
	s.workers[id] = &fakeWorker{}
	s.workerStates[id] = &workerState{lastEndedRun: make(map[cluster.TaskID]int64), info: cluster.Worker{
		ID: id, Address: id, Service: "svc", Rack: fmt.Sprintf("r1-%d", s.rng.IntN(s.racks)), Labels: []string{"a"},
		Capacity: resource.Amount{CPUMilli: s.cpuMilli, MemoryMB: 2 * s.cpuMilli},
	}}
	s.readEntry(id)
}

// replaceWorker ends a worker and adds another one.
func (s *simulation) replaceWorker(id string) {
	for _, e := range slices.Clone(s.workers[id].running) {
		s.endRun(id, e.Task, e.Run, cluster.OutcomeStopped)
		s.clearRunning(e.Task)
	}
	delete(s.workers, id)
	delete(s.workerStates, id)
	if s.hasOwner() {
		s.shard.WorkerEnded(s.now, id, "its machine says so")
	}
	s.addWorker()
}

// readEntry lets the owner, if there is one, read a worker's directory entry.
func (s *simulation) readEntry(id string) {
	if !s.hasOwner() {
		return
	}
	m := s.workerStates[id]
	info := m.info
	info.ClockMS = s.clock(m)
	if !m.drainedAt.IsZero() {
		info.Draining, info.Remaining = true, m.drainedAt.Sub(s.now)
	}
	s.shard.UpsertWorker(s.now, info)
	if m.fault == faultInvalidEntry {
		s.shard.WorkerEntryInvalid(s.now, id)
	}
}

// updateFaults starts and ends faults.
func (s *simulation) updateFaults() {
	for _, id := range s.workerIDs() {
		m := s.workerStates[id]
		switch {
		case !m.drainedAt.IsZero() && s.now.After(m.drainedAt):
			s.replaceWorker(id)
			continue
		case m.fault != noFault && (s.faultsEnded() || s.now.After(m.faultUntil)):
			if m.fault == faultDies {
				s.replaceWorker(id)
				continue
			}
			s.setFault(id, noFault)
		case m.fault == noFault && !s.faultsEnded() && s.chance(s.faultRate):
			m.faultUntil = s.now.Add(s.randomDuration(time.Second, 12*time.Second))
			s.setFault(id, s.faultKinds[s.rng.IntN(len(s.faultKinds))])
		}
	}
}

// setFault starts a fault of a worker, or ends it with noFault.
func (s *simulation) setFault(id string, next fault) {
	m := s.workerStates[id]
	if next == faultDrains && m.drainedAt.IsZero() {
		m.drainedAt = s.now.Add(5 * time.Second)
		s.tracef("%s drains", id)
		s.readEntry(id)
		return
	}
	s.tracef("%s %s", id, faultNames[next])
	previous := m.fault
	m.fault = next
	s.workers[id].silent = next == faultSilent || next == faultDies
	if previous == faultInvalidEntry || next == faultInvalidEntry {
		s.readEntry(id)
	}
}

// used returns the resources in use on a worker, by all runs or only by long-running tasks.
func (s *simulation) used(id string, longRunningOnly bool) (sum resource.Amount) {
	for _, e := range s.workers[id].running {
		if st := s.byID[e.Task.Job].step(); st.LongRunning || !longRunningOnly {
			sum = sum.Add(st.Allocation())
		}
	}
	return sum
}

// pollWorkers delivers a report of every worker that is not silent.
func (s *simulation) pollWorkers() {
	for _, id := range s.workerIDs() {
		f, m := s.workers[id], s.workerStates[id]
		seq, order, seen, ok := s.shard.BeginHold(s.now, id)
		if !ok {
			continue
		}
		if f.silent {
			s.shard.HoldFailed(s.now, id, "silent")
			continue
		}
		if order.Started == m.info.Started {
			// A worker that has restarted since receives neither.
			m.deadline = max(m.deadline, order.DeadlineMS)
			f.confirmedEnd = max(f.confirmedEnd, seen)
		}
		f.ended = slices.DeleteFunc(f.ended, func(e cluster.RunEnd) bool { return e.N <= f.confirmedEnd })
		s.shard.Observe(s.now, id, seq, cluster.Report{
			Started: m.info.Started, ClockMS: s.clock(m), Running: slices.Clone(f.running), Ended: slices.Clone(f.ended),
		})
	}
}

// execute executes the commands of a scheduling round.
func (s *simulation) execute(commands []scheduler.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case scheduler.Start:
			s.shard.StartReplied(s.now, c.Worker, c.Task, c.Run, s.startRun(c))
		case scheduler.Stop:
			s.shard.StopReplied(s.now, c.Worker, c.Task, c.Run, s.stopRun(c))
		case scheduler.RequestAdvice:
			s.calls = append(s.calls, adviceCall{c, s.now.Add(c.ExpectedDuration)})
		}
	}
}

// startRun returns a worker's reply to a start, and starts the run unless it is rejected.
func (s *simulation) startRun(c scheduler.Start) cluster.Reply {
	m, f := s.workerStates[c.Worker], s.workers[c.Worker]
	switch {
	case m == nil:
		return cluster.ReplyOtherIncarnation
	case f.silent:
		return cluster.ReplyUnknown
	case c.Run <= m.lastEndedRun[c.Task]:
		return cluster.ReplyStaleRun
	case m.fault == faultBusy:
		return cluster.ReplyBusy
	}
	m.deadline = max(m.deadline, c.DeadlineMS)
	j := s.byID[c.Task.Job]
	st := j.step()
	if j.spec.Policy.Advice != nil && (!s.ticketValid(c.Ticket) || s.rejects()) {
		return cluster.ReplyTicketInvalid
	}
	if !m.info.Capacity.Sub(s.used(c.Worker, false)).Fits(st.Allocation()) || s.rejects() {
		return cluster.ReplyNoRoom
	}
	if on, ok := s.runningOn[c.Task]; ok {
		s.fail("%v starts on %s while it runs on %s", c.Task, c.Worker, on)
	}
	f.running = append(f.running, cluster.RunStatus{Task: c.Task, Run: c.Run})
	s.runningOn[c.Task] = c.Worker
	s.runs[runKey{c.Task, c.Run}] = s.newRun(j, m)
	s.checkStartsAfterCrashes(c.Task)
	if s.rejects() {
		return cluster.ReplyUnknown
	}
	if c.Started != m.info.Started {
		return cluster.ReplyNewIncarnation
	}
	return cluster.ReplyOK
}

// newRun draws whether and when a run fails.
func (s *simulation) newRun(j *simJob, m *workerState) *simRun {
	r := &simRun{startedAt: s.now}
	longRunning := j.step().LongRunning
	switch {
	case m.fault == faultFailsRuns:
		r.failsAt = s.now.Add(s.randomDuration(50*time.Millisecond, 400*time.Millisecond))
	case longRunning && j.fails && !s.failuresEnded():
		r.failsAt = s.now.Add(s.randomDuration(200*time.Millisecond, 10*time.Second))
	case !longRunning && j.fails:
		r.failsAtProgress = 0.5
	case !longRunning && !s.faultsEnded() && s.chance(0.05):
		r.failsAtProgress = 0.1 + 0.8*s.rng.Float64()
	}
	return r
}

// rejects draws whether a start or an advice call fails.
func (s *simulation) rejects() bool { return !s.faultsEnded() && s.chance(s.rejectRate) }

// ticketValid reports whether a ticket, whose value is its expiry time, is valid.
func (s *simulation) ticketValid(value string) bool {
	ms, err := strconv.ParseInt(value, 10, 64)
	return err == nil && s.now.UnixMilli() <= ms
}

// stopRun stops a run on a worker and returns the worker's reply.
func (s *simulation) stopRun(c scheduler.Stop) cluster.Reply {
	m, f := s.workerStates[c.Worker], s.workers[c.Worker]
	switch {
	case m == nil:
		return cluster.ReplyOtherIncarnation
	case f.silent:
		return cluster.ReplyUnknown
	}
	m.lastEndedRun[c.Task] = max(m.lastEndedRun[c.Task], c.Run)
	s.endSimRun(c.Worker, c.Task, c.Run, cluster.OutcomeStopped)
	return cluster.ReplyOK
}

// endSimRun ends a run on a worker, if it runs there.
func (s *simulation) endSimRun(id string, task cluster.TaskID, run int64, how cluster.Outcome) {
	if !slices.ContainsFunc(s.workers[id].running, func(e cluster.RunStatus) bool { return e.Task == task && e.Run == run }) {
		return
	}
	s.workerStates[id].lastEndedRun[task] = max(s.workerStates[id].lastEndedRun[task], run)
	s.endRun(id, task, run, how)
	s.clearRunning(task)
	if s.byID[task.Job].step().LongRunning {
		s.tracef("%v run %d on %s ended with %s", task, run, id, how)
	}
}

// clearRunning records that a task does not run any more.
func (s *simulation) clearRunning(task cluster.TaskID) { delete(s.runningOn, task) }

// advanceRuns advances all runs by a tick and ends those that are due.
func (s *simulation) advanceRuns() {
	members := make(map[runKey]int)
	for _, id := range s.workerIDs() {
		for _, e := range s.workers[id].running {
			if s.speed(id) > 0 {
				members[runKey{cluster.TaskID{Job: e.Task.Job}, e.Run}]++
			}
		}
	}
	for _, id := range s.workerIDs() {
		m := s.workerStates[id]
		leaseExpired := s.clock(m) > m.deadline
		for _, e := range slices.Clone(s.workers[id].running) {
			r := s.runs[runKey{e.Task, e.Run}]
			if leaseExpired {
				s.endSimRun(id, e.Task, e.Run, cluster.OutcomeLeaseExpired)
				continue
			}
			complete := members[runKey{cluster.TaskID{Job: e.Task.Job}, e.Run}] == s.byID[e.Task.Job].step().Count
			if how := s.advanceRun(id, e, r, complete); how != "" {
				s.endSimRun(id, e.Task, e.Run, how)
				continue
			}
			s.reportPercent(id, e, r)
		}
	}
}

// reportPercent sets the progress that a worker reports for a run.
func (s *simulation) reportPercent(id string, e cluster.RunStatus, r *simRun) {
	for i := range s.workers[id].running {
		if o := &s.workers[id].running[i]; o.Task == e.Task && o.Run == e.Run {
			o.Percent = min(100, int(100*r.progress))
		}
	}
}

// speed returns the speed of runs on a worker relative to a healthy one.
func (s *simulation) speed(id string) float64 {
	const slow = 0.15
	switch s.workerStates[id].fault {
	case faultStalls:
		return 0
	case faultSlow:
		return slow
	}
	return 1
}

// advanceRun advances a run by a tick and returns its outcome, or "". Members of a gang advance
// together, once the gang is complete.
func (s *simulation) advanceRun(id string, e cluster.RunStatus, r *simRun, complete bool) cluster.Outcome {
	const (
		startTime    = 400 * time.Millisecond
		aloneTimeout = 3 * time.Second
		slowGang     = 0.15
	)
	j := s.byID[e.Task.Job]
	st, duration, speed := j.step(), j.duration, s.speed(id)
	if st.LongRunning {
		duration = startTime
	}
	if st.Gang {
		switch {
		case !complete && s.now.Sub(r.startedAt) > aloneTimeout && r.progress == 0:
			return cluster.OutcomeGangIncomplete
		case !complete:
			speed = 0
		case s.gangIsSlow(e):
			speed = slowGang
		}
	}
	r.progress += speed * tick.Seconds() / duration.Seconds()
	switch {
	case !r.failsAt.IsZero() && !s.now.Before(r.failsAt) && (!st.LongRunning || !s.failuresEnded()):
		return cluster.OutcomeFailed
	case st.LongRunning:
		return ""
	case r.failsAtProgress > 0 && r.progress >= r.failsAtProgress:
		return cluster.OutcomeFailed
	case r.progress >= 1:
		return cluster.OutcomeDone
	}
	return ""
}

// gangIsSlow reports whether any member of a gang's run is on a slow worker.
func (s *simulation) gangIsSlow(e cluster.RunStatus) bool {
	for i := range s.byID[e.Task.Job].step().Count {
		if m := s.workerStates[s.runningOn[cluster.TaskID{Job: e.Task.Job, Index: i}]]; m != nil && m.fault == faultSlow {
			return true
		}
	}
	return false
}

// answerAdviceCalls answers the advice calls that are due.
func (s *simulation) answerAdviceCalls() {
	open := s.calls
	s.calls = nil
	for _, c := range open {
		if s.now.Before(c.answerAt) {
			s.calls = append(s.calls, c)
			continue
		}
		if s.rejects() {
			s.shard.AdviceReplied(s.now, c.Step, c.Workers, nil, 0, errNoAdvice)
			continue
		}
		j := s.byID[c.Step.Job]
		valid := time.Duration(j.spec.Policy.Advice.ValidMS) * time.Millisecond
		var tickets []cluster.Ticket
		for _, w := range c.Workers {
			if s.adviceApproves(j, w) {
				tickets = append(tickets, cluster.Ticket{Worker: w, Value: strconv.FormatInt(s.now.Add(valid).UnixMilli(), 10)})
			}
		}
		s.shard.AdviceReplied(s.now, c.Step, c.Workers, tickets, valid, nil)
	}
}
