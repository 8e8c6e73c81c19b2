// SPDX-License-Identifier: Apache-2.0

package conns_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/standin/network"
)

// TestLateResponse checks that a late response is reported at once and still read, up to the limit.
func TestLateResponse(t *testing.T) {
	const limit = time.Second
	for _, c := range []struct {
		name  string
		pause time.Duration
		late  bool
		// answered is set if the response is read, and after is when the call ends.
		answered bool
		after    time.Duration
	}{
		{"in time", begin / 2, false, true, begin / 2},
		{"late", 2 * begin, true, true, 2 * begin},
		{"beyond the limit", time.Hour, true, false, limit},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := network.New()
				srv := &http.Server{Handler: piecewise(c.pause)}
				l := n.Listen("a:80")
				go func() { _ = srv.Serve(l) }()
				defer func() { _ = srv.Close() }()
				client := &http.Client{Transport: conns.New(conns.Network{Dial: n.Dial("client"), Log: zap.NewNop()}, 1, time.Minute)}
				defer client.CloseIdleConnections()
				began := time.Now()
				var lateAfter atomic.Int64
				ctx, cancel := conns.WithLateResponse(t.Context(), begin, limit, func() { lateAfter.Store(int64(time.Since(began))) })
				defer cancel()
				r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://a/", nil)
				if err != nil {
					t.Fatal(err)
				}
				_, err = readAll(client, r)
				if took := time.Since(began); (err == nil) != c.answered || took != c.after {
					t.Errorf("call ended after %s with error %v, want %s", took, err, c.after)
				}
				if late := time.Duration(lateAfter.Load()); c.late != (late == begin) {
					t.Errorf("late after %s, want that to be %s: %t", late, begin, c.late)
				}
			})
		})
	}
}
