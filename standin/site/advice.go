// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// adviceService decides which workers may run a step and issues tickets for them. It handles
// the calls of one host one after the other.
type adviceService struct {
	mu sync.Mutex
	// semaphores lets one call of each host through at a time. They are channels because a call
	// that waits for a mutex would stop virtual time in tests.
	semaphores map[string]chan struct{}
	// rejectOneIn means that one in so many workers is rejected for a step.
	rejectOneIn int
	model       AdviceModel
}

// AdviceModel is how the advice service decides, and how long it takes. The zero value takes adviceDuration
// for each call, and rejects one in so many workers.
type AdviceModel struct {
	// Cost returns what a call for a job costs; nil: adviceDuration.
	Cost func(job string) AdviceCost
	// AllowedShare returns for which share of the workers a step of a job is allowed; nil: as configured.
	AllowedShare func(job string) float64
	// PerConnection lets one call of each connection through at a time, in place of one of each host: on
	// the loopback interface all nodes have the same address.
	PerConnection bool
}

const (
	// adviceDuration is how long a call takes, and ticketValidity how long a ticket is valid.
	adviceDuration = 20 * time.Millisecond
	ticketValidity = 2500 * time.Millisecond
	// defaultRejectOneIn lets a step run on three in four workers.
	defaultRejectOneIn = 4
)

func newAdvice(rejectOneIn int) *adviceService {
	if rejectOneIn == 0 {
		rejectOneIn = defaultRejectOneIn
	}
	return &adviceService{semaphores: make(map[string]chan struct{}), rejectOneIn: rejectOneIn}
}

type adviceRequest struct {
	Step    string   `json:"Step"`
	Workers []string `json:"Workers"`
}

type adviceResponse struct {
	Allowed [][2]string `json:"good"`
	ValidMS int64       `json:"valid_ms"`
}

// ServeHTTP answers a call with tickets for the workers that may run the step.
func (a *adviceService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req adviceRequest
	if !decodeBody(w, r, &req) {
		return
	}
	job, _, _ := strings.Cut(req.Step, ".")
	host := hostOf(r.RemoteAddr)
	if a.model.PerConnection {
		host = r.RemoteAddr
	}
	a.mu.Lock()
	semaphore := a.semaphores[host]
	if semaphore == nil {
		semaphore = make(chan struct{}, 1)
		a.semaphores[host] = semaphore
	}
	a.mu.Unlock()
	semaphore <- struct{}{}
	sleep(r, a.duration(job, len(req.Workers)))
	<-semaphore
	res := adviceResponse{Allowed: [][2]string{}, ValidMS: ticketValidity.Milliseconds()}
	for _, id := range req.Workers {
		if a.allows(req.Step, id) {
			res.Allowed = append(res.Allowed, [2]string{id, newTicket(req.Step, id, time.Now())})
		}
	}
	writeJSON(w, http.StatusOK, res)
}

// duration returns how long a call about a step of a job takes.
func (a *adviceService) duration(job string, workers int) time.Duration {
	if a.model.Cost == nil {
		return adviceDuration
	}
	c := a.model.Cost(job)
	return time.Duration((c.DecideMS + c.EachMS*float64(workers)) * float64(time.Millisecond))
}

// allows reports whether a step may run on a worker. It is a hash of both, so that the
// decision never changes.
func (a *adviceService) allows(step, worker string) bool {
	if a.model.AllowedShare != nil {
		job, _, _ := strings.Cut(step, ".")
		const parts = 1000
		return float64(xxhash.Sum64String(step+"/"+worker)%parts) < a.model.AllowedShare(job)*parts
	}
	sum := 0
	for _, c := range step + worker {
		sum = sum*31 + int(c)
	}
	return sum%a.rejectOneIn != 0
}

func newTicket(step, worker string, at time.Time) string {
	return fmt.Sprintf("%s/%s/%d", step, worker, at.UnixMilli())
}

func isValidTicket(ticket, step, worker string, now time.Time) bool {
	parts := strings.Split(ticket, "/")
	if len(parts) != 3 || parts[0] != step || parts[1] != worker {
		return false
	}
	var ms int64
	if _, err := fmt.Sscan(parts[2], &ms); err != nil {
		return false
	}
	return now.Sub(time.UnixMilli(ms)) <= ticketValidity
}

// SetRejectOneIn makes the advice service reject one in n workers for a step. It must be
// called before the first call of the service.
func (s *Site) SetRejectOneIn(n int) { s.adviceService.rejectOneIn = n }

// SetAdviceModel sets how the advice service behaves. It must be called before the first call of the service.
func (s *Site) SetAdviceModel(m AdviceModel) { s.adviceService.model = m }

// AdviceAllows reports whether the advice service allows a step to run on a worker.
func (s *Site) AdviceAllows(step, worker string) bool { return s.adviceService.allows(step, worker) }
