// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"time"

	"switchbank.example/switchbank/internal/conns"
)

// silenceTimeout is how long a call may go without an answer while no other call
// gets one: a node that is cut off from the service alone is so found before the
// call's own limit. A service that is 100 times slower answers a write in 0.7 s.
const silenceTimeout = 900 * time.Millisecond

// cancelIfSilent ends a direct call early if the service answers nothing meanwhile.
func (r *Relay) cancelIfSilent(ctx context.Context, cancel context.CancelFunc, after time.Duration) *time.Timer {
	sent := time.Now()
	return time.AfterFunc(after, func() {
		r.mu.Lock()
		unanswered := r.lastAnswer.Before(sent)
		r.mu.Unlock()
		if unanswered && !conns.ResponseStarted(ctx) {
			cancel()
		}
	})
}

const (
	// lostAnswerTimeout is how long a call may go without an answer before the node looks
	// whether the service is fast: then the answer is lost, or the connection has
	// gone silent. A fast service answers in 4 ms, and a node that has used up its
	// processor quota stands still for 0.1 s.
	lostAnswerTimeout = 200 * time.Millisecond
	// healthCheckTimeout bounds one look, and lookTries is how many there are: the first
	// may be made on a connection that has gone silent too.
	healthCheckTimeout = 50 * time.Millisecond
	healthCheckTries   = 2
	// failedCheckValid is for how long a look in vain counts: a slow service is not looked
	// for again for each of its calls.
	failedCheckValid = 700 * time.Millisecond
)

// cancelIfAnswerLost ends a direct call early if nothing of its answer has arrived and the
// service answers another one at once.
func (r *Relay) cancelIfAnswerLost(ctx context.Context, cancel context.CancelFunc, after time.Duration) *time.Timer {
	return time.AfterFunc(after, func() {
		if conns.ResponseStarted(ctx) || !r.responds() {
			return
		}
		// The look took a while, in which the answer may have begun to arrive.
		if !conns.ResponseStarted(ctx) {
			cancel()
		}
	})
}

// responds reports whether the service responds at once. A look counts for a while:
// longer if it was in vain.
func (r *Relay) responds() bool {
	r.mu.Lock()
	age, healthy := time.Since(r.checkedAt), r.healthy
	r.mu.Unlock()
	if age < failedCheckValid && (!healthy || age < healthCheckTimeout) {
		return healthy
	}
	responds, _, _ := r.healthChecks.Do("", func() (any, error) {
		healthy := r.checkHealth()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.checkedAt, r.healthy = time.Now(), healthy
		return healthy, nil
	})
	return responds.(bool)
}

// checkHealth makes the calls of one look.
func (r *Relay) checkHealth() bool {
	for range healthCheckTries {
		err := r.checkHealthOnce(context.Background(), healthCheckTimeout)
		r.noteAnswer(err)
		if err == nil {
			return true
		}
	}
	return false
}

// checkHealthOnce reads the list that shows whether the service answers.
func (r *Relay) checkHealthOnce(ctx context.Context, timeout time.Duration) error {
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := r.direct.List(c, r.healthCheck)
	return err
}

// noteAnswer notes an answer of the service.
func (r *Relay) noteAnswer(err error) {
	if IsUnknown(err) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAnswer = time.Now()
}
