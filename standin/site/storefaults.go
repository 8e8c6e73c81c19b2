// SPDX-License-Identifier: Apache-2.0

package site

import (
	"io"
	"net/http"
	"slices"
	"time"
)

// StoreFaults are the ways in which the store can fail.
type StoreFaults struct {
	// Down: no call is answered or done. Busy answers 503 instead of nothing.
	Down bool
	Busy bool
	// Deny names the hosts that are turned away with 503 while others are served.
	Deny []string
	// Delay is added before each call.
	Delay time.Duration
	// AnswerDelay is how long a write's answer takes after the write has taken effect.
	AnswerDelay time.Duration
	// PartBusy is how long a write keeps its part busy; others of the part wait.
	PartBusy time.Duration
	// LoseReplies is how many of the next writes are done and not answered.
	LoseReplies int
	// Late is how many of the next writes are not answered and done after LateBy.
	Late   int
	LateBy time.Duration
	// NoHistory makes every feed answer that its history is gone.
	NoHistory bool
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetUnavailableParts replaces the parts that don't answer while others do, which goes on beside
// the faults in force.
func (s *Store) SetUnavailableParts(parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailableParts = parts
}

// isDown reports whether no call is answered or done.
func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// answerDelay returns how long a write's answer takes.
func (s *Store) answerDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.AnswerDelay
}

// hasUnavailable reports whether one of the parts doesn't answer.
func (s *Store) hasUnavailable(parts ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(parts, func(p string) bool { return slices.Contains(s.unavailableParts, p) })
}

// maxSilence bounds how long a call is held: no caller waits so long.
const maxSilence = 30 * time.Second

// leaveUnanswered holds a call until its caller gives up, and breaks the connection. The
// server notices that only once the body is read.
func leaveUnanswered(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	sleep(r, maxSilence)
	panic(http.ErrAbortHandler)
}

// sleep waits for d, or until the caller gives up.
func sleep(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	}
}
