// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"switchbank.example/switchbank/internal/events"
)

const (
	handoffRounds = 6
	handoffPause  = 5 * time.Second
	// jobsPerNode is how many jobs come in at each other node, so that some are handed
	// over on a connection that was open before.
	jobsPerNode = 4
	// handedOffWithin is by when an accepted job is at its shard's owner, though a call to
	// it is lost: the call's limit of 0.3 s, and a second one.
	handedOffWithin = 500 * time.Millisecond
)

// TestSilentConnectionsKeepNoJob: all open connections go silent just before jobs come
// in at nodes that don't own their shard. A job that such a node has accepted must reach
// the owner soon all the same. Where the node told the owner once only, on a connection
// that passed nothing any more, the owner took the job from its feed of the store, which
// was silent as well and is given up after 2 s: "job accepted" at 17.2 s, "owner not told"
// at 17.5 s, "job taken" at 19.7 s, for a job that was due after 1.45 s.
func TestSilentConnectionsKeepNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		w := newEnvWith(t, cellWorkers, cellWorkers, func(w *testEnv) {
			w.log = zap.New(core)
			w.site.Configure(1, routes()...)
		})
		defer w.close()
		time.Sleep(handoffPause)
		for round := range handoffRounds {
			w.net.SilenceOpenConnections(callerHost)
			w.submitToNonOwners(round)
			time.Sleep(handoffPause)
		}
		w.checkTaken(logs)
		w.checkNoViolations()
	})
}

// submitToNonOwners hands jobs in at all nodes but the owner of the shard, at once.
func (w *testEnv) submitToNonOwners(round int) {
	var calls sync.WaitGroup
	owner, body := w.owner(), w.encodeJob(urgentSpec, urgentSteps()...)
	for i, node := range w.nodeNames() {
		if node == owner {
			continue
		}
		for k := range jobsPerNode {
			id := fmt.Sprintf("%016x", 0xe000+0x100*round+0x10*i+k)
			calls.Go(func() {
				if status, _ := w.call(node, http.MethodPost, "/urgent/"+id, body); status != http.StatusOK {
					w.t.Errorf("%s answered %d to job %s, want %d", node, status, id, http.StatusOK)
				}
			})
		}
	}
	calls.Wait()
}

// checkTaken checks how soon after its acceptance each job was taken by its owner.
func (w *testEnv) checkTaken(logs *observer.ObservedLogs) {
	taken := make(map[string]time.Time)
	for _, e := range logs.FilterField(events.JobAdded).All() {
		taken[e.ContextMap()["job"].(string)] = e.Time
	}
	accepted := logs.FilterField(events.JobAccepted).All()
	if len(accepted) == 0 {
		w.t.Error("no job was accepted")
	}
	for _, e := range accepted {
		job := e.ContextMap()["job"].(string)
		if at, ok := taken[job]; !ok || at.Sub(e.Time) > handedOffWithin {
			w.t.Errorf("job %s was accepted at %s and taken at %s, want within %s", job, e.Time.Format(clockFormat), at.Format(clockFormat), handedOffWithin)
		}
	}
}

// clockFormat is how times of a play are shown.
const clockFormat = "05.000"
