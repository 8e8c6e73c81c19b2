// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"time"

	"switchbank.example/switchbank/internal/conns"
)

// silenceTimeout is how long a call may go without an answer while no other call of this node
// gets one. A node that is cut off from the service detects that before the timeout of the
// call. A service that is 100 times slower answers a write in 0.7 s.
const silenceTimeout = 900 * time.Millisecond

// cancelIfSilent cancels a direct call after the given time if no call has been answered since
// it began.
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
	// lostAnswerTimeout is how long a call may go without an answer before the node checks
	// whether the service responds at once. If it does, the answer is lost, or the connection
	// is dead. A fast service answers in 4 ms, and a node that has used up its CPU quota stalls
	// for 0.1 s.
	lostAnswerTimeout = 200 * time.Millisecond
	// healthCheckTimeout bounds one call of a health check, and healthCheckTries is how many
	// are made: the first may go out on a dead connection too.
	healthCheckTimeout = 50 * time.Millisecond
	healthCheckTries   = 2
	// failedCheckValid is how long a failed health check remains valid, so that not every call
	// of a slow service makes another one.
	failedCheckValid = 700 * time.Millisecond
)

// cancelIfAnswerLost cancels a direct call after the given time if nothing of its answer has
// arrived and the service responds to a health check at once.
func (r *Relay) cancelIfAnswerLost(ctx context.Context, cancel context.CancelFunc, after time.Duration) *time.Timer {
	return time.AfterFunc(after, func() {
		if conns.ResponseStarted(ctx) || !r.responds() {
			return
		}
		// The answer may have begun to arrive during the health check.
		if !conns.ResponseStarted(ctx) {
			cancel()
		}
	})
}

// responds reports whether the service responds at once. The result of a health check is reused
// for a while, for longer if it failed.
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

// checkHealth makes the calls of one health check.
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

// checkHealthOnce reads the list that serves as health check.
func (r *Relay) checkHealthOnce(ctx context.Context, timeout time.Duration) error {
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := r.direct.List(c, r.healthCheck)
	return err
}

// noteAnswer records that the service has answered, unless err says that it has not.
func (r *Relay) noteAnswer(err error) {
	if IsUnknown(err) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAnswer = time.Now()
}
