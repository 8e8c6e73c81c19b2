// SPDX-License-Identifier: Apache-2.0

package site

import (
	"slices"
	"strconv"
	"sync"
	"time"
)

// WorkerConfig describes a worker.
type WorkerConfig struct {
	Rack string
	// DataCentre is where the worker is; "": in "dc".
	DataCentre string
	// Label is an additional label beside those of the kind and the rack; "": none.
	Label    string
	CPUMilli int64
	MemoryMB int64
	// Service is the name of the worker's pool; "": that of the site.
	Service string
	// ReportStartTime makes the worker report when its incarnation started, in its directory
	// entry and in its answers to holds.
	ReportStartTime bool
}

// Worker is one incarnation of a stand-in worker. The Spec of a job says how its tasks
// behave: "MS" (done after MS milliseconds), "MS failing" (failed after half of that) or "MS
// lasting" (running until stopped), followed by any of "cpu=N" (the processor capacity that a
// task takes), "fails_after=MS" (the mean time after which a lasting task fails),
// "gang=STEP:MEMBERS", "crashes_after=MS" (the time after which a task crashes its worker)
// and "crashing=INDEX" (only the tasks with that index do).
type Worker struct {
	ID        string
	Address   string
	machine   string
	site      *Site
	cfg       WorkerConfig
	index     int
	stop      func()
	startedAt time.Time
	// startTime is the start time of this incarnation by the clock of its host, in Unix
	// milliseconds; 0: the worker doesn't report it.
	startTime int64

	mu       sync.Mutex
	fence    int64
	deadline int64
	running  map[string]*taskRun
	// finishedRuns holds for each task the highest run that has ended or was stopped here.
	finishedRuns map[string]int64
	ended        []runEnd
	// lastEnd is the number of the latest end, confirmedEnd the highest one that was confirmed.
	lastEnd      int64
	confirmedEnd int64
	changed      chan struct{}
	// expiredAt is when the lease was last found to have expired.
	expiredAt  time.Time
	terminated bool
	draining   bool
	// removed is set once the worker has left the directory for good.
	removed bool
	// paused is set while the worker's announcements are paused.
	paused bool
	faults WorkerFaults
	// failNewRuns is set while all new runs fail.
	failNewRuns bool
	// soundness holds when the worker became sound or unsound: it ended, drained, left the directory
	// or had a fault.
	soundness []soundChange
}

// soundChange is a time from which on work should, or shouldn't, start on a worker.
type soundChange struct {
	at    time.Time
	sound bool
}

// WorkerFaults are the faults that a worker simulates.
type WorkerFaults struct {
	// Late is how many of the next starts get no answer and take effect only after LateBy.
	Late   int
	LateBy time.Duration
	// Stuck: tasks make no progress. FailAll: all tasks other than long-running ones fail at
	// once.
	Stuck   bool
	FailAll bool
	// CheckpointBytes is by how much checkpoints are longer than usual.
	CheckpointBytes int
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
	s.allIncarnations = append(s.allIncarnations, w)
	return w
}

// incarnationsSoFar returns all incarnations of workers that were started.
func (s *Site) incarnationsSoFar() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.allIncarnations)
}

// recordSoundness records whether work should start on the worker from now on. The caller holds mu.
func (w *Worker) recordSoundness() {
	sound := !w.terminated && !w.draining && !w.removed && !w.failNewRuns && w.faults == (WorkerFaults{})
	w.soundness = append(w.soundness, soundChange{time.Now(), sound})
}

// isSoundAt reports whether work should start on the worker at a time, since it has been sound for
// workerSettleTime.
func (w *Worker) isSoundAt(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := soundChange{w.startedAt, true}
	for _, c := range w.soundness {
		if !c.at.After(at) {
			last = c
		}
	}
	return last.sound && at.Sub(last.at) >= workerSettleTime
}

// Restart starts a new incarnation on the machine of a crashed worker, under a new ID.
func (s *Site) Restart(old *Worker) *Worker { return s.restart(old, s.newIncarnation) }

// RestartSameID starts a new incarnation on the machine of a crashed worker, under the same
// ID. The clock of its host has meanwhile been shifted by clockShift.
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

// ReportsStartTime reports whether the worker reports its start time. One that doesn't must
// not restart under the same ID.
func (w *Worker) ReportsStartTime() bool { return w.cfg.ReportStartTime }

const (
	// announceInterval is how often a worker announces itself.
	announceInterval = 1500 * time.Millisecond
	// drainDuration is the remaining time that a draining worker announces.
	drainDuration = 5 * time.Second
)

func (w *Worker) start() {
	w.stop = w.site.cfg.Serve(w.Address, w.handler())
	w.announce()
	go w.loop()
}

// loop announces the worker and ends due runs until the worker is stopped.
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

// Drain makes the worker announce that it is draining.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.recordSoundness()
	w.mu.Unlock()
	w.announce()
}

// RemoveFromDirectory deletes the worker's entry, as if the worker had left without draining.
// The worker keeps serving, but doesn't announce itself any more.
func (w *Worker) RemoveFromDirectory() {
	w.mu.Lock()
	w.removed = true
	w.recordSoundness()
	w.mu.Unlock()
	w.site.Store.Remove("servers", w.ID)
}

// Crash ends the incarnation: all its runs end, and its entry is removed from the directory.
func (w *Worker) Crash() {
	w.mu.Lock()
	if w.terminated {
		w.mu.Unlock()
		return
	}
	w.crashLocked()
	w.mu.Unlock()
	w.leave()
}

// crashLocked ends all runs. The caller holds mu.
func (w *Worker) crashLocked() {
	w.terminated = true
	w.recordSoundness()
	for _, t := range w.running {
		if t.inGang {
			w.site.leaveGang(t, false)
		}
		w.site.record(w, t.task, t.run, EventEnd, w.fence)
	}
	clear(w.running)
}

// leave makes a crashed worker unreachable and removes its entry.
func (w *Worker) leave() {
	w.stop()
	w.site.Store.Remove("servers", w.ID)
}

// crashUnder crashes the worker if a run that crashes it is still there.
func (w *Worker) crashUnder(t *taskRun) {
	w.mu.Lock()
	if w.terminated || w.running[t.task] != t {
		w.mu.Unlock()
		return
	}
	w.site.record(w, t.task, t.run, EventCrash, w.fence)
	w.crashLocked()
	w.mu.Unlock()
	w.leave()
	if w.site.cfg.CrashedByTask != nil {
		w.site.cfg.CrashedByTask(w)
	}
}

// Stop stops the worker at the end of a test, without recording events.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.terminated = true
	w.recordSoundness()
	w.mu.Unlock()
	w.stop()
}

// Crashed reports whether the worker has crashed or was stopped.
func (w *Worker) Crashed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.terminated
}

// SetFaults replaces the faults in force. Stuck applies to the tasks that run already, too.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	w.recordSoundness()
	for _, t := range w.running {
		t.stuck = f.Stuck
	}
}

// SetFailNewRuns makes all runs that start from now on fail at once, including those of
// long-running tasks. Earlier runs and other faults aren't affected.
func (w *Worker) SetFailNewRuns(fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failNewRuns = fails
	w.recordSoundness()
}

// RunningTasks returns the number of tasks that run on the worker.
func (w *Worker) RunningTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

func (w *Worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() }
