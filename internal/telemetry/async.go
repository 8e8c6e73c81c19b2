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
	// asyncBuffer bounds what waits to be written: some seconds of a busy
	// owner's lines (about 100 KB a second).
	asyncBuffer = 512 << 10
	// asyncFlush is how long a line may wait; each write costs a system call.
	asyncFlush = 50 * time.Millisecond
	// asyncChunk is the most that is written at once: a pipe takes up to 4,096
	// bytes without mixing them with another writer's.
	asyncChunk = 4096
)

// AsyncWriter writes in the background. It never blocks: lines beyond the
// buffer are dropped, and a line says how many.
type AsyncWriter struct {
	w io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int
	done    chan struct{}
	ended   chan struct{}
}

// NewAsyncWriter returns a writer to w; Close writes out what is left.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, done: make(chan struct{}), ended: make(chan struct{})}
	go a.run()
	return a
}

// Write takes a line.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.buf)+len(p) > asyncBuffer {
		a.dropped++
		return len(p), nil
	}
	a.buf = append(a.buf, p...)
	return len(p), nil
}

// Sync does nothing: lines are written in the background.
func (a *AsyncWriter) Sync() error { return nil }

// Close writes out what is left.
func (a *AsyncWriter) Close() {
	close(a.done)
	<-a.ended
}

func (a *AsyncWriter) run() {
	defer close(a.ended)
	var spare []byte
	for open := true; open; {
		select {
		case <-a.done:
			open = false
		case <-time.After(asyncFlush):
		}
		a.mu.Lock()
		out, dropped := a.buf, a.dropped
		a.buf, a.dropped = spare[:0], 0
		a.mu.Unlock()
		if dropped > 0 {
			out = fmt.Appendf(out, `{"level":"warn",%q:%q,"msg":"log lines dropped","lines":%d}`+"\n", events.Field, events.LogLinesDropped, dropped)
		}
		a.writeOut(out)
		spare = out
	}
}

// writeOut writes whole lines in chunks that a pipe takes as one.
func (a *AsyncWriter) writeOut(out []byte) {
	for len(out) > 0 {
		n := len(out)
		if n > asyncChunk {
			n = asyncChunk
			if end := bytes.LastIndexByte(out[:n], '\n'); end >= 0 {
				n = end + 1
			}
		}
		// There is nowhere left to report a log that can't be written.
		_, _ = a.w.Write(out[:n])
		out = out[n:]
	}
}

// NewLeveledLogger returns a logger of JSON lines whose level can be changed.
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
