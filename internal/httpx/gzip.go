// SPDX-License-Identifier: Apache-2.0

package httpx

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strings"
)

// minGzipBytes is the smallest reply that is compressed; a smaller one fits into a few
// packets anyway.
const minGzipBytes = 16 << 10

// encodingGzip is the content coding of compressed replies.
const encodingGzip = "gzip"

// gzipReply returns the compressed body of a reply. It returns ok false if the body is
// small, if the caller doesn't accept gzip, or if compression doesn't make it smaller.
// Compression takes 2.7 ms of processor time to shrink a configuration of 4,246 routes
// with random names from 920 kB to 72 kB.
func gzipReply(r *http.Request, body []byte) (compressed []byte, ok bool) {
	if len(body) < minGzipBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip) {
		return nil, false
	}
	var buf bytes.Buffer
	// Fastest level: a node may have only a fifth of a core, so that processor time is
	// scarcer than bandwidth.
	gz, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		panic("httpx: invalid gzip level: " + err.Error())
	}
	// Writes to a bytes.Buffer don't fail.
	_, _ = gz.Write(body)
	_ = gz.Close()
	return buf.Bytes(), buf.Len() < len(body)
}
