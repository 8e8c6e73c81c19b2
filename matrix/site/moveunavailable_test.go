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

// TestMovesDoNotWaitForEachOther submits jobs that no worker can run, makes the store's parts that
// hold some of them unavailable, and then adds a worker that can run them. The other jobs must move
// to that worker's shard and run while those parts are unavailable.
//
// It guards against moving a shard's jobs one after the other, each waiting until its pin is read:
// one unavailable part of the store kept all other jobs of the shard from moving.
func TestMovesDoNotWaitForEachOther(t *testing.T) {
	const endsWithin = 15 * time.Second
	synctest.Test(t, func(t *testing.T) {
		env := newShardedEnv(t)
		defer env.close()
		time.Sleep(2 * time.Second)
		ids := append(env.submitLabelled(), env.submitLabelled()...)
		var unavailable []string
		// Jobs that were submitted together are moved in reverse order, so the second half blocks
		// the first.
		for _, id := range ids[len(ids)/2:] {
			unavailable = append(unavailable, owner.JobPart(id))
		}
		env.site.Store.SetUnavailableParts(unavailable...)
		env.site.AddWorker(site.WorkerConfig{Rack: "r1-3", Label: "rare", CPUMilli: workerCores, MemoryMB: 32000})
		time.Sleep(endsWithin)
		for _, id := range ids {
			if n, _ := env.starts(id); n != 1 && !slices.Contains(unavailable, owner.JobPart(id)) {
				t.Errorf("job %s was started %d times within %v, want once: its part of the store is available", id, n, endsWithin)
			}
		}
		env.site.Store.SetUnavailableParts()
		time.Sleep(endsWithin)
		for _, id := range ids {
			if state := env.state("batch", id); state != "succeeded" {
				t.Errorf("job %s is %q once all parts are available again", id, state)
			}
		}
		env.checkNoViolations()
	})
}
