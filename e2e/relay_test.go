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

// relay passes bytes on between a node and the platform, until it is cut.
type relay struct {
	url string
	to  string
	l   net.Listener

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newRelay(t *testing.T, platform string) *relay {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{url: "http://" + l.Addr().String(), to: strings.TrimPrefix(platform, "http://"), l: l}
	t.Cleanup(func() { _ = l.Close(); r.setCut(true) })
	go r.serve(t)
	return r
}

func (r *relay) serve(t *testing.T) {
	for {
		near, err := r.l.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		far, err := d.DialContext(t.Context(), "tcp", r.to)
		if err != nil || !r.keep(near, far) {
			_ = near.Close()
			continue
		}
		go pass(near, far)
		go pass(far, near)
	}
}

// keep notes a pair of connections, unless the relay is cut.
func (r *relay) keep(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, conns...)
	return !r.cut
}

func pass(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
}

// setCut breaks all connections and lets none through, or mends the relay.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}
