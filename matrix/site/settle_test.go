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

// TestWorkWaitsForEndedOwner guards against work that waits for as long as an owner might go on that
// is cut off, although the next owner can know that the last one has ended.
func TestWorkWaitsForEndedOwner(t *testing.T) {
	ends := map[string]func(env *testEnv, owner string){
		"it restarts": func(env *testEnv, owner string) {
			env.kill(owner)
			time.Sleep(time.Second)
			env.net.SetPartitioned(owner, "*", false)
			env.startNode(owner)
		},
		"its host refuses connections": func(env *testEnv, owner string) {
			env.kill(owner)
			time.Sleep(5 * time.Second) // The process that was killed sends nothing any more.
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
				time.Sleep(maxWaitForEndedOwner)
				if n, _ := env.starts(waiting); n == 0 {
					t.Errorf("the job has not started %s later", maxWaitForEndedOwner)
				}
				env.setWorkerPartitioned(env.worker(0).ID, false)
				time.Sleep(afterCut)
				env.checkNoViolations()
			})
		})
	}
}
