// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"time"

	"switchbank.example/switchbank/internal/conns"
)

// silentDirect is how long a call may go without an answer while no other call
// gets one: a node that is cut off from the service alone is so found before the
// call's own limit. A service that is 100 times slower answers a write in 0.7 s.
const silentDirect = 900 * time.Millisecond

// giveUpSilent ends a direct call early if the service answers nothing meanwhile.
func (r *Relay) giveUpSilent(ctx context.Context, cancel context.CancelFunc, after time.Duration) *time.Timer {
	sent := time.Now()
	return time.AfterFunc(after, func() {
		r.mu.Lock()
		unanswered := r.lastAnswer.Before(sent)
		r.mu.Unlock()
		if unanswered && !conns.Arriving(ctx) {
			cancel()
		}
	})
}

const (
	// lostAfter is how long a call may go without an answer before the node looks
	// whether the service is fast: then the answer is lost, or the connection has
	// gone silent. A fast service answers in 4 ms, and a node that has used up its
	// processor quota stands still for 0.1 s.
	lostAfter = 200 * time.Millisecond
	// lookTimeout bounds one look, and lookTries is how many there are: the first
	// may be made on a connection that has gone silent too.
	lookTimeout = 50 * time.Millisecond
	lookTries   = 2
	// lookPause is for how long a look in vain counts: a slow service is not looked
	// for again for each of its calls.
	lookPause = 700 * time.Millisecond
)

// giveUpLost ends a direct call early if nothing of its answer has arrived and the
// service answers another one at once.
func (r *Relay) giveUpLost(ctx context.Context, cancel context.CancelFunc, after time.Duration) *time.Timer {
	return time.AfterFunc(after, func() {
		if conns.Arriving(ctx) || !r.answers() {
			return
		}
		// The look took a while, in which the answer may have begun to arrive.
		if !conns.Arriving(ctx) {
			cancel()
		}
	})
}

// answers reports whether the service answers at once. A look counts for a while:
// longer if it was in vain.
func (r *Relay) answers() bool {
	r.mu.Lock()
	age, found := time.Since(r.lookedAt), r.found
	r.mu.Unlock()
	if age < lookPause && (!found || age < lookTimeout) {
		return found
	}
	answers, _, _ := r.looks.Do("", func() (any, error) {
		found := r.lookNow()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lookedAt, r.found = time.Now(), found
		return found, nil
	})
	return answers.(bool)
}

// lookNow makes the calls of one look.
func (r *Relay) lookNow() bool {
	for range lookTries {
		err := r.lookOnce(context.Background(), lookTimeout)
		r.answered(err)
		if err == nil {
			return true
		}
	}
	return false
}

// lookOnce reads the list that shows whether the service answers.
func (r *Relay) lookOnce(ctx context.Context, timeout time.Duration) error {
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := r.direct.List(c, r.look)
	return err
}

// answered notes an answer of the service.
func (r *Relay) answered(err error) {
	if IsUnknown(err) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAnswer = time.Now()
}
