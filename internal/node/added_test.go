// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/resource"
)

// BenchmarkAddedTime measures the latency that a node adds to a request: it sends the
// same request to an instance directly and through a node, with one caller and with
// as many callers as the instance has slots.
func BenchmarkAddedTime(b *testing.B) {
	const slots = 32
	r := startNode(b, nil)
	c := r.client("inkasoft", "")
	w := api.Workload{
		ID: "svc", Team: "inkasoft", Kind: api.KindService, Class: "notice", Tasks: 1, Service: "svc", Slots: slots,
		Size: resource.Amount{CPUMilli: 1000, MemoryMB: 1000}, Command: []string{"serve"},
	}
	if _, err := c.Create(b.Context(), w); err != nil {
		b.Fatal(err)
	}
	st, err := c.Wait(b.Context(), "svc", func(s api.Status) bool { return s.Counts.Running == 1 })
	if err == nil {
		st, err = c.Get(b.Context(), "svc", 0, true)
	}
	if err != nil {
		b.Fatal(err)
	}
	direct := "http://" + st.Tasks[0].Address + "/"
	through := "http://" + r.callers + "/v1/services/svc/requests"
	for _, callers := range []int{1, slots} {
		for name, url := range map[string]string{"direct": direct, "through": through} {
			b.Run(fmt.Sprintf("callers=%d/%s", callers, name), func(b *testing.B) { sendConcurrently(b, url, callers) })
		}
	}
}

// sendConcurrently sends b.N requests from a number of concurrent callers, and reports
// percentiles of the latency.
func sendConcurrently(b *testing.B, url string, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	latencies := make([][]time.Duration, callers)
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range callers {
		wg.Go(func() {
			for range (b.N + callers - 1) / callers {
				start := time.Now()
				req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, strings.NewReader("a balance check"))
				if err != nil {
					b.Error(err)
					return
				}
				req.Header.Set(api.HeaderTeam, "inkasoft")
				resp, err := client.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				latencies[i] = append(latencies[i], time.Since(start))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	sorted := slices.Concat(latencies...)
	slices.Sort(sorted)
	b.ReportMetric(float64(sorted[len(sorted)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(sorted[len(sorted)*99/100].Microseconds()), "p99-us")
}
