// SPDX-License-Identifier: Apache-2.0

package site

import (
	"strconv"
	"sync"
	"time"
)

// WorkerConfig is what a worker has.
type WorkerConfig struct {
	Rack string
	// Label is carried beside the kind and the rack; "": none.
	Label    string
	CPUMilli int64
	MemoryMB int64
	// Service is the worker's pool; "": the site's.
	Service string
	// ReportStartTime lets the worker tell when its life began, in its entry and its lists of runs.
	ReportStartTime bool
}

// Worker is one life of a stand-in worker. The Spec of a job tells how its tasks
// run: "MS", "MS failing" (halfway) or "MS lasting" (until it is stopped); the
// step's room is read from "cpu=N" behind it.
type Worker struct {
	ID        string
	Address   string
	machine   string
	site      *Site
	cfg       WorkerConfig
	index     int
	stop      func()
	startedAt time.Time
	// startTime is the time of day at the start of this life, in Unix milliseconds, as its
	// host's clock has it; 0: it doesn't tell.
	startTime int64

	mu       sync.Mutex
	fence    int64
	deadline int64
	running  map[string]*taskRun
	// finishedRuns holds the highest run of a task that ended or was stopped here.
	finishedRuns map[string]int64
	ended        []runEnd
	lastEnd      int64
	confirmedEnd int64
	changed      chan struct{}
	// lapsedAt is when the lease was last seen to be over.
	lapsedAt   time.Time
	terminated bool
	draining   bool
	// removed is set once it leaves without a word.
	removed bool
	// paused is set while the worker doesn't announce itself, and its entry stays.
	paused bool
	faults WorkerFaults
	// failNewRuns is set while all that starts here fails.
	failNewRuns bool
}

// WorkerFaults are the ways in which a worker can fail.
type WorkerFaults struct {
	// Late is how many of the next starts are not answered and done after LateBy.
	Late   int
	LateBy time.Duration
	// Stuck tasks make no progress, FailAll tasks fail at once.
	Stuck   bool
	FailAll bool
}

// AddWorker adds a worker on a machine of its own.
func (s *Site) AddWorker(cfg WorkerConfig) *Worker {
	s.mu.Lock()
	n := len(s.workers)
	w := s.newIncarnation(cfg, n)
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	w.start()
	return w
}

func (s *Site) newIncarnation(cfg WorkerConfig, index int) *Worker {
	s.incarnations++
	w := &Worker{
		ID: "i-" + strconv.Itoa(s.incarnations), Address: s.cfg.WorkerAddress(index), machine: "m-" + strconv.Itoa(index), site: s, cfg: cfg, index: index,
		running: make(map[string]*taskRun), finishedRuns: make(map[string]int64), changed: make(chan struct{}), startedAt: time.Now(),
	}
	if cfg.ReportStartTime {
		w.startTime = w.startedAt.UnixMilli()
	}
	return w
}

// Restart begins a new life on the machine of a crashed worker, under a new ID.
func (s *Site) Restart(old *Worker) *Worker { return s.restart(old, s.newIncarnation) }

// RestartSameID begins a new life on the machine of a crashed worker under the ID that it had. Its
// host's clock may have been set meanwhile, by that much.
func (s *Site) RestartSameID(old *Worker, clockShift time.Duration) *Worker {
	return s.restart(old, func(cfg WorkerConfig, n int) *Worker {
		w := s.newIncarnation(cfg, n)
		w.ID = old.ID
		if cfg.ReportStartTime {
			w.startTime += clockShift.Milliseconds()
			if w.startTime == old.startTime {
				w.startTime++
			}
		}
		return w
	})
}

func (s *Site) restart(old *Worker, next func(WorkerConfig, int) *Worker) *Worker {
	s.mu.Lock()
	w := next(old.cfg, old.index)
	s.workers[old.index] = w
	s.mu.Unlock()
	w.start()
	return w
}

// ReportsStartTime reports whether the worker tells when its life began. One that doesn't never has
// its ID again.
func (w *Worker) ReportsStartTime() bool { return w.cfg.ReportStartTime }

const (
	// announceInterval is how often a worker announces itself.
	announceInterval = 1500 * time.Millisecond
	// drainDuration is the time that a draining worker says is left to it.
	drainDuration = 5 * time.Second
)

func (w *Worker) start() {
	w.stop = w.site.cfg.Serve(w.Address, w.handler())
	w.announce()
	go w.loop()
}

// loop beats, and ends what is due.
func (w *Worker) loop() {
	const tick = 50 * time.Millisecond
	for next := time.Now().Add(announceInterval); !w.Crashed(); {
		time.Sleep(tick)
		w.mu.Lock()
		w.endDueRuns()
		w.mu.Unlock()
		if now := time.Now(); now.After(next) {
			next = now.Add(announceInterval)
			w.announce()
		}
	}
}

// Drain announces that the worker leaves.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.announce()
}

// RemoveFromDirectory lets the worker's entry go, as of one that leaves without saying so: it
// serves on, but announces itself no more.
func (w *Worker) RemoveFromDirectory() {
	w.mu.Lock()
	w.removed = true
	w.mu.Unlock()
	w.site.Store.Remove("servers", w.ID)
}

// Crash ends the life: nothing runs there any more, and the directory drops it.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.terminated = true
	for _, t := range w.running {
		if t.inGang {
			w.site.leaveGang(t, false)
		}
		w.site.record(w, t.task, t.run, EventEnd, w.fence)
	}
	clear(w.running)
	w.mu.Unlock()
	w.stop()
	w.site.Store.Remove("servers", w.ID)
}

// Stop ends the worker's process, at the end of a test.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.terminated = true
	w.mu.Unlock()
	w.stop()
}

// Crashed reports whether the life is over.
func (w *Worker) Crashed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.terminated
}

// SetFaults replaces the faults in force; tasks that run get stuck or go on.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	for _, t := range w.running {
		t.stuck = f.Stuck
	}
}

// SetFailNewRuns lets all that starts from now on fail at once, also tasks that last, and
// leaves alone what runs already; other faults go on beside it.
func (w *Worker) SetFailNewRuns(fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failNewRuns = fails
}

// RunningTasks returns how many tasks run.
func (w *Worker) RunningTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

func (w *Worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() }
