// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// removalDelay is by when after its entry has gone nothing starts on a worker any more.
	removalDelay = time.Second
	// removalLoad is how long jobs come while and after it leaves.
	removalLoad = 6 * time.Second
)

// startsOn returns how many runs a worker has begun since a time.
func (w *testEnv) startsOn(worker string, since time.Time) int {
	n := 0
	for _, e := range w.site.Events() {
		if e.Kind == site.EventStart && e.Worker == worker && e.At.After(since) {
			n++
		}
	}
	return n
}

// TestWorkerRemovedFromDirectory checks that a worker whose entry has gone, though it answers,
// gets nothing new, and that what was accepted ends all the same.
func TestWorkerRemovedFromDirectory(t *testing.T) {
	runInEnvs(t, func(t *testing.T, w *testEnv) {
		defer w.close()
		time.Sleep(4 * time.Second)
		leaving := w.worker(0)
		loadStart := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.load(removalLoad)
		}()
		time.Sleep(removalLoad / 3)
		if w.startsOn(leaving.ID, loadStart) == 0 {
			t.Fatal("the worker was given nothing before it left")
		}
		leaving.RemoveFromDirectory()
		removedAt := time.Now()
		<-done
		if n := w.startsOn(leaving.ID, removedAt.Add(removalDelay)); n != 0 {
			t.Errorf("%d runs began on a worker that had left the directory", n)
		}
		w.checkJobsSettled()
		w.checkNoViolations()
	})
}
