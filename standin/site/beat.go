// SPDX-License-Identifier: Apache-2.0

package site

// beat is a worker's entry in the directory.
type beat struct {
	Upstream    string   `json:"Upstream"`
	Address     string   `json:"Address"`
	Zone        string   `json:"Zone"`
	State       string   `json:"State"`
	Capacity    capacity `json:"Capacity"`
	Labels      []string `json:"Labels"`
	RemainingMS int64    `json:"RemainingMs,omitempty"`
	ClockMS     int64    `json:"ClockMs"`
	Seq         int64    `json:"Seq"`
}

type capacity struct {
	CPU      int64 `json:"Cpu"`
	MemoryMB int64 `json:"MemMb"`
}

// beat writes the worker's entry, if the store takes it.
func (w *Worker) beat() {
	if w.site.Store.down() {
		return
	}
	w.mu.Lock()
	if w.unlisted {
		w.mu.Unlock()
		return
	}
	b := beat{
		Upstream: w.site.cfg.Service, Address: w.Address, Zone: "dc", State: "ready",
		Capacity: capacity{w.cfg.CPUMilli, w.cfg.MemoryMB}, Labels: w.labels(), ClockMS: w.clock(), Seq: w.clock(),
	}
	if w.drain {
		b.State, b.RemainingMS = "draining", drainTime.Milliseconds()
		w.site.noteDrained(w.ID)
	}
	w.mu.Unlock()
	w.site.Store.Put("servers", w.ID, b)
}

// labels are the worker's kind, its rack and its own label.
func (w *Worker) labels() []string {
	labels := []string{"a", w.cfg.Rack}
	if w.cfg.Label != "" {
		labels = append(labels, w.cfg.Label)
	}
	return labels
}
