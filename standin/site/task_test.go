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

// runTask starts a task on a worker, prepared by a test, and returns its end after a second.
func runTask(t *testing.T, order string, prepare func(*site.Worker)) (end site.Event) {
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
			// The worker's own goroutine sees that its life is over.
			time.Sleep(time.Second)
		}()
		w := s.AddWorker(site.WorkerConfig{Rack: "r1-0", CPUMilli: 1000, MemoryMB: 1000})
		prepare(w)
		rec := httptest.NewRecorder()
		worker.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/api/run-start", strings.NewReader(order)))
		if rec.Code != http.StatusOK {
			t.Fatalf("the start is answered with %d", rec.Code)
		}
		time.Sleep(time.Second)
		for _, e := range s.Events() {
			if e.Kind != site.EventStart {
				end = e
			}
		}
	})
	return end
}

// TestFailingTaskNeverSucceeds checks that a task that fails does so from a checkpoint too:
// from 60% it was done before it was halfway, and its job ended as succeeded.
func TestFailingTaskNeverSucceeds(t *testing.T) {
	for name, checkpoint := range map[string]string{"from the start": "", "from a checkpoint": "j.0.0.0@60"} {
		t.Run(name, func(t *testing.T) {
			order := `{"Task":"j.0.0.0","Run":1,"Spec":"300 failing","DeadlineMs":5000,"Fence":1,"Checkpoint":"` + checkpoint + `"}`
			if end := runTask(t, order, func(*site.Worker) {}); !end.Failed {
				t.Errorf("the run ends so: %+v", end)
			}
		})
	}
}

// TestWorkerFailsNewRuns checks that a worker that fails all that starts there does so to
// tasks that last too.
func TestWorkerFailsNewRuns(t *testing.T) {
	const order = `{"Task":"j.0.0.0","Run":1,"Spec":"100 lasting","DeadlineMs":5000,"Fence":1}`
	if end := runTask(t, order, func(w *site.Worker) { w.SetFailNewRuns(true) }); !end.Failed {
		t.Errorf("the run ends so: %+v", end)
	}
	if end := runTask(t, order, func(*site.Worker) {}); end.Failed {
		t.Errorf("the run on a sound worker ends so: %+v", end)
	}
}
