// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// leftAfter is by when after its entry has gone nothing starts on a worker any more.
	leftAfter = time.Second
	// leaveLoad is how long jobs come while and after it leaves.
	leaveLoad = 6 * time.Second
)

// startsOn returns how many runs a worker has begun since a time.
func (w *world) startsOn(worker string, since time.Time) int {
	n := 0
	for _, e := range w.site.Events() {
		if e.Kind == site.EventStart && e.Worker == worker && e.At.After(since) {
			n++
		}
	}
	return n
}

// TestWorkerLeavesUnsaid checks that a worker whose entry has gone, though it answers,
// gets nothing new, and that what was accepted ends all the same.
func TestWorkerLeavesUnsaid(t *testing.T) {
	playInWorlds(t, func(t *testing.T, w *world) {
		defer w.close()
		time.Sleep(4 * time.Second)
		leaving := w.worker(0)
		began := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.load(leaveLoad)
		}()
		time.Sleep(leaveLoad / 3)
		if w.startsOn(leaving.ID, began) == 0 {
			t.Fatal("the worker was given nothing before it left")
		}
		leaving.RemoveFromDirectory()
		left := time.Now()
		<-done
		if n := w.startsOn(leaving.ID, left.Add(leftAfter)); n != 0 {
			t.Errorf("%d runs began on a worker that had left the directory", n)
		}
		w.checkSettled()
		w.checkJudged()
	})
}
