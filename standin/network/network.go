// SPDX-License-Identifier: Apache-2.0

// Package network is an in-memory network of hosts for tests in virtual time.
// Whole nodes and stand-ins communicate over it. Tests can partition hosts, pause
// them, close their connections, hold data in transit, and limit the bandwidth
// and the processor time of a host.
//
// # Usage
//
//	n := network.New()
//	l := n.Listen("n0:1")
//	client := &http.Transport{DialContext: n.Dial("n1")}
//	n.SetPartitioned("n0", "n1", true)
//	n.SetBandwidth("n2", 1_250_000) // a link of 10 Mbit/s
package network

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// dialTimeout bounds a dial to a host that is partitioned or accepts no connection.
const dialTimeout = 2 * time.Second

var errClosed = errors.New("connection closed")

// Network is an in-memory network of hosts. An address is host:port; a node listens
// for callers on port 1, for peers on 2 and for operators on 3.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	// partitioned holds the pairs of hosts between which all data is lost; "*" is any host.
	partitioned map[hostPair]bool
	// refused holds the pairs of hosts of which the second refuses connections of the first.
	refused map[hostPair]bool
	// stalled holds the pairs of hosts between which data is held in transit.
	stalled map[hostPair]bool
	// paused holds the hosts that neither send nor receive; the channel of a host is closed
	// when it resumes.
	paused map[string]chan struct{}
	// received and sent are the two directions of each host's link.
	received, sent map[string]*direction
	// quotas are the processor quotas of the hosts that have one.
	quotas map[string]*cpuQuota
}

// hostPair names a sending and a receiving host.
type hostPair struct{ from, to string }

// New returns a network without hosts.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener), conns: make(map[*conn]bool),
		partitioned: make(map[hostPair]bool), refused: make(map[hostPair]bool), stalled: make(map[hostPair]bool), paused: make(map[string]chan struct{}),
		received: make(map[string]*direction), sent: make(map[string]*direction), quotas: make(map[string]*cpuQuota),
	}
}

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }

// HostOf returns the host of an address.
func HostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// SetPartitioned starts or ends a partition between two hosts, in both directions; "*" stands
// for any host.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []hostPair{{a, b}, {b, a}} {
		if partitioned {
			n.partitioned[p] = true
		} else {
			delete(n.partitioned, p)
		}
	}
}

// SetRefused has the network refuse connections from one host to another, or ends that. It goes before a
// partition, which open connections still meet.
func (n *Network) SetRefused(from, to string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if refused {
		n.refused[hostPair{from, to}] = true
	} else {
		delete(n.refused, hostPair{from, to})
	}
}

// isRefused reports whether the network refuses connections from one host to another.
func (n *Network) isRefused(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused[hostPair{from, to}]
}

// Stall holds the data that one host sends to another in transit until Release is called. The
// sender's writes succeed, and the data arrives even if the sender closes its connection
// meanwhile.
func (n *Network) Stall(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalled[hostPair{from, to}] = true
}

// Release ends a stall and delivers the data that was held.
func (n *Network) Release(from, to string) {
	n.mu.Lock()
	delete(n.stalled, hostPair{from, to})
	var held []*conn
	for c := range n.conns {
		if c.local == from && c.remote == to {
			held = append(held, c)
		}
	}
	n.mu.Unlock()
	for _, c := range held {
		go c.deliver()
	}
}

// isStalled reports whether the data that one host sends to another is held in transit.
func (n *Network) isStalled(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stalled[hostPair{from, to}]
}

// IsPartitioned reports whether all data from one host to another is lost.
func (n *Network) IsPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[hostPair{from, to}] || n.partitioned[hostPair{from, "*"}] || n.partitioned[hostPair{"*", to}]
}

// Pause blocks a host's dials, and all writes from and to it, until Resume.
func (n *Network) Pause(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[host] == nil {
		n.paused[host] = make(chan struct{})
	}
}

// Resume ends the pause of a host.
func (n *Network) Resume(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.paused[host]; ch != nil {
		close(ch)
		delete(n.paused, host)
	}
}

// WaitWhilePaused blocks while a host is paused. It returns an error if closed is closed before
// the host resumes.
func (n *Network) WaitWhilePaused(host string, closed <-chan struct{}) error {
	n.mu.Lock()
	ch := n.paused[host]
	n.mu.Unlock()
	if ch == nil {
		return nil
	}
	select {
	case <-ch:
		return nil
	case <-closed:
		return errClosed
	}
}

// ResetConnections closes all connections of a host, as when its process ends.
func (n *Network) ResetConnections(host string) {
	n.mu.Lock()
	var affected []*conn
	for c := range n.conns {
		if c.local == host || c.remote == host {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range affected {
		_ = c.Close()
	}
}

// SilenceOpenConnections makes all open connections, except those of one host, lose whatever
// is written to them from now on, without closing them. New connections work.
func (n *Network) SilenceOpenConnections(except string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local != except && c.remote != except {
			c.silent.Store(true)
		}
	}
}

type listener struct {
	n       *Network
	address string
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen listens on an address, host:port. It replaces an earlier listener on the same address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{n: n, address: address, backlog: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

// Dial returns the function with which a host dials others.
func (n *Network) Dial(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := n.WaitWhilePaused(from, ctx.Done()); err != nil {
			return nil, err
		}
		if n.isRefused(from, HostOf(to)) {
			return nil, refusedError(to)
		}
		if n.IsPartitioned(from, HostOf(to)) || n.IsPartitioned(HostOf(to), from) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, refusedError(to)
		}
		a, b := net.Pipe()
		local := n.newConn(a, from, HostOf(to))
		remote := n.newConn(b, HostOf(to), from)
		select {
		case l.backlog <- remote:
			return local, nil
		case <-l.closed:
			return nil, refusedError(to)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

type conn struct {
	net.Conn
	n             *Network
	local, remote string
	closed        chan struct{}
	once          sync.Once
	// silent is set once all that is written is lost.
	silent atomic.Bool

	mu sync.Mutex
	// held is the data that is held in transit, and closing is set if the sender has closed the
	// connection meanwhile.
	held    []byte
	closing bool
}

func (n *Network) newConn(c net.Conn, local, remote string) *conn {
	wrapped := &conn{Conn: c, n: n, local: local, remote: remote, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[wrapped] = true
	n.mu.Unlock()
	return wrapped
}

// Connections returns how many connections a host has open.
func (n *Network) Connections(host string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if HostOf(c.local) == host {
			count++
		}
	}
	return count
}

func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }
func (c *conn) LocalAddr() net.Addr  { return addr(c.local) }

// Write loses the data if the hosts are partitioned or the connection is silent, and waits
// while one of the hosts is paused.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.n.WaitWhilePaused(c.local, c.closed); err != nil {
		return 0, err
	}
	if err := c.n.WaitWhilePaused(c.remote, c.closed); err != nil {
		return 0, err
	}
	if c.silent.Load() || c.n.IsPartitioned(c.local, c.remote) {
		return len(b), nil
	}
	if c.holdIfStalled(b) {
		return len(b), nil
	}
	written := 0
	for {
		chunk := b[written:min(len(b), written+maxChunkBytes)]
		if err := c.n.waitForLink(c.local, c.remote, len(chunk), c.closed); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		if written += n; err != nil || written == len(b) {
			return written, err
		}
	}
}

// holdIfStalled holds the data if the hosts are stalled or earlier data is still held, and
// reports whether it did.
func (c *conn) holdIfStalled(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) == 0 && !c.n.isStalled(c.local, c.remote) {
		return false
	}
	c.held = append(c.held, b...)
	return true
}

// deliver delivers the data that was held, and closes the connection if its sender has.
func (c *conn) deliver() {
	c.mu.Lock()
	held, closing := c.held, c.closing
	c.held, c.closing = nil, false
	c.mu.Unlock()
	if len(held) > 0 {
		// An error means that the receiver has closed the connection; the data is lost.
		_, _ = c.Conn.Write(held)
	}
	if closing {
		_ = c.Close()
	}
}

// deferClose leaves the closing of the connection to deliver if data is held in transit, and
// reports whether it did.
func (c *conn) deferClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || len(c.held) > 0
	return len(c.held) > 0
}

func (c *conn) Close() error {
	if c.deferClose() {
		return nil
	}
	c.once.Do(func() {
		close(c.closed)
		c.n.mu.Lock()
		delete(c.n.conns, c)
		c.n.mu.Unlock()
	})
	return c.Conn.Close()
}

// refusedError returns the error of a dial to an address on which nothing listens.
func refusedError(to string) error {
	return &net.OpError{Op: "dial", Net: "mem", Addr: addr(to), Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}
