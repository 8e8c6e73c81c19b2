// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"math"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestAbsurdNumbersDelayNoOtherJob guards against times that exceed 64 bits: a job whose estimates
// or policy are absurd was due in the past or the distant future, by chance, and came before all
// others or was never late.
func TestAbsurdNumbersDelayNoOtherJob(t *testing.T) {
	for name, change := range map[string]func(j *cluster.Job){
		"estimates":      func(j *cluster.Job) { j.Steps[0].EstimateMS, j.Steps[1].EstimateMS = math.MaxInt64, math.MaxInt64 },
		"stretch":        func(j *cluster.Job) { j.Policy.Stretch = math.MaxFloat64 },
		"target":         func(j *cluster.Job) { j.Policy.TargetMS = math.MaxInt64 },
		"cost of advice": func(j *cluster.Job) { j.Policy.Advice = &cluster.AdviceCost{BaseMS: math.MaxFloat64} },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1)
			r.upsertWorkers()
			absurd := batch("absurd", tasks(1, 4000), tasks(1, 4000))
			absurd.Steps[1].After = []int{0}
			change(&absurd)
			r.shard.AddJob(r.now, absurd, nil, false)
			r.shard.AddJob(r.now, batch("j", tasks(1, 4000)), nil, false)
			for range 4 {
				r.runFor(300 * time.Millisecond)
				if len(r.running()) > 0 && r.running()[cluster.TaskID{Job: "j"}] == 0 {
					t.Fatalf("%v runs before a job that is due soon", r.running())
				}
				r.endAllRuns(cluster.OutcomeDone)
				if state, _ := r.shard.Job("j"); state == cluster.StateRunning {
					break
				}
			}
			r.runFor(300 * time.Millisecond)
			r.persist(make(map[string]scheduler.Record))
			r.wantState(cluster.StateSucceeded)
		})
	}
}
