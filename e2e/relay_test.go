// SPDX-License-Identifier: Apache-2.0

//go:build e2e || slopes

package e2e_test

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// relay is a TCP proxy between a node and the platform that can be cut.
type relay struct {
	url           string
	targetAddress string
	listener      net.Listener

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

// newRelay starts a relay to the platform.
func newRelay(t *testing.T, platform string) *relay {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{url: "http://" + l.Addr().String(), targetAddress: strings.TrimPrefix(platform, "http://"), listener: l}
	t.Cleanup(func() { _ = l.Close(); r.setCut(true) })
	go r.serve(t)
	return r
}

// serve accepts connections until the listener is closed.
func (r *relay) serve(t *testing.T) {
	for {
		clientConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		targetConn, err := d.DialContext(t.Context(), "tcp", r.targetAddress)
		if err != nil || !r.register(clientConn, targetConn) {
			_ = clientConn.Close()
			continue
		}
		go pipe(clientConn, targetConn)
		go pipe(targetConn, clientConn)
	}
}

// register adds open connections. It returns false if the relay is cut.
func (r *relay) register(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, conns...)
	return !r.cut
}

// pipe copies data in one direction and closes both connections at its end.
func pipe(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
}

// setCut closes all connections and sets whether the relay refuses new ones.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}
