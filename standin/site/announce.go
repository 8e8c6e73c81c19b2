// SPDX-License-Identifier: Apache-2.0

package site

import "cmp"

// directoryEntry is a worker's entry in the directory.
type directoryEntry struct {
	Upstream    string   `json:"Upstream"`
	Address     string   `json:"Address"`
	Zone        string   `json:"Zone"`
	Version     string   `json:"Version"`
	Slots       int      `json:"Slots"`
	State       string   `json:"State"`
	ColdMS      int64    `json:"ColdRemainingMs"`
	Capacity    capacity `json:"Capacity"`
	Labels      []string `json:"Labels"`
	RemainingMS int64    `json:"RemainingMs,omitempty"`
	ClockMS     int64    `json:"ClockMs"`
	Seq         int64    `json:"Seq"`
	StartTime   int64    `json:"born,omitempty"`
}

type capacity struct {
	CPU      int64 `json:"Cpu"`
	MemoryMB int64 `json:"MemMb"`
	GPU      int64 `json:"Gpu"`
}

// workerSlots is the number of slots that every worker announces.
const workerSlots = 8

// announce writes the worker's entry to the directory, unless the store is down.
func (w *Worker) announce() {
	if w.site.Store.isDown() {
		return
	}
	w.mu.Lock()
	if w.removed || w.paused {
		w.mu.Unlock()
		return
	}
	e := w.entry()
	if w.draining {
		e.State, e.RemainingMS = "draining", drainDuration.Milliseconds()
		w.site.recordDrained(w.ID)
	}
	w.mu.Unlock()
	w.site.Store.Put("servers", w.ID, e)
}

// entry returns the worker's entry in the directory. The caller holds mu.
func (w *Worker) entry() directoryEntry {
	return directoryEntry{
		Upstream: cmp.Or(w.cfg.Service, w.site.cfg.Service), Address: w.Address, Zone: w.dataCentre(), Version: "v1", Slots: workerSlots, State: "ready",
		Capacity: capacity{CPU: w.cfg.CPUMilli, MemoryMB: w.cfg.MemoryMB}, Labels: w.labels(), ClockMS: w.clock(), Seq: w.clock(), StartTime: w.startTime,
	}
}

// dataCentre returns the worker's data centre.
func (w *Worker) dataCentre() string { return cmp.Or(w.cfg.DataCentre, "dc") }

// labels returns the worker's kind, its rack and, if it has one, its own label.
func (w *Worker) labels() []string {
	labels := []string{"a", w.cfg.Rack}
	if w.cfg.Label != "" {
		labels = append(labels, w.cfg.Label)
	}
	return labels
}
