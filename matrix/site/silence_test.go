// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// silentRounds is how often all open connections go silent, at intervals of silentPause.
	silentRounds = 3
	silentPause  = 6 * time.Second
	// acceptedWithin is the time in which a job that is submitted at such a moment must be
	// accepted: a call to the store whose response is lost is abandoned after 0.2 s if another call
	// gets its response meanwhile.
	acceptedWithin = time.Second
	// endedWithin is the time in which the job must have ended. Beside the 0.8 s of its steps it
	// covers finding the owner again, and new connections to the workers.
	endedWithin = 4 * time.Second
)

// TestSilentConnections makes all open connections go silent for good, while new ones work.
// Requests must be answered soon, no running task may be lost, and the shards must keep their
// owners.
func TestSilentConnections(t *testing.T) {
	runInEnvs(t, testSilentConnections)
}

func testSilentConnections(t *testing.T, env *testEnv) {
	defer env.close()
	load := env.startLoad(silentRounds*silentPause, silentPause/2)
	owner := env.owner()
	var jobs sync.WaitGroup
	for round := range silentRounds {
		env.net.SilenceOpenConnections(callerHost)
		for i, node := range env.nodeNames() {
			jobs.Go(func() { env.checkJobServed(node, fmt.Sprintf("%016x", 0xa000+16*round+i)) })
		}
		time.Sleep(silentPause)
	}
	load.Wait()
	jobs.Wait()
	if n, _ := env.starts(env.longRunning); n != 2 {
		t.Errorf("the long-running job's tasks were started %d times, want 2", n)
	}
	if now := env.owner(); env.workersPerShard == cellWorkers && now != owner {
		t.Errorf("the shard moved from %s to %s", owner, now)
	}
	env.checkJobsSettled()
	env.checkNoViolations()
}

// checkJobServed submits a job to a node, and checks how soon it is accepted and ends.
func (env *testEnv) checkJobServed(node, id string) {
	body := env.encodeJob(urgentSpec, urgentSteps()...)
	submittedAt := time.Now()
	status, _ := env.call(node, http.MethodPost, "/urgent/"+id, body)
	if took := time.Since(submittedAt); status != http.StatusOK || took > acceptedWithin {
		env.t.Errorf("%s answered %d after %s, want %d within %s", node, status, took, http.StatusOK, acceptedWithin)
	}
	for env.state("urgent", id) != "succeeded" {
		if time.Since(submittedAt) > endedWithin {
			env.t.Errorf("job %s submitted to %s is %q after %s", id, node, env.state("urgent", id), endedWithin)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	env.t.Logf("job %s at %s ended after %s", id, node, time.Since(submittedAt))
}
