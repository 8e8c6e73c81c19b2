// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// runOnWorker runs a test in virtual time at a site with one worker; start lets the worker start a
// run, which it must accept.
func runOnWorker(t *testing.T, test func(s *site.Site, w *site.Worker, start func(order string))) {
	synctest.Test(t, func(t *testing.T) {
		var worker http.Handler
		s := site.New(site.Config{
			Service: "billing", StoreAddress: "store", AdviceAddress: "advice", MachinesAddress: "machines",
			WorkerAddress: func(int) string { return "worker" },
			Serve: func(address string, h http.Handler) func() {
				if address == "worker" {
					worker = h
				}
				return func() {}
			},
		})
		defer func() {
			s.Close()
			// Within this time the worker's goroutine notices that the worker was stopped.
			time.Sleep(time.Second)
		}()
		test(s, s.AddWorker(site.WorkerConfig{Rack: "r1-0", CPUMilli: 1000, MemoryMB: 1000}), func(order string) {
			t.Helper()
			rec := httptest.NewRecorder()
			worker.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/api/run-start", strings.NewReader(order)))
			if rec.Code != http.StatusOK {
				t.Fatalf("start: status %d", rec.Code)
			}
		})
	})
}

// runTask starts a task on a worker that the test has prepared, waits for a second, and
// returns the last event of the run other than its start.
func runTask(t *testing.T, order string, prepare func(*site.Worker)) (end site.Event) {
	runOnWorker(t, func(s *site.Site, w *site.Worker, start func(order string)) {
		prepare(w)
		start(order)
		time.Sleep(time.Second)
		for _, e := range s.Events() {
			if e.Kind != site.EventStart {
				end = e
			}
		}
	})
	return end
}

// TestFailingTaskNeverSucceeds checks that a failing task also fails if it starts from a
// checkpoint. At 60% it has less than half of its work left, so that it succeeds if it
// fails only after half of its duration.
func TestFailingTaskNeverSucceeds(t *testing.T) {
	for name, checkpoint := range map[string]string{"from the start": "", "from a checkpoint": "j.0.0.0@60"} {
		t.Run(name, func(t *testing.T) {
			order := `{"Task":"j.0.0.0","Run":1,"Spec":"300 failing","DeadlineMs":5000,"Fence":1,"Checkpoint":"` + checkpoint + `"}`
			if end := runTask(t, order, func(*site.Worker) {}); !end.Failed {
				t.Errorf("the run did not fail: %+v", end)
			}
		})
	}
}

// TestWorkerFailsNewRuns checks that a worker that fails all new runs also fails those of
// long-running tasks.
func TestWorkerFailsNewRuns(t *testing.T) {
	const order = `{"Task":"j.0.0.0","Run":1,"Spec":"100 lasting","DeadlineMs":5000,"Fence":1}`
	if end := runTask(t, order, func(w *site.Worker) { w.SetFailNewRuns(true) }); !end.Failed {
		t.Errorf("the run did not fail: %+v", end)
	}
	if end := runTask(t, order, func(*site.Worker) {}); end.Failed {
		t.Errorf("the run on a healthy worker failed: %+v", end)
	}
}
