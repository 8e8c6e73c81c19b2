// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"
)

// linkState is how a link treats what passes.
type linkState struct {
	// delay is added to each piece of data.
	delay time.Duration
	// holdIn keeps what goes to the listener, holdOut what comes from it, until the
	// link is mended; both together are silence.
	holdIn, holdOut bool
	// reset breaks all connections, and new ones at once.
	reset bool
}

// link is a relay before one listener, which can fail as a network does.
type link struct {
	at, to string
	l      net.Listener

	mu    sync.Mutex
	state linkState
	// changed is closed and replaced with each change of state.
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
	// silenced is how often the connections that were open went silent.
	silenced int
	// in and out let what goes to the listener, and what comes from it, pass one after the other.
	in, out lane
}

// lane is one direction of a link.
type lane struct {
	mu sync.Mutex
	// rate is in bytes a second; 0: no limit. It is set before the link is used.
	rate int
}

// carry waits until n bytes have passed, behind all that came before them.
func (l *lane) carry(n int) {
	if l.rate == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	time.Sleep(time.Duration(n) * time.Second / time.Duration(l.rate))
}

// newLink relays from an address to another one.
func newLink(t *testing.T, at, to string) *link {
	t.Helper()
	l, err := listen(t.Context(), at)
	if err != nil {
		t.Fatal(err)
	}
	k := &link{at: at, to: to, l: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	t.Cleanup(k.close)
	go k.serve(t)
	return k
}

func (k *link) close() {
	_ = k.l.Close()
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.set(linkState{reset: true})
}

// set changes how the link treats what passes from now on.
func (k *link) set(s linkState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
	close(k.changed)
	k.changed = make(chan struct{})
	if s.reset {
		for c := range k.conns {
			abort(c)
		}
		clear(k.conns)
	}
}

// silence lets all connections that are open now pass nothing any more, without
// closing them; new ones work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silenced++
}

// timesSilenced returns how often the connections that were open have gone silent.
func (k *link) timesSilenced() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silenced
}

// silentSince reports whether connections that were made after so many silences have
// gone silent.
func (k *link) silentSince(silenced int) bool { return k.timesSilenced() != silenced }

// abort closes a connection so that its other end sees a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (k *link) serve(t *testing.T) {
	for {
		near, err := k.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if !k.keep(near) {
			abort(near)
			continue
		}
		go k.carry(t.Context(), near)
	}
}

// carry passes the data of a connection on to the listener behind the link, and back.
func (k *link) carry(ctx context.Context, near net.Conn) {
	silenced := k.timesSilenced()
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", k.to)
	if err != nil {
		abort(near)
		return
	}
	if !k.keep(far) {
		abort(near)
		abort(far)
		return
	}
	silent := func() bool { return k.silentSince(silenced) }
	go k.pass(near, far, &k.in, silent, func(s linkState) bool { return s.holdIn })
	k.pass(far, near, &k.out, silent, func(s linkState) bool { return s.holdOut })
}

// keep notes an open connection; false: the link breaks all.
func (k *link) keep(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.reset || k.closed {
		return false
	}
	k.conns[c] = true
	return true
}

// pass copies data one way, as the state of the link allows. What comes on a
// connection that has gone silent is lost, its end as well.
func (k *link) pass(from, to net.Conn, lane *lane, silent func() bool, held func(linkState) bool) {
	defer func() {
		if !silent() {
			_ = to.Close()
		}
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !silent() {
			k.await(held)
			lane.carry(n)
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits until the link passes data on.
func (k *link) await(held func(linkState) bool) {
	for {
		k.mu.Lock()
		state, changed := k.state, k.changed
		k.mu.Unlock()
		if !held(state) {
			time.Sleep(state.delay)
			return
		}
		<-changed
	}
}
