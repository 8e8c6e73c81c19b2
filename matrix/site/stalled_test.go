// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"time"
)

// TestStalledOrderStartsNothing lets orders to a worker be on their way for seconds, over
// connections that have taken them, while the worker announces that it leaves; then they
// arrive. None may start there that late.
//
// On a hunted day of 147 nodes a task started 4.1 s after its worker had said that it
// leaves, ordered through another node. An owner gives an order up after 0.6 s at most, and
// a helper makes no call that is older; but bytes that a connection has taken arrive, even
// if their sender has closed it. What a start carried then was the worker's lease, by which
// it was good for 8 s.
func TestStalledOrderStartsNothing(t *testing.T) {
	runInEnvs(t, func(t *testing.T, w *testEnv) {
		const (
			jobs      = 12
			stallTime = 5 * time.Second
		)
		defer w.close()
		time.Sleep(4 * time.Second)
		leaving := w.workers[0]
		names := w.nodeNames()
		for _, n := range names {
			w.net.Stall(n, "w0")
		}
		for range jobs {
			w.submit("batch", "3000 cpu=1000", stepBody{Count: 4, CPU: 1000, MemoryMB: 10, EstimateMS: 3000})
			time.Sleep(10 * time.Millisecond)
		}
		leaving.Drain()
		time.Sleep(stallTime)
		for _, n := range names {
			w.net.Release(n, "w0")
		}
		time.Sleep(30 * time.Second)
		w.checkNoViolations()
		w.checkJobsSucceeded()
	})
}
