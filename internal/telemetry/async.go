// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"switchbank.example/switchbank/internal/events"
)

const (
	// asyncBufferBytes limits the lines that wait to be written. A busy owner logs about
	// 100 KB per second, which fills the buffer in some seconds.
	asyncBufferBytes = 512 << 10
	// asyncFlushInterval is how long a line may wait, so that many lines share one system
	// call.
	asyncFlushInterval = 50 * time.Millisecond
	// asyncChunkBytes is the maximum size of a write. Writes to a pipe of up to 4,096 bytes
	// are atomic: they don't mix with those of another process.
	asyncChunkBytes = 4096
)

// AsyncWriter buffers log lines and writes them in the background, so that a slow reader
// of the log can't block the node. When the buffer is full it drops lines, and logs how
// many.
type AsyncWriter struct {
	w io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int
	stop    chan struct{}
	stopped chan struct{}
}

// NewAsyncWriter returns a writer to w. Close it to write the lines that are buffered.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, stop: make(chan struct{}), stopped: make(chan struct{})}
	go a.run()
	return a
}

// Write buffers a line, or drops it if the buffer is full; it never blocks or fails.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.buf)+len(p) > asyncBufferBytes {
		a.dropped++
		return len(p), nil
	}
	a.buf = append(a.buf, p...)
	return len(p), nil
}

// Sync does nothing: lines are written in the background.
func (a *AsyncWriter) Sync() error { return nil }

// Close writes the buffered lines and stops the writer.
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.stopped
}

// run writes the buffer at each interval, until Close.
func (a *AsyncWriter) run() {
	defer close(a.stopped)
	var spare []byte
	for running := true; running; {
		select {
		case <-a.stop:
			running = false
		case <-time.After(asyncFlushInterval):
		}
		a.mu.Lock()
		out, dropped := a.buf, a.dropped
		a.buf, a.dropped = spare[:0], 0
		a.mu.Unlock()
		if dropped > 0 {
			out = fmt.Appendf(out, `{"level":"warn",%q:%q,"msg":"log lines dropped","lines":%d}`+"\n", events.Field, events.LogLinesDropped, dropped)
		}
		a.writeChunks(out)
		spare = out
	}
}

// writeChunks writes whole lines in chunks of at most asyncChunkBytes; only a longer line
// is split.
func (a *AsyncWriter) writeChunks(out []byte) {
	for len(out) > 0 {
		n := len(out)
		if n > asyncChunkBytes {
			n = asyncChunkBytes
			if end := bytes.LastIndexByte(out[:n], '\n'); end >= 0 {
				n = end + 1
			}
		}
		// An error of writing the log can't be logged.
		_, _ = a.w.Write(out[:n])
		out = out[n:]
	}
}

// NewLeveledLogger returns a logger that writes JSON lines to w, and its level, which can
// be changed at any time.
func NewLeveledLogger(level string, w zapcore.WriteSyncer) (*zap.Logger, zap.AtomicLevel, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, l, &Error{"new logger", KindSetup, err}
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), w, l)), l, nil
}
