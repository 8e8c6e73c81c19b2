// SPDX-License-Identifier: Apache-2.0

package fanout

import (
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/cluster"
)

// stream is the connection to one helper.
type stream struct {
	helper Helper
	calls  *outbox[call]
	ctx    context.Context
	fail   context.CancelCauseFunc

	// patience returns how long the helper may say nothing.
	patience func() time.Duration

	mu    sync.Mutex
	next  int64
	open  map[int64]chan answer
	heard time.Time
}

// openStream connects to a helper. Calls may be made at once; they fail if that doesn't succeed.
func openStream(ctx context.Context, client *http.Client, helper Helper, patience func() time.Duration) *stream {
	s := &stream{helper: helper, patience: patience, calls: newOutbox[call](0), open: make(map[int64]chan answer), heard: time.Now()}
	s.ctx, s.fail = context.WithCancelCause(ctx)
	body, lines := io.Pipe()
	go func() { s.fail(s.read(client, body)) }()
	go func() {
		err := s.calls.run(s.ctx, lines, func() error { return nil })
		s.fail(err)
		// A pipe's writer is always closed without an error.
		_ = lines.CloseWithError(err)
	}()
	return s
}

// read makes the request and takes the answers, until the connection ends.
func (s *stream) read(client *http.Client, body io.Reader) error {
	r, err := http.NewRequestWithContext(s.ctx, http.MethodPost, s.helper.URL, body)
	if err != nil {
		return &Error{"open", KindOpen, err}
	}
	res, err := client.Do(r)
	if err != nil {
		return &Error{"open", KindOpen, err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return &Error{"open", KindOpen, errors.Errorf("status %d", res.StatusCode)}
	}
	for d := json.NewDecoder(flate.NewReader(res.Body)); ; {
		var list []answer
		if err := d.Decode(&list); err != nil {
			return &Error{"read", KindBroken, err}
		}
		s.take(list)
	}
}

// take hands answers to those who wait for them.
func (s *stream) take(list []answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = time.Now()
	for _, a := range list {
		if waiting := s.open[a.N]; waiting != nil {
			delete(s.open, a.N)
			waiting <- a
		}
	}
}

// do makes a call by way of the helper; ok is false if the helper is to blame that there
// is no answer.
func (s *stream) do(ctx context.Context, c call) (a answer, ok bool) {
	waiting := make(chan answer, 1)
	n, sent := s.begin(waiting), time.Now()
	defer s.end(n)
	c.N = n
	s.calls.add(c)
	look := time.NewTimer(silentAfter)
	defer look.Stop()
	for {
		select {
		case a = <-waiting:
			return a, true
		case <-s.ctx.Done():
			return a, false
		case <-ctx.Done():
			return answer{Reply: cluster.ReplyUnknown}, true
		case <-look.C:
		}
		if s.silentFor(sent) >= s.patience() {
			s.fail(&Error{"call", KindSilent, errors.New("the helper says nothing")})
			return a, false
		}
		look.Reset(silentAfter)
	}
}

// begin numbers a call whose answer goes to waiting.
func (s *stream) begin(waiting chan answer) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.open[s.next] = waiting
	return s.next
}

// end forgets a call.
func (s *stream) end(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, n)
}

// silentFor returns for how long the helper has said nothing since a call was sent.
func (s *stream) silentFor(sent time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard.Before(sent) {
		return time.Since(sent)
	}
	return time.Since(s.heard)
}

const (
	// silentAfter is how long a helper may say nothing while calls are open: one that has
	// used up its processor quota stands still for 0.1 s.
	silentAfter = 200 * time.Millisecond
	// silentAll is the same if no other helper has said anything lately either: it is more
	// likely the owner's host or link that stands still.
	silentAll = 600 * time.Millisecond
	// beatEvery is how often a helper says that it is there while calls are open and no
	// worker answers.
	beatEvery = 70 * time.Millisecond
)
