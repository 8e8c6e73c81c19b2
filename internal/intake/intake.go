// SPDX-License-Identifier: Apache-2.0

// Package intake bounds what the clients of a server make its process hold: memory for requests
// that have not been answered, and connections. The bounds hold for all connections together.
// When one is reached, the connection whose client has been silent longest is closed, so that
// clients that stop in the middle of a request, or don't read their answers, don't keep others out.
// A connection whose request has been read whole, and is not being answered yet, is never closed.
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
	// Conns bounds the open connections.
	Conns int
	// Bytes bounds the memory of requests that have not been decoded.
	Bytes int64
	// DecodeBytes bounds the memory that requests are decoded into until they are answered.
	DecodeBytes int64
	// ReadTime bounds the time in which the body of a request is read, and each part of an answer
	// received.
	ReadTime time.Duration
}

const (
	// bodyShare and decodeShare are the parts of the process's memory for the heads and bodies of
	// requests, and for what they are decoded into.
	bodyShare, decodeShare = 8, 8
	// connShare is the part for the connections' buffers and stacks, of connBytes each.
	connShare, connBytes = 4, 24 << 10
	// reservedFiles is how many descriptors are left for files, and fileShare the part of the
	// others that connections of clients may take. The rest is for the store, workers and peers.
	reservedFiles, fileShare = 200, 2
	// minConns is the least number of connections that are allowed.
	minConns = 16
	// readTime is long enough for 256 KB at 35 kbit/s.
	readTime = time.Minute
)

// LimitsFor returns the limits for a process that may use memoryBytes of memory and maxFiles
// descriptors.
func LimitsFor(memoryBytes int64, maxFiles int) Limits {
	return Limits{
		Conns: max(minConns, min(int(memoryBytes/connShare/connBytes), (maxFiles-reservedFiles)/fileShare)),
		Bytes: memoryBytes / bodyShare, DecodeBytes: memoryBytes / decodeShare, ReadTime: readTime,
	}
}

// Stats are counts since the start of the process, and what is held now.
type Stats struct {
	// HeldBytes is the memory that requests hold.
	HeldBytes int64
	// DecodeBytes is the memory that is reserved for decoded requests.
	DecodeBytes int64
	// Conns is the number of open connections.
	Conns int
	// ClosedForRoom counts the connections that were closed to make room for new ones, and
	// Refused the new ones that were closed since no other one could be.
	ClosedForRoom, Refused int64
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
	// idle holds the connections between two requests, and waiting those that wait for their client
	// in the middle of one, the one that has been silent longest first.
	idle, waiting *list.List
	// changed is closed, and replaced, when memory is freed or a connection is closed.
	changed chan struct{}
}

// New returns a limiter of one server.
func New(limits Limits) *Limiter {
	return &Limiter{limits: limits, idle: list.New(), waiting: list.New(), changed: make(chan struct{})}
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
		connOf(r.Context()).settleHead(countLines(r.Header))
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

// countLines returns the number of lines of a head that has been read.
func countLines(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
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

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.l.admit(inner); ok {
			return c, nil
		}
		_ = inner.Close()
	}
}

// admit adds a new connection, and closes the one that has been silent longest if there are too
// many; false if none can be closed.
func (l *Limiter) admit(inner net.Conn) (*conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.Conns > 0 && l.stats.Conns >= l.limits.Conns {
		silentest := l.silentest()
		if silentest == nil {
			l.stats.Refused++
			return nil, false
		}
		l.close(silentest)
		l.stats.ClosedForRoom++
	}
	l.stats.Conns++
	c := &conn{Conn: inner, l: l}
	c.enter(phaseIdle)
	return c, true
}

// silentest returns the connection that has been silent longest, or nil. l.mu is held.
func (l *Limiter) silentest() *conn {
	idle, waiting := firstToClose(l.idle), firstToClose(l.waiting)
	if idle == nil || waiting != nil && waiting.heard.Before(idle.heard) {
		return waiting
	}
	return idle
}

// firstToClose returns the first connection of a list that may be closed, or nil.
func firstToClose(conns *list.List) *conn {
	for e := conns.Front(); e != nil; e = e.Next() {
		if c, ok := e.Value.(*conn); ok && c.mayClose() {
			return c
		}
	}
	return nil
}

// listOf returns the list of the connections in a phase, or nil if they are never closed.
func (l *Limiter) listOf(p phase) *list.List {
	switch p {
	case phaseIdle:
		return l.idle
	case phaseHead, phaseBody, phaseAnswer:
		return l.waiting
	default:
		return nil
	}
}

// close closes a connection so that the memory of its request is freed. l.mu is held.
func (l *Limiter) close(c *conn) {
	l.remove(c)
	l.freeing += c.held
	// The connection's own goroutine meets the error and ends.
	_ = c.Conn.Close()
	l.broadcast()
}

// remove takes a connection out of the count and the lists. l.mu is held.
func (l *Limiter) remove(c *conn) {
	if !c.closed {
		c.closed = true
		c.leave()
		l.stats.Conns--
	}
}

// broadcast wakes those that wait for memory. l.mu is held.
func (l *Limiter) broadcast() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// closeSilentest closes the connection other than except that holds memory and has been silent
// longest; false if there is none. l.mu is held.
func (l *Limiter) closeSilentest(except *conn) bool {
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c, ok := e.Value.(*conn); ok && c != except && c.held > 0 && c.mayClose() {
			l.close(c)
			l.stats.ClosedForMemory++
			return true
		}
	}
	return false
}
