// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/resource"
)

// TestSpans checks that the spans of a request join the caller's trace, and that the steps
// of starting a task have spans. It sets the global tracer, so it is not parallel.
func TestSpans(t *testing.T) {
	rec := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(rec)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t.Cleanup(func() { otel.SetTracerProvider(sdktrace.NewTracerProvider()) })
	r := startNode(t, nil)
	c := r.client("inkasoft", "")
	_, err := c.Create(t.Context(), api.Workload{
		ID: "svc", Team: "inkasoft", Kind: api.KindService, Class: "notice", Tasks: 1, Service: "svc",
		Size: resource.Amount{CPUMilli: 1000, MemoryMB: 1000}, Command: []string{"serve"},
	})
	if err == nil {
		_, err = c.Wait(t.Context(), "svc", func(s api.Status) bool { return s.Counts.Running == 1 })
	}
	if err != nil {
		t.Fatal(err)
	}
	const trace = "0af7651916cd43dd8448eb211c80319c"
	status, p := r.postToCallers(t, "/v1/services/svc/requests", "x", "inkasoft", map[string]string{
		"Traceparent": fmt.Sprintf("00-%s-b7ad6b7169203331-01", trace),
	})
	if status != http.StatusOK {
		t.Fatalf("have %d %+v", status, p)
	}
	var ours, all []string
	for _, s := range rec.Ended() {
		all = append(all, s.Name())
		if s.SpanContext().TraceID().String() == trace {
			ours = append(ours, s.Name())
		}
	}
	for _, want := range []string{"entry", "upstream"} {
		if !slices.Contains(ours, want) {
			t.Errorf("no span %q in the caller's trace: %s", want, strings.Join(ours, ", "))
		}
	}
	for _, want := range []string{"admit", "reserve", "journal", "start"} {
		if !slices.Contains(all, want) {
			t.Errorf("no span %q: %s", want, strings.Join(all, ", "))
		}
	}
}
