// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// maxWaitForEndedOwner is how long work may wait for a worker that doesn't answer once its owner is
// certain to have ended: the longest lease of a worker, 10 s, and the time until the end is known.
const maxWaitForEndedOwner = 12 * time.Second

// maxWaitForRefusingOwner is the same once its host refuses connections, which doesn't show that it has
// ended: the ownership of 20 s that it may have, on slow clocks, and the time until it is taken over.
const maxWaitForRefusingOwner = 22500 * time.Millisecond

// TestWorkWaitsForEndedOwner guards against work that waits for as long as an owner might go on that
// is cut off, although the next owner can know that the last one has ended; and against work that waits
// for longer than that if it can't know.
func TestWorkWaitsForEndedOwner(t *testing.T) {
	const refusingOwner, refusesAfter = "its host refuses connections", 5 * time.Second
	ends := map[string]func(env *testEnv, owner string){
		"it restarts": func(env *testEnv, owner string) {
			env.kill(owner)
			time.Sleep(time.Second)
			env.net.SetPartitioned(owner, "*", false)
			env.startNode(owner)
		},
		refusingOwner: func(env *testEnv, owner string) {
			env.kill(owner)
			time.Sleep(refusesAfter) // The process that was killed sends nothing any more.
			env.net.SetPartitioned(owner, "*", false)
		},
		"it is told to stop": func(env *testEnv, owner string) { env.drain(owner) },
		"it hangs for a while": func(env *testEnv, owner string) {
			env.net.Pause(owner)
			time.Sleep(2 * time.Second)
			env.net.Resume(owner)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env, _ := newLoadedEnv(t, newEnv)
				defer env.close()
				// It waits until the batch ends, since it needs whole workers.
				waiting := env.submit("batch", "500 cpu=3000", stepBody{Count: 1, CPU: 3000, MemoryMB: 10, EstimateMS: 500})
				env.setWorkerPartitioned(env.worker(0).ID, true)
				end(env, env.owner())
				most := maxWaitForEndedOwner
				if name == refusingOwner {
					most = maxWaitForRefusingOwner - refusesAfter
				}
				time.Sleep(most)
				if n, _ := env.starts(waiting); n == 0 {
					t.Errorf("the job has not started %s later", most)
				}
				env.setWorkerPartitioned(env.worker(0).ID, false)
				time.Sleep(afterCut)
				env.checkNoViolations()
			})
		})
	}
}
