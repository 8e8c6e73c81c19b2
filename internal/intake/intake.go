// SPDX-License-Identifier: Apache-2.0

// Package intake bounds what the clients of a server make its process hold: memory for requests
// that have not been answered, and connections. The bounds hold for all connections together.
// When one is reached, the connection whose client has been silent longest is closed, so that
// clients that stop in the middle of a request don't keep others out. A connection whose request
// has been read whole, and is not being answered yet, is never closed.
//
// # Usage
//
//	l := intake.New(intake.LimitsFor(memoryBytes, maxFiles))
//	s := &http.Server{Handler: h}
//	l.Attach(s)
//	err := s.Serve(l.Listener(listener))
//
// and in the handler:
//
//	body, err := intake.ReadBody(ctx, w, r, limit)
//	release, err := intake.Reserve(ctx, bytesWhenDecoded)
package intake

import (
	"container/list"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindBusy means that other requests hold all memory that requests may hold.
	KindBusy Kind = "busy"
	// KindClosed means that the connection was closed, since its client was silent longest.
	KindClosed Kind = "closed"
	// KindSlow means that the body hasn't come within Limits.ReadTime.
	KindSlow Kind = "slow"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("intake: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func newBusy(op string) *Error {
	return &Error{op, KindBusy, errors.New("other requests hold all memory for requests")}
}

func newClosed(op string) *Error {
	return &Error{op, KindClosed, errors.New("the client was silent longest")}
}

// Limits bound what all clients of a server hold together.
type Limits struct {
	// Bytes bounds the memory of requests that have not been decoded.
	Bytes int64
	// DecodeBytes bounds the memory that requests are decoded into until they are answered.
	DecodeBytes int64
	// ReadTime bounds the time in which the body of a request is read.
	ReadTime time.Duration
}

const (
	// bodyShare and decodeShare are the parts of the process's memory for the bodies of requests,
	// and for what they are decoded into.
	bodyShare, decodeShare = 8, 8
	// readTime is long enough for 256 KB at 35 kbit/s.
	readTime = time.Minute
)

// LimitsFor returns the limits for a process that may use memoryBytes of memory.
func LimitsFor(memoryBytes int64) Limits {
	return Limits{Bytes: memoryBytes / bodyShare, DecodeBytes: memoryBytes / decodeShare, ReadTime: readTime}
}

// Stats are counts since the start of the process, and what is held now.
type Stats struct {
	// HeldBytes is the memory that requests hold.
	HeldBytes int64
	// DecodeBytes is the memory that is reserved for decoded requests.
	DecodeBytes int64
	// ClosedForMemory counts the connections that were closed to free their memory.
	ClosedForMemory int64
	// Busy counts the requests that were refused since others held all memory.
	Busy int64
}

// Limiter keeps the clients of a server within limits.
type Limiter struct {
	limits Limits

	mu    sync.Mutex
	stats Stats
	// freeing is the part of stats.HeldBytes that belongs to closed connections.
	freeing int64
	// receiving holds the connections that wait for bytes of a request's body, the one that
	// has been silent longest first.
	receiving *list.List
	// changed is closed, and replaced, when memory is freed or a connection is closed.
	changed chan struct{}
}

// New returns a limiter of one server.
func New(limits Limits) *Limiter {
	return &Limiter{limits: limits, receiving: list.New(), changed: make(chan struct{})}
}

// Stats returns the counts.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Attach makes a server, whose handler is set, report the states of its connections.
func (l *Limiter) Attach(s *http.Server) {
	h := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if r.Body != http.NoBody {
			// The server reads what the handler has left of the body before it answers.
			connOf(r.Context()).receiveRest()
		}
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.setState(state)
		}
	}
}

type connKey struct{}

// connOf returns the connection of a request; nil, which has no limits, if it has none of a limiter.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Listener returns a listener whose connections are limited.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	l *Limiter
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, l: l.l}, nil
}

// close closes a connection so that the memory of its request is freed. l.mu is held.
func (l *Limiter) close(c *conn) {
	c.closed = true
	c.leave()
	l.freeing += c.held
	// The connection's own goroutine meets the error and ends.
	_ = c.Conn.Close()
	l.broadcast()
}

// broadcast wakes those that wait for memory. l.mu is held.
func (l *Limiter) broadcast() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// closeSilentest closes the connection other than except that holds memory and has been silent
// longest; false if there is none. l.mu is held.
func (l *Limiter) closeSilentest(except *conn) bool {
	for e := l.receiving.Front(); e != nil; e = e.Next() {
		if c, ok := e.Value.(*conn); ok && c != except && c.held > 0 {
			l.close(c)
			l.stats.ClosedForMemory++
			return true
		}
	}
	return false
}
