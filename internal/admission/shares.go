// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"math"
	"sync"
	"time"
)

// This file addresses teams of which one sends far more than the others: it estimates whose work
// waits, from the work that this node has admitted lately.

const (
	// shareHalfLife is the half-life of the work that counts.
	shareHalfLife = 10 * time.Second
	// maxClasses bounds the teams and priorities that are counted.
	maxClasses = 256
)

// Shares counts admitted work by team and priority. It is safe for concurrent use.
type Shares struct {
	mu      sync.Mutex
	classes map[class]decayed
}

// class is a team and a priority.
type class struct {
	team     string
	priority int
}

// decayed is a sum that halves every shareHalfLife, as of a time.
type decayed struct {
	sum float64
	at  time.Duration
}

func (d decayed) value(now time.Duration) float64 {
	return d.sum * math.Exp2(-float64(max(0, now-d.at))/float64(shareHalfLife))
}

// NewShares returns a counter without work.
func NewShares() *Shares { return &Shares{classes: make(map[class]decayed)} }

// Add counts the work of an admitted job.
func (s *Shares) Add(r Request, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := class{r.Team, r.Job.Priority}
	d := s.classes[k]
	s.classes[k] = decayed{d.value(now) + float64(r.Job.WorkMilliSec), max(now, d.at)}
	if len(s.classes) > maxClasses {
		s.forgetLeast(now)
	}
}

// forgetLeast removes the class with the least work. The caller holds mu.
func (s *Shares) forgetLeast(now time.Duration) {
	var least class
	work := math.Inf(1)
	for k, d := range s.classes {
		if v := d.value(now); v < work {
			least, work = k, v
		}
	}
	delete(s.classes, least)
}

// Of returns the team's share of the work of a priority; 1 if no work is known.
func (s *Shares) Of(team string, priority int, now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0.0
	for k, d := range s.classes {
		if k.priority == priority {
			sum += d.value(now)
		}
	}
	if sum <= 0 {
		return 1
	}
	return s.classes[class{team, priority}].value(now) / sum
}
