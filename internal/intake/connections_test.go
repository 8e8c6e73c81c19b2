// SPDX-License-Identifier: Apache-2.0

package intake_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/intake"
)

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestSilentConnectionsKeepOthersOut guards against connections that do nothing, or that stop in
// any part of a request, and take the place of others.
func TestSilentConnectionsKeepOthersOut(t *testing.T) {
	large := strings.Repeat("x", 32<<20)
	for name, request := range map[string]string{
		"nothing sent":     "",
		"part of a head":   "GET / HTTP/1.1\r\nHo",
		"part of a body":   post(100, "x"),
		"idle":             getRequest,
		"answers not read": "GET /large HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			const conns = 3
			l := intake.New(intake.Limits{Conns: conns, Bytes: 64 << 10, ReadTime: time.Minute})
			address := serve(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/large" {
					_, _ = io.WriteString(w, large)
					return
				}
				sizeHandler(w, r)
			}))
			for range conns {
				c := send(t, address, request)
				if name == "idle" {
					answer(t, c)
				}
			}
			waitStats(t, l, "all connections open", func(s intake.Stats) bool { return s.Conns == conns })
			if status := retryGet(t, address); status != http.StatusOK {
				t.Errorf("got %d", status)
			}
			if s := l.Stats(); s.Conns > conns || s.ClosedForRoom == 0 {
				t.Errorf("%+v, want at most %d connections and one closed", s, conns)
			}
		})
	}
}

// retryGet sends a request, again while the connection is refused: a connection isn't closed between
// the whole request and the answer to it. It returns the status, or 0 after answerTimeout.
func retryGet(t *testing.T, address string) int {
	t.Helper()
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.WriteString(c, getRequest)
		if err == nil {
			err = c.SetReadDeadline(end)
		}
		if err != nil {
			_ = c.Close()
			continue
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		_ = c.Close()
		if err == nil {
			_ = res.Body.Close()
			return res.StatusCode
		}
	}
	return 0
}

// TestServedRequestsKeepTheirConnections checks that a connection whose request is being served is
// never closed, and that a new one is refused in its place.
func TestServedRequestsKeepTheirConnections(t *testing.T) {
	const conns = 2
	l := intake.New(intake.Limits{Conns: conns, Bytes: 64 << 10, ReadTime: time.Minute})
	began, release := make(chan struct{}), make(chan struct{})
	address := serve(t, l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-release
	}))
	var served []net.Conn
	for range conns {
		served = append(served, send(t, address, getRequest))
		<-began
	}
	refused, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = refused.Close() }()
	waitStats(t, l, "one connection refused", func(s intake.Stats) bool { return s.Refused == 1 })
	close(release)
	for _, c := range served {
		if status, _ := answer(t, c); status != http.StatusOK {
			t.Errorf("got %d", status)
		}
	}
}

// TestLimits checks the limits of the hosts that are in use, and of very small ones.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		memoryMB        int64
		maxFiles, conns int
	}{{284, 4100, 1950}, {184, 4100, 1950}, {64, 4100, 682}, {64, 512, 156}, {64, 100, 16}} {
		if l := intake.LimitsFor(c.memoryMB<<20, c.maxFiles); l.Conns != c.conns || l.Bytes != c.memoryMB<<20/8 {
			t.Errorf("%+v: got %+v", c, l)
		}
	}
}
