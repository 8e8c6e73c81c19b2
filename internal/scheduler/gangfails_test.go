// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestGangAvoidsFailingWorker lets one of three workers fail all that it is given, while
// a gang of two comes, alone. It must run on the other two.
//
// A single task that has failed goes to another worker; a gang came back to the same one,
// which was not set aside either, since failures of one job may be the job's, until all its
// attempts were used up:
//
//	run ended task=j.0.0.0 run=100001 worker=w0 outcome=failed
//	starting run task=j.0.0.0 run=100002 worker=w0
//	run ended task=j.0.0.0 run=100002 worker=w0 outcome=failed
//	job failed failed_runs=[100001 100002] max_attempts=2
func TestGangAvoidsFailingWorker(t *testing.T) {
	const (
		bad    = "w0"
		rounds = 100
	)
	r := newRig(t, 3)
	r.upsertWorkers()
	gang := tasks(2, 4000)
	gang.Gang = true
	r.shard.AddJob(r.now, batch("j", gang), nil, false)
	for range rounds {
		r.runFor(100 * time.Millisecond)
		how := cluster.OutcomeDone
		if len(r.workers[bad].running) > 0 {
			how = cluster.OutcomeGangBroken
		}
		for _, e := range r.workers[bad].running {
			r.endRun(bad, e.Task, e.Run, cluster.OutcomeFailed)
		}
		r.endAllRuns(how)
	}
	if state := r.persistedState("j"); state != cluster.StateSucceeded {
		t.Errorf("the gang's job is %q", state)
	}
}

// persistedState persists what is open, and returns a job's state.
func (r *rig) persistedState(id string) cluster.State {
	r.persist(make(map[string]scheduler.Record))
	state, _ := r.shard.Job(id)
	return state
}
