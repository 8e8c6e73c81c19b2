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

// linkState sets how a link treats the data that passes.
type linkState struct {
	// delay is added to each piece of data.
	delay time.Duration
	// holdIn holds back the data sent to the target, holdOut the data that the target
	// sends, until the state changes again. With both set, the link is silent.
	holdIn, holdOut bool
	// reset resets all connections, and new ones as soon as they are made.
	reset bool
}

// link is a TCP proxy in front of one listener that simulates faults of a network.
type link struct {
	listenAddress, targetAddress string
	listener                     net.Listener

	mu    sync.Mutex
	state linkState
	// changed is closed and replaced with each change of state.
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
	// silenceCount is how often silence was called.
	silenceCount int
	// in limits the data sent to the target, out the data that the target sends.
	in, out direction
}

// direction limits the rate of data in one direction of a link, over all its connections.
type direction struct {
	mu sync.Mutex
	// rate is in bytes per second; 0 means no limit. It must be set before the link is used.
	rate int
}

// throttle waits as long as n bytes take at the limited rate, after all that came before them.
func (d *direction) throttle(n int) {
	if d.rate == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	time.Sleep(time.Duration(n) * time.Second / time.Duration(d.rate))
}

// newLink starts a link that listens on one address and connects to another.
func newLink(t *testing.T, listenAddress, targetAddress string) *link {
	t.Helper()
	l, err := listen(t.Context(), listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	k := &link{listenAddress: listenAddress, targetAddress: targetAddress, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	t.Cleanup(k.close)
	go k.serve(t)
	return k
}

func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.setState(linkState{reset: true})
}

// setState changes how the link treats data from now on.
func (k *link) setState(s linkState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
	close(k.changed)
	k.changed = make(chan struct{})
	if s.reset {
		for c := range k.conns {
			closeWithReset(c)
		}
		clear(k.conns)
	}
}

// silence makes all connections that are open now drop their data without being closed, as
// when a firewall drops their state. New connections work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silenceCount++
}

// timesSilenced returns how often silence was called.
func (k *link) timesSilenced() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silenceCount
}

// silentSince reports whether connections have been silenced that were opened when
// timesSilenced returned count.
func (k *link) silentSince(count int) bool { return k.timesSilenced() != count }

// closeWithReset closes a connection so that its other end gets a TCP reset.
func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// serve accepts connections until the link is closed.
func (k *link) serve(t *testing.T) {
	for {
		clientConn, err := k.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if !k.register(clientConn) {
			closeWithReset(clientConn)
			continue
		}
		go k.forward(t.Context(), clientConn)
	}
}

// forward connects a client with the target and copies the data in both directions.
func (k *link) forward(ctx context.Context, clientConn net.Conn) {
	count := k.timesSilenced()
	targetConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", k.targetAddress)
	if err != nil {
		closeWithReset(clientConn)
		return
	}
	if !k.register(targetConn) {
		closeWithReset(clientConn)
		closeWithReset(targetConn)
		return
	}
	silent := func() bool { return k.silentSince(count) }
	go k.copyData(clientConn, targetConn, &k.in, silent, func(s linkState) bool { return s.holdIn })
	k.copyData(targetConn, clientConn, &k.out, silent, func(s linkState) bool { return s.holdOut })
}

// register adds an open connection. It returns false if the link resets all connections.
func (k *link) register(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.reset || k.closed {
		return false
	}
	k.conns[c] = true
	return true
}

// copyData copies data in one direction, as the state of the link allows. On a silent
// connection, data is dropped and a close is not passed on.
func (k *link) copyData(from, to net.Conn, dir *direction, silent func() bool, held func(linkState) bool) {
	defer func() {
		if !silent() {
			_ = to.Close()
		}
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !silent() {
			k.waitWhileHeld(held)
			dir.throttle(n)
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitWhileHeld waits until the link's state lets data pass, and then for the delay.
func (k *link) waitWhileHeld(held func(linkState) bool) {
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
