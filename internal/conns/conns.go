// SPDX-License-Identifier: Apache-2.0

// Package conns is an HTTP transport with persistent connections that doesn't reuse
// dead ones.
//
// A network can lose the state of open connections: they pass no data any more and
// aren't reset either, while new ones work. Each call on such a connection times out.
// The transport takes a failed call as evidence against the other connections to the
// same address. It closes those that no call is using and on which nothing has arrived
// since the failed call was sent, and the next call opens a new one. Calls in progress
// aren't touched; they end by their own timeouts.
//
// WithStallTimeout bounds a call by the progress of its response: a large response on a
// slow link may take any time, while one that doesn't begin, or stalls, is given up.
// WithLateResponse waits longer for a response that is of use even if it comes late.
//
// A call that fails after a connection was made may have reached the server. If no byte of it
// was written, its error is an Error of KindNotSent: it had no effect.
//
// # Usage
//
//	client := &http.Client{Transport: conns.New(conns.Network{Dial: dial, Log: log}, 8, time.Minute)}
//	ctx, cancel := conns.WithStallTimeout(ctx, 300*time.Millisecond)
//	defer cancel()
//	res, err := client.Do(r.WithContext(ctx))
package conns

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// Dial makes a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Network configures how connections are made and logged.
type Network struct {
	Dial Dial
	Log  *zap.Logger
	// Compressed requests compressed responses, which are decompressed as they are read.
	Compressed bool
	// Usage counts the calls and their bytes; nil to count nothing.
	Usage *Usage
}

// Transport is an http.RoundTripper over persistent connections.
type Transport struct {
	http *http.Transport
	Network
	// began is the start of the clock for the connections' times.
	began time.Time

	mu sync.Mutex
	// open holds the open connections by the address that was dialed.
	open map[string]map[*conn]struct{}
}

// New returns a Transport that keeps up to perHost idle connections to each address, each for
// up to idle.
func New(network Network, perHost int, idle time.Duration) *Transport {
	if network.Usage == nil {
		network.Usage = &Usage{}
	}
	t := &Transport{Network: network, began: time.Now(), open: make(map[string]map[*conn]struct{})}
	t.http = &http.Transport{
		DialContext:         t.dial,
		MaxIdleConnsPerHost: perHost, IdleConnTimeout: idle, DisableCompression: !network.Compressed,
	}
	return t
}

// RoundTrip makes one call. If it fails, the idle connections to its address that have been
// silent since it was sent are closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent, usage := t.now(), t.Usage.countCall(r)
	var used usedConns
	whenLate(r.Context(), func() { t.closeSilent(dialAddress(r.URL), sent) })
	res, err := t.http.RoundTrip(r.WithContext(used.trace(r.Context())))
	if err != nil {
		t.closeSilent(dialAddress(r.URL), sent)
		return res, used.wrapError(err)
	}
	recordProgress(r.Context())
	res.Body = &responseBody{ReadCloser: res.Body, t: t, r: r, sent: sent, usage: usage}
	return res, nil
}

// httpPort is the port of a URL without one; there is no TLS here.
const httpPort = "80"

// dialAddress returns the address to dial for a URL.
func dialAddress(u *url.URL) string {
	return net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), httpPort))
}

// CloseIdleConnections closes all connections that no call is using.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

// now returns the time since the transport was created, in nanoseconds.
func (t *Transport) now() int64 { return int64(time.Since(t.began)) }

// dial opens a connection and tracks it until it is closed.
func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	k := &conn{Conn: c, t: t, address: address}
	k.lastRead.Store(t.now())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open[address] == nil {
		t.open[address] = make(map[*conn]struct{})
	}
	t.open[address][k] = struct{}{}
	return k, nil
}

// closeSilent closes the connections to an address that aren't waiting for a response and on
// which nothing has arrived since the given time.
func (t *Transport) closeSilent(address string, since int64) {
	t.mu.Lock()
	var silent []*conn
	for k := range t.open[address] {
		if !k.awaiting.Load() && k.lastRead.Load() < since {
			silent = append(silent, k)
		}
	}
	t.mu.Unlock()
	for _, k := range silent {
		_ = k.Close()
	}
	if len(silent) > 0 {
		t.Log.Info("silent connections closed", events.SilentConnsClosed, zap.String("address", address), zap.Int("connections", len(silent)),
			zap.Duration("silent", time.Duration(t.now()-since)))
	}
}

// conn is a connection that records when data arrives.
type conn struct {
	net.Conn
	t       *Transport
	address string
	// lastRead is when data last arrived.
	lastRead atomic.Int64
	// awaiting is set from a request until its response begins to arrive.
	awaiting atomic.Bool
	tag      atomic.Int64
	written  writeCount
}

// Tagged is a connection of a Transport to which its user may attach a number.
type Tagged interface{ Tag() *atomic.Int64 }

// Tag returns the number attached to the connection, 0 at first.
func (k *conn) Tag() *atomic.Int64 { return &k.tag }

// Read reads from the connection and records the time.
func (k *conn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if n > 0 {
		k.lastRead.Store(k.t.now())
		k.awaiting.Store(false)
	}
	return n, err
}

// Write writes to the connection, which then awaits a response.
func (k *conn) Write(b []byte) (int, error) {
	k.awaiting.Store(true)
	if !k.written.begin() {
		return 0, net.ErrClosed
	}
	n, err := k.Conn.Write(b)
	if n == 0 && err != nil {
		k.written.undo()
	}
	return n, err
}

// Close closes the connection and stops tracking it.
func (k *conn) Close() error {
	k.t.mu.Lock()
	delete(k.t.open[k.address], k)
	if len(k.t.open[k.address]) == 0 {
		delete(k.t.open, k.address)
	}
	k.t.mu.Unlock()
	return k.Conn.Close()
}
