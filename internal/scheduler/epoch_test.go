// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestJobOfEarlierOwnerWaitsForAllWorkers checks that a job accepted under an earlier epoch
// starts only once every worker has answered, while one accepted under this epoch starts at
// once.
//
// An owner whose host was paused continues until it learns that it was replaced. It may take a
// newly accepted job and start its tasks on workers that have not answered the next owner yet.
// The next owner finds that job after those that it has loaded and must not treat it as new.
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
				t.Errorf("%v runs after all workers have answered, want one task", r.running())
			}
		})
	}
}
