// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"slices"
	"testing"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// TestRunningRuns checks that each kind of end, and no other event, takes a run off the runs that
// have not ended.
func TestRunningRuns(t *testing.T) {
	const (
		lasting = `{"Task":"j.0.0.0","Run":1,"Spec":"100 lasting cpu=600","DeadlineMs":5000,"Fence":1}`
		done    = `{"Task":"j.0.0.1","Run":1,"Spec":"300 cpu=600","DeadlineMs":5000,"Fence":1}`
		failing = `{"Task":"j.0.0.2","Run":1,"Spec":"300 failing cpu=100","DeadlineMs":5000,"Fence":1}`
		alone   = `{"Task":"j.0.1.0","Run":1,"Spec":"300 gang=1:2 cpu=100","DeadlineMs":9000,"Fence":1}`
	)
	runOnWorker(t, func(s *site.Site, w *site.Worker, start func(order string)) {
		want := func(when string, tasks ...string) {
			t.Helper()
			var running []string
			for _, r := range s.RunningRuns() {
				running = append(running, r.Task)
			}
			if !slices.Equal(running, tasks) {
				t.Errorf("%s: %q run, want %q", when, running, tasks)
			}
		}
		want("before the first start")
		for _, order := range []string{lasting, done, failing, alone} {
			start(order)
		}
		// The second start exceeds the worker's capacity, which ends no run.
		want("after the starts", "j.0.0.0", "j.0.0.1", "j.0.0.2", "j.0.1.0")
		time.Sleep(time.Second)
		want("after a second", "j.0.0.0", "j.0.1.0")
		time.Sleep(3 * time.Second)
		want("after the wait for the gang", "j.0.0.0")
		w.Crash()
		want("after the crash")
	})
}
