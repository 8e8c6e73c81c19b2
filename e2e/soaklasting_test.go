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

// stayingJob is a job whose tasks last and fail by themselves, and which stays until the
// play's end. Its room is small: each worker could hold all tasks of all of them.
type stayingJob struct {
	queue string
	tasks int
	// spread is set where a worker takes one of its tasks: three of a shard's four workers
	// have room for them all, so that advice may reject one.
	spread bool
	// mean is the mean time after which a run fails.
	mean time.Duration
}

var stayingJobs = []stayingJob{
	{"urgent", 3, true, 2 * time.Second},
	{"batch", 3, true, 3 * time.Second},
	{"urgent", 3, true, 4 * time.Second},
	{"batch", 3, true, 6 * time.Second},
	{"batch", 4, false, 5 * time.Second},
	{"urgent", 4, false, 8 * time.Second},
}

const (
	// Bases of the ids of jobs beside the load's, which number them from 1.
	stayingBase, failingBase, calmBase = 0x1000, 0x2000, 0x3000
	// stayingPause is the pause between two jobs that stay, so that some come amid faults.
	stayingPause = time.Second
	// failingPause is the pause between two batches that fail.
	failingPause = 900 * time.Millisecond
	// calmPause is the pause between two jobs of the calm phase: a fifth of the room is used.
	calmPause = 400 * time.Millisecond
	// settleTime is how long after the last fault nothing is judged: what a lost owner had
	// running on a worker that doesn't answer waits for the end of its lease, of 8 s, and
	// up to 2 s go by until another node has taken the shard over.
	settleTime = 10 * time.Second
	// calmTime is twice the bound within which a task that lasts runs again.
	calmTime = 12 * time.Second
	// attempts is how often a batch's task may fail, as the routes say.
	attempts = 3
)

// failingJob is a batch whose tasks fail by their own fault.
const failingJob = `{"Spec":"300 failing cpu=500","Steps":[{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":300}]}`

func (j stayingJob) body() string {
	spread := ""
	if j.spread {
		spread = `,"AntiAffinity":1`
	}
	return fmt.Sprintf(`{"Spec":"100 lasting cpu=200 fails_after=%d","Steps":[{"Count":%d,"Cpu":200,"MemMb":100,"LongRunning":true%s}]}`,
		j.mean.Milliseconds(), j.tasks, spread)
}

func jobID(base, i int) string { return fmt.Sprintf("%016x", base+i) }

// stay hands the jobs that stay in.
func (s *soak) stay() {
	for i, j := range stayingJobs {
		s.handIn(i, j.queue, jobID(stayingBase, i), j.body())
		time.Sleep(stayingPause)
	}
}

// failingLoad hands batches in that fail.
func (s *soak) failingLoad() {
	for i := 0; time.Since(s.began) < soakTime; i++ {
		s.handInFailing(i, jobID(failingBase, i))
		time.Sleep(failingPause)
	}
}

func (s *soak) handInFailing(i int, id string) {
	s.mu.Lock()
	s.failing[id] = true
	s.mu.Unlock()
	s.handIn(i, "batch", id, failingJob)
}

// The pause between two times at which workers fail all that starts there, how long that
// lasts, and how many they are, with random numbers of their own as well.
const (
	failNewPauseLeast, failNewPauseMost = time.Second, 4 * time.Second
	failNewLeast, failNewMost           = time.Second, 5 * time.Second
	failNewWorkers                      = 3
)

// failNew lets some workers fail all that starts there now and then.
func (s *soak) failNew() {
	rng := rand.New(rand.NewPCG(s.seed+1, s.seed)) //nolint:gosec // A seed must give the same play.
	for {
		time.Sleep(between(rng, failNewPauseLeast, failNewPauseMost))
		drawn := rng.Perm(soakWorkers)[:rng.IntN(failNewWorkers)+1]
		d := between(rng, failNewLeast, failNewMost)
		if time.Since(s.began) > soakTime {
			return
		}
		s.t.Logf("%6.2f s: workers %v fail all that starts for %s", time.Since(s.began).Seconds(), drawn, d.Round(time.Millisecond))
		var failing []*site.Worker
		s.mu.Lock()
		for _, i := range drawn {
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

// calm lets the system settle after the last fault, and then a light load go on for a
// while in which every task that lasts has room. It returns what is judged of them.
func (s *soak) calm() []site.LongRunningJob {
	time.Sleep(settleTime)
	from := time.Now()
	s.t.Logf("%6.2f s: calm", from.Sub(s.began).Seconds())
	var calls sync.WaitGroup
	for i := 0; time.Since(from) < calmTime; i++ {
		kind := i % len(soakJobs)
		id := jobID(calmBase, i)
		calls.Go(func() {
			if kind == lastingJob {
				s.handInFailing(i, id)
				return
			}
			s.handIn(i, soakJobs[kind].queue, id, soakJobs[kind].body)
		})
		time.Sleep(calmPause)
	}
	until := time.Now()
	calls.Wait()
	var judged []site.LongRunningJob
	for i, j := range stayingJobs {
		id := jobID(stayingBase, i)
		if s.hasRoom(id, j) {
			judged = append(judged, site.LongRunningJob{Job: id, Tasks: j.tasks, From: from, Until: until})
		}
	}
	return judged
}

// hasRoom reports whether a job was accepted, and whether at most one of the workers is
// rejected for it: a step that is spread has no room in a shard in which two are.
func (s *soak) hasRoom(id string, j stayingJob) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.accepted, id) {
		s.t.Logf("%s isn't judged: no call told that it was accepted", id)
		return false
	}
	rejected := 0
	for _, w := range s.workers {
		if j.queue == "urgent" && !s.site.AdviceAllows(id+".0.0", w.ID) {
			rejected++
		}
	}
	if rejected > 1 && j.spread {
		s.t.Logf("%s isn't judged: advice rejects %d workers", id, rejected)
		return false
	}
	return true
}

// endedRight reports whether a job has ended as it must. One may have failed only if one
// of its tasks has used up its attempts, and must have if its tasks fail by their own fault.
func (s *soak) endedRight(id, state string) bool {
	switch {
	case s.canceled[id]:
		return state == "cancelled"
	case s.failing[id]:
		return state == "failed"
	case state == "failed":
		return s.usedUp(id)
	default:
		return state == "succeeded"
	}
}

// usedUp reports whether runs of one of a job's tasks have failed as often as they may.
// A gang's run fails once, however many of its tasks do.
func (s *soak) usedUp(job string) bool {
	failed := make(map[string]map[int64]bool)
	for _, e := range s.site.Events() {
		of, task, _ := strings.Cut(e.Task, ".")
		if of != job || !e.Failed {
			continue
		}
		if s.gangs[job] {
			task = ""
		}
		if failed[task] == nil {
			failed[task] = make(map[int64]bool)
		}
		failed[task][e.Run] = true
		if len(failed[task]) >= attempts {
			return true
		}
	}
	return false
}
