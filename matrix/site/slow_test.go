// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"switchbank.example/switchbank/standin/site"
)

// TestSlowStoreAcceptsJobs checks that a store which becomes slow isn't considered down: each job
// must be accepted at the first call, also in a burst in which writes wait for each other.
func TestSlowStoreAcceptsJobs(t *testing.T) {
	for _, c := range []struct {
		name string
		slow site.StoreFaults
		// pause is the time between two submissions.
		pause time.Duration
	}{
		{"60 times slower", site.StoreFaults{Delay: 250 * time.Millisecond}, 250 * time.Millisecond},
		{"100 times slower", site.StoreFaults{Delay: 400 * time.Millisecond}, 250 * time.Millisecond},
		{"150 times slower", site.StoreFaults{Delay: 600 * time.Millisecond}, 250 * time.Millisecond},
		{"100 times slower, in a burst", site.StoreFaults{Delay: 400 * time.Millisecond, PartBusy: 300 * time.Millisecond}, 12 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testSlowStore(t, c.slow, c.pause) })
		})
	}
}

func testSlowStore(t *testing.T, slow site.StoreFaults, pause time.Duration) {
	const duration = 4 * time.Second
	env := newEnv(t)
	defer env.close()
	time.Sleep(4 * time.Second)
	env.site.Store.SetFaults(slow)
	body := env.encodeJob(urgentSpec, stepBody{Count: 1, CPU: 10, MemoryMB: 10, EstimateMS: 400})
	var wg sync.WaitGroup
	for i := range int(duration / pause) {
		wg.Go(func() {
			sentAt := time.Now()
			node := fmt.Sprintf("n%d", i%cellNodes)
			// Spread the IDs over the whole range, as callers do.
			id := xxhash.Sum64String(fmt.Sprint(i))
			status, answer := env.call(node, http.MethodPost, fmt.Sprintf("/urgent/%016x", id), body)
			if status != http.StatusOK {
				t.Errorf("job %d at %s: %d %s after %s", i, node, status, answer, time.Since(sentAt))
			}
		})
		time.Sleep(pause)
	}
	wg.Wait()
}
