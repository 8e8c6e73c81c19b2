// SPDX-License-Identifier: Apache-2.0

package conns

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// responseBody is the body of a response. It logs how much had arrived if the response is
// aborted before its end.
type responseBody struct {
	io.ReadCloser
	t    *Transport
	r    *http.Request
	sent int64
	// bytes is the number of bytes that have arrived.
	bytes int64
	usage *PathUsage
}

// Read reads from the body and records the progress.
func (a *responseBody) Read(b []byte) (int, error) {
	n, err := a.ReadCloser.Read(b)
	if n > 0 {
		a.bytes += int64(n)
		a.usage.Received.Add(int64(n))
		recordProgress(a.r.Context())
	}
	if err != nil && !errors.Is(err, io.EOF) {
		a.t.Log.Info("response aborted", events.ResponseAborted, zap.String("url", a.r.URL.String()), zap.Int64("bytes", a.bytes),
			zap.Duration("took", time.Duration(a.t.now()-a.sent)), zap.Error(err))
	}
	return n, err
}
