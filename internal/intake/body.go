// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"
)

const (
	// minChunkBytes and maxChunkBytes bound the buffers in which a body is read, so that it takes
	// little more memory than has come of it.
	minChunkBytes = 2 << 10
	maxChunkBytes = 16 << 10
)

// Body is the body of a request, read whole.
type Body struct {
	conn   *conn
	chunks [][]byte
	held   int64
	size   int
}

// ReadBody reads the body of a request of at most limit bytes, within the limits of the request's
// server. Release frees the body. An error is an *http.MaxBytesError, an *Error, or that of the
// connection.
func ReadBody(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	b := &Body{conn: connOf(r.Context())}
	b.conn.receive()
	err := b.read(ctx, http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err == nil {
		err = b.conn.finish()
	}
	if err != nil {
		b.Release()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = &Error{"read body", KindSlow, err}
		}
		return nil, err
	}
	return b, nil
}

// read reads the body to its end; length is what its client has declared, or -1.
func (b *Body) read(ctx context.Context, r io.Reader, length int64) error {
	for {
		chunk, err := b.newChunk(ctx, length)
		if err != nil {
			return err
		}
		n, err := fill(r, chunk)
		b.chunks = append(b.chunks, chunk[:n])
		b.size += n
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// newChunk returns the buffer for the next part: as large as all before it, within bounds.
func (b *Body) newChunk(ctx context.Context, length int64) ([]byte, error) {
	n := min(max(int64(b.size), minChunkBytes), maxChunkBytes)
	if rest := length - int64(b.size); rest > 0 {
		n = min(n, rest)
	}
	if err := b.conn.acquire(ctx, n); err != nil {
		return nil, err
	}
	b.held += n
	return make([]byte, n), nil
}

// fill reads until the buffer is full or an error occurs.
func fill(r io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := r.Read(buffer[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Bytes returns the whole body. It copies a body of several parts and drops each part.
func (b *Body) Bytes() []byte {
	if len(b.chunks) > 1 {
		whole := make([]byte, 0, b.size)
		for i, chunk := range b.chunks {
			whole = append(whole, chunk...)
			b.chunks[i] = nil
		}
		b.chunks = [][]byte{whole}
	}
	return b.chunks[0]
}

// Size returns the size of the body in bytes.
func (b *Body) Size() int { return b.size }

// Count returns how often a byte occurs in the body.
func (b *Body) Count(c byte) int {
	n := 0
	for _, chunk := range b.chunks {
		n += bytes.Count(chunk, []byte{c})
	}
	return n
}

// Release frees the memory of the body, which must not be used any more.
func (b *Body) Release() {
	b.chunks = nil
	if c := b.conn; c != nil {
		c.l.mu.Lock()
		defer c.l.mu.Unlock()
		c.release(b.held)
	}
	b.held = 0
}
