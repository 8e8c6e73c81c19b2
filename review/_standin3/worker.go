// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the settings that the workers keep to.
const (
	holdMax       = 10 * time.Second
	saveEvery     = 500 * time.Millisecond
	stopTakes     = 50 * time.Millisecond
	gangWait      = 3 * time.Second
	heartbeat     = 1500 * time.Millisecond
	restoreTime   = 250 * time.Millisecond
	maxListedEnds = 500
	maxHoldWait   = 2 * time.Second
)

// step is what a client sent of a step of a job.
type step struct {
	Count         int   `json:"Count"`
	CPU           int64 `json:"Cpu,omitempty"`
	MemMB         int64 `json:"MemMb,omitempty"`
	EstimateMS    int64 `json:"EstimateMs,omitempty"`
	DependsOn     []int `json:"DependsOn,omitempty"`
	Checkpointing bool  `json:"Checkpointing,omitempty"`
	Gang          bool  `json:"Gang,omitempty"`
	LongRunning   bool  `json:"LongRunning,omitempty"`
	MayMiss       int   `json:"may_miss,omitempty"`
	AntiAffinity  int   `json:"AntiAffinity,omitempty"`

	Constraints string `json:"Constraints,omitempty"`
	Affinity    string `json:"Affinity,omitempty"`
	GPU         int64  `json:"Gpu,omitempty"`
	SameRack    bool   `json:"SameRack,omitempty"`
	Speculative bool   `json:"Speculative,omitempty"`
	Fills       bool   `json:"fills,omitempty"`
	TargetMS    int64  `json:"target_ms,omitempty"`
	Image       string `json:"image,omitempty"`
}

type job struct {
	Spec        string `json:"Spec"`
	Steps       []step `json:"Steps"`
	StartAtMS   int64  `json:"StartAtMs,omitempty"`
	RepeatCount int    `json:"RepeatCount,omitempty"`
	IntervalMS  int64  `json:"IntervalMs,omitempty"`
}

// event is something that the servers have seen.
type event struct {
	at     time.Time
	worker string
	task   string
	run    int64
	// what is start, an end's how, noted (an end was taken note of), or rejected.
	what string
	note string
}

// site is the platform of a small deployment.
type site struct {
	mu      sync.Mutex
	store   *store
	jobs    map[string]job
	events  []event
	workers []*worker
	lives   int
	gangs   map[string]*gang
	listens []net.Listener
	// workMS returns how long a task works, and fails whether its run fails then.
	workMS func(task string) int64
	fails  func(task string, run int64) bool
}

type gang struct {
	present map[string]bool
	began   time.Time
	broken  bool
}

func newSite() *site {
	return &site{store: newStore(), jobs: make(map[string]job), gangs: make(map[string]*gang), workMS: func(string) int64 { return 500 }, fails: func(string, int64) bool { return false }}
}

func (s *site) record(w *worker, task string, run int64, what, note string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event{time.Now(), w.id, task, run, what, note})
}

// stepOf returns the step to which a task belongs, as its client sent it.
func (s *site) stepOf(task string) (job, step, bool) {
	p := strings.Split(task, ".")
	s.mu.Lock()
	j, ok := s.jobs[p[0]]
	s.mu.Unlock()
	if !ok || len(p) != 4 {
		return job{}, step{}, false
	}
	i, err := strconv.Atoi(p[2])
	if err != nil || i >= len(j.Steps) {
		return job{}, step{}, false
	}
	return j, j.Steps[i], true
}

// listen serves h at an address until close.
func (s *site) listen(address string, h http.Handler) (string, func()) {
	l, err := net.Listen("tcp", address)
	must(err)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), func() { _ = srv.Close() }
}

// worker is one life of a server.
type worker struct {
	s       *site
	id      string
	machine string
	address string
	rack    string
	rare    bool
	cpu     int64
	mem     int64
	began   time.Time
	close   func()

	mu       sync.Mutex
	dead     bool
	draining bool
	leavesAt time.Time
	fence    int64
	deadline int64
	running  map[string]*run
	highest  map[string]int64
	ended    []end
	lastEnd  int64
	noted    int64
	seq      int64
	changed  chan struct{}
	// failAll makes all runs that start fail, and late makes the next orders unanswered.
	failAll bool
	// busy makes the worker answer 503 to starts.
	busy bool
	// gate may shut the worker off from some nodes.
	gate gate
}

type run struct {
	task     string
	run      int64
	step     step
	began    time.Time
	from     int64
	workMS   int64
	fails    bool
	stopping bool
	gang     string
	pace     int64
}

type end struct {
	n     int64
	task  string
	run   int64
	how   string
	saved string
	at    time.Time
}

func (s *site) addWorker(i int, rack string, cpu, mem int64) *worker {
	w := s.newLife(fmt.Sprintf("m-%04x", i), rack, cpu, mem, "127.0.0.1:0")
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	return w
}

func (s *site) newLife(machine, rack string, cpu, mem int64, address string) *worker {
	s.mu.Lock()
	s.lives++
	w := &worker{s: s, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+uint32(s.lives)*7919), machine: machine, rack: rack, cpu: cpu, mem: mem, began: time.Now(), running: make(map[string]*run), highest: make(map[string]int64), changed: make(chan struct{})}
	s.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serveStart)
	mux.HandleFunc("POST /api/run-stop", w.serveStop)
	mux.HandleFunc("POST /api/pace", w.servePace)
	mux.HandleFunc("POST /api/hold", w.serveHold)
	h := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Switchbank-Expect-Instance"); id != "" && id != w.id {
			writeJSON(rw, http.StatusMisdirectedRequest, map[string]int64{"ClockMs": w.clock()})
			return
		}
		mux.ServeHTTP(rw, r)
	})
	w.address, w.close = s.listen(address, h)
	w.beat()
	go w.loop()
	return w
}

// kind returns the label of the worker's kind.
func (w *worker) kind() string {
	if w.rare {
		return "b"
	}
	return "a"
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() }

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mu.Lock()
	w.seq++
	state, remaining := "ready", int64(0)
	if w.draining {
		state, remaining = "draining", max(1, time.Until(w.leavesAt).Milliseconds())
	}
	e := map[string]any{"Upstream": "core", "Address": w.address, "Zone": "zone-a", "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
		"Capacity": map[string]int64{"Cpu": w.cpu, "MemMb": w.mem, "Gpu": 0}, "Labels": []string{w.kind(), w.rack}, "ClockMs": w.clock(), "born": w.began.UnixMilli(), "Seq": w.seq}
	if remaining > 0 {
		e["RemainingMs"] = remaining
	}
	dead := w.dead
	w.mu.Unlock()
	if !dead {
		w.s.store.put("servers", w.id, e)
	}
}

func (w *worker) loop() {
	next := time.Now().Add(heartbeat)
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		w.advance()
		w.mu.Unlock()
		if time.Now().After(next) {
			next = next.Add(heartbeat)
			w.beat()
		}
	}
}

// crash ends the life without a word. Its entry goes after three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	w.dead = true
	for _, r := range w.running {
		w.s.record(w, r.task, r.run, "crashed", "")
		w.s.leaveGang(r, false)
	}
	clear(w.running)
	w.mu.Unlock()
	w.close()
	time.AfterFunc(3*heartbeat, func() { w.s.store.remove("servers", w.id) })
}

// restart starts a new life on the machine of a crashed worker, under a new ID.
func (s *site) restart(old *worker) *worker {
	w := s.newLife(old.machine, old.rack, old.cpu, old.mem, "127.0.0.1:0")
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.workers {
		if s.workers[i] == old {
			s.workers[i] = w
		}
	}
	return w
}

func (r *run) worked(s *site) int64 {
	if r.gang != "" {
		s.mu.Lock()
		began := s.gangs[r.gang].began
		s.mu.Unlock()
		if began.IsZero() {
			return r.from
		}
		return r.from + time.Since(began).Milliseconds()
	}
	d := time.Since(r.began).Milliseconds()
	if r.from > 0 {
		d = max(0, d-restoreTime.Milliseconds())
	}
	return r.from + d
}

func (r *run) saved(s *site) string {
	if !r.step.Checkpointing {
		return ""
	}
	n := r.worked(s) / saveEvery.Milliseconds() * saveEvery.Milliseconds()
	if n <= r.from && r.from == 0 && n == 0 {
		return ""
	}
	return checkpoint(max(n, r.from))
}

// checkpoint returns a text of the form that the pages show: 16 hex digits.
func checkpoint(ms int64) string { return fmt.Sprintf("%016x", uint64(ms)<<8|0x5b) }

func parseCheckpoint(c string) int64 {
	n, err := strconv.ParseUint(c, 16, 64)
	if err != nil {
		return 0
	}
	return int64(n >> 8)
}

// advance ends the runs whose time has come. The caller holds mu.
func (w *worker) advance() {
	lapsed := w.deadline > 0 && w.clock() > w.deadline
	for _, r := range w.running {
		switch {
		case lapsed:
			w.finish(r, "lapsed")
		case r.gang != "" && w.s.gangBroken(r):
			w.finish(r, "broken")
		case r.gang != "" && w.s.gangAlone(r):
			w.finish(r, "alone")
		case w.failAll && time.Since(r.began) > 20*time.Millisecond, r.fails && r.worked(w.s) >= r.workMS/2:
			w.finish(r, "failed")
		case !r.step.LongRunning && r.worked(w.s) >= r.workMS:
			w.finish(r, "done")
		}
	}
}

// finish ends a run. The caller holds mu.
func (w *worker) finish(r *run, how string) {
	w.lastEnd++
	saved := ""
	if r.step.Checkpointing && how != "done" {
		if saved = r.saved(w.s); how == "stopped" {
			saved = checkpoint(r.worked(w.s))
		}
	}
	w.ended = append(w.ended, end{w.lastEnd, r.task, r.run, how, saved, time.Now()})
	w.highest[r.task] = max(w.highest[r.task], r.run)
	delete(w.running, r.task)
	w.s.leaveGang(r, how == "done")
	w.s.record(w, r.task, r.run, how, "")
	close(w.changed)
	w.changed = make(chan struct{})
}

func gangKey(task string, n int64) string {
	return task[:strings.LastIndexByte(task, '.')] + "/" + strconv.FormatInt(n, 10)
}

func (s *site) joinGang(r *run) {
	r.gang = gangKey(r.task, r.run)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gangs[r.gang]
	if g == nil {
		g = &gang{present: make(map[string]bool)}
		s.gangs[r.gang] = g
	}
	g.present[r.task] = true
	if len(g.present) == r.step.Count && g.began.IsZero() {
		g.began = time.Now()
	}
}

func (s *site) leaveGang(r *run, done bool) {
	if r.gang == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.gangs[r.gang]; !done {
		g.broken = true
	}
}

func (s *site) gangBroken(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gangs[r.gang].broken && !s.gangs[r.gang].began.IsZero()
}

func (s *site) gangAlone(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gangs[r.gang].began.IsZero() && time.Since(r.began) > gangWait
}

type order struct {
	Task       string `json:"Task"`
	Run        int64  `json:"Run"`
	Spec       string `json:"Spec"`
	DeadlineMS int64  `json:"DeadlineMs"`
	Fence      int64  `json:"Fence"`
	Checkpoint string `json:"Checkpoint"`
	LastSeen   int64  `json:"LastSeen"`
	WaitMS     int64  `json:"WaitMs"`
	Percent    int64  `json:"percent"`
}

func (w *worker) readOrder(rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return o, false
	}
	if !w.gate.allows(o.Fence) {
		hold(r.Context())
	}
	return o, true
}

func (w *worker) answer(rw http.ResponseWriter, reason string) {
	v := map[string]any{"ClockMs": w.clock()}
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
		v["Reason"] = reason
	}
	writeJSON(rw, status, v)
}

// extend takes the deadline of an order. The caller holds mu.
func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.readOrder(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if w.busy {
		w.mu.Unlock()
		w.s.record(w, o.Task, o.Run, "rejected", "503")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reason := w.start(o)
	w.mu.Unlock()
	if reason != "" {
		w.s.record(w, o.Task, o.Run, "rejected", reason)
	}
	w.answer(rw, reason)
}

// start starts a run, or returns why not. The caller holds mu.
func (w *worker) start(o order) string {
	if o.Fence < w.fence {
		return "fence"
	}
	w.fence = o.Fence
	if o.DeadlineMS < w.clock() {
		return "late"
	}
	w.extend(o.DeadlineMS)
	if t := w.running[o.Task]; t != nil && t.run == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] || w.running[o.Task] != nil {
		return "old"
	}
	j, st, ok := w.s.stepOf(o.Task)
	if !ok || j.Spec != o.Spec {
		w.s.record(w, o.Task, o.Run, "unasked", o.Spec)
		return "room"
	}
	t := &run{task: o.Task, run: o.Run, step: st, began: time.Now(), from: parseCheckpoint(o.Checkpoint), workMS: w.s.workMS(o.Task), fails: w.s.fails(o.Task, o.Run), pace: 100}
	w.running[o.Task] = t
	if st.Gang {
		w.s.joinGang(t)
	}
	w.s.record(w, o.Task, o.Run, "start", o.Checkpoint)
	var cpu, mem int64
	for _, r := range w.running {
		if !r.step.Fills {
			cpu += r.step.CPU
		}
		mem += r.step.MemMB
	}
	if cpu > w.cpu || mem > w.mem {
		w.s.record(w, o.Task, o.Run, "over", fmt.Sprintf("cpu %d of %d, memory %d of %d", cpu, w.cpu, mem, w.mem))
	}
	return ""
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.readOrder(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if o.Fence < w.fence {
		w.mu.Unlock()
		w.answer(rw, "fence")
		return
	}
	w.fence = o.Fence
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if t := w.running[o.Task]; t != nil && t.run <= o.Run && !t.stopping {
		t.stopping = true
		time.AfterFunc(stopTakes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.dead && w.running[t.task] == t {
				w.finish(t, "stopped")
			}
		})
	}
	w.mu.Unlock()
	w.answer(rw, "")
}

func (w *worker) servePace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.readOrder(rw, r); ok {
		w.answer(rw, "")
	}
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.readOrder(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		w.answer(rw, "fence")
		return
	}
	w.fence = o.Fence
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	for _, e := range w.ended {
		if e.n <= o.LastSeen {
			w.s.record(w, e.task, e.run, "noted", e.how)
		}
	}
	w.noted = max(w.noted, o.LastSeen)
	w.ended = slices.DeleteFunc(w.ended, func(e end) bool { return e.n <= o.LastSeen })
	until := time.After(min(time.Duration(o.WaitMS)*time.Millisecond, maxHoldWait))
	for waiting := o.WaitMS > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range w.running {
		percent := int64(100)
		if !t.step.LongRunning {
			percent = min(100, 100*t.worked(w.s)/max(1, t.workMS))
		}
		running = append(running, []any{t.task, t.run, t.saved(w.s), percent, t.step.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	if !w.gate.allows(o.Fence) {
		panic(http.ErrAbortHandler) // The partition has begun meanwhile.
	}
	writeJSON(rw, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.began.UnixMilli(), "Running": running, "Ended": ended})
}

// serveMachines lists the machines.
func (s *site) serveMachines(rw http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	workers := slices.Clone(s.workers)
	s.mu.Unlock()
	list := []map[string]any{}
	for _, w := range workers {
		w.mu.Lock()
		m := map[string]any{"machine": w.machine, "pool": "core", "State": "up", "Zone": "zone-a", "Labels": []string{w.kind(), w.rack},
			"Capacity": map[string]int64{"Cpu": w.cpu, "MemMb": w.mem, "Gpu": 0}, "Id": w.id}
		if w.dead {
			m["State"], m["Id"] = "down", ""
		}
		w.mu.Unlock()
		list = append(list, m)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"Machines": list, "NextToken": nil})
}

// drain makes the worker announce that it is draining, and leave after d.
func (w *worker) drain(d time.Duration) {
	w.mu.Lock()
	w.draining, w.leavesAt = true, time.Now().Add(d)
	time.AfterFunc(d, w.leave)
	w.mu.Unlock()
	w.beat()
}

// leave ends a worker that has drained: all that still runs there ends, and its machine goes with it.
func (w *worker) leave() {
	w.mu.Lock()
	w.dead = true
	for _, r := range w.running {
		w.s.record(w, r.task, r.run, "left", "")
		w.s.leaveGang(r, false)
	}
	clear(w.running)
	w.mu.Unlock()
	w.close()
	w.s.store.remove("servers", w.id)
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	w.s.workers = slices.DeleteFunc(w.s.workers, func(o *worker) bool { return o == w })
}
