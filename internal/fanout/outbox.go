// SPDX-License-Identifier: Apache-2.0

package fanout

import (
	"bufio"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/tables"
)

// lineBytes is the size of the buffer for one packed line, so that most go out in one write.
const lineBytes = 16 << 10

// outbox gathers messages of one kind and writes them together, as one line of JSON.
type outbox[T any] struct {
	// beat is after how long an empty line is written if nothing else is; 0: never.
	beat  time.Duration
	ready chan struct{}

	mu   sync.Mutex
	list []T
}

func newOutbox[T any](beat time.Duration) *outbox[T] {
	return &outbox[T]{beat: beat, ready: make(chan struct{}, 1), list: []T{}}
}

// add puts a message in.
func (b *outbox[T]) add(v T) {
	b.mu.Lock()
	b.list = append(b.list, v)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take takes all messages out.
func (b *outbox[T]) take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.list
	b.list = []T{}
	return list
}

// run writes what comes to w, packed, until ctx ends or a write fails; flushed is called
// after each line. What repeats from one message to the next, such as a job's text in the
// starts of its tasks, takes some bytes only.
func (b *outbox[T]) run(ctx context.Context, w io.Writer, flushed func() error) error {
	whole := bufio.NewWriterSize(w, lineBytes)
	packed, err := flate.NewWriter(whole, flate.BestSpeed)
	if err != nil {
		panic("fanout: the level of compression is a constant: " + err.Error())
	}
	var beat <-chan time.Time
	if b.beat > 0 {
		t := time.NewTicker(b.beat)
		defer t.Stop()
		beat = t.C
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-beat:
		case <-b.ready:
			tables.Sleep(ctx, gather)
		}
		line, err := json.Marshal(b.take())
		if err != nil {
			panic("fanout: messages hold only strings and numbers: " + err.Error())
		}
		if _, err := packed.Write(line); err != nil {
			return &Error{"write", KindBroken, err}
		}
		if err := packed.Flush(); err != nil {
			return &Error{"write", KindBroken, err}
		}
		if err := whole.Flush(); err != nil {
			return &Error{"write", KindBroken, err}
		}
		if err := flushed(); err != nil {
			return &Error{"write", KindBroken, err}
		}
	}
}
