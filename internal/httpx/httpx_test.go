// SPDX-License-Identifier: Apache-2.0

package httpx_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/httpx"
)

type message struct {
	Name string  `json:"name"`
	Size int64   `json:"size"`
	Sub  []inner `json:"sub"`
}

type inner struct {
	Deep any `json:"deep"`
}

const maxBodyBytes = 1024

func newServer(t *testing.T) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(httpx.Handle(maxBodyBytes, func(_ context.Context, m message) (message, error) {
		if m.Name == "fail" {
			return m, httpx.NewProblem(http.StatusServiceUnavailable, "busy", "come back").RetryAfter(1500 * time.Millisecond).WithOutcome("refused")
		}
		return m, nil
	}))
	t.Cleanup(srv.Close)
	return srv
}

func TestHandleRefusesBadInput(t *testing.T) {
	srv := newServer(t)
	tests := []struct {
		name, body, reason, field string
		status                    int
	}{
		{"not JSON", "{", "json_invalid", "", 400},
		{"unknown member", `{"nam":"x"}`, "unknown_field", "nam", 400},
		{"wrong type", `{"size":"x"}`, "json_invalid", "size", 400},
		{"two values", `{} {}`, "json_trailing", "", 400},
		{"too deep", `{"sub":[{"deep":` + strings.Repeat("[", 40) + strings.Repeat("]", 40) + `}]}`, "json_too_deep", "", 400},
		{"too large", `{"name":"` + strings.Repeat("x", 2*maxBodyBytes) + `"}`, "body_too_large", "", 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := httpx.Send[message](t.Context(), srv.Client(), http.MethodPost, srv.URL, strings.NewReader(tt.body))
			var e *httpx.Error
			if !errors.As(err, &e) || e.Kind != httpx.KindProblem {
				t.Fatalf("want a problem, have %v", err)
			}
			if e.Problem.Status != tt.status || e.Problem.Reason != tt.reason || e.Problem.Field != tt.field {
				t.Errorf("have %+v", e.Problem)
			}
		})
	}
}

func TestProblemSetsRetryAfter(t *testing.T) {
	srv := newServer(t)
	resp, err := http.Post(srv.URL, "application/json", strings.NewReader(`{"name":"fail"}`)) //nolint:noctx // The server is the test's own.
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Get("Retry-After"); got != "2" {
		t.Errorf("Retry-After %q, want 2", got)
	}
	if got := resp.Header.Get("Content-Type"); got != httpx.ContentProblem {
		t.Errorf("Content-Type %q", got)
	}
}

func TestCallRoundTrip(t *testing.T) {
	srv := newServer(t)
	got, err := httpx.Call[message, message](t.Context(), srv.Client(), srv.URL, message{Name: "x", Size: 3})
	if err != nil || got.Name != "x" || got.Size != 3 {
		t.Errorf("have %+v, %v", got, err)
	}
}

func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte(`{"name":"x","sub":[{"deep":[1,"\"]"]}]}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		var m message
		_ = httpx.Unmarshal(body, &m)
	})
}
