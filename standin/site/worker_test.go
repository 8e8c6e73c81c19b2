// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"switchbank.example/switchbank/standin/site"
)

// TestCrashedWorkerIsSilent checks that a crashed worker answers no call, not even on a
// connection that is still open.
func TestCrashedWorkerIsSilent(t *testing.T) {
	var url string
	s := site.New(site.Config{
		Service: "billing", StoreAddress: "store", AdviceAddress: "advice", MachinesAddress: "machines",
		WorkerAddress: func(int) string { return "worker" },
		Serve: func(address string, h http.Handler) func() {
			if address == "worker" {
				srv := httptest.NewServer(h)
				t.Cleanup(srv.Close)
				url = srv.URL
			}
			return func() {}
		},
	})
	w := s.AddWorker(site.WorkerConfig{Rack: "r1-0", CPUMilli: 1000, MemoryMB: 1000})
	ask := func() (int, error) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/api/hold", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("X-Switchbank-Expect-Instance", "i-other")
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, err
		}
		return res.StatusCode, res.Body.Close()
	}
	if status, err := ask(); status != http.StatusMisdirectedRequest {
		t.Errorf("a running worker answers %d, %v", status, err)
	}
	w.Crash()
	if status, err := ask(); err == nil {
		t.Errorf("a crashed worker answers %d", status)
	}
}
