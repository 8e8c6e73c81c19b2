// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// crashingJobBase is the ID of the job with a task that crashes its workers.
	crashingJobBase = 0x4000
	// The time after which that job is submitted, and the time from the start of its task to
	// the crash.
	minCrashingJobTime, maxCrashingJobTime = 2 * time.Second, 12 * time.Second
	minCrashAge, maxCrashAge               = 5 * time.Millisecond, 400 * time.Millisecond
	// crashRestartTime is how long a worker is down that a task has crashed.
	crashRestartTime = 2 * time.Second
)

// submitCrashingJob submits a job of three tasks, one of which crashes its workers.
func (s *soak) submitCrashingJob() {
	rng := rand.New(rand.NewPCG(s.seed+2, s.seed)) //nolint:gosec // A seed must give the same faults.
	time.Sleep(randomDuration(rng, minCrashingJobTime, maxCrashingJobTime))
	after := randomDuration(rng, minCrashAge, maxCrashAge)
	id := jobID(crashingJobBase, 0)
	s.t.Logf("%6.2f s: job %s crashes workers after %s", time.Since(s.started).Seconds(), id, after)
	s.mu.Lock()
	s.failing[id] = true
	s.mu.Unlock()
	s.submitJob(0, "batch", id, fmt.Sprintf(
		`{"Spec":"600 cpu=500 crashes_after=%d crashing=1","Steps":[{"Count":3,"Cpu":500,"MemMb":100,"EstimateMs":600}]}`, after.Milliseconds()))
}

// restartCrashed restarts a worker that a task has crashed, once no other fault is active on it,
// unless that fault has restarted it.
func (s *soak) restartCrashed(w *site.Worker) {
	time.Sleep(crashRestartTime)
	for {
		s.mu.Lock()
		i := slices.Index(s.workers, w)
		target := fmt.Sprintf("worker %d", i)
		if i < 0 {
			s.mu.Unlock()
			return
		}
		if !s.faultActive[target] {
			next := s.site.Restart(w)
			s.workers[i], s.workerAddresses[next.ID] = next, next.Address
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(pollInterval)
	}
}
