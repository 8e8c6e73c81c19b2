// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestUnreadSuccessAfterLeaseEnd partitions a worker while its task runs. If that lasts longer than
// the worker's lease, the task succeeds there without an owner learning of it, and starts again on
// another worker once the lease has expired; then the worker is reachable again. This is the only
// case in which a task may start again after a success that is confirmed later, and it must not be
// reported as a violation. Within the lease the task must wait for its worker.
func TestUnreadSuccessAfterLeaseEnd(t *testing.T) {
	for partitionedFor, wantStarts := range map[time.Duration]int{3 * time.Second: 1, 20 * time.Second: 2} {
		synctest.Test(t, func(t *testing.T) {
			env := newEnv(t)
			defer env.close()
			time.Sleep(4 * time.Second)
			id := env.submit("batch", "1000 cpu=1000", stepBody{Count: 1, CPU: 1000, MemoryMB: 10, EstimateMS: 1000})
			time.Sleep(300 * time.Millisecond)
			_, worker := env.starts(id)
			env.setWorkerPartitioned(worker, true)
			time.Sleep(partitionedFor)
			env.setWorkerPartitioned(worker, false)
			time.Sleep(10 * time.Second)
			if n, _ := env.starts(id); n != wantStarts {
				t.Errorf("partitioned for %s: %d starts, want %d (worker %s)", partitionedFor, n, wantStarts, worker)
			}
			if state := env.state("batch", id); state != "succeeded" {
				t.Errorf("partitioned for %s: the job is %q", partitionedFor, state)
			}
			env.checkNoViolations()
		})
	}
}

// setWorkerPartitioned partitions a worker from all nodes, or ends that.
func (env *testEnv) setWorkerPartitioned(id string, partitioned bool) {
	for i, k := range env.workers {
		if k.ID != id {
			continue
		}
		for _, n := range env.nodeNames() {
			env.net.SetPartitioned(n, fmt.Sprintf("w%d", i), partitioned)
		}
	}
}
