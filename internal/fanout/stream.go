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
	calls  *batcher[call]
	ctx    context.Context
	fail   context.CancelCauseFunc

	// silenceLimit returns how long the helper may be silent, and onHeard is called with the time for
	// which it was overdue when it is heard.
	silenceLimit func() time.Duration
	onHeard      func(overdue time.Duration)

	mu         sync.Mutex
	lastNumber int64
	pending    map[int64]pendingCall
	lastHeard  time.Time
}

// pendingCall is a call that has not been answered.
type pendingCall struct {
	answer chan answer
	sent   time.Time
}

// openStream connects to a helper in the background. Calls may be made at once, and fail if
// the connection can't be made.
func openStream(ctx context.Context, client *http.Client, helper Helper, limit func() time.Duration, onHeard func(overdue time.Duration)) *stream {
	s := &stream{helper: helper, silenceLimit: limit, onHeard: onHeard, calls: newBatcher[call](0), pending: make(map[int64]pendingCall), lastHeard: time.Now()}
	s.ctx, s.fail = context.WithCancelCause(ctx)
	body, lines := io.Pipe()
	go func() { s.fail(s.readAnswers(client, body)) }()
	go func() {
		err := s.calls.run(s.ctx, lines, func() error { return nil })
		s.fail(err)
		// Closing the writer of a pipe never fails.
		_ = lines.CloseWithError(err)
	}()
	return s
}

// readAnswers sends the request and delivers the answers, until the connection ends.
func (s *stream) readAnswers(client *http.Client, body io.Reader) error {
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
		s.deliver(list)
	}
}

// deliver passes answers to the calls that wait for them.
func (s *stream) deliver(list []answer) {
	s.onHeard(s.endSilence(time.Now()))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range list {
		if waiting, ok := s.pending[a.N]; ok {
			delete(s.pending, a.N)
			waiting.answer <- a
		}
	}
}

// endSilence records that the helper is heard, and returns for how long it was overdue while a call
// was pending.
func (s *stream) endSilence(now time.Time) (overdue time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.pending {
		overdue = max(overdue, now.Sub(c.sent))
	}
	overdue = min(overdue, now.Sub(s.lastHeard)) - keepaliveInterval
	s.lastHeard = now
	return max(0, overdue)
}

// call makes a call through the helper; ok is false if the helper failed to answer.
func (s *stream) call(ctx context.Context, c call) (a answer, ok bool) {
	waiting := make(chan answer, 1)
	sent := time.Now()
	n := s.begin(pendingCall{waiting, sent})
	defer s.end(n)
	c.N = n
	s.calls.add(c)
	check := time.NewTimer(helperSilence)
	defer check.Stop()
	for {
		select {
		case a = <-waiting:
			return a, true
		case <-s.ctx.Done():
			return a, false
		case <-ctx.Done():
			return answer{Reply: cluster.ReplyUnknown}, true
		case <-check.C:
		}
		if s.silentFor(sent) >= s.silenceLimit() {
			s.fail(&Error{"call", KindSilent, errors.New("helper does not answer")})
			return a, false
		}
		check.Reset(helperSilence)
	}
}

// begin assigns a number to a call.
func (s *stream) begin(c pendingCall) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	s.pending[s.lastNumber] = c
	return s.lastNumber
}

// end removes a call.
func (s *stream) end(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, n)
}

// silentFor returns how long the helper has been silent since a call was sent.
func (s *stream) silentFor(sent time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastHeard.Before(sent) {
		return time.Since(sent)
	}
	return time.Since(s.lastHeard)
}

const (
	// helperSilence is how long a helper may be silent while calls are pending: one that has
	// used up its CPU quota pauses for 0.1 s.
	helperSilence = 200 * time.Millisecond
	// allHelpersSilence is the limit if no other helper has been heard recently either: then
	// the owner's own host or link is the likely cause.
	allHelpersSilence = 600 * time.Millisecond
	// Both limits are at least silencePerDelay times as long as helpers were overdue lately while
	// they were up, and at most maxHelperSilence: this node or its link may be slow, and calls
	// that go through another helper again, or through none, add to that.
	silencePerDelay  = 4
	maxHelperSilence = 2 * time.Second
	// keepaliveInterval is how often a helper signals that it is up while calls are pending
	// and no worker answers.
	keepaliveInterval = 70 * time.Millisecond
)
