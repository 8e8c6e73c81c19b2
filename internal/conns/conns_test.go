// SPDX-License-Identifier: Apache-2.0

package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/standin/network"
)

// fixture is a client with open connections to two servers.
type fixture struct {
	t      *testing.T
	net    *network.Network
	client *http.Client
	// accepted counts the connections that each server accepted.
	accepted map[string]*atomic.Int64
	stop     []func()
}

const (
	idleConns = 4
	// port is the port of a URL without one.
	port    = "80"
	timeout = 100 * time.Millisecond
)

func newFixture(t *testing.T) *fixture {
	s := &fixture{t: t, net: network.New(), accepted: make(map[string]*atomic.Int64)}
	s.client = &http.Client{Transport: conns.New(conns.Network{Dial: s.net.Dial("client"), Log: zap.NewNop()}, idleConns, time.Hour)}
	for _, host := range []string{"a", "b"} {
		s.serve(host)
		s.open(host)
	}
	return s
}

// serve starts a server on a host. It answers a path of /wait/D after D.
func (s *fixture) serve(host string) {
	n := &atomic.Int64{}
	s.accepted[host] = n
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if d, err := time.ParseDuration(strings.TrimPrefix(r.URL.Path, "/wait/")); err == nil {
				time.Sleep(d)
			}
			_, _ = io.WriteString(w, "ok")
		}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				n.Add(1)
			}
		},
	}
	l := s.net.Listen(host + ":" + port)
	go func() { _ = srv.Serve(l) }()
	s.stop = append(s.stop, func() { _ = srv.Close() })
}

// open makes idleConns connections to a host.
func (s *fixture) open(host string) {
	var wg sync.WaitGroup
	for range idleConns {
		wg.Go(func() {
			if err := s.get(host, "/wait/10ms"); err != nil {
				s.t.Error(err)
			}
		})
	}
	wg.Wait()
	s.checkAccepted(host, idleConns)
}

// get makes a call that is bounded by timeout.
func (s *fixture) get(host, path string) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+path, nil)
	if err != nil {
		return err
	}
	res, err := s.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.ReadAll(res.Body)
	return err
}

// checkAccepted checks how many connections a server accepted.
func (s *fixture) checkAccepted(host string, want int64) {
	s.t.Helper()
	if got := s.accepted[host].Load(); got != want {
		s.t.Errorf("%s accepted %d connections, want %d", host, got, want)
	}
}

func (s *fixture) close() {
	s.client.CloseIdleConnections()
	for _, stop := range s.stop {
		stop()
	}
	s.net.ResetConnections("client")
}

// TestSilentConnectionsAreNotUsedAgain checks that dead connections cost one failed call for
// each address: all open connections stop passing data, one call fails, and the next ones get
// a new connection.
func TestSilentConnectionsAreNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		defer s.close()
		time.Sleep(time.Second)
		s.net.SilenceOpenConnections("")
		if err := s.get("a", "/"); err == nil {
			t.Error("a call on a dead connection succeeded")
		}
		for range 3 {
			if err := s.get("a", "/"); err != nil {
				t.Errorf("call after the first failure: %v", err)
			}
		}
		s.checkAccepted("a", idleConns+1)
		s.checkAccepted("b", idleConns)
	})
}

// TestFailedCallKeepsOtherConnections checks that a failed call doesn't break off other calls
// in progress, and costs no connection to another address.
func TestFailedCallKeepsOtherConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		defer s.close()
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		wg.Go(func() {
			if err := s.get("a", "/wait/1s"); err == nil {
				t.Error("a call past its timeout succeeded")
			}
		})
		wg.Go(func() {
			time.Sleep(timeout / 2)
			if err := s.get("a", "/wait/90ms"); err != nil {
				t.Errorf("concurrent call: %v", err)
			}
		})
		wg.Wait()
		if err := s.get("b", "/"); err != nil {
			t.Error(err)
		}
		s.checkAccepted("a", idleConns)
		s.checkAccepted("b", idleConns)
		// Let the server finish the call that was given up.
		time.Sleep(time.Second)
	})
}
