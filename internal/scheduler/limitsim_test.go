// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/team"
)

const (
	// limitTick is the interval of reports and scheduling rounds in a limitSim.
	limitTick = 50 * time.Millisecond
	// limitSimWorkers is how many workers a shard has.
	limitSimWorkers = 30
	// maxLimitStall is the bound for how long nothing of a job may run while its team's limit and the
	// workers have room for it twice over.
	maxLimitStall = 3 * time.Second
	// partsInterval and idlePartsInterval are the pauses between two rounds of an owner's requests
	// for parts of limits, after one that brought something and after one that did not.
	partsInterval     = 50 * time.Millisecond
	idlePartsInterval = 450 * time.Millisecond
)

// limitSim drives the shards of a service in which all jobs belong to one team with a limit, in
// virtual time. The workers have room for far more than the limit. The shards exchange parts of it at
// the times at which owners do, but with all other shards at once and without delay.
type limitSim struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Time
	limit  int64
	shards []*limitShard
	jobs   []*limitJob
	stalls []string
}

// limitShard is a shard with its workers.
type limitShard struct {
	rig
	asksAt time.Time
	calls  []adviceCall
}

// limitJob is a job of one step.
type limitJob struct {
	spec     cluster.Job
	shard    *limitShard
	duration time.Duration
	endsAt   map[runKey]time.Time
	done     map[cluster.TaskID]bool
	// cancelAt is when a long-running job is cancelled.
	cancelAt time.Time
	// waitsSince is since when nothing of the job has run beside room; zero: it doesn't wait.
	waitsSince time.Time
	ended      bool
}

func (j *limitJob) step() *cluster.Step { return &j.spec.Steps[0] }

// need returns what a start of the job counts for against the limit at least, in thousandths of a core.
func (j *limitJob) need() int64 {
	if j.step().Gang {
		return int64(j.step().Count) * j.step().Need.CPUMilli
	}
	return j.step().Need.CPUMilli
}

// newLimitSim returns a simulation of shards with workers of 16 cores each, and a limit in thousandths
// of a core.
func newLimitSim(t *testing.T, seed uint64, shards int, limit int64, log *zap.Logger) *limitSim {
	s := &limitSim{t: t, rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_000, 0), limit: limit} //nolint:gosec // Each seed must be reproducible.
	for i := range shards {
		x := &limitShard{rig: rig{t: t, now: s.now, epoch: 1, workers: make(map[string]*fakeWorker), longRunning: make(map[string]bool), log: log}, asksAt: s.now}
		x.shard = scheduler.New(scheduler.Params{
			Epoch: 1, Lease: testLease, StopTime: 200 * time.Millisecond, UncertainFor: 10 * time.Second, FinishedRetention: time.Minute, Index: i, Shards: shards,
		}, s.now, x.log)
		for k := range limitSimWorkers {
			x.workers[fmt.Sprintf("w%d", k)] = &fakeWorker{}
		}
		x.shard.ExpectWorkers(x.workerIDs())
		for k, id := range x.workerIDs() {
			x.shard.UpsertWorker(s.now, cluster.Worker{
				ID: id, Address: id, Service: "svc", Rack: fmt.Sprintf("r%d-%d", i, k/4), Labels: []string{"a"},
				Capacity: resource.Amount{CPUMilli: 16_000, MemoryMB: 64_000}, ClockMS: s.now.UnixMilli(),
			})
		}
		x.shard.TeamPartsKnown()
		s.shards = append(s.shards, x)
	}
	s.setLimit(limit)
	return s
}

// setLimit changes the team's limit.
func (s *limitSim) setLimit(limit int64) {
	s.limit = limit
	for _, x := range s.shards {
		x.shard.SetTeams(s.now, []team.Team{{Name: "red", Weight: 100, Limit: resource.Amount{CPUMilli: limit}}})
	}
}

// add submits a job of one step to a shard. advice is nil if its starts need no tickets.
func (s *limitSim) add(shard, priority int, duration time.Duration, advice *cluster.AdviceCost, step cluster.Step) *limitJob {
	return s.addOf("red", shard, priority, duration, advice, step)
}

// addOf is add for a job of any team.
func (s *limitSim) addOf(teamName string, shard, priority int, duration time.Duration, advice *cluster.AdviceCost, step cluster.Step) *limitJob {
	step.EstimateMS = duration.Milliseconds()
	x := s.shards[shard]
	j := &limitJob{shard: x, duration: duration, endsAt: make(map[runKey]time.Time), done: make(map[cluster.TaskID]bool), spec: batch(fmt.Sprintf("job%03d", len(s.jobs)), step)}
	j.spec.Policy.Priority, j.spec.Policy.Advice, j.spec.Team, j.spec.AcceptedMS, j.spec.Shard = priority, advice, teamName, s.now.UnixMilli(), shard
	x.longRunning[j.spec.ID] = step.LongRunning
	s.jobs = append(s.jobs, j)
	x.shard.AddJob(s.now, j.spec, nil, false)
	return j
}

// run advances the time.
func (s *limitSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(limitTick)
		for _, x := range s.shards {
			x.now = s.now
			s.endRuns(x)
			x.reportAll()
			s.answerAdvice(x)
			s.noteStarts(x, x.round())
		}
		for i := range s.shards {
			s.exchangeParts(i)
		}
		s.check()
	}
}

// noteStarts draws when the runs that have started end, and records the calls for advice.
func (s *limitSim) noteStarts(x *limitShard, commands []scheduler.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case scheduler.Start:
			j := s.job(c.Task.Job)
			j.endsAt[runKey{c.Task, c.Run}] = s.now.Add(j.duration)
		case scheduler.RequestAdvice:
			x.calls = append(x.calls, adviceCall{c, s.now.Add(c.ExpectedDuration)})
		}
	}
}

// job returns the job with an ID.
func (s *limitSim) job(id string) *limitJob {
	i, err := strconv.Atoi(id[len("job"):])
	if err != nil {
		s.t.Fatal(err)
	}
	return s.jobs[i]
}

// answerAdvice answers the calls that are due: the advice service approves all workers.
func (s *limitSim) answerAdvice(x *limitShard) {
	x.calls = slices.DeleteFunc(x.calls, func(c adviceCall) bool {
		if s.now.Before(c.answerAt) {
			return false
		}
		valid := time.Duration(s.job(c.Step.Job).spec.Policy.Advice.ValidMS) * time.Millisecond
		var tickets []cluster.Ticket
		for _, w := range c.Workers {
			tickets = append(tickets, cluster.Ticket{Worker: w, Value: "ticket"})
		}
		x.shard.AdviceReplied(s.now, c.Step, c.Workers, tickets, valid, nil)
		return true
	})
}

// endRuns ends the runs that are due, and cancels long-running jobs.
func (s *limitSim) endRuns(x *limitShard) {
	for _, j := range s.jobs {
		if !j.cancelAt.IsZero() && !j.ended && !s.now.Before(j.cancelAt) && j.shard == x {
			j.ended = true
			x.shard.EndJob(s.now, j.spec.ID, cluster.StateCancelled)
		}
	}
	for _, id := range x.workerIDs() {
		for _, r := range slices.Clone(x.workers[id].running) {
			j := s.job(r.Task.Job)
			if at := j.endsAt[runKey{r.Task, r.Run}]; !j.step().LongRunning && !s.now.Before(at) {
				x.endRun(id, r.Task, r.Run, cluster.OutcomeDone)
				j.done[r.Task] = true
				j.ended = j.ended || j.step().Gang || len(j.done) == j.step().Count
			}
		}
		s.reportProgress(x.workers[id])
	}
}

// reportProgress sets the progress that a worker reports for its runs.
func (s *limitSim) reportProgress(f *fakeWorker) {
	for i := range f.running {
		r := &f.running[i]
		j := s.job(r.Task.Job)
		r.Percent = int(100 - 100*j.endsAt[runKey{r.Task, r.Run}].Sub(s.now)/j.duration)
	}
}

// exchangeParts makes a shard's round of requests for parts of the limit once it is due.
func (s *limitSim) exchangeParts(i int) {
	x := s.shards[i]
	if s.now.Before(x.asksAt) && !x.shard.TakeNewlyBlocked() {
		return
	}
	received := false
	if wants := x.shard.TeamWants(s.now); len(wants) > 0 {
		for k, other := range s.shards {
			if k != i {
				other.shard.GiveTeamParts(s.now, i, wants)
				received = x.shard.ReceiveTeamParts(k, other.shard.GivenTo(i)) || received
			}
		}
	}
	x.asksAt = s.now.Add(idlePartsInterval)
	if received {
		x.asksAt = s.now.Add(partsInterval)
	}
}

// check checks that the team is within its limit, and notes the jobs that stall.
func (s *limitSim) check() {
	running, used := make(map[string]int), int64(0)
	for _, x := range s.shards {
		for task := range x.running() {
			running[task.Job]++
			used += s.job(task.Job).step().Need.CPUMilli
		}
	}
	if used > s.limit {
		s.t.Fatalf("the team uses %d of its limit of %d", used, s.limit)
	}
	for _, j := range s.jobs {
		if j.ended || running[j.spec.ID] > 0 || s.limit-used < 2*j.need() {
			j.waitsSince = time.Time{}
			continue
		}
		if j.waitsSince.IsZero() {
			j.waitsSince = s.now
		}
		if s.now.Sub(j.waitsSince) == maxLimitStall {
			s.stalls = append(s.stalls, fmt.Sprintf("nothing of job %s (shard %d, %d tasks of %d, gang %v) has run for %v beside %d of the limit of %d",
				j.spec.ID, j.spec.Shard, j.step().Count, j.step().Need.CPUMilli, j.step().Gang, maxLimitStall, s.limit-used, s.limit))
		}
	}
}

// checkNoStalls fails the test for each stall so far.
func (s *limitSim) checkNoStalls() {
	s.t.Helper()
	for _, stall := range s.stalls {
		s.t.Error(stall)
	}
}

// runningOf returns how many tasks of a job run.
func (s *limitSim) runningOf(j *limitJob) int { return j.shard.runningOf(j.spec.ID) }

var (
	quickAdvice = &cluster.AdviceCost{BaseMS: 40, PerWorkerMS: 0.6, ValidMS: 2500}
	slowAdvice  = &cluster.AdviceCost{BaseMS: 500, PerWorkerMS: 7, ValidMS: 2500}
)

// randomDuration draws a duration between two bounds.
func (s *limitSim) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// submitRandomly submits a random job to a random shard: an urgent one, a batch that may be a gang, or
// a long-running one.
func (s *limitSim) submitRandomly() {
	shard := s.rng.IntN(len(s.shards))
	step := cluster.Step{Count: 1 + s.rng.IntN(15), Need: resource.Amount{CPUMilli: int64(1000 + s.rng.IntN(6000)), MemoryMB: 500}}
	switch k := s.rng.Float64(); {
	case k < 0.5:
		s.add(shard, 0, s.randomDuration(300*time.Millisecond, 2300*time.Millisecond), quickAdvice, step)
	case k < 0.9:
		step.Gang = s.rng.Float64() < 0.15 && int64(step.Count)*step.Need.CPUMilli < s.limit*4/5
		s.add(shard, 2, s.randomDuration(time.Second, 9*time.Second), slowAdvice, step)
	default:
		step.LongRunning, step.Count = true, min(step.Count, 4)
		s.add(shard, 1, time.Second, slowAdvice, step).cancelAt = s.now.Add(s.randomDuration(3*time.Second, 23*time.Second))
	}
}
