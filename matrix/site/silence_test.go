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
	// silentRounds is how often all open connections go silent, silentPause apart.
	silentRounds = 3
	silentPause  = 6 * time.Second
	// acceptedWithin is by when a job that comes at such a moment is accepted: a
	// call of the store whose answer is lost is given up after 0.2 s, once another
	// one is answered at once.
	acceptedWithin = time.Second
	// endedWithin is by when it has ended: beside its work of 0.8 s, the owner has to
	// be found anew, and workers have to be reached over new connections.
	endedWithin = 4 * time.Second
)

// TestSilentConnections lets all open connections go silent for good, while new ones
// work: calls are answered soon after, nothing that runs is lost, and the shards keep
// their owners.
func TestSilentConnections(t *testing.T) {
	runInEnvs(t, testSilentConnections)
}

func testSilentConnections(t *testing.T, w *testEnv) {
	defer w.close()
	load := w.startLoad(silentRounds*silentPause, silentPause/2)
	owner := w.owner()
	var jobs sync.WaitGroup
	for round := range silentRounds {
		w.net.SilenceOpenConnections(callerHost)
		for i, node := range w.nodeNames() {
			jobs.Go(func() { w.checkJobServed(node, fmt.Sprintf("%016x", 0xa000+16*round+i)) })
		}
		time.Sleep(silentPause)
	}
	load.Wait()
	jobs.Wait()
	if n, _ := w.starts(w.longRunning); n != 2 {
		t.Errorf("the lasting job's tasks were started %d times, want 2", n)
	}
	if now := w.owner(); w.workersPerShard == cellWorkers && now != owner {
		t.Errorf("the shard moved from %s to %s", owner, now)
	}
	w.checkJobsSettled()
	w.checkNoViolations()
}

// checkJobServed hands one job in at a node and checks how soon it is accepted and ends.
func (w *testEnv) checkJobServed(node, id string) {
	body := w.encodeJob(urgentSpec, urgentSteps()...)
	submittedAt := time.Now()
	status, _ := w.call(node, http.MethodPost, "/urgent/"+id, body)
	if took := time.Since(submittedAt); status != http.StatusOK || took > acceptedWithin {
		w.t.Errorf("%s answered %d after %s, want %d within %s", node, status, took, http.StatusOK, acceptedWithin)
	}
	for w.state("urgent", id) != "succeeded" {
		if time.Since(submittedAt) > endedWithin {
			w.t.Errorf("job %s handed in at %s is %q after %s", id, node, w.state("urgent", id), endedWithin)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Logf("job %s at %s ended after %s", id, node, time.Since(submittedAt))
}
