// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestGangAvoidsFailingWorker runs a gang of two beside one worker that fails every run and
// two healthy ones; the gang must run on the healthy ones. The failing worker is not
// quarantined, since failures of one job may be the job's own, so a gang that returns to it
// uses up all its attempts there.
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
		t.Errorf("the gang's job is %q, want succeeded", state)
	}
}

// persistedState persists all pending changes and returns the state of a job.
func (r *rig) persistedState(id string) cluster.State {
	r.persist(make(map[string]scheduler.Record))
	state, _ := r.shard.Job(id)
	return state
}
