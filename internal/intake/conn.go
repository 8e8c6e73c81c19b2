// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"bytes"
	"container/list"
	"context"
	"net"
	"net/http"
	"time"
)

// phase is what a connection waits for.
type phase int

// The phases of a connection.
const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle phase = iota
	// phaseHead waits for the rest of a request's head.
	phaseHead
	// phaseBody waits for the rest of a request's body.
	phaseBody
	// phaseServed waits for the request's handler.
	phaseServed
	// phaseAnswer waits for the client to receive an answer.
	phaseAnswer
)

// conn is a connection of a limited server. Its fields are guarded by the limiter's mutex.
type conn struct {
	net.Conn
	l     *Limiter
	phase phase
	// element is the connection's place in the limiter's list of its phase, or nil.
	element *list.Element
	// heard is when the connection entered its phase or its client last sent something.
	heard time.Time
	// held is the memory that its request holds, in bytes.
	held int64
	// closed is set once the limiter has closed the connection or the server is done with it.
	closed bool
	// bodyRead is set once the request's body has been read whole.
	bodyRead bool
}

const (
	// headCopies is how many times its size a head takes while it is read.
	headCopies = 3
	// headerLineBytes is the memory for a line of a head beside its text.
	headerLineBytes = 200
	// headReserve is the part of Limits.Bytes that only heads may use beyond it, so that a request
	// whose body finds no memory gets an answer.
	headReserve = 4
	// readHeadBytes is the memory for a head that has been read, beside its lines.
	readHeadBytes = 2 << 10
	// answerTime is how long an answer may wait for its client.
	answerTime = time.Second
)

// Read reads from the client and records that the client isn't silent.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.progress(b[:n]) {
		return 0, newClosed("read")
	}
	return n, err
}

// progress records that data has come, and returns false if the connection has been closed. A
// connection with a head for which there is no memory is closed as well.
func (c *conn) progress(data []byte) bool {
	l := c.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return false
	}
	switch c.phase {
	case phaseIdle:
		c.enter(phaseHead)
	case phaseHead, phaseBody:
		c.enter(c.phase)
	}
	if c.phase != phaseHead {
		return true
	}
	return c.holdHead(headCopies*int64(len(data)) + headerLineBytes*int64(bytes.Count(data, []byte{'\n'})))
}

// holdHead adds n bytes to what the request holds, and waits until closing other connections has
// made room for them. It returns false if the connection is closed, or if there is no room. l.mu is
// held.
func (c *conn) holdHead(n int64) bool {
	l := c.l
	limit := l.limits.Bytes + l.limits.Bytes/headReserve
	for l.stats.HeldBytes+n > limit {
		switch {
		case l.stats.HeldBytes-l.freeing+n > limit && l.closeSilentest(c):
			continue
		case l.freeing == 0:
			l.stats.Busy++
			l.close(c)
			return false
		}
		l.wait(context.Background())
		if c.closed {
			return false
		}
	}
	c.held += n
	l.stats.HeldBytes += n
	return true
}

// settleHead frees what was held for a head that has been read and has few lines: the first bytes
// of the body came with it.
func (c *conn) settleHead(lines int) {
	if c == nil {
		return
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.release(c.held - (readHeadBytes + 2*headerLineBytes*int64(lines)))
}

// mayClose reports whether the limiter may close the connection. One that is being answered must
// have kept the answer waiting for answerTime. l.mu is held.
func (c *conn) mayClose() bool {
	return c.phase != phaseAnswer || time.Since(c.heard) >= answerTime
}

// enter moves the connection to the end of the list of a phase. l.mu is held.
func (c *conn) enter(p phase) {
	c.leave()
	c.phase = p
	c.heard = time.Now()
	if list := c.l.listOf(p); list != nil {
		c.element = list.PushBack(c)
	}
}

// leave takes the connection out of the list of its phase. l.mu is held.
func (c *conn) leave() {
	if c.element != nil {
		c.l.listOf(c.phase).Remove(c.element)
		c.element = nil
	}
}

// Write writes to the client, within Limits.ReadTime. While it waits, the connection may be closed.
func (c *conn) Write(b []byte) (int, error) {
	if !c.beginAnswer() {
		return 0, newClosed("write")
	}
	defer c.endAnswer()
	return c.Conn.Write(b)
}

// beginAnswer returns false if the connection has been closed.
func (c *conn) beginAnswer() bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.closed {
		return false
	}
	if c.phase == phaseServed {
		c.enter(phaseAnswer)
	}
	// An error means that the connection has ended, which the write reports.
	_ = c.SetWriteDeadline(time.Now().Add(c.l.limits.ReadTime))
	return true
}

func (c *conn) endAnswer() {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if !c.closed && c.phase == phaseAnswer {
		c.enter(phaseServed)
	}
}

// Close closes the connection and frees what its request holds.
func (c *conn) Close() error {
	c.l.mu.Lock()
	c.release(c.held)
	c.l.remove(c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// setState follows the server's state of the connection.
func (c *conn) setState(state http.ConnState) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.closed {
		return
	}
	switch state {
	case http.StateIdle:
		c.release(c.held)
		c.enter(phaseIdle)
	case http.StateActive:
		c.bodyRead = false
		c.enter(phaseServed)
	}
}

// receive lets the connection be closed while it waits for its request's body.
func (c *conn) receive() {
	if c == nil {
		return
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if !c.closed {
		c.enter(phaseBody)
		// Without the deadline, only a full limit would end a silent client. An error means that
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
	c.enter(phaseServed)
	_ = c.SetReadDeadline(time.Time{})
	return nil
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
	if n <= 0 {
		return
	}
	c.held -= n
	c.l.stats.HeldBytes -= n
	if c.closed {
		c.l.freeing -= n
	}
	c.l.broadcast()
}
