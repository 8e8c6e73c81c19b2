// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/worker"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxRequestBytes   = 4 << 20
	// HeaderRequestID carries the ID of a request to and from an instance.
	HeaderRequestID = "Switchbank-Request-Id"
	// HeaderNotRun tells the node that the instance did not run the request, whose outcome
	// is then known. Its value is the reason.
	HeaderNotRun = "Switchbank-Not-Run"
)

// Answer is the body of an instance's answer. It names the instance and the request, so
// that a test notices an answer that belongs to another request.
type Answer struct {
	Instance  string `json:"instance"`
	RequestID string `json:"request_id"`
	Echo      string `json:"echo"`
}

// instance serves the requests of one service task.
type instance struct {
	parent   *Worker
	spec     worker.Spec
	listener net.Listener
	srv      *http.Server
	// busy counts the requests being worked on, which must not exceed the spec's slots.
	busy atomic.Int64
	// previous is the last answer, which Config.SwapAnswers sends once more.
	previous atomic.Pointer[Answer]
}

func newInstance(w *Worker, spec worker.Spec) (*instance, error) {
	l, err := w.cfg.Listen()
	if err != nil {
		return nil, err
	}
	i := &instance{parent: w, spec: spec, listener: l}
	i.srv = &http.Server{Handler: i, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = i.srv.Serve(l) }()
	return i, nil
}

func (i *instance) address() string { return i.listener.Addr().String() }

func (i *instance) close() { _ = i.srv.Close() }

// ServeHTTP echoes the request's body. A body that starts with "sleep 50ms" is answered
// after that time.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	w.Header().Set(HeaderRequestID, id)
	if i.busy.Add(1) > int64(i.spec.Slots) {
		i.busy.Add(-1)
		i.parent.events.record(i.parent.cfg.ID, EventSlotsExceeded, i.spec.Attempt)
		w.Header().Set(HeaderNotRun, "slots")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer i.busy.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !i.parent.leaseValid(i.spec.Attempt) {
		w.Header().Set(HeaderNotRun, "lease")
		http.Error(w, "the task's lease has lapsed", http.StatusServiceUnavailable)
		return
	}
	i.parent.events.append(Event{Worker: i.parent.cfg.ID, Kind: EventRequest, Attempt: i.spec.Attempt, Request: id, Body: string(body), At: time.Now()})
	if d, ok := parseSleep(string(body)); ok {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
	}
	ans := Answer{Instance: i.spec.Attempt.String(), RequestID: id, Echo: string(body)}
	if previous := i.previous.Swap(&ans); previous != nil && i.parent.swapAnswers() {
		w.Header().Set(HeaderRequestID, previous.RequestID)
		ans = *previous
	}
	httpx.WriteJSON(w, http.StatusOK, ans)
}

// parseSleep returns the duration in a body such as "sleep 50ms #7"; words after the
// duration are ignored.
func parseSleep(body string) (time.Duration, bool) {
	words := strings.Fields(body)
	if len(words) < 2 || words[0] != "sleep" {
		return 0, false
	}
	d, err := time.ParseDuration(words[1])
	return d, err == nil
}

// Switches are the faults of a stand-in worker that can be set over HTTP.
type Switches struct {
	Leaving bool `json:"leaving"`
}

// EventsReply is the body of GET /standin/v1/evidence.
type EventsReply struct {
	Events []Event `json:"sights"`
}

// Handler returns the worker's HTTP API: contacts from nodes, and the endpoints for tests
// under /standin/.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /worker/v1/contact", httpx.Handle(maxRequestBytes, w.Contact))
	mux.HandleFunc("GET /standin/v1/evidence", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(EventsReply{Events: w.Events()})
	})
	mux.Handle("POST /standin/v1/switches", httpx.Handle(maxRequestBytes, func(_ context.Context, s Switches) (httpx.Empty, error) {
		w.SetLeaving(s.Leaving)
		return httpx.Empty{}, nil
	}))
	return mux
}
