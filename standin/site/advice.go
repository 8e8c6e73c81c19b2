// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// advice says which workers may run a step. It takes the calls of one host in turn.
type advice struct {
	mu sync.Mutex
	// hosts holds a turn for each calling host: a channel and not a mutex, which
	// would keep virtual time from passing.
	hosts map[string]chan struct{}
	// rejectOneIn is of how many workers one is rejected for a step.
	rejectOneIn int
}

const (
	// adviceTakes is how long a call takes, and adviceValid how long a ticket is good.
	adviceTakes = 20 * time.Millisecond
	adviceValid = 2500 * time.Millisecond
	// defaultRejectOneIn lets every step run on three in four workers.
	defaultRejectOneIn = 4
)

func newAdvice(rejectOneIn int) *advice {
	if rejectOneIn == 0 {
		rejectOneIn = defaultRejectOneIn
	}
	return &advice{hosts: make(map[string]chan struct{}), rejectOneIn: rejectOneIn}
}

type adviseRequest struct {
	Step    string   `json:"Step"`
	Workers []string `json:"Workers"`
}

type adviseReply struct {
	Good    [][2]string `json:"good"`
	ValidMS int64       `json:"valid_ms"`
}

// ServeHTTP answers for a step.
func (a *advice) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req adviseRequest
	if !read(w, r, &req) {
		return
	}
	host := hostOf(r.RemoteAddr)
	a.mu.Lock()
	turn := a.hosts[host]
	if turn == nil {
		turn = make(chan struct{}, 1)
		a.hosts[host] = turn
	}
	a.mu.Unlock()
	turn <- struct{}{}
	sleep(r, adviceTakes)
	<-turn
	res := adviseReply{Good: [][2]string{}, ValidMS: adviceValid.Milliseconds()}
	for _, id := range req.Workers {
		if a.good(req.Step, id) {
			res.Good = append(res.Good, [2]string{id, ticketFor(req.Step, id, time.Now())})
		}
	}
	reply(w, http.StatusOK, res)
}

// good reports whether a step may run on a worker; the answer never changes.
func (a *advice) good(step, worker string) bool {
	sum := 0
	for _, c := range step + worker {
		sum = sum*31 + int(c)
	}
	return sum%a.rejectOneIn != 0
}

func ticketFor(step, worker string, at time.Time) string {
	return fmt.Sprintf("%s/%s/%d", step, worker, at.UnixMilli())
}

func ticketHolds(ticket, step, worker string, now time.Time) bool {
	parts := strings.Split(ticket, "/")
	if len(parts) != 3 || parts[0] != step || parts[1] != worker {
		return false
	}
	var ms int64
	if _, err := fmt.Sscan(parts[2], &ms); err != nil {
		return false
	}
	return now.Sub(time.UnixMilli(ms)) <= adviceValid
}

// SetRejectOneIn sets of how many workers advice rejects one for a step, before it is asked.
func (s *Site) SetRejectOneIn(n int) { s.advice.rejectOneIn = n }

// AdviceAllows reports whether the advice service lets a step run on a worker.
func (s *Site) AdviceAllows(step, worker string) bool { return s.advice.good(step, worker) }
