// SPDX-License-Identifier: Apache-2.0

package conns_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/standin/network"
)

const (
	// begin bounds the wait for the first part of a response.
	begin = 300 * time.Millisecond
	piece = "0123456789"
)

// piecewise answers in pieces, with a pause before each.
func piecewise(pauses ...time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, d := range pauses {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				return
			}
			_, _ = io.WriteString(w, piece)
			_ = http.NewResponseController(w).Flush()
		}
	})
}

// TestStallTimeout checks that a call is bounded by the progress of its response, and not by
// the time that the whole response takes.
func TestStallTimeout(t *testing.T) {
	const hour = time.Hour
	for _, c := range []struct {
		name   string
		pauses []time.Duration
		// kind is the kind of the error that ends the call, empty if the response is read
		// completely; after is when the call ends.
		kind  conns.Kind
		after time.Duration
	}{
		{"a large response on a slow link", []time.Duration{200 * time.Millisecond, time.Second, time.Second, time.Second}, "", 3200 * time.Millisecond},
		{"no response", []time.Duration{hour}, conns.KindSilent, begin},
		{"a response that stalls", []time.Duration{200 * time.Millisecond, hour}, conns.KindStalled, 200*time.Millisecond + conns.StallTimeout},
		{"a response that stalls later", []time.Duration{0, time.Second, hour}, conns.KindStalled, time.Second + conns.StallTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := network.New()
				srv := &http.Server{Handler: piecewise(c.pauses...)}
				l := n.Listen("a:80")
				go func() { _ = srv.Serve(l) }()
				defer func() { _ = srv.Close() }()
				client := &http.Client{Transport: conns.New(conns.Network{Dial: n.Dial("client"), Log: zap.NewNop()}, 1, time.Minute)}
				defer client.CloseIdleConnections()
				ctx, cancel := conns.WithStallTimeout(t.Context(), begin)
				defer cancel()
				r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://a/", nil)
				if err != nil {
					t.Fatal(err)
				}
				began := time.Now()
				body, err := readAll(client, r)
				if took := time.Since(began); took != c.after {
					t.Errorf("call ended after %s, want %s", took, c.after)
				}
				var e *conns.Error
				switch {
				case c.kind == "" && (err != nil || len(body) != len(c.pauses)*len(piece)):
					t.Errorf("read %q with error %v, want the whole response", body, err)
				case c.kind != "" && (!errors.As(err, &e) || e.Kind != c.kind):
					t.Errorf("call ended with error %v, want kind %s", err, c.kind)
				}
				if got, want := conns.ResponseStarted(ctx), c.pauses[0] < begin; got != want {
					t.Errorf("ResponseStarted is %t, want %t", got, want)
				}
			})
		})
	}
}

func readAll(client *http.Client, r *http.Request) ([]byte, error) {
	res, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	return io.ReadAll(res.Body)
}
