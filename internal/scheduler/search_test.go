// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/scheduler"
)

var errNoAdvice = errors.New("no advice")

const (
	// restartWithinWhenFull is restartWithin for workers that are full of less urgent work.
	restartWithinWhenFull = 12 * time.Second
	// fullSeeds is the number of seeds with MODEL=full; defaultSeeds is that without.
	fullSeeds = 40_000
	// failuresTime is the time after the end of the injected faults in which long-running
	// tasks still fail by themselves.
	failuresTime = 25 * time.Second
	// finishTime is the time within which all jobs that fit end after the last failure, in
	// addition to twice the time that they take one after the other.
	finishTime = 30 * time.Second
	// maxBacklog is the backlog up to which more jobs are submitted.
	maxBacklog = 8 * time.Second
	// recoveryTime is the time within which no worker is quarantined or on probation any more
	// once tasks succeed on all of them.
	recoveryTime = 40 * time.Second
)

// simulation is a shard with workers, jobs and injected faults, all derived from a seed.
type simulation struct {
	*rig
	seed  uint64
	rng   *rand.Rand
	start time.Time
	// From faultsEndAt on only long-running tasks fail, by themselves, and from failuresEndAt
	// on nothing does.
	faultsEndAt, failuresEndAt time.Time
	// The shard loses its first owner at ownerLossAt, if set, and has none until noOwnerUntil.
	noOwnerUntil, ownerLossAt time.Time

	workersAdded, racks int
	// cpuMilli is the CPU capacity of each worker, in thousandths of a core.
	cpuMilli int64
	// faultKinds are the faults that occur, faultRate is the probability of one per worker and
	// tick, rejectRate that a start or an advice call fails, and submitRate that a batch job is
	// submitted in a tick.
	faultKinds            []fault
	faultRate, rejectRate float64
	submitRate            float64

	workerStates map[string]*workerState
	jobs         []*simJob
	byID         map[string]*simJob
	rows         map[string]scheduler.Record
	calls        []adviceCall
	runs         map[runKey]*simRun
	// runningOn holds the worker on which each task runs.
	runningOn map[cluster.TaskID]string
	// These hold since when a long-running task does not run although an approved worker could
	// hold two such tasks, or one, beside its long-running tasks.
	roomForTwoSince, roomForOneSince map[cluster.TaskID]time.Time

	// crashes draws which jobs have tasks that crash their workers; nil: none does.
	crashes *rand.Rand
	// seenCrashes is how often each task has crashed its worker while there was an owner, and
	// startsAfterCrashes how often it has started after the last crash that is allowed.
	seenCrashes, startsAfterCrashes map[cluster.TaskID]int
	// backAt is when each crashed worker is replaced.
	backAt []time.Time

	// restarts draws which workers restart under their IDs; nil: none does.
	restarts *rand.Rand

	failure string
	trace   *bytes.Buffer
}

// TestSearchTasksStart searches seeded simulations for tasks that are due and don't start
// although there is room. Workers fail runs, stall, are slow or silent, drain or die; starts and
// advice calls are rejected; the owner is replaced. After these faults, only long-running tasks
// fail for a while, by themselves, and then nothing does.
//
// It guards against these failures of long-running tasks:
//   - workers that were quarantined don't become usable again;
//   - a free place goes to the waiting task of a step with the lowest index, so that the last
//     tasks of the step never run (seed 138);
//   - no room is reserved for a step while it asks for advice, or less urgent work is not
//     preempted for it for up to 4 s, which is longer than tickets are valid (seed 91).
//
// SEARCH_SEED=n runs one seed and prints its trace, SEARCH_PLAYS=n runs the first n seeds, and
// MODEL=full runs 40,000.
func TestSearchTasksStart(t *testing.T) {
	if value := os.Getenv("SEARCH_SEED"); value != "" {
		seed, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		failure, trace := simulateSeed(t, seed, true)
		t.Logf("%s\nseed %d: %s", trace, seed, failure)
		if failure != "" {
			t.Fail()
		}
		return
	}
	seeds := defaultSeeds
	if n, err := strconv.Atoi(os.Getenv("SEARCH_PLAYS")); err == nil {
		seeds = n
	} else if os.Getenv("MODEL") == "full" {
		seeds = fullSeeds
	}
	failed := 0
	const mostShown = 20
	for seed, failure := range simulateSeeds(t, seeds) {
		if failure == "" {
			continue
		}
		if failed++; failed <= mostShown {
			t.Errorf("SEARCH_SEED=%d: %s", seed, failure)
		}
		if failed == 1 {
			_, trace := simulateSeed(t, uint64(seed), true)
			t.Log(lastLines(trace))
		}
	}
	t.Logf("%d of %d seeds failed", failed, seeds)
}

// TestSearchSeedsThatFailed runs the seeds that failed once, each with a long-running task that
// did not run for over 6 s although there was room for it.
func TestSearchSeedsThatFailed(t *testing.T) {
	for seed, cause := range map[uint64]string{
		138: "a free place went to the waiting task with the lowest index",
		91:  "no room was reserved while the step asked for advice",
		667: "a step that found no room was skipped for half a second, and a gang took what became free",
		878: "as seed 667",
		// The cause is not certain; it passes since room is looked for in each round.
		24019: "twelve tasks share six workers, and places stay free while advice is asked again",
	} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			if failure, trace := simulateSeed(t, seed, true); failure != "" {
				t.Errorf("%s\n%s; the earlier cause: %s", lastLines(trace), failure, cause)
			}
		})
	}
}

// simulateSeeds runs the first seeds in parallel and returns the failure of each, or "".
func simulateSeeds(t *testing.T, seeds int) []string {
	failures := make([]string, seeds)
	var wg sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for n := int(next.Add(1)) - 1; n < seeds; n = int(next.Add(1)) - 1 {
				failures[n], _ = simulateSeed(t, uint64(n), false)
			}
		})
	}
	wg.Wait()
	return failures
}

// lastLines returns the end of a trace.
func lastLines(trace string) string {
	const most = 60
	lines := strings.Split(trace, "\n")
	return strings.Join(lines[max(0, len(lines)-most):], "\n")
}

// simulateSeed runs a seed and returns its failure, or "", and its trace if traced is set.
func simulateSeed(t *testing.T, seed uint64, traced bool) (failure, trace string) {
	return newSimulation(t, seed, traced).run()
}

// run runs the simulation to its end.
func (s *simulation) run() (failure, trace string) {
	for s.failure == "" && !s.failuresEnded() {
		s.runTick()
	}
	for bound := s.finishTimeout(); s.failure == "" && s.unfinishedJob() != nil; {
		if s.now.Sub(s.failuresEndAt) > bound {
			s.fail("%s", s.describe(s.unfinishedJob()))
		}
		s.runTick()
	}
	s.checkWorkersRecover()
	if s.trace != nil {
		trace = s.trace.String()
	}
	return s.failure, trace
}

// newSimulation derives a simulation from a seed.
func newSimulation(t *testing.T, seed uint64, traced bool) *simulation {
	s := &simulation{
		rig:  &rig{t: t, now: time.Unix(1_000, 0), workers: make(map[string]*fakeWorker), longRunning: make(map[string]bool), log: zap.NewNop()},
		seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // Each seed must be reproducible.
		workerStates: make(map[string]*workerState), byID: make(map[string]*simJob), rows: make(map[string]scheduler.Record),
		runs: make(map[runKey]*simRun), runningOn: make(map[cluster.TaskID]string),
		roomForTwoSince: make(map[cluster.TaskID]time.Time), roomForOneSince: make(map[cluster.TaskID]time.Time),
	}
	s.start = s.now
	if traced {
		s.trace = &bytes.Buffer{}
		enc := zapcore.EncoderConfig{MessageKey: "m", LevelKey: "l", EncodeLevel: zapcore.LowercaseLevelEncoder, EncodeDuration: zapcore.StringDurationEncoder}
		s.log = zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(enc), zapcore.AddSync(traceWriter{s}), zapcore.InfoLevel))
	}
	s.faultsEndAt = s.now.Add(s.randomDuration(8*time.Second, 25*time.Second))
	s.failuresEndAt = s.faultsEndAt.Add(failuresTime)
	if s.chance(0.3) {
		s.ownerLossAt = s.now.Add(s.randomDuration(3*time.Second, s.faultsEndAt.Sub(s.now)))
	}
	s.racks, s.cpuMilli = 1+s.rng.IntN(4), []int64{4000, 8000}[s.rng.IntN(2)]
	for k := faultFailsRuns; k < faultCount; k++ {
		if s.chance(0.4) {
			s.faultKinds = append(s.faultKinds, k)
		}
	}
	if len(s.faultKinds) == 0 {
		s.faultKinds = []fault{faultFailsRuns}
	}
	s.faultRate, s.rejectRate, s.submitRate = 0.05*s.rng.Float64(), 0.05*s.rng.Float64(), 0.3*s.rng.Float64()
	s.takeOver()
	for range 1 + s.rng.IntN(12) {
		s.addWorker()
	}
	s.submitLongRunning()
	return s
}

// traceWriter adds the log of the shard to the trace.
type traceWriter struct{ s *simulation }

func (w traceWriter) Write(line []byte) (int, error) {
	w.s.tracef("  %s", strings.TrimSpace(string(line)))
	return len(line), nil
}

// tracef adds a line with the time to the trace.
func (s *simulation) tracef(format string, args ...any) {
	if s.trace != nil {
		fmt.Fprintf(s.trace, "%6.1f %s\n", s.now.Sub(s.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// fail records the first failure.
func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %.1f s (faults until %.1f s): ", s.now.Sub(s.start).Seconds(), s.faultsEndAt.Sub(s.start).Seconds()) + fmt.Sprintf(format, args...)
		s.tracef("FAILED: %s", s.failure)
	}
}

func (s *simulation) faultsEnded() bool   { return !s.now.Before(s.faultsEndAt) }
func (s *simulation) failuresEnded() bool { return !s.now.Before(s.failuresEndAt) }

// hasOwner reports whether the shard has an owner.
func (s *simulation) hasOwner() bool { return !s.now.Before(s.noOwnerUntil) }

// runTick simulates one tick.
func (s *simulation) runTick() {
	wasOwned := s.hasOwner()
	s.now = s.now.Add(tick)
	if !wasOwned && s.hasOwner() {
		s.startNextOwner()
	}
	if !s.ownerLossAt.IsZero() && s.now.After(s.ownerLossAt) {
		s.ownerLossAt = time.Time{}
		s.noOwnerUntil = s.now.Add(s.randomDuration(tick, 4*time.Second))
		if s.noOwnerUntil.After(s.faultsEndAt) {
			s.faultsEndAt, s.failuresEndAt = s.noOwnerUntil, s.noOwnerUntil.Add(failuresTime)
		}
		s.calls = nil
		s.tracef("the owner is lost")
	}
	s.updateFaults()
	s.restartWorkers()
	s.crashWorkers()
	s.submitJobs()
	s.advanceRuns()
	if s.hasOwner() {
		s.runOwner()
	}
	if s.faultsEnded() {
		s.checkLongRunning()
	}
}

// runOwner runs one scheduling round of the owner.
func (s *simulation) runOwner() {
	s.answerAdviceCalls()
	s.pollWorkers()
	s.execute(s.shard.Schedule(s.now))
	s.persist(s.rows)
	s.recordEnded()
}

// startNextOwner starts the next owner, which reads the jobs and their persisted progress.
func (s *simulation) startNextOwner() {
	s.tracef("the next owner starts")
	s.takeOver()
	for _, id := range s.workerIDs() {
		s.readEntry(id)
	}
	for _, j := range s.jobs {
		if j.added {
			s.loadJob(j.spec, s.rows)
		}
	}
}

// submitJobs draws new jobs and hands all pending ones to the owner, if there is one.
func (s *simulation) submitJobs() {
	if !s.failuresEnded() && s.now.Sub(s.faultsEndAt) < failuresTime*2/3 && s.chance(s.submitRate) && s.backlog() < maxBacklog {
		s.submitBatch()
	}
	if !s.hasOwner() {
		return
	}
	for _, j := range s.jobs {
		if !j.added {
			j.added = true
			s.shard.AddJob(s.now, j.spec, nil, false)
		}
	}
}

// addJob completes the specification of a job and queues it for the owner.
func (s *simulation) addJob(j *simJob) {
	j.spec.ID = fmt.Sprintf("j%d", len(s.jobs))
	j.spec.Queue, j.spec.Service, j.spec.Epoch = fmt.Sprintf("q%d", s.rng.IntN(3)), "svc", s.epoch
	j.spec.AcceptedMS = s.now.UnixMilli()
	if s.chance(0.5) {
		j.approvalRate = 0.35 + 0.65*s.rng.Float64()
		j.spec.Policy.Advice = &cluster.AdviceCost{BaseMS: 100 + s.rng.Float64()*800, PerWorkerMS: 5 * s.rng.Float64(), ValidMS: 1500 + s.rng.Int64N(3000)}
	}
	s.jobs = append(s.jobs, j)
	s.byID[j.spec.ID] = j
	st := j.step()
	s.tracef("%s is submitted: %+v, duration %s, approval rate %.2f, fails %t", j.spec.ID, *st, j.duration, j.approvalRate, j.fails)
}

// submitLongRunning draws the long-running jobs, which take up to 45% of the capacity.
func (s *simulation) submitLongRunning() {
	capacity := int64(len(s.workers)) * s.cpuMilli * 45 / 100
	for range 1 + s.rng.IntN(5) {
		cpu := 250 * (1 + s.rng.Int64N(6))
		n := int64(1 + s.rng.IntN(max(1, len(s.workers))))
		if capacity -= n * cpu; capacity < 0 {
			return
		}
		st := cluster.Step{Count: int(n), Need: resource.Amount{CPUMilli: cpu, MemoryMB: 100}, LongRunning: true}
		if s.chance(0.6) {
			st.MaxPerWorker = 1 + s.rng.IntN(2)
		}
		s.addJob(&simJob{spec: cluster.Job{Policy: cluster.Policy{Priority: s.rng.IntN(3), MaxAttempts: 2, Stretch: 2}, Steps: []cluster.Step{st}}, fails: s.chance(0.7)})
	}
}

// submitBatch draws a batch job, in some cases a gang.
func (s *simulation) submitBatch() {
	n := 1 + s.rng.IntN(2*len(s.workers)+1)
	st := cluster.Step{Count: n, Need: resource.Amount{CPUMilli: min(250*(1+s.rng.Int64N(16)), s.cpuMilli), MemoryMB: 100}}
	duration := s.randomDuration(200*time.Millisecond, 6*time.Second)
	st.EstimateMS = int64(float64(duration.Milliseconds()) * (0.5 + s.rng.Float64()))
	if s.chance(0.25) {
		st.Gang, st.OneRack = true, s.chance(0.3)
	}
	if s.chance(0.2) {
		st.MaxPerWorker = 1 + s.rng.IntN(3)
	}
	s.addJob(&simJob{
		spec:     cluster.Job{Policy: cluster.Policy{Priority: s.rng.IntN(3), MaxAttempts: 2 + s.rng.IntN(3), Stretch: 1.5 + s.rng.Float64(), TargetMS: 1000}, Steps: []cluster.Step{st}},
		duration: duration, fails: s.chance(0.05),
	})
}

// checkLongRunning checks that long-running tasks restart in time.
func (s *simulation) checkLongRunning() {
	for _, j := range s.jobs {
		if !j.step().LongRunning {
			continue
		}
		for i := range j.step().Count {
			task := cluster.TaskID{Job: j.spec.ID, Index: i}
			forTwo := s.pendingFor(s.roomForTwoSince, task, j, 2)
			forOne := s.pendingFor(s.roomForOneSince, task, j, 1)
			if s.now.Sub(s.faultsEndAt) < testLease {
				continue
			}
			if forTwo > restartWithin {
				s.fail("%v has not run for %s although a worker could hold two of it beside its long-running tasks", task, forTwo)
			}
			if forOne > restartWithinWhenFull {
				s.fail("%v has not run for %s although a worker could hold it beside its long-running tasks", task, forOne)
			}
		}
	}
}

// pendingFor returns for how long a task has not run although an approved worker could hold the
// given number of such tasks beside its long-running ones.
func (s *simulation) pendingFor(since map[cluster.TaskID]time.Time, task cluster.TaskID, j *simJob, times int64) time.Duration {
	_, runs := s.runningOn[task]
	if runs || !s.hasRoom(j, times) {
		delete(since, task)
		return 0
	}
	if _, ok := since[task]; !ok {
		since[task] = s.now
	}
	return s.now.Sub(since[task])
}

// hasRoom reports whether an approved worker could hold the given number of tasks of a job
// beside its long-running ones.
func (s *simulation) hasRoom(j *simJob, times int64) bool {
	return slices.ContainsFunc(s.workerIDs(), func(id string) bool { return s.tasksThatFit(id, j, true) >= times })
}

// tasksThatFit returns how many tasks of a job a worker can hold beside its long-running ones;
// none if it is faulty or not approved. If spread is set, a worker that has the step's maximum
// per worker holds no more.
func (s *simulation) tasksThatFit(id string, j *simJob, spread bool) int64 {
	m, st := s.workerStates[id], j.step()
	if m.fault != noFault || !m.drainedAt.IsZero() || !s.adviceApproves(j, id) {
		return 0
	}
	free := m.info.Capacity.Sub(s.used(id, true))
	n := min(free.CPUMilli/st.Need.CPUMilli, free.MemoryMB/max(1, st.Need.MemoryMB))
	if !spread || st.MaxPerWorker == 0 {
		return n
	}
	has := 0
	for _, e := range s.workers[id].running {
		if e.Task.Job == j.spec.ID {
			has++
		}
	}
	if has >= st.MaxPerWorker {
		return 0
	}
	return n
}

// unfinishedJob returns a batch job that has not ended although the workers can run it, or nil.
func (s *simulation) unfinishedJob() *simJob {
	for _, j := range s.jobs {
		if !j.step().LongRunning && !j.ended && s.canRun(j) {
			return j
		}
	}
	return nil
}

// finishTimeout returns the time within which all batch jobs must end.
func (s *simulation) finishTimeout() time.Duration {
	sum := finishTime
	for _, j := range s.jobs {
		if capacity := s.roomFor(j); !j.step().LongRunning && !j.ended && s.canRun(j) {
			waves := 1 + (int64(j.step().Count)-1)/capacity
			sum += 2 * time.Duration(waves*int64(j.spec.Policy.MaxAttempts)) * j.duration
		}
	}
	return sum
}

// backlog returns for how long the unfinished batch jobs would occupy all workers.
func (s *simulation) backlog() time.Duration {
	sum := time.Duration(0)
	for _, j := range s.jobs {
		if st := j.step(); !st.LongRunning && !j.ended {
			sum += time.Duration(int64(st.Count)*st.Need.CPUMilli) * j.duration
		}
	}
	return sum / time.Duration(int64(max(1, len(s.workers)))*s.cpuMilli)
}

// recordEnded records the jobs that have ended and checks that none was lost.
func (s *simulation) recordEnded() {
	for _, j := range s.jobs {
		if j.ended || !j.added {
			continue
		}
		state, ok := s.shard.Job(j.spec.ID)
		j.state = state
		if j.ended = state.Finished(); !ok || (j.ended && j.step().LongRunning) {
			s.fail("%s is %q (known: %t)", j.spec.ID, state, ok)
		}
	}
}

// canRun reports whether the workers can run a job beside the long-running tasks.
func (s *simulation) canRun(j *simJob) bool {
	if st := j.step(); st.Gang {
		return s.roomFor(j) >= int64(st.Count)
	}
	return s.roomFor(j) > 0
}

// roomFor returns how many tasks of a job the workers can hold beside the long-running ones.
func (s *simulation) roomFor(j *simJob) (total int64) {
	for _, id := range s.workerIDs() {
		n := s.tasksThatFit(id, j, false)
		if limit := int64(j.step().MaxPerWorker); limit > 0 {
			n = min(n, limit)
		}
		total += n
	}
	return total
}

// describe describes an unfinished job.
func (s *simulation) describe(j *simJob) string {
	state, ok := s.shard.Job(j.spec.ID)
	n := 0
	for task := range s.runningOn {
		if task.Job == j.spec.ID {
			n++
		}
	}
	return fmt.Sprintf("%s is %q (known: %t), %d of %d tasks run, %+v", j.spec.ID, state, ok, n, j.step().Count, *j.step())
}

// checkWorkersRecover runs short tasks on all workers and checks that none stays quarantined or
// on probation.
func (s *simulation) checkWorkersRecover() {
	const interval = 4 * time.Second
	probe := resource.Amount{CPUMilli: 50, MemoryMB: 1}
	for end := s.now.Add(recoveryTime); s.failure == "" && s.shard.QuarantinedWorkers() > s.fullWorkers(probe); {
		if s.now.After(end) {
			s.fail("%d workers are quarantined or on probation, want only full ones, of which there are %d", s.shard.QuarantinedWorkers(), s.fullWorkers(probe))
			return
		}
		st := cluster.Step{Count: len(s.workers), Need: probe, EstimateMS: 1000, MaxPerWorker: 1}
		s.addJob(&simJob{spec: cluster.Job{Policy: cluster.Policy{MaxAttempts: 3, Stretch: 2}, Steps: []cluster.Step{st}}, duration: time.Second})
		s.jobs[len(s.jobs)-1].spec.Policy.Advice = nil
		for next := s.now.Add(interval); s.now.Before(next); {
			s.runTick()
		}
	}
}

// fullWorkers returns the number of workers without room for need beside their long-running
// tasks.
func (s *simulation) fullWorkers(need resource.Amount) int {
	n := 0
	for _, id := range s.workerIDs() {
		if !s.workerStates[id].info.Capacity.Sub(s.used(id, true)).Fits(need) {
			n++
		}
	}
	return n
}
