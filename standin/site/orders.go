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
			// A connection from before the crash may still be open, but gets no answer.
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
	if !decodeBody(rw, r, &req) {
		return
	}
	w.mu.Lock()
	if w.faults.Late > 0 {
		w.faults.Late--
		delay := w.faults.LateBy
		w.mu.Unlock()
		go w.acceptStartLate(req, delay)
		leaveUnanswered(r)
		return
	}
	reason := w.acceptStart(req)
	clock := w.clock()
	w.mu.Unlock()
	if reason != "" {
		writeJSON(rw, http.StatusConflict, orderReply{clock, reason})
		return
	}
	writeJSON(rw, http.StatusOK, orderReply{ClockMS: clock})
}

// acceptStartLate carries out a start after a delay; its caller has got no answer.
func (w *Worker) acceptStartLate(req startRequest, delay time.Duration) {
	time.Sleep(delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptStart(req)
}

// acceptStart starts a run, or returns the reason why it is refused. The caller holds mu.
func (w *Worker) acceptStart(req startRequest) string {
	if w.terminated {
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
	if req.Run <= w.finishedRuns[req.Task] || w.running[req.Task] != nil {
		return "old"
	}
	step := stepOf(req.Task)
	if req.Ticket != "" && !isValidTicket(req.Ticket, step, w.ID, time.Now()) {
		w.site.record(w, req.Task, req.Run, EventInvalidTicket, req.Fence)
		return "ticket"
	}
	w.begin(req)
	return ""
}

// begin starts a task from its checkpoint, and records an overload or a start on a draining
// worker. The caller holds mu.
func (w *Worker) begin(req startRequest) {
	t := &taskRun{task: req.Task, run: req.Run, spec: parseSpec(req.Spec), startedAt: time.Now(), stuck: w.faults.Stuck, failsOnWorker: w.failNewRuns}
	if _, at, ok := strings.Cut(req.Checkpoint, "@"); ok {
		n, err := strconv.Atoi(at)
		if err == nil {
			t.startPercent = n
		}
	}
	if t.inGang = t.spec.gang.includes(t.task); t.inGang {
		w.site.joinGang(t)
	}
	w.running[req.Task] = t
	w.site.addEvent(Event{Worker: w.ID, Task: req.Task, Run: req.Run, Kind: EventStart, Fence: req.Fence, CPUMilli: t.spec.cpu, DataCentre: w.dataCentre()})
	if t.crashesWorker() {
		time.AfterFunc(t.spec.crashesAfter, func() { w.crashUnder(t) })
	}
	if w.usedCPU() > w.cfg.CPUMilli {
		w.site.record(w, req.Task, req.Run, EventOverload, req.Fence)
	}
	if w.draining {
		w.site.record(w, req.Task, req.Run, EventStartWhileDraining, req.Fence)
	}
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var req startRequest
	if !decodeBody(rw, r, &req) {
		return
	}
	if !w.acceptStop(req) {
		writeJSON(rw, http.StatusConflict, orderReply{w.clock(), "fence"})
		return
	}
	writeJSON(rw, http.StatusOK, orderReply{ClockMS: w.clock()})
}

// acceptStop stops a run, or keeps it from starting later. It returns false for an outdated
// fence.
func (w *Worker) acceptStop(req startRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if req.Fence < w.fence {
		return false
	}
	w.fence = req.Fence
	w.finishedRuns[req.Task] = max(w.finishedRuns[req.Task], req.Run)
	if t := w.running[req.Task]; t != nil && t.run <= req.Run {
		w.endRun(t, "stopped")
	}
	return true
}

func (w *Worker) servePace(rw http.ResponseWriter, r *http.Request) {
	var req startRequest
	if decodeBody(rw, r, &req) {
		writeJSON(rw, http.StatusOK, orderReply{ClockMS: w.clock()})
	}
}
