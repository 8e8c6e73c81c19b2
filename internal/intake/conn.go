// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"time"
)

// conn is a connection of a limited server. Its fields are guarded by the limiter's mutex.
type conn struct {
	net.Conn
	l *Limiter
	// element is the connection's place in receiving, or nil.
	element *list.Element
	// held is the memory that its request holds, in bytes.
	held int64
	// closed is set once the limiter has closed the connection or the server is done with it.
	closed bool
	// bodyRead is set once the request's body has been read whole.
	bodyRead bool
}

// Read reads from the client and records that the client isn't silent.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.progress()
	}
	return n, err
}

// progress moves the connection behind those that have been silent longer.
func (c *conn) progress() {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.element != nil {
		c.l.receiving.MoveToBack(c.element)
	}
}

// Close closes the connection and frees what its request holds.
func (c *conn) Close() error {
	c.l.mu.Lock()
	c.release(c.held)
	c.closed = true
	c.leave()
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// setState follows the server's state of the connection.
func (c *conn) setState(state http.ConnState) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.release(c.held)
		c.leave()
	case http.StateActive:
		c.bodyRead = false
	}
}

// receive lets the connection be closed while it waits for its request's body.
func (c *conn) receive() {
	if c == nil {
		return
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if !c.closed && c.element == nil {
		c.element = c.l.receiving.PushBack(c)
		// Without the deadline, only a full budget would end a silent client. An error means that
		// the connection has ended.
		_ = c.SetReadDeadline(time.Now().Add(c.l.limits.ReadTime))
	}
}

// receiveRest is receive unless the body has been read whole.
func (c *conn) receiveRest() {
	if c != nil && !c.isBodyRead() {
		c.receive()
	}
}

func (c *conn) isBodyRead() bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	return c.bodyRead
}

// finish ends receive when the body has been read whole.
func (c *conn) finish() error {
	if c == nil {
		return nil
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.closed {
		return newClosed("read body")
	}
	c.bodyRead = true
	c.leave()
	_ = c.SetReadDeadline(time.Time{})
	return nil
}

// leave takes the connection out of receiving. l.mu is held.
func (c *conn) leave() {
	if c.element != nil {
		c.l.receiving.Remove(c.element)
		c.element = nil
	}
}

// acquire adds n bytes to what the request holds. While that would exceed the limit, it closes the
// connections that have been silent longest and waits until their memory is free.
func (c *conn) acquire(ctx context.Context, n int64) error {
	if c == nil {
		return nil
	}
	l := c.l
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		switch {
		case c.closed:
			return newClosed("read body")
		case l.stats.HeldBytes+n <= l.limits.Bytes, l.stats.HeldBytes == c.held:
			// A request that is alone may be as large as the operators allow.
			l.stats.HeldBytes += n
			c.held += n
			return nil
		case l.stats.HeldBytes-l.freeing+n > l.limits.Bytes && l.closeSilentest(c):
			continue
		case l.freeing == 0 || ctx.Err() != nil:
			l.stats.Busy++
			return newBusy("read body")
		}
		l.wait(ctx)
	}
}

// wait waits for a change. l.mu is held, and released meanwhile.
func (l *Limiter) wait(ctx context.Context) {
	changed := l.changed
	l.mu.Unlock()
	select {
	case <-changed:
	case <-ctx.Done():
	}
	l.mu.Lock()
}

// release frees n bytes of what the request holds. l.mu is held.
func (c *conn) release(n int64) {
	n = min(n, c.held)
	if n == 0 {
		return
	}
	c.held -= n
	c.l.stats.HeldBytes -= n
	if c.closed {
		c.l.freeing -= n
	}
	c.l.broadcast()
}
