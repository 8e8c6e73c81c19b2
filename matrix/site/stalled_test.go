// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"time"
)

// TestStalledOrderStartsNothing holds orders to a worker back in the network for 5 s, on
// connections that have already taken them, while the worker announces that it drains. When the
// orders arrive, none may start a task.
//
// It guards against starts from outdated orders. An owner abandons an order after 0.6 s at most,
// and a helper makes no older call, but data that a connection has taken still arrives, even if its
// sender has closed the connection. Such a start carried only the worker's lease, which was valid
// for 8 s, and one began 4.1 s after its worker had announced that it drains.
func TestStalledOrderStartsNothing(t *testing.T) {
	runInEnvs(t, func(t *testing.T, env *testEnv) {
		const (
			jobs      = 12
			stallTime = 5 * time.Second
		)
		defer env.close()
		time.Sleep(4 * time.Second)
		draining := env.workers[0]
		names := env.nodeNames()
		for _, n := range names {
			env.net.Stall(n, "w0")
		}
		for range jobs {
			env.submit("batch", "3000 cpu=1000", stepBody{Count: 4, CPU: 1000, MemoryMB: 10, EstimateMS: 3000})
			time.Sleep(10 * time.Millisecond)
		}
		draining.Drain()
		time.Sleep(stallTime)
		for _, n := range names {
			env.net.Release(n, "w0")
		}
		time.Sleep(30 * time.Second)
		env.checkNoViolations()
		env.checkJobsSucceeded()
	})
}
