// SPDX-License-Identifier: Apache-2.0

package site

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

type startRequest struct {
	Task       string `json:"Task"`
	Run        int64  `json:"Run"`
	Spec       string `json:"Spec"`
	DeadlineMS int64  `json:"DeadlineMs"`
	Fence      int64  `json:"Fence"`
	Checkpoint string `json:"Checkpoint"`
	Ticket     string `json:"Ticket"`
}

type orderReply struct {
	ClockMS int64  `json:"ClockMs"`
	Reason  string `json:"Reason,omitempty"`
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serveStart)
	mux.HandleFunc("POST /api/run-stop", w.serveStop)
	mux.HandleFunc("POST /api/hold", w.serveHold)
	mux.HandleFunc("POST /api/pace", w.servePace)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.Crashed() {
			// A connection from before the crash may still be open; nobody answers on it.
			panic(http.ErrAbortHandler)
		}
		if id := r.Header.Get("X-Switchbank-Expect-Instance"); id != "" && id != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	})
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var req startRequest
	if !read(rw, r, &req) {
		return
	}
	w.mu.Lock()
	if w.faults.Late > 0 {
		w.faults.Late--
		by := w.faults.LateBy
		w.mu.Unlock()
		go w.takeLate(req, by)
		silence(r)
		return
	}
	reason := w.take(req)
	clock := w.clock()
	w.mu.Unlock()
	if reason != "" {
		reply(rw, http.StatusConflict, orderReply{clock, reason})
		return
	}
	reply(rw, http.StatusOK, orderReply{ClockMS: clock})
}

// takeLate carries a start out that got no answer.
func (w *Worker) takeLate(req startRequest, by time.Duration) {
	time.Sleep(by)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.take(req)
}

// take begins a run, or returns why not.
func (w *Worker) take(req startRequest) string {
	if w.dead {
		return "late"
	}
	if req.Fence < w.fence {
		return "fence"
	}
	w.fence = req.Fence
	w.deadline = max(w.deadline, req.DeadlineMS)
	if req.DeadlineMS < w.clock() {
		return "late"
	}
	if t := w.running[req.Task]; t != nil && t.run == req.Run {
		return ""
	}
	if req.Run <= w.over[req.Task] || w.running[req.Task] != nil {
		return "old"
	}
	step := req.Task[:strings.LastIndexByte(req.Task, '.')]
	if req.Ticket != "" && !ticketHolds(req.Ticket, step, w.ID, time.Now()) {
		w.site.saw(w, req.Task, req.Run, EventInvalidTicket, req.Fence)
		return "ticket"
	}
	w.begin(req)
	return ""
}

// begin runs a task from its checkpoint on, and notes what should not be.
func (w *Worker) begin(req startRequest) {
	t := &taskRun{task: req.Task, run: req.Run, spec: parseSpec(req.Spec), startedAt: time.Now(), stuck: w.faults.Stuck, doomed: w.failsNew}
	if _, at, ok := strings.Cut(req.Checkpoint, "@"); ok {
		n, err := strconv.Atoi(at)
		if err == nil {
			t.from = n
		}
	}
	if t.inGang = t.spec.gang.has(t.task); t.inGang {
		w.site.joinGang(t)
	}
	w.running[req.Task] = t
	w.site.saw(w, req.Task, req.Run, EventStart, req.Fence)
	if w.used() > w.cfg.CPUMilli {
		w.site.saw(w, req.Task, req.Run, EventOverload, req.Fence)
	}
	if w.drain {
		w.site.saw(w, req.Task, req.Run, EventStartWhileDraining, req.Fence)
	}
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var req startRequest
	if !read(rw, r, &req) {
		return
	}
	if !w.takeStop(req) {
		reply(rw, http.StatusConflict, orderReply{w.clock(), "fence"})
		return
	}
	reply(rw, http.StatusOK, orderReply{ClockMS: w.clock()})
}

// takeStop ends a run, or keeps it from beginning later.
func (w *Worker) takeStop(req startRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if req.Fence < w.fence {
		return false
	}
	w.fence = req.Fence
	w.over[req.Task] = max(w.over[req.Task], req.Run)
	if t := w.running[req.Task]; t != nil && t.run <= req.Run {
		w.end(t, "stopped")
	}
	return true
}

func (w *Worker) servePace(rw http.ResponseWriter, r *http.Request) {
	var req startRequest
	if read(rw, r, &req) {
		reply(rw, http.StatusOK, orderReply{ClockMS: w.clock()})
	}
}
