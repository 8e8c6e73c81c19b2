// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// removalDelay is the time after the removal of its entry from which on nothing may start on a
	// worker.
	removalDelay = time.Second
	// removalLoad is how long jobs are submitted before and after the removal.
	removalLoad = 6 * time.Second
)

// startsOn returns how many runs a worker has started since a time.
func (env *testEnv) startsOn(worker string, since time.Time) int {
	n := 0
	for _, e := range env.site.Events() {
		if e.Kind == site.EventStart && e.Worker == worker && e.At.After(since) {
			n++
		}
	}
	return n
}

// TestWorkerRemovedFromDirectory checks that a worker whose entry is removed gets no new tasks,
// though it still responds, and that all accepted jobs end nevertheless.
func TestWorkerRemovedFromDirectory(t *testing.T) {
	runInEnvs(t, func(t *testing.T, env *testEnv) {
		defer env.close()
		time.Sleep(4 * time.Second)
		removed := env.worker(0)
		loadStart := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			env.load(removalLoad)
		}()
		time.Sleep(removalLoad / 3)
		if env.startsOn(removed.ID, loadStart) == 0 {
			t.Fatal("no run started on the worker before its removal")
		}
		removed.RemoveFromDirectory()
		removedAt := time.Now()
		<-done
		if n := env.startsOn(removed.ID, removedAt.Add(removalDelay)); n != 0 {
			t.Errorf("%d runs started on a worker that had been removed from the directory", n)
		}
		env.checkJobsSettled()
		env.checkNoViolations()
	})
}
