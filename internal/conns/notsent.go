// SPDX-License-Identifier: Apache-2.0

package conns

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// writeCount counts the writes to a connection that have, or may have, sent bytes.
type writeCount struct {
	mu    sync.Mutex
	count int
	// sealed is set once nothing may be written any more.
	sealed bool
}

// begin counts a write before it is made; false means that it must not be made.
func (w *writeCount) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sealed {
		return false
	}
	w.count++
	return true
}

// undo takes back the count of a write that failed without sending a byte.
func (w *writeCount) undo() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
}

// now returns the count.
func (w *writeCount) now() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

// sealAt reports whether the count is still the given one, and if so prevents all later writes.
func (w *writeCount) sealAt(count int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sealed = w.sealed || w.count == count
	return w.sealed
}

// usedConn is a connection that a call has used, with the count of its writes before.
type usedConn struct {
	*conn
	before int
}

// usedConns are the connections that one call has used: the HTTP transport tries another one if
// a kept connection fails before anything was written.
type usedConns []usedConn

// trace returns a context that records the connections.
func (u *usedConns) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if k, ok := info.Conn.(*conn); ok {
			*u = append(*u, usedConn{k, k.written.now()})
		}
	}})
}

// wrapError returns the error of a failed call: of KindNotSent if the call had connections and
// nothing was written to any of them, otherwise err itself. The connections are closed, so that
// the call can't be written late.
func (u usedConns) wrapError(err error) error {
	if len(u) == 0 {
		return err
	}
	for _, k := range u {
		if !k.written.sealAt(k.before) {
			return err
		}
		_ = k.Close()
	}
	return &Error{Op: "call", Kind: KindNotSent, Err: err}
}
