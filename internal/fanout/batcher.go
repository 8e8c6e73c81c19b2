// SPDX-License-Identifier: Apache-2.0

package fanout

import (
	"bufio"
	"cmp"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"math"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/tables"
)

// lineBytes is the size of the buffer for one compressed line, so that most lines are sent in
// one write.
const lineBytes = 16 << 10

// batcher collects messages of one kind and writes them in batches, each as one line of JSON.
type batcher[T any] struct {
	// keepalive is the time after which an empty line is written if there are no messages; 0
	// for never.
	keepalive time.Duration
	ready     chan struct{}

	mu   sync.Mutex
	list []T
}

func newBatcher[T any](interval time.Duration) *batcher[T] {
	return &batcher[T]{keepalive: interval, ready: make(chan struct{}, 1), list: []T{}}
}

// add adds a message to the next batch.
func (b *batcher[T]) add(v T) {
	b.mu.Lock()
	b.list = append(b.list, v)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// drain returns and removes all messages.
func (b *batcher[T]) drain() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.list
	b.list = []T{}
	return list
}

// run writes the batches to w, compressed, until ctx ends or a write fails; flushed is called
// after each line. All lines share one compression state, so that content that repeats
// between messages, such as a job's spec in the starts of its tasks, takes a few bytes only.
func (b *batcher[T]) run(ctx context.Context, w io.Writer, flushed func() error) error {
	buffered := bufio.NewWriterSize(w, lineBytes)
	compressed, err := flate.NewWriter(buffered, flate.BestSpeed)
	if err != nil {
		panic("fanout: the level of compression is a constant: " + err.Error())
	}
	// A keepalive is due only when nothing else has been sent for that long.
	interval := cmp.Or(b.keepalive, math.MaxInt64)
	due := time.NewTimer(interval)
	defer due.Stop()
	for ; ; due.Reset(interval) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due.C:
		case <-b.ready:
			tables.Sleep(ctx, batchDelay)
		}
		line, err := json.Marshal(b.drain())
		if err != nil {
			panic("fanout: messages hold only strings and numbers: " + err.Error())
		}
		if _, err := compressed.Write(line); err != nil {
			return &Error{"write", KindBroken, err}
		}
		if err := compressed.Flush(); err != nil {
			return &Error{"write", KindBroken, err}
		}
		if err := buffered.Flush(); err != nil {
			return &Error{"write", KindBroken, err}
		}
		if err := flushed(); err != nil {
			return &Error{"write", KindBroken, err}
		}
	}
}
