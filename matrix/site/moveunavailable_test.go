// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/standin/site"
)

// TestMovesDoNotWaitForEachOther lets jobs wait that no worker can run, takes the parts of
// the store away in which some of them lie, and then lets a worker come that can run them.
// The others have to get there, while those parts stay away.
//
// A shard moved its jobs one after the other, and waited for the pin of each until it was
// read: one part of the store that was away kept all other jobs of the shard from moving.
func TestMovesDoNotWaitForEachOther(t *testing.T) {
	const endWithin = 15 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newShardedEnv(t)
		defer w.close()
		time.Sleep(2 * time.Second)
		ids := append(w.submitLabelled(), w.submitLabelled()...)
		var unavailable []string
		// Jobs that came together are moved the latest first.
		for _, id := range ids[len(ids)/2:] {
			unavailable = append(unavailable, owner.JobPart(service, id))
		}
		w.site.Store.SetUnavailableParts(unavailable...)
		w.site.AddWorker(site.WorkerConfig{Rack: "r1-3", Label: "rare", CPUMilli: workerCores, MemoryMB: 32000})
		time.Sleep(endWithin)
		for _, id := range ids {
			if n, _ := w.starts(id); n != 1 && !slices.Contains(unavailable, owner.JobPart(service, id)) {
				t.Errorf("job %s was started %d times within %v, want once: its part of the store answers", id, n, endWithin)
			}
		}
		w.site.Store.SetUnavailableParts()
		time.Sleep(endWithin)
		for _, id := range ids {
			if state := w.state("batch", id); state != "succeeded" {
				t.Errorf("job %s is %q once all parts answer again", id, state)
			}
		}
		w.checkNoViolations()
	})
}
