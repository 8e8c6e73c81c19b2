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
	// jobsPerNode is how many jobs are submitted to each other node, so that some are handed to the
	// owner on a connection that was open before.
	jobsPerNode = 4
	// handedOffWithin is the time in which the owner must have an accepted job though the first
	// call to it is lost: the call's timeout of 0.3 s, and a second call.
	handedOffWithin = 500 * time.Millisecond
)

// TestSilentConnectionsKeepNoJob makes all open connections go silent just before jobs are
// submitted to nodes that don't own their shard. A job that such a node has accepted must reach the
// owner within handedOffWithin.
//
// It guards against telling the owner only once, on a connection that has gone silent: the owner
// then learned of the job from its feed of the store, which was silent as well and is abandoned
// after 2 s only. A job that was due after 1.45 s reached its owner after 2.5 s.
func TestSilentConnectionsKeepNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		env := newEnvWith(t, cellWorkers, cellWorkers, func(env *testEnv) {
			env.log = zap.New(core)
			env.site.Configure(1, routes()...)
		})
		defer env.close()
		time.Sleep(handoffPause)
		for round := range handoffRounds {
			env.net.SilenceOpenConnections(callerHost)
			env.submitToNonOwners(round)
			time.Sleep(handoffPause)
		}
		env.checkJobsAdded(logs)
		env.checkNoViolations()
	})
}

// submitToNonOwners submits jobs to all nodes but the owner of the shard, concurrently.
func (env *testEnv) submitToNonOwners(round int) {
	var calls sync.WaitGroup
	owner, body := env.owner(), env.encodeJob(urgentSpec, urgentSteps()...)
	for i, node := range env.nodeNames() {
		if node == owner {
			continue
		}
		for k := range jobsPerNode {
			id := fmt.Sprintf("%016x", 0xe000+0x100*round+0x10*i+k)
			calls.Go(func() {
				if status, _ := env.call(node, http.MethodPost, "/urgent/"+id, body); status != http.StatusOK {
					env.t.Errorf("%s answered %d to job %s, want %d", node, status, id, http.StatusOK)
				}
			})
		}
	}
	calls.Wait()
}

// checkJobsAdded checks how soon after its acceptance the owner has added each job.
func (env *testEnv) checkJobsAdded(logs *observer.ObservedLogs) {
	addedAt := make(map[string]time.Time)
	for _, e := range logs.FilterField(events.JobAdded).All() {
		addedAt[e.ContextMap()["job"].(string)] = e.Time
	}
	accepted := logs.FilterField(events.JobAccepted).All()
	if len(accepted) == 0 {
		env.t.Error("no job was accepted")
	}
	for _, e := range accepted {
		job := e.ContextMap()["job"].(string)
		if at, ok := addedAt[job]; !ok || at.Sub(e.Time) > handedOffWithin {
			env.t.Errorf("job %s was accepted at %s and added by its owner at %s, want within %s", job, e.Time.Format(clockFormat), at.Format(clockFormat), handedOffWithin)
		}
	}
}

// clockFormat is the format of times in failure messages.
const clockFormat = "05.000"
