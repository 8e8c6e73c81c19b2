// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
)

// failingJob is a job whose tasks fail by their own fault, wherever they run.
type failingJob struct {
	tasks int
	cpu   int64
	// after is how long each run lasts, by the mean of an exponential distribution if random
	// is set.
	after  time.Duration
	random bool
	// attempts is how often a task of an ordinary job may run; 0: the tasks are long-running.
	attempts int
}

// failuresSim plays a shard of sound workers on which some jobs fail, and others come all the
// time.
type failuresSim struct {
	*rig
	rng *rand.Rand
	// fails has the jobs that fail, by ID.
	fails map[string]failingJob
	// grey are workers that fail all that starts there.
	grey map[string]bool
	// runs are all runs, and startedAt is when the first run of a job started.
	runs      map[string]timedRun
	startedAt map[string]time.Time
	// small is when each small job came, and soundFailures how many of their runs failed.
	small         map[string]time.Time
	soundFailures int
}

// timedRun is when a run started and how long it takes.
type timedRun struct {
	start time.Time
	takes time.Duration
}

const (
	simTick = 20 * time.Millisecond
	// smallJobTime is how long the tasks of small jobs run, and greyFailsAfter how long a run
	// lasts on a worker that fails all.
	smallJobTime   = 800 * time.Millisecond
	greyFailsAfter = 50 * time.Millisecond
	// maxSmallJobWait is for how long nothing of a job may run beside room for it.
	maxSmallJobWait = 3 * time.Second
)

func newFailuresSim(t *testing.T, workers int, seed uint64) *failuresSim {
	s := &failuresSim{
		rig: newRig(t, workers), rng: rand.New(rand.NewPCG(seed, 0)), fails: make(map[string]failingJob), grey: make(map[string]bool),
		runs: make(map[string]timedRun), startedAt: make(map[string]time.Time), small: make(map[string]time.Time),
	}
	for _, id := range s.workerIDs() {
		s.shard.UpsertWorker(s.now, cluster.Worker{
			ID: id, Address: id, Service: "svc", Capacity: resource.Amount{CPUMilli: 16_000, MemoryMB: 64_000}, ClockMS: s.now.UnixMilli(),
		})
	}
	return s
}

func (s *failuresSim) addFailing(id string, f failingJob) {
	s.fails[id] = f
	j := batch(id, tasks(f.tasks, f.cpu))
	j.Steps[0].LongRunning, j.Policy.MaxAttempts = f.attempts == 0, f.attempts
	s.shard.AddJob(s.now, j, nil, false)
}

func (s *failuresSim) addSmall(id string) {
	j := batch(id, tasks(6, 1300))
	j.Steps[0].EstimateMS, j.Policy.MaxAttempts = smallJobTime.Milliseconds(), 4
	s.small[id] = s.now
	s.shard.AddJob(s.now, j, nil, false)
}

// tick advances the time, ends runs that are over and runs a round of decisions.
func (s *failuresSim) tick() {
	s.now = s.now.Add(simTick)
	for _, id := range s.workerIDs() {
		for _, e := range append([]cluster.RunStatus(nil), s.workers[id].running...) {
			s.endIfOver(id, e)
		}
	}
	s.reportAll()
	s.round()
}

// endIfOver ends a run on a worker if its time is over, and sets its progress otherwise.
func (s *failuresSim) endIfOver(worker string, e cluster.RunStatus) {
	key := fmt.Sprint(e.Task, e.Run)
	f, fails := s.fails[e.Task.Job]
	longRunning := fails && f.attempts == 0
	run, known := s.runs[key]
	if !known {
		run = timedRun{start: s.now, takes: s.runTime(worker, e.Task.Job)}
		s.runs[key] = run
		if s.startedAt[e.Task.Job].IsZero() {
			s.startedAt[e.Task.Job] = s.now
		}
	}
	if elapsed := s.now.Sub(run.start); elapsed < run.takes {
		s.setPercent(worker, e.Task, int(100*elapsed/run.takes), longRunning)
		return
	}
	how := cluster.OutcomeDone
	if fails || s.grey[worker] {
		how = cluster.OutcomeFailed
	}
	if !fails && s.grey[worker] {
		s.soundFailures++
	}
	s.endRun(worker, e.Task, e.Run, how)
}

// runTime returns how long a run of a job takes on a worker.
func (s *failuresSim) runTime(worker, job string) time.Duration {
	f, fails := s.fails[job]
	switch {
	case s.grey[worker]:
		return greyFailsAfter
	case fails && f.random:
		return time.Duration(s.rng.ExpFloat64() * float64(f.after))
	case fails:
		return f.after
	}
	return smallJobTime
}

// setPercent sets the progress that a worker reports of a run. That of long-running tasks is
// 100 once they are at work.
func (s *failuresSim) setPercent(worker string, id cluster.TaskID, percent int, longRunning bool) {
	if longRunning {
		percent = 100
	}
	for i := range s.workers[worker].running {
		if e := &s.workers[worker].running[i]; e.Task == id {
			e.Percent = max(0, min(percent, 100))
		}
	}
}

// checkSmallJobs reports small jobs of which nothing ran for too long.
func (s *failuresSim) checkSmallJobs() {
	s.t.Helper()
	late, longest := 0, time.Duration(0)
	for id, came := range s.small {
		started := s.startedAt[id]
		if started.IsZero() {
			started = s.now
		}
		wait := started.Sub(came)
		longest = max(longest, wait)
		if wait > maxSmallJobWait {
			late++
		}
	}
	if late > 0 {
		s.t.Errorf("%d of %d small jobs waited for over %v, the longest for %v; %d quarantines", late, len(s.small), maxSmallJobWait, longest, s.shard.Counts().Quarantines)
	}
}

// shapes are sets of jobs that fail wherever they run.
var shapes = map[string][]failingJob{
	"two wide":                  {{tasks: 16, cpu: 3400, after: 50 * time.Millisecond}, {tasks: 16, cpu: 3400, after: 50 * time.Millisecond}},
	"two narrow":                {{tasks: 1, cpu: 3400, after: 50 * time.Millisecond}, {tasks: 1, cpu: 3400, after: 50 * time.Millisecond}},
	"unequal":                   {{tasks: 48, cpu: 1000, after: 20 * time.Millisecond}, {tasks: 2, cpu: 8000, after: 700 * time.Millisecond}},
	"slow failures":             {{tasks: 16, cpu: 3400, after: 900 * time.Millisecond}, {tasks: 16, cpu: 3400, after: 900 * time.Millisecond}},
	"beyond the start":          {{tasks: 32, cpu: 3400, after: 1500 * time.Millisecond}, {tasks: 32, cpu: 3400, after: 1200 * time.Millisecond}},
	"random":                    {{tasks: 48, cpu: 2000, after: 300 * time.Millisecond, random: true}, {tasks: 48, cpu: 2000, after: 300 * time.Millisecond, random: true}},
	"random and soon":           {{tasks: 24, cpu: 3400, after: 100 * time.Millisecond, random: true}, {tasks: 24, cpu: 3400, after: 700 * time.Millisecond, random: true}},
	"eight":                     {{tasks: 8, cpu: 2000, after: 50 * time.Millisecond}, {tasks: 8, cpu: 2000, after: 60 * time.Millisecond}, {tasks: 8, cpu: 2000, after: 70 * time.Millisecond}, {tasks: 8, cpu: 2000, after: 80 * time.Millisecond}, {tasks: 8, cpu: 2000, after: 90 * time.Millisecond}, {tasks: 8, cpu: 2000, after: 100 * time.Millisecond}, {tasks: 8, cpu: 2000, after: 110 * time.Millisecond}, {tasks: 8, cpu: 2000, after: 120 * time.Millisecond}},
	"ordinary of many attempts": {{tasks: 30, cpu: 3400, after: 50 * time.Millisecond, attempts: 100_000}, {tasks: 30, cpu: 3400, after: 50 * time.Millisecond, attempts: 100_000}},
	"ordinary and long-running": {{tasks: 30, cpu: 3400, after: 200 * time.Millisecond, attempts: 100_000}, {tasks: 16, cpu: 3400, after: 50 * time.Millisecond}},
}

// TestFailingJobsStopOthers guards against jobs whose tasks fail soon after each start and keep
// all others from running: their failures quarantined every worker, and their tasks took the
// only run that a worker may have after its quarantine.
func TestFailingJobsStopOthers(t *testing.T) {
	for name, jobs := range shapes {
		for _, lead := range []time.Duration{0, 5 * time.Second} {
			for _, workers := range []int{4, 48} {
				t.Run(fmt.Sprintf("%s, %v before, %d workers", name, lead, workers), func(t *testing.T) {
					t.Parallel()
					s := newFailuresSim(t, workers, 1)
					for i, f := range jobs {
						f.tasks = max(1, f.tasks*workers/48)
						s.addFailing(fmt.Sprintf("f%d", i), f)
					}
					for end := s.now.Add(lead); s.now.Before(end); {
						s.tick()
					}
					next, n := s.now, 0
					for end := s.now.Add(30 * time.Second); s.now.Before(end); {
						if !s.now.Before(next) && s.now.Before(end.Add(-2*maxSmallJobWait)) {
							s.addSmall(fmt.Sprintf("s%d", n))
							n, next = n+1, next.Add(500*time.Millisecond)
						}
						s.tick()
					}
					s.checkSmallJobs()
				})
			}
		}
	}
}

// TestFailingLongRunningTaskIsBackInTime guards against a long-running task that waits too long
// for its next start because its whole step fails again and again, once the fault is over.
func TestFailingLongRunningTaskIsBackInTime(t *testing.T) {
	s := newFailuresSim(t, 12, 1)
	s.addFailing("f0", failingJob{tasks: 16, cpu: 3400, after: 50 * time.Millisecond})
	s.addFailing("f1", failingJob{tasks: 16, cpu: 3400, after: 50 * time.Millisecond})
	for end := s.now.Add(20 * time.Second); s.now.Before(end); {
		s.tick()
	}
	for id, f := range s.fails {
		f.after = time.Hour
		s.fails[id] = f
	}
	for end := s.now.Add(restartWithin); s.now.Before(end); {
		s.tick()
	}
	if n := len(s.running()); n != 32 {
		t.Errorf("%d tasks run %v after their fault ended, want 32", n, restartWithin)
	}
}

// TestGreyWorkersAreFoundBesideFailingJobs guards against workers that fail all that starts on
// them and stay in use because tasks on them fail by their own fault as well: each costs jobs
// their attempts until it is found.
func TestGreyWorkersAreFoundBesideFailingJobs(t *testing.T) {
	const (
		workers, jobs = 48, 300
		// maxFailuresPerWorker is how many runs of sound jobs a worker may fail in 30 s: the 12
		// that fill it before the first one is known to have failed, and a probe after each
		// of the quarantines of 2, 4, 8 and 8 s.
		maxFailuresPerWorker = 12 + 4
	)
	for _, grey := range []int{1, 4, 24} {
		for _, failing := range []int{0, 2} {
			t.Run(fmt.Sprintf("%d grey, %d failing", grey, failing), func(t *testing.T) {
				t.Parallel()
				s := newFailuresSim(t, workers, 1)
				for i, id := range s.workerIDs() {
					s.grey[id] = i%(workers/grey) == 0
				}
				for i := range failing {
					s.addFailing(fmt.Sprintf("f%d", i), failingJob{tasks: 16, cpu: 3400, after: 50 * time.Millisecond})
				}
				for i := range jobs {
					s.addSmall(fmt.Sprintf("s%d", i))
					for range 5 {
						s.tick()
					}
				}
				for i := range jobs {
					if state, _ := s.shard.Job(fmt.Sprintf("s%d", i)); state == cluster.StateFailed {
						t.Errorf("job s%d has failed", i)
					}
				}
				if s.soundFailures > grey*maxFailuresPerWorker {
					t.Errorf("%d runs of sound jobs failed on %d workers, want at most %d", s.soundFailures, grey, grey*maxFailuresPerWorker)
				}
			})
		}
	}
}
