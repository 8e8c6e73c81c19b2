// SPDX-License-Identifier: Apache-2.0

package intake

import "context"

// Reserve reserves n bytes for the objects that the request of ctx is decoded into, and returns a
// function that frees them. It waits while the requests that are being decoded need more than
// Limits.DecodeBytes; one request alone may need more.
func Reserve(ctx context.Context, n int64) (release func(), err error) {
	c := connOf(ctx)
	if c == nil {
		return func() {}, nil
	}
	l := c.l
	n = min(n, l.limits.DecodeBytes)
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.stats.DecodeBytes+n > l.limits.DecodeBytes {
		if ctx.Err() != nil {
			l.stats.Busy++
			return nil, newBusy("decode")
		}
		l.wait(ctx)
	}
	l.stats.DecodeBytes += n
	return func() { l.free(n) }, nil
}

// free frees n bytes that Reserve has reserved.
func (l *Limiter) free(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.DecodeBytes -= n
	l.broadcast()
}
