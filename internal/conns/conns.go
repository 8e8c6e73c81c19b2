// SPDX-License-Identifier: Apache-2.0

// Package conns is an HTTP transport that keeps connections open and doesn't use
// those again that have gone silent.
//
// A network can lose the state of open connections, so that they pass nothing any
// more and are not reset either, while new ones work. Each call on such a connection
// runs into its time limit. The transport takes that as evidence against the other
// connections to the same address: those that no call uses and on which nothing has
// arrived since the failed call was sent are closed, and the next call makes a new
// one. Calls that are open are left alone; they end by their own limits.
//
// WithStallTimeout bounds a call by what arrives of its answer: a large answer on a slow link
// takes as long as it takes, while one that doesn't come, or stands still, is given up.
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

// Network is how connections are made, and where what befalls them is logged.
type Network struct {
	Dial Dial
	Log  *zap.Logger
	// Compressed asks for packed answers, which are unpacked as they are read.
	Compressed bool
	// Usage counts what passes; nil: nothing does.
	Usage *Usage
}

// Transport is an http.RoundTripper over connections that are kept open.
type Transport struct {
	http *http.Transport
	Network
	// began is the zero of the times that connections keep.
	began time.Time

	mu sync.Mutex
	// open are the open connections by the address that was dialled.
	open map[string]map[*conn]struct{}
}

// New returns a Transport that keeps up to perHost idle connections to each address,
// each for as long as idle.
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

// RoundTrip makes one call. One that fails closes the idle connections to its
// address that have been silent since it was sent.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent, usage := t.now(), t.Usage.countCall(r)
	res, err := t.http.RoundTrip(r)
	if err != nil {
		t.closeSilent(dialAddress(r.URL), sent)
		return res, err
	}
	recordProgress(r.Context())
	res.Body = &responseBody{ReadCloser: res.Body, t: t, r: r, sent: sent, usage: usage}
	return res, nil
}

// httpPort is dialled for a URL without a port; nothing here speaks TLS.
const httpPort = "80"

// dialAddress returns the address that is dialAddress for a URL.
func dialAddress(u *url.URL) string {
	return net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), httpPort))
}

// CloseIdleConnections closes all connections that no call uses.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

// now returns the time since the transport was made, in nanoseconds.
func (t *Transport) now() int64 { return int64(time.Since(t.began)) }

// dial makes a connection and keeps an eye on it until it is closed.
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

// closeSilent closes the connections to an address that wait for no answer and on
// which nothing has arrived since a time.
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

// conn is a connection that notes what passes.
type conn struct {
	net.Conn
	t       *Transport
	address string
	// lastRead is when something arrived last.
	lastRead atomic.Int64
	// awaiting is set from a request until its answer begins to arrive.
	awaiting atomic.Bool
	tag      atomic.Int64
}

// Tagged is a connection of a Transport, on which its user may keep a number.
type Tagged interface{ Tag() *atomic.Int64 }

// Tag returns the number that is kept on the connection, 0 at first.
func (k *conn) Tag() *atomic.Int64 { return &k.tag }

// Read reads what arrives.
func (k *conn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if n > 0 {
		k.lastRead.Store(k.t.now())
		k.awaiting.Store(false)
	}
	return n, err
}

// Write sends.
func (k *conn) Write(b []byte) (int, error) {
	k.awaiting.Store(true)
	return k.Conn.Write(b)
}

// Close closes the connection and forgets it.
func (k *conn) Close() error {
	k.t.mu.Lock()
	delete(k.t.open[k.address], k)
	if len(k.t.open[k.address]) == 0 {
		delete(k.t.open, k.address)
	}
	k.t.mu.Unlock()
	return k.Conn.Close()
}
