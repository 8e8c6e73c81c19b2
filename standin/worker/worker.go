// SPDX-License-Identifier: Apache-2.0

// Package worker is a small stand-in for a worker, for tests and for the local
// run: it keeps the worker's side of the contract and records what it saw.
//
// A task's command says what it does: "sleep 200ms" ends well after that
// time, "fail" ends badly at once, "serve" answers requests until stopped.
//
// # Usage
//
//	w := worker.New(worker.Config{ID: "w1", Capacity: …, Listen: listenTCP})
//	http.Serve(l, w.Handler())
package worker

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/worker"
)

// Config says what the stand-in is.
type Config struct {
	ID       string
	Capacity resource.Amount
	// Listen opens a listener for an instance.
	Listen func() (net.Listener, error)
	// FailAll makes every task fail.
	FailAll bool
	// SwapAnswers gives every other request the answer to the one before it.
	SwapAnswers bool
	// IgnoreTickets switches a guard off, to show that tests see it.
	IgnoreTickets bool
	// IgnoreEpochs switches a guard off, to show that tests see it.
	IgnoreEpochs bool
}

// Worker is the stand-in.
type Worker struct {
	cfg         Config
	incarnation string
	clockStart  time.Time
	events      EventLog

	mu           sync.Mutex
	epoch        int64
	owner        string
	leaving      bool
	tasks        map[worker.Attempt]*task
	ended        map[worker.Attempt]worker.Ended
	usedAttempts map[worker.Attempt]bool
	// seq counts the tasks that have ended; changed is closed and replaced with it.
	seq     int64
	changed chan struct{}
}

type task struct {
	spec       worker.Spec
	address    string
	expires    time.Time
	started    time.Time
	leaseTimer *time.Timer
	finish     *time.Timer
	instance   *instance
}

// New returns a worker that runs nothing.
func New(cfg Config) *Worker {
	return &Worker{
		cfg:          cfg,
		incarnation:  rand.Text(),
		clockStart:   time.Now().Add(-time.Second),
		tasks:        make(map[worker.Attempt]*task),
		ended:        make(map[worker.Attempt]worker.Ended),
		usedAttempts: make(map[worker.Attempt]bool),
		changed:      make(chan struct{}),
	}
}

// SetLeaving makes the worker say that it is leaving.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// SetFailAll makes every task that starts from now on fail.
func (w *Worker) SetFailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.FailAll = fail
}

// SetSwapAnswers makes instances give every other request the answer to the one before it.
func (w *Worker) SetSwapAnswers(swap bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.SwapAnswers = swap
}

func (w *Worker) swapAnswers() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cfg.SwapAnswers
}

// Close stops every task, as a worker that dies does.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for a := range w.tasks {
		w.endLocked(a, worker.ResultStopped, "worker closed")
	}
}

// Contact carries out what a node sent.
func (w *Worker) Contact(ctx context.Context, c worker.Contact) (worker.Report, error) {
	rep := w.handleContact(c)
	if c.WaitMS == 0 || rep.Refused != "" {
		return rep, nil
	}
	t := time.NewTimer(time.Duration(c.WaitMS) * time.Millisecond)
	defer t.Stop()
	for {
		w.mu.Lock()
		ready, changed := w.seq > c.Seen, w.changed
		w.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-changed:
			continue
		case <-t.C:
		case <-ctx.Done():
		}
		break
	}
	return w.handleContact(worker.Contact{Epoch: c.Epoch}), nil
}

// contact carries out what a node sent, and reports at once.
func (w *Worker) handleContact(c worker.Contact) worker.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Epoch < w.epoch && !w.cfg.IgnoreEpochs {
		return worker.Report{Worker: w.cfg.ID, Incarnation: w.incarnation, Epoch: w.epoch, Refused: worker.RefusedStaleEpoch}
	}
	if c.Owner != "" && (c.Epoch != w.epoch || c.Owner != w.owner) {
		w.events.append(Event{Worker: w.cfg.ID, Kind: EventNewOwner, Shard: c.Shard, Owner: c.Owner, Epoch: c.Epoch, At: time.Now()})
		w.owner = c.Owner
	}
	w.epoch = max(w.epoch, c.Epoch)
	for _, a := range c.Ack {
		delete(w.ended, a)
	}
	for _, a := range c.Checkpoint {
		w.events.record(w.cfg.ID, EventCheckpoint, a)
	}
	for _, a := range c.Throttle {
		w.events.record(w.cfg.ID, EventThrottle, a)
	}
	for _, a := range c.Stop {
		w.stopLocked(a)
	}
	if c.Renew {
		w.renewLocked(c)
	}
	rep := worker.Report{Worker: w.cfg.ID, Incarnation: w.incarnation, Epoch: w.epoch, Ticket: w.clock(), Seq: w.seq, Leaving: w.leaving}
	for _, spec := range c.Start {
		rep.Started = append(rep.Started, w.startLocked(spec, c))
	}
	if c.Inventory {
		for _, t := range w.tasks {
			rep.Running = append(rep.Running, worker.Running{Spec: t.spec, Address: t.address})
		}
	}
	for _, t := range w.tasks {
		if used, ok := t.usage(); ok {
			rep.Usage = append(rep.Usage, worker.Usage{Attempt: t.spec.Attempt, Used: used})
		}
	}
	for _, e := range w.ended {
		rep.Ended = append(rep.Ended, e)
	}
	return rep
}

// usageLag is how long it takes until usage is reported.
const usageDelay = 2 * time.Second

// usage is what a task "sleep 1h use 3000" uses: so many thousandths of a core.
func (t *task) usage() (resource.Amount, bool) {
	const words = 4
	if len(t.spec.Command) != words || time.Since(t.started) < usageDelay {
		return resource.Amount{}, false
	}
	milli, err := strconv.ParseInt(t.spec.Command[words-1], 10, 64)
	return resource.Amount{CPUMilli: milli, MemoryMB: t.spec.Size.MemoryMB, Accelerators: t.spec.Size.Accelerators}, err == nil
}

// clock is the worker's own clock, in nanoseconds; it is never 0.
func (w *Worker) clock() int64 { return int64(time.Since(w.clockStart)) }

func (w *Worker) expiry(c worker.Contact) time.Time {
	if w.cfg.IgnoreTickets {
		return time.Now().Add(time.Duration(c.LeaseMS) * time.Millisecond)
	}
	return w.clockStart.Add(time.Duration(c.Ticket) + time.Duration(c.LeaseMS)*time.Millisecond)
}

func (w *Worker) renewLocked(c worker.Contact) {
	expires := w.expiry(c)
	for a, t := range w.tasks {
		if expires.After(t.expires) && !slices.Contains(c.Except, a) {
			t.expires = expires
			t.leaseTimer.Reset(time.Until(expires))
		}
	}
}

func (w *Worker) startLocked(spec worker.Spec, c worker.Contact) worker.Started {
	a := spec.Attempt
	if t, ok := w.tasks[a]; ok {
		return worker.Started{Attempt: a, Address: t.address}
	}
	if refusal := w.refuseLocked(spec, c); refusal != "" {
		return worker.Started{Attempt: a, Refused: refusal}
	}
	t := &task{spec: spec, expires: w.expiry(c), started: time.Now()}
	if spec.Service != "" {
		inst, err := newInstance(w, spec)
		if err != nil {
			return worker.Started{Attempt: a, Refused: worker.RefusedNoRoom}
		}
		t.instance, t.address = inst, inst.address()
	}
	w.tasks[a] = t
	w.usedAttempts[a] = true
	w.events.record(w.cfg.ID, EventStart, a)
	t.leaseTimer = time.AfterFunc(time.Until(t.expires), func() { w.expireLease(a) })
	w.runLocked(t)
	return worker.Started{Attempt: a, Address: t.address}
}

func (w *Worker) refuseLocked(spec worker.Spec, c worker.Contact) worker.Refusal {
	if !w.cfg.IgnoreTickets && (c.Ticket == 0 || !time.Now().Before(w.expiry(c))) {
		return worker.RefusedStaleTicket
	}
	if w.usedAttempts[spec.Attempt] {
		return worker.RefusedStopped
	}
	if w.leaving {
		return worker.RefusedLeaving
	}
	used := spec.Size
	for _, t := range w.tasks {
		used = used.Add(t.spec.Size)
	}
	if !w.cfg.Capacity.Fits(used) {
		w.events.record(w.cfg.ID, EventOverload, spec.Attempt)
		return worker.RefusedNoRoom
	}
	return ""
}

func (w *Worker) runLocked(t *task) {
	a, action, arg := t.spec.Attempt, "sleep", "0s"
	if len(t.spec.Command) > 0 {
		action = t.spec.Command[0]
	}
	if len(t.spec.Command) > 1 {
		arg = t.spec.Command[1]
	}
	if w.cfg.FailAll {
		action = "fail"
	}
	switch action {
	case "serve":
	case "fail":
		t.finish = time.AfterFunc(0, func() { w.endTask(a, worker.ResultFailed, "the command failed") })
	default:
		d, err := time.ParseDuration(arg)
		if err != nil {
			t.finish = time.AfterFunc(0, func() { w.endTask(a, worker.ResultFailed, "the command is not known") })
			return
		}
		t.finish = time.AfterFunc(d, func() { w.endTask(a, worker.ResultDone, "") })
	}
}

func (w *Worker) endTask(a worker.Attempt, result worker.Result, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked(a, result, reason)
}

func (w *Worker) expireLease(a worker.Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[a]
	if !ok {
		return
	}
	if left := time.Until(t.expires); left > 0 {
		t.leaseTimer.Reset(left)
		return
	}
	w.endLocked(a, worker.ResultLapsed, "the lease lapsed")
}

func (w *Worker) stopLocked(a worker.Attempt) {
	w.usedAttempts[a] = true
	if _, ok := w.tasks[a]; ok {
		w.endLocked(a, worker.ResultStopped, "stopped by its owner")
	}
}

func (w *Worker) endLocked(a worker.Attempt, result worker.Result, reason string) {
	t, ok := w.tasks[a]
	if !ok {
		return
	}
	at := time.Now()
	if at.After(t.expires) {
		// The worker was paused: what ends now was not allowed to run any more.
		result, reason, at = worker.ResultLapsed, "the lease lapsed", t.expires
	}
	delete(w.tasks, a)
	t.leaseTimer.Stop()
	if t.finish != nil {
		t.finish.Stop()
	}
	if t.instance != nil {
		t.instance.close()
	}
	w.ended[a] = worker.Ended{Attempt: a, Result: result, Reason: reason}
	w.seq++
	close(w.changed)
	w.changed = make(chan struct{})
	w.events.append(Event{Worker: w.cfg.ID, Kind: endEventKind(result), Attempt: a, At: at})
}

// leased reports whether a task runs and its lease has not lapsed, which is
// checked before each effect: a worker that was paused may find it over.
func (w *Worker) leaseValid(a worker.Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[a]
	return ok && time.Now().Before(t.expires)
}

// Running returns how many tasks run now.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// Events returns what the worker saw so far.
func (w *Worker) Events() []Event { return w.events.all() }

// Serve answers contacts on l until ctx ends.
func (w *Worker) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: w.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close(); w.Close() })
	defer stop()
	return srv.Serve(l)
}
