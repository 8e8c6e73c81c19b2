// SPDX-License-Identifier: Apache-2.0

package site

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

type holdRequest struct {
	Fence      int64 `json:"Fence"`
	LastSeen   int64 `json:"LastSeen"`
	DeadlineMS int64 `json:"DeadlineMs"`
	WaitMS     int64 `json:"WaitMs"`
}

type holdReply struct {
	ClockMS int64             `json:"ClockMs"`
	Born    int64             `json:"born,omitempty"`
	Running []json.RawMessage `json:"Running"`
	Ended   []json.RawMessage `json:"Ended"`
}

func (w *Worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	var req holdRequest
	if !read(rw, r, &req) {
		return
	}
	w.mu.Lock()
	if req.Fence < w.fence {
		w.mu.Unlock()
		reply(rw, http.StatusConflict, orderReply{w.clock(), "fence"})
		return
	}
	w.fence = req.Fence
	w.site.tookOrder(hostOf(r.RemoteAddr))
	w.deadline = max(w.deadline, req.DeadlineMS)
	w.seen = max(w.seen, req.LastSeen)
	w.forgetSeen()
	w.awaitEnd(r.Context(), time.Duration(req.WaitMS)*time.Millisecond)
	res := w.report()
	w.mu.Unlock()
	reply(rw, http.StatusOK, res)
}

// forgetSeen drops the ends that were confirmed. A number that was confirmed once stands for
// the whole life: an end that gets it later is forgotten too. A success is not noted if the
// lease has lapsed since: its task may have been started elsewhere.
func (w *Worker) forgetSeen() {
	w.ended = slices.DeleteFunc(w.ended, func(e runEnd) bool {
		if e.n > w.seen {
			return false
		}
		if e.how == "done" && e.at.After(w.lapsedAt) {
			w.site.saw(w, e.task, e.run, EventSuccessConfirmed, w.fence)
		}
		return true
	})
}

// awaitEnd waits until a run has ended, but no longer than that. It is called
// under mu, which it lets go while it waits.
func (w *Worker) awaitEnd(ctx context.Context, most time.Duration) {
	deadline := time.After(most)
	for len(w.ended) == 0 && most > 0 {
		changed := w.changed
		w.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-ctx.Done():
			over = true
		}
		w.mu.Lock()
		if over {
			return
		}
	}
}

// report lists what runs, without the checkpoints that an end carries, and the
// ends that are not confirmed.
func (w *Worker) report() holdReply {
	res := holdReply{ClockMS: w.clock(), Born: w.born, Running: []json.RawMessage{}, Ended: []json.RawMessage{}}
	for _, name := range sortedKeys(w.running) {
		t := w.running[name]
		res.Running = append(res.Running, array(t.task, t.run, "", w.percent(t), t.spec.cpu))
	}
	for _, e := range w.ended {
		res.Ended = append(res.Ended, array(e.n, e.task, e.run, e.how, e.checkpoint))
	}
	return res
}

func array(values ...any) json.RawMessage {
	body, err := json.Marshal(values)
	if err != nil {
		panic("site: an entry can't be encoded: " + err.Error())
	}
	return body
}
