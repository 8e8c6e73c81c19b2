// SPDX-License-Identifier: Apache-2.0

// Package worker is a small stand-in for a worker, for tests and for the local run. It
// keeps the worker's side of the protocol with the nodes and records an event for each
// start, end, request and refusal, from which tests check the scheduler's guarantees.
//
// A task's command says what the task does: "sleep 200ms" succeeds after that time,
// "fail" fails at once, and "serve" answers requests until the task is stopped.
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

// Config describes a stand-in worker and its faults.
type Config struct {
	ID       string
	Capacity resource.Amount
	// Listen opens the listener of an instance.
	Listen func() (net.Listener, error)
	// FailAll makes every task fail.
	FailAll bool
	// SwapAnswers answers a request with the answer to the previous one.
	SwapAnswers bool
	// IgnoreTickets accepts starts and renewals without checking the ticket, to prove that
	// the tests detect the missing check.
	IgnoreTickets bool
	// IgnoreEpochs accepts contacts of a stale epoch, to prove that the tests detect the
	// missing check.
	IgnoreEpochs bool
}

// Worker is a stand-in worker.
type Worker struct {
	cfg         Config
	incarnation string
	// clockStart is the zero of clock. It lies a second before the worker's start, so that
	// clock is never 0, which stands for a missing ticket.
	clockStart time.Time
	events     EventLog

	mu      sync.Mutex
	epoch   int64
	owner   string
	leaving bool
	tasks   map[worker.Attempt]*task
	ended   map[worker.Attempt]worker.Ended
	// usedAttempts are the attempts that were started or stopped and may not start again.
	usedAttempts map[worker.Attempt]bool
	// seq counts the tasks that have ended; changed is closed and replaced whenever seq rises.
	seq     int64
	changed chan struct{}
}

type task struct {
	spec       worker.Spec
	address    string
	expires    time.Time
	started    time.Time
	leaseTimer *time.Timer
	// finish ends the task after the time that its command asks for; nil for "serve".
	finish *time.Timer
	// instance serves the requests of a service's task; nil for others.
	instance *instance
}

// New returns a worker that runs no tasks.
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

// SetLeaving sets whether the worker reports that it is leaving and refuses new tasks.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// SetFailAll sets whether every task that starts from now on fails.
func (w *Worker) SetFailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.FailAll = fail
}

// SetSwapAnswers sets whether instances answer a request with the answer to the previous one.
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

// Close stops every task, as the end of the worker's process would.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for a := range w.tasks {
		w.endLocked(a, worker.ResultStopped, "worker closed")
	}
}

// Contact carries out a node's orders and reports. A contact with a wait is held until a
// task that the node has not seen yet ends, or until the wait is over.
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

// handleContact carries out a node's orders and reports without waiting.
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

// usageDelay is the time after a task's start from which its usage is reported.
const usageDelay = 2 * time.Second

// usage returns what a task with the command "sleep 1h use 3000" uses: 3000 thousandths of
// a core, and the rest of its size in full.
func (t *task) usage() (resource.Amount, bool) {
	const words = 4
	if len(t.spec.Command) != words || time.Since(t.started) < usageDelay {
		return resource.Amount{}, false
	}
	milli, err := strconv.ParseInt(t.spec.Command[words-1], 10, 64)
	return resource.Amount{CPUMilli: milli, MemoryMB: t.spec.Size.MemoryMB, Accelerators: t.spec.Size.Accelerators}, err == nil
}

// clock returns the time of the worker's own clock in nanoseconds, which the worker hands
// out as a ticket; it is never 0.
func (w *Worker) clock() int64 { return int64(time.Since(w.clockStart)) }

// expiry returns when a lease that c grants ends. It counts from the ticket's time, so
// that a contact delayed on the way does not extend the lease.
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

// refuseLocked returns why a task must not start, or "" if it may.
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

// runLocked carries out a task's command: it schedules the end of the task.
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

// expireLease ends a task whose lease has expired. The lease may have been renewed after
// its timer fired; then the timer is set again.
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
	w.endLocked(a, worker.ResultLeaseExpired, "the lease lapsed")
}

// stopLocked stops an attempt. One that has not started yet may not start later: its start
// may still be under way.
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
		// The worker was paused beyond the lease: the task counts as ended when the lease expired.
		result, reason, at = worker.ResultLeaseExpired, "the lease lapsed", t.expires
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

// leaseValid reports whether a task runs under a valid lease. It is checked before each
// request runs, since the timer of the lease may fire late after a pause of the worker.
func (w *Worker) leaseValid(a worker.Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[a]
	return ok && time.Now().Before(t.expires)
}

// Running returns the number of running tasks.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// Events returns the events recorded so far.
func (w *Worker) Events() []Event { return w.events.all() }

// Serve serves the worker's HTTP API on l until ctx ends, and then closes the worker.
func (w *Worker) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: w.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close(); w.Close() })
	defer stop()
	return srv.Serve(l)
}
