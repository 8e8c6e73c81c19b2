// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// persistentJob is a job of long-running tasks that fail by themselves. It runs until the end
// of the test. Its tasks are so small that one worker has capacity for all tasks of all
// persistent jobs.
type persistentJob struct {
	queue string
	tasks int
	// spread allows at most one of the job's tasks on a worker. Its three tasks need three of
	// a shard's four workers, so that advice may reject one worker.
	spread bool
	// meanTimeToFailure is the mean time until a run fails.
	meanTimeToFailure time.Duration
}

var persistentJobs = []persistentJob{
	{"urgent", 3, true, 2 * time.Second},
	{"batch", 3, true, 3 * time.Second},
	{"urgent", 3, true, 4 * time.Second},
	{"batch", 3, true, 6 * time.Second},
	{"batch", 4, false, 5 * time.Second},
	{"urgent", 4, false, 8 * time.Second},
}

const (
	// First IDs of the jobs of each kind; those of the load start at 1.
	persistentJobBase, failingJobBase, calmJobBase = 0x1000, 0x2000, 0x3000
	// persistentJobInterval is the time between two persistent jobs, which lets some of them
	// be submitted during faults.
	persistentJobInterval = time.Second
	// failingJobInterval is the time between two batches that fail.
	failingJobInterval = 900 * time.Millisecond
	// calmJobInterval is the time between two jobs of the calm phase; they use a fifth of the
	// capacity.
	calmJobInterval = 400 * time.Millisecond
	// settleTime is how long after the last fault nothing is checked: runs that a lost owner
	// had on a worker that doesn't answer must wait for the end of their lease of 8 s, and
	// it takes up to 2 s until another node has taken the shard over.
	settleTime = 10 * time.Second
	// calmDuration is twice the time within which a long-running task must run again.
	calmDuration = 12 * time.Second
	// maxAttempts is how often a task of a batch is tried; the routes set the same number.
	maxAttempts = 3
)

// failingJob is a batch whose tasks fail by themselves.
const failingJob = `{"Spec":"300 failing cpu=500","Steps":[{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":300}]}`

// body returns the body of the request that submits the job.
func (j persistentJob) body() string {
	spread := ""
	if j.spread {
		spread = `,"AntiAffinity":1`
	}
	return fmt.Sprintf(`{"Spec":"100 lasting cpu=200 fails_after=%d","Steps":[{"Count":%d,"Cpu":200,"MemMb":100,"LongRunning":true%s}]}`,
		j.meanTimeToFailure.Milliseconds(), j.tasks, spread)
}

// jobID returns the ID of the i-th job whose IDs start at base.
func jobID(base, i int) string { return fmt.Sprintf("%016x", base+i) }

// submitPersistentJobs submits the persistent jobs.
func (s *soak) submitPersistentJobs() {
	for i, j := range persistentJobs {
		s.submitJob(i, j.queue, jobID(persistentJobBase, i), j.body())
		time.Sleep(persistentJobInterval)
	}
}

// submitFailingJobs submits batches that fail until soakDuration is over.
func (s *soak) submitFailingJobs() {
	for i := 0; time.Since(s.started) < soakDuration; i++ {
		s.submitFailingJob(i, jobID(failingJobBase, i))
		time.Sleep(failingJobInterval)
	}
}

// submitFailingJob submits a batch whose tasks fail by themselves.
func (s *soak) submitFailingJob(i int, id string) {
	s.mu.Lock()
	s.failing[id] = true
	s.mu.Unlock()
	s.submitJob(i, "batch", id, failingJob)
}

// The pause between two periods in which some workers fail all new runs, the duration of a
// period, and the maximum number of these workers.
const (
	minFailNewPause, maxFailNewPause       = time.Second, 4 * time.Second
	minFailNewDuration, maxFailNewDuration = time.Second, 5 * time.Second
	maxFailNewWorkers                      = 3
)

// failNewRuns repeatedly makes some workers fail all runs that start there.
func (s *soak) failNewRuns() {
	rng := rand.New(rand.NewPCG(s.seed+1, s.seed)) //nolint:gosec // A seed must give the same faults.
	for {
		time.Sleep(randomDuration(rng, minFailNewPause, maxFailNewPause))
		indexes := rng.Perm(soakWorkers)[:rng.IntN(maxFailNewWorkers)+1]
		d := randomDuration(rng, minFailNewDuration, maxFailNewDuration)
		if time.Since(s.started) > soakDuration {
			return
		}
		s.t.Logf("%6.2f s: workers %v fail all new runs for %s", time.Since(s.started).Seconds(), indexes, d.Round(time.Millisecond))
		var failing []*site.Worker
		s.mu.Lock()
		for _, i := range indexes {
			failing = append(failing, s.workers[i])
		}
		s.mu.Unlock()
		for _, w := range failing {
			w.SetFailNewRuns(true)
		}
		time.Sleep(d)
		for _, w := range failing {
			w.SetFailNewRuns(false)
		}
	}
}

// runCalmPhase waits until the cell has recovered from the last fault, and then applies a
// light load that leaves capacity for every long-running task. It returns the persistent jobs
// whose tasks must run again within their bound in this phase.
func (s *soak) runCalmPhase() []site.LongRunningJob {
	time.Sleep(settleTime)
	from := time.Now()
	s.t.Logf("%6.2f s: calm phase", from.Sub(s.started).Seconds())
	var calls sync.WaitGroup
	for i := 0; time.Since(from) < calmDuration; i++ {
		kind := i % len(soakJobs)
		id := jobID(calmJobBase, i)
		calls.Go(func() {
			if kind == longRunningJob {
				s.submitFailingJob(i, id)
				return
			}
			s.submitJob(i, soakJobs[kind].queue, id, soakJobs[kind].body)
		})
		time.Sleep(calmJobInterval)
	}
	until := time.Now()
	calls.Wait()
	var checked []site.LongRunningJob
	for i, j := range persistentJobs {
		id := jobID(persistentJobBase, i)
		if s.hasCapacity(id, j) {
			checked = append(checked, site.LongRunningJob{Job: id, Tasks: j.tasks, From: from, Until: until})
		}
	}
	return checked
}

// hasCapacity reports whether a job was accepted and all its tasks can run. Advice may reject
// at most one worker for a step that is spread: a shard in which it rejects two has too few.
func (s *soak) hasCapacity(id string, j persistentJob) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.accepted, id) {
		s.t.Logf("%s isn't checked: no call reported that it was accepted", id)
		return false
	}
	rejected := 0
	for _, w := range s.workers {
		if j.queue == "urgent" && !s.site.AdviceAllows(id+".0.0", w.ID) {
			rejected++
		}
	}
	if rejected > 1 && j.spread {
		s.t.Logf("%s isn't checked: advice rejects %d workers", id, rejected)
		return false
	}
	return true
}

// endedAsExpected reports whether a job's final state is correct. A job whose tasks fail by
// themselves must have failed; any other may have failed only if one of its tasks has used up
// its attempts.
func (s *soak) endedAsExpected(id, state string) bool {
	switch {
	case s.canceled[id]:
		return state == "cancelled"
	case s.failing[id]:
		return state == "failed"
	case state == "failed":
		return s.attemptsExhausted(id)
	default:
		return state == "succeeded"
	}
}

// attemptsExhausted reports whether one of a job's tasks has used up its attempts. A gang has
// the same run for all its tasks, which counts as one failure however many of them fail.
func (s *soak) attemptsExhausted(job string) bool {
	failedRuns := make(map[string]map[int64]bool)
	for _, e := range s.site.Events() {
		eventJob, task, _ := strings.Cut(e.Task, ".")
		if eventJob != job || !e.Failed {
			continue
		}
		if s.gangs[job] {
			task = ""
		}
		if failedRuns[task] == nil {
			failedRuns[task] = make(map[int64]bool)
		}
		failedRuns[task][e.Run] = true
		if len(failedRuns[task]) >= maxAttempts {
			return true
		}
	}
	return false
}
