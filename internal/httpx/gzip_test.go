// SPDX-License-Identifier: Apache-2.0

package httpx_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"switchbank.example/switchbank/internal/httpx"
)

type text struct {
	Text string `json:"text"`
}

// TestLargeRepliesAreCompressed checks which replies are compressed, and that a client reads
// the same message either way.
func TestLargeRepliesAreCompressed(t *testing.T) {
	for _, c := range []struct {
		name           string
		text           string
		acceptEncoding string
		compressed     bool
	}{
		{"large", strings.Repeat("route ", 10_000), "gzip", true},
		{"large, not accepted", strings.Repeat("route ", 10_000), "", false},
		{"small", "route", "gzip", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(httpx.Handle(1<<20, func(context.Context, text) (text, error) { return text{c.text}, nil }))
			defer srv.Close()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL, strings.NewReader("{}"))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Accept-Encoding", c.acceptEncoding)
			res, err := srv.Client().Do(r)
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
			if got := res.Header.Get("Content-Encoding") == "gzip"; got != c.compressed {
				t.Errorf("compressed is %t, want %t", got, c.compressed)
			}
			got, err := httpx.Call[text, text](t.Context(), srv.Client(), srv.URL, text{})
			if err != nil || got.Text != c.text {
				t.Errorf("read %d bytes and %v, want %d", len(got.Text), err, len(c.text))
			}
		})
	}
}
