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
	ClockMS   int64             `json:"ClockMs"`
	StartTime int64             `json:"born,omitempty"`
	Running   []json.RawMessage `json:"Running"`
	Ended     []json.RawMessage `json:"Ended"`
}

func (w *Worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	var req holdRequest
	if !decodeBody(rw, r, &req) {
		return
	}
	w.mu.Lock()
	if req.Fence < w.fence {
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, orderReply{w.clock(), "fence"})
		return
	}
	w.fence = req.Fence
	w.site.recordOwner(hostOf(r.RemoteAddr))
	w.deadline = max(w.deadline, req.DeadlineMS)
	w.confirmedEnd = max(w.confirmedEnd, req.LastSeen)
	w.dropConfirmedEnds()
	w.waitForEnd(r.Context(), time.Duration(req.WaitMS)*time.Millisecond)
	res := w.report()
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, res)
}

// dropConfirmedEnds drops the ends that were confirmed. A confirmed number stays confirmed
// for the whole incarnation: an end that gets it later is dropped too. The confirmation of a
// success isn't recorded if the lease has expired since the run ended, because the task may
// have been started elsewhere.
func (w *Worker) dropConfirmedEnds() {
	w.ended = slices.DeleteFunc(w.ended, func(e runEnd) bool {
		if e.number > w.confirmedEnd {
			return false
		}
		if e.outcome == "done" && e.at.After(w.expiredAt) {
			w.site.record(w, e.task, e.run, EventSuccessConfirmed, w.fence)
		}
		return true
	})
}

// waitForEnd waits until there is an unconfirmed end, but at most maxWait. The caller holds
// mu, which is released while it waits.
func (w *Worker) waitForEnd(ctx context.Context, maxWait time.Duration) {
	deadline := time.After(maxWait)
	for len(w.ended) == 0 && maxWait > 0 {
		changed := w.changed
		w.mu.Unlock()
		giveUp := false
		select {
		case <-changed:
		case <-deadline:
			giveUp = true
		case <-ctx.Done():
			giveUp = true
		}
		w.mu.Lock()
		if giveUp {
			return
		}
	}
}

// report lists the runs, without checkpoints, which only ends contain, and the unconfirmed
// ends. The caller holds mu.
func (w *Worker) report() holdReply {
	res := holdReply{ClockMS: w.clock(), StartTime: w.startTime, Running: []json.RawMessage{}, Ended: []json.RawMessage{}}
	for _, name := range sortedKeys(w.running) {
		t := w.running[name]
		res.Running = append(res.Running, jsonArray(t.task, t.run, "", w.percent(t), t.spec.cpu))
	}
	for _, e := range w.ended {
		res.Ended = append(res.Ended, jsonArray(e.number, e.task, e.run, e.outcome, e.checkpoint))
	}
	return res
}

func jsonArray(values ...any) json.RawMessage {
	body, err := json.Marshal(values)
	if err != nil {
		panic("site: array can't be encoded: " + err.Error())
	}
	return body
}
