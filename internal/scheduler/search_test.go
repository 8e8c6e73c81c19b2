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
	// restartWithinWhenFull is runsAgain where the workers are full of work that is less urgent.
	restartWithinWhenFull = 12 * time.Second
	// fullSeeds are played with MODEL=full, and fewPlays by default.
	fullSeeds = 40_000
	// failuresTime is how long nothing fails but tasks that last, by themselves; then they
	// don't either.
	failuresTime = 25 * time.Second
	// finishTime is by when all that workers could run has ended once nothing fails, beside
	// twice the time that it takes one job after the other.
	finishTime = 30 * time.Second
	// maxBacklog is up to which backlog more jobs are handed in.
	maxBacklog = 8 * time.Second
	// recoveryTime is by when no worker is set aside any more once sound tasks run on each.
	recoveryTime = 40 * time.Second
)

// simulation is a seeded simulation of a shard with workers and jobs to which things happen.
type simulation struct {
	*rig
	seed  uint64
	rng   *rand.Rand
	start time.Time
	// faultsEndAt and failuresEndAt are when the calm times begin: that in which only tasks that
	// last fail, and that in which nothing does.
	faultsEndAt, failuresEndAt time.Time
	// noOwnerUntil is until when the shard has no owner, and ownerLossAt when it loses its first one.
	noOwnerUntil, ownerLossAt time.Time

	joined, racks int
	cores         int64
	// faultKinds are what befalls workers, troubled how likely it is in a tick, and
	// rejecting how likely a start or a call goes failure.
	faultKinds            []fault
	faultRate, rejectRate float64
	submitRate            float64

	workerStates map[string]*workerState
	jobs         []*simJob
	byID         map[string]*simJob
	rows         map[string]scheduler.Record
	calls        []adviceCall
	runs         map[runKey]*simRun
	// runningOn is the worker on which each task runs.
	runningOn map[cluster.TaskID]string
	// roomForTwoSince is since when a task that lasts is away and has room, and roomForOneSince since
	// when it would have if others made way.
	roomForTwoSince, roomForOneSince map[cluster.TaskID]time.Time

	// restarts draws which workers start again under their IDs; nil: none does.
	restarts *rand.Rand

	failure string
	trace   *bytes.Buffer
}

// TestSearchTasksStart searches, in plays drawn by their seeds, for tasks whose turn has
// come and that don't start though there is room. Workers fail what they start, let nothing
// come on, crawl, are silent, drain or die; starts and advice are rejected; the owner is
// replaced. Then comes a calm time in which only tasks that last fail, by themselves.
//
// Where only workers that were set aside came back, 56 of the first 3000 plays failed, and
// 257 of the first 400 where they didn't. A place that came free went to the first of the
// step's waiting tasks by its number, so that the last ones stayed away (seed 138):
//
//	34.9 run ended task=j3.0.0.1 worker=w3 outcome=failed
//	35.6 run ended task=j3.0.0.0 worker=w1 outcome=failed
//	36.6 starting run task=j3.0.0.0 worker=w3
//	39.9 starting run task=j3.0.0.0 worker=w0
//	41.0 j3.0.0.1 has been away for 6.1s
//
// And while a step asked for advice no room was set aside for it; where room was, none was
// made by stopping less urgent work for up to 4 s, which is longer than tickets hold
// (91, once tasks of a step go by how long they have waited).
//
// SEARCH_SEED=n plays one seed and prints its trace, SEARCH_PLAYS=n the first n of them,
// and MODEL=full many.
func TestSearchTasksStart(t *testing.T) {
	if one := os.Getenv("SEARCH_SEED"); one != "" {
		seed, err := strconv.ParseUint(one, 10, 64)
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
	t.Logf("%d of %d plays failed", failed, seeds)
}

// TestSearchSeedsThatFailed plays the seeds again that failed once, each by a task that
// lasts and was away for over 6 s beside room for it.
func TestSearchSeedsThatFailed(t *testing.T) {
	for seed, cause := range map[uint64]string{
		138: "a place that came free went to the first of the waiting tasks by its number",
		91:  "no room was set aside while the step asked for advice",
		667: "a step that found no room was not looked at for half a second, and a gang took what came free",
		878: "as 667",
		// Not traced to its end; it passes since room is looked for in each round.
		24019: "twelve tasks share six workers, and places stay empty while advice is asked anew",
	} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			if failure, trace := simulateSeed(t, seed, true); failure != "" {
				t.Errorf("%s\n%s; last time: %s", lastLines(trace), failure, cause)
			}
		})
	}
}

// simulateSeeds plays as many seeds, and returns what was failure with each.
func simulateSeeds(t *testing.T, seeds int) []string {
	failure := make([]string, seeds)
	var wg sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for n := int(next.Add(1)) - 1; n < seeds; n = int(next.Add(1)) - 1 {
				failure[n], _ = simulateSeed(t, uint64(n), false)
			}
		})
	}
	wg.Wait()
	return failure
}

// lastLines returns the end of a trace.
func lastLines(trace string) string {
	const most = 60
	lines := strings.Split(trace, "\n")
	return strings.Join(lines[max(0, len(lines)-most):], "\n")
}

// simulateSeed plays a seed, and returns what was failure, or "", and its trace if it is traced.
func simulateSeed(t *testing.T, seed uint64, traced bool) (failure, trace string) {
	return newSimulation(t, seed, traced).run()
}

// run plays to the end.
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

// newSimulation draws a play.
func newSimulation(t *testing.T, seed uint64, traced bool) *simulation {
	s := &simulation{
		rig:  &rig{t: t, now: time.Unix(1_000, 0), workers: make(map[string]*fakeWorker), longRunning: make(map[string]bool), log: zap.NewNop()},
		seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // Each play must repeat.
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
	s.racks, s.cores = 1+s.rng.IntN(4), []int64{4000, 8000}[s.rng.IntN(2)]
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

// traceWriter puts the shard's log into a play's trace, with the time.
type traceWriter struct{ s *simulation }

func (w traceWriter) Write(line []byte) (int, error) {
	w.s.tracef("  %s", strings.TrimSpace(string(line)))
	return len(line), nil
}

// tracef notes what happens in a play.
func (s *simulation) tracef(format string, args ...any) {
	if s.trace != nil {
		fmt.Fprintf(s.trace, "%6.1f %s\n", s.now.Sub(s.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// fail notes what is failure first.
func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %.1f s (calm from %.1f s): ", s.now.Sub(s.start).Seconds(), s.faultsEndAt.Sub(s.start).Seconds()) + fmt.Sprintf(format, args...)
		s.tracef("WRONG: %s", s.failure)
	}
}

func (s *simulation) faultsEnded() bool   { return !s.now.Before(s.faultsEndAt) }
func (s *simulation) failuresEnded() bool { return !s.now.Before(s.failuresEndAt) }

// hasOwner reports whether the shard has an owner.
func (s *simulation) hasOwner() bool { return !s.now.Before(s.noOwnerUntil) }

// runTick plays a tick.
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
		s.tracef("the owner is gone")
	}
	s.updateFaults()
	s.restartWorkers()
	s.submitJobs()
	s.advanceRuns()
	if s.hasOwner() {
		s.runOwner()
	}
	if s.faultsEnded() {
		s.checkLongRunning()
	}
}

// runOwner lets the owner take a round of decisions.
func (s *simulation) runOwner() {
	s.answerAdviceCalls()
	s.pollWorkers()
	s.execute(s.shard.Schedule(s.now))
	s.persist(s.rows)
	s.recordEnded()
}

// startNextOwner begins with another owner, which reads the jobs and what was persisted of them.
func (s *simulation) startNextOwner() {
	s.tracef("another owner begins")
	s.takeOver()
	for _, id := range s.workerIDs() {
		s.readEntry(id)
	}
	for _, j := range s.jobs {
		if !j.added {
			continue
		}
		var progress *scheduler.Progress
		if row, ok := s.rows[j.spec.ID]; ok {
			var err error
			if progress, err = scheduler.ParseProgress(row.Value, 1); err != nil {
				s.t.Fatal(err)
			}
		}
		s.shard.AddJob(s.now, j.spec, progress, true)
	}
}

// submitJobs hands jobs in, and those that came while there was no owner.
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

// addJob notes a job that is handed in.
func (s *simulation) addJob(j *simJob) {
	j.spec.ID = fmt.Sprintf("j%d", len(s.jobs))
	j.spec.Queue, j.spec.Service, j.spec.Epoch = fmt.Sprintf("q%d", s.rng.IntN(3)), "svc", s.epoch
	j.spec.AcceptedMS = s.now.UnixMilli()
	if s.chance(0.5) {
		j.adviceShare = 0.35 + 0.65*s.rng.Float64()
		j.spec.Policy.Advice = &cluster.AdviceCost{BaseMS: 100 + s.rng.Float64()*800, PerWorkerMS: 5 * s.rng.Float64(), ValidMS: 1500 + s.rng.Int64N(3000)}
	}
	s.jobs = append(s.jobs, j)
	s.byID[j.spec.ID] = j
	st := j.step()
	s.tracef("%s comes: %+v, takes %s, share %.2f, fails %t", j.spec.ID, *st, j.duration, j.adviceShare, j.fails)
}

// submitLongRunning hands in the jobs whose tasks last; together they take up to 45% of the room.
func (s *simulation) submitLongRunning() {
	room := int64(len(s.workers)) * s.cores * 45 / 100
	for range 1 + s.rng.IntN(5) {
		cpu := 250 * (1 + s.rng.Int64N(6))
		n := int64(1 + s.rng.IntN(max(1, len(s.workers))))
		if room -= n * cpu; room < 0 {
			return
		}
		st := cluster.Step{Count: int(n), Need: resource.Amount{CPUMilli: cpu, MemoryMB: 100}, LongRunning: true}
		if s.chance(0.6) {
			st.MaxPerWorker = 1 + s.rng.IntN(2)
		}
		s.addJob(&simJob{spec: cluster.Job{Policy: cluster.Policy{Priority: s.rng.IntN(3), MaxAttempts: 2, Stretch: 2}, Steps: []cluster.Step{st}}, fails: s.chance(0.7)})
	}
}

// submitBatch hands in a job that ends, some of them gangs.
func (s *simulation) submitBatch() {
	n := 1 + s.rng.IntN(2*len(s.workers)+1)
	st := cluster.Step{Count: n, Need: resource.Amount{CPUMilli: min(250*(1+s.rng.Int64N(16)), s.cores), MemoryMB: 100}}
	takes := s.randomDuration(200*time.Millisecond, 6*time.Second)
	st.EstimateMS = int64(float64(takes.Milliseconds()) * (0.5 + s.rng.Float64()))
	if s.chance(0.25) {
		st.Gang, st.OneRack = true, s.chance(0.3)
	}
	if s.chance(0.2) {
		st.MaxPerWorker = 1 + s.rng.IntN(3)
	}
	s.addJob(&simJob{
		spec:     cluster.Job{Policy: cluster.Policy{Priority: s.rng.IntN(3), MaxAttempts: 2 + s.rng.IntN(3), Stretch: 1.5 + s.rng.Float64(), TargetMS: 1000}, Steps: []cluster.Step{st}},
		duration: takes, fails: s.chance(0.05),
	})
}

// checkLongRunning checks that tasks that last and are away run again in time.
func (s *simulation) checkLongRunning() {
	for _, j := range s.jobs {
		if !j.step().LongRunning {
			continue
		}
		for x := range j.step().Count {
			task := cluster.TaskID{Job: j.spec.ID, Index: x}
			twice := s.pendingFor(s.roomForTwoSince, task, j, 2)
			once := s.pendingFor(s.roomForOneSince, task, j, 1)
			if s.now.Sub(s.faultsEndAt) < testLease {
				continue
			}
			if twice > restartWithin {
				s.fail("%v has been away for %s with room for it twice over beside what lasts", task, twice)
			}
			if once > restartWithinWhenFull {
				s.fail("%v has been away for %s with room for it beside what lasts", task, once)
			}
		}
	}
}

// pendingFor returns for how long a task has been away while there was room for it so often
// on a worker beside what lasts.
func (s *simulation) pendingFor(from map[cluster.TaskID]time.Time, task cluster.TaskID, j *simJob, times int64) time.Duration {
	_, runs := s.runningOn[task]
	if runs || !s.hasCapacity(j, times) {
		delete(from, task)
		return 0
	}
	if _, ok := from[task]; !ok {
		from[task] = s.now
	}
	return s.now.Sub(from[task])
}

// hasCapacity reports whether some worker that a job may use has room for a task of it so often
// beside what lasts.
func (s *simulation) hasCapacity(j *simJob, times int64) bool {
	return slices.ContainsFunc(s.workerIDs(), func(id string) bool { return s.tasksThatFit(id, j, true) >= times })
}

// tasksThatFit returns how many tasks of a job a worker that it may use would hold.
func (s *simulation) tasksThatFit(id string, j *simJob, spread bool) int64 {
	m, st := s.workerStates[id], j.step()
	if m.fault != noFault || !m.drainedAt.IsZero() || !s.adviceAllows(j, id) {
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

// unfinishedJob returns a job that has not ended though the workers could run it, or nil.
func (s *simulation) unfinishedJob() *simJob {
	for _, j := range s.jobs {
		if !j.step().LongRunning && !j.ended && s.canRun(j) {
			return j
		}
	}
	return nil
}

// finishTimeout returns by when what is open ends at the latest.
func (s *simulation) finishTimeout() time.Duration {
	sum := finishTime
	for _, j := range s.jobs {
		if room := s.capacityFor(j); !j.step().LongRunning && !j.ended && s.canRun(j) {
			waves := 1 + (int64(j.step().Count)-1)/room
			sum += 2 * time.Duration(waves*int64(j.spec.Policy.MaxAttempts)) * j.duration
		}
	}
	return sum
}

// backlog returns for how long what is open would keep all workers busy.
func (s *simulation) backlog() time.Duration {
	sum := time.Duration(0)
	for _, j := range s.jobs {
		if st := j.step(); !st.LongRunning && !j.ended {
			sum += time.Duration(int64(st.Count)*st.Need.CPUMilli) * j.duration
		}
	}
	return sum / time.Duration(int64(len(s.workers))*s.cores)
}

// recordEnded notes which jobs have ended, and that none was lost.
func (s *simulation) recordEnded() {
	for _, j := range s.jobs {
		if j.ended || !j.added {
			continue
		}
		state, ok := s.shard.Job(j.spec.ID)
		if j.ended = state.Finished(); !ok || (j.ended && j.step().LongRunning) {
			s.fail("%s is %q (known: %t)", j.spec.ID, state, ok)
		}
	}
}

// canRun reports whether the workers could run a job if only what lasts were there.
func (s *simulation) canRun(j *simJob) bool {
	if st := j.step(); st.Gang {
		return s.capacityFor(j) >= int64(st.Count)
	}
	return s.capacityFor(j) > 0
}

// capacityFor returns how many tasks of a job the workers hold if only what lasts is there.
func (s *simulation) capacityFor(j *simJob) (room int64) {
	for _, id := range s.workerIDs() {
		n := s.tasksThatFit(id, j, false)
		if limit := int64(j.step().MaxPerWorker); limit > 0 {
			n = min(n, limit)
		}
		room += n
	}
	return room
}

// describe says of a job that it is open.
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

// checkWorkersRecover lets sound tasks run on each worker, and checks that none is set aside any more.
func (s *simulation) checkWorkersRecover() {
	const every = 4 * time.Second
	probe := resource.Amount{CPUMilli: 50, MemoryMB: 1}
	for end := s.now.Add(recoveryTime); s.failure == "" && s.shard.SetAsideWorkers() > s.fullWorkers(probe); {
		if s.now.After(end) {
			s.fail("%d workers are set aside, of which %d are full", s.shard.SetAsideWorkers(), s.fullWorkers(probe))
			return
		}
		st := cluster.Step{Count: len(s.workers), Need: probe, EstimateMS: 1000, MaxPerWorker: 1}
		s.addJob(&simJob{spec: cluster.Job{Policy: cluster.Policy{MaxAttempts: 3, Stretch: 2}, Steps: []cluster.Step{st}}, duration: time.Second})
		s.jobs[len(s.jobs)-1].spec.Policy.Advice = nil
		for next := s.now.Add(every); s.now.Before(next); {
			s.runTick()
		}
	}
}

// fullWorkers returns how many workers have no room for some more beside what lasts.
func (s *simulation) fullWorkers(need resource.Amount) int {
	n := 0
	for _, id := range s.workerIDs() {
		if !s.workerStates[id].info.Capacity.Sub(s.used(id, true)).Fits(need) {
			n++
		}
	}
	return n
}
