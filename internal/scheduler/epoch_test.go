// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// An owner that is replaced because its host stands still goes on until it hears of that:
// it may take a job that is accepted meanwhile, and start its tasks on workers that have
// not answered the next owner yet. That one finds the job too, after the jobs that it has
// loaded, and took it for one that nobody had before.

// TestJobOfEarlierOwnerWaitsForAllWorkers checks that a job that was accepted for an
// earlier owner starts only when every worker has answered, and one that was accepted for
// this owner at once.
func TestJobOfEarlierOwnerWaitsForAllWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		epoch  int64
		starts int
	}{
		"earlier owner": {epoch: 1, starts: 0},
		"this owner":    {epoch: 2, starts: 1},
		"no owner":      {epoch: 0, starts: 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3)
			r.takeOver()
			r.upsertWorkers()
			r.workers["w0"].silent = true
			r.runFor(200 * time.Millisecond)
			job := batch("j", tasks(1, 1000))
			job.Epoch = c.epoch
			r.shard.AddJob(r.now, job, nil, false)
			if n := len(commandsOf[scheduler.Start](r.round())); n != c.starts {
				t.Errorf("%d starts while a worker has not answered, want %d", n, c.starts)
			}
			r.workers["w0"].silent = false
			r.runFor(200 * time.Millisecond)
			if r.running()[cluster.TaskID{Job: "j"}] != 1 {
				t.Errorf("%v runs when all workers have answered, want one task", r.running())
			}
		})
	}
}
