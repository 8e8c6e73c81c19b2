// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
)

const (
	// finishedJobs is the number of jobs that finish.
	finishedJobs = 60
	// removedWithin is the time in which all rows of a finished job must be removed: callers may
	// query it for 120 s, then its pin and its progress are removed, each after a minute.
	removedWithin = 260 * time.Second
)

// TestFinishedJobsAreRemoved checks that callers can query the state of a finished job for as long
// as is promised, and that the store holds none of its rows afterwards, even if the owner is lost
// in between.
func TestFinishedJobsAreRemoved(t *testing.T) {
	for name, killAfter := range map[string]time.Duration{"one owner": 0, "owner killed while callers may ask": time.Minute, "owner killed in the removal": 190 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRemoval(t, killAfter) })
		})
	}
}

func testRemoval(t *testing.T, killAfter time.Duration) {
	env := newShardedEnv(t)
	defer env.close()
	time.Sleep(2 * time.Second)
	var ids []string
	for range finishedJobs {
		ids = append(ids, env.submit("batch", urgentSpec, stepBody{Count: 1, CPU: 100, MemoryMB: 10, EstimateMS: 400}))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	if killAfter > 0 {
		time.Sleep(killAfter)
		env.killOwner()
		time.Sleep(5 * time.Second)
	}
	if killAfter < 100*time.Second {
		env.checkStatuses(ids, http.StatusOK)
	}
	time.Sleep(removedWithin)
	env.checkStatuses(ids, http.StatusGone)
	for _, id := range ids {
		part := owner.JobPart(id)
		if env.site.Store.Version(owner.TablePins, part, id) != 0 {
			t.Errorf("job %s still has a pin", id)
		}
		for index := range 2 {
			shard := cluster.ShardID{Service: service, Index: index}
			if env.site.Store.Version(owner.TableProgress, owner.ProgressPart(shard), id) != 0 {
				t.Errorf("the progress of job %s is still in shard %s", id, shard)
			}
			if env.site.Store.Version(owner.TableJobs(shard), part, owner.JobRow(shard, id).Key) != 0 {
				t.Errorf("job %s is still in shard %s", id, shard)
			}
		}
	}
}

// checkStatuses queries the state of jobs and checks the HTTP status of each response.
func (env *testEnv) checkStatuses(ids []string, want int) {
	env.t.Helper()
	for _, id := range ids {
		if status, body := env.call(env.nodeNames()[0], http.MethodGet, "/batch/"+id, ""); status != want {
			env.t.Errorf("job %s: %d %s, want %d", id, status, body, want)
		}
	}
}
