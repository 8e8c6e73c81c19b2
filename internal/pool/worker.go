// SPDX-License-Identifier: Apache-2.0

package pool

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/platform"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/worker"
)

const (
	// failedJobsUntilSetAside is how many unlike jobs must fail in a row on a worker before it is set aside.
	failedJobsUntilSetAside = 3
	maxSetAsideTime         = 10 * time.Minute
)

// workerState is what the pool knows of one worker; it is guarded by the pool's lock.
type workerState struct {
	host        platform.Host
	incarnation string
	ticket      int64
	// lastSeq is the highest Seq that the worker has reported.
	lastSeq int64
	// fenced is set once the worker has answered under the pool's epoch.
	fenced bool
	// leaving workers take nothing new; gone ones are no longer in the host list.
	leaving bool
	gone    bool
	// silent workers have not answered for a lease; they get no renewal.
	silent bool
	// superseded is set when the worker has seen a higher epoch than the pool's.
	superseded bool
	// needsInventory asks for every task at the next contact.
	needsInventory bool
	// answeredAt is when the worker last answeredAt, and renewed when it was last
	// sent something that may extend a lease.
	answeredAt time.Time
	renewedAt  time.Time

	used resource.Amount
	// teamUsage is what the teamUsage use on all workers of the pool.
	teamUsage  map[string]resource.Amount
	tasksByJob map[string]int
	tasks      map[worker.Attempt]*task
	stops      []worker.Attempt
	// checkpoints and throttles go out once; a lost one is not repeated.
	checkpoints []worker.Attempt
	throttles   []worker.Attempt
	acks        []worker.Attempt
	// ackedTasks are the ended tasks that are journalled and that the worker may
	// still report, until it has taken the acknowledgement.
	ackedTasks map[worker.Attempt]bool
	wake       chan struct{}

	// failedJobs holds the jobs that failedJobs here since the last success.
	failedJobs    []string
	setAsideUntil time.Time
	setAsideTime  time.Duration
	probing       bool
}

func newWorkerState(h platform.Host, teams map[string]resource.Amount) *workerState {
	return &workerState{
		host: h, needsInventory: true, answeredAt: time.Now(), teamUsage: teams,
		tasksByJob: make(map[string]int),
		tasks:      make(map[worker.Attempt]*task), ackedTasks: make(map[worker.Attempt]bool),
		wake: make(chan struct{}, 1),
	}
}

func (w *workerState) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// addTaskLocked takes the room of t.
func (w *workerState) addTaskLocked(t *task) {
	if _, ok := w.tasks[t.spec.Attempt]; ok {
		return
	}
	w.tasks[t.spec.Attempt] = t
	w.addUsageLocked(t.spec.Team, t.allocation())
	w.tasksByJob[t.spec.Attempt.Job]++
}

// addUsageLocked counts room as taken by a team; a negative amount gives it back.
func (w *workerState) addUsageLocked(team string, room resource.Amount) {
	w.used = w.used.Add(room)
	if w.teamUsage[team] = w.teamUsage[team].Add(room); w.teamUsage[team] == (resource.Amount{}) {
		delete(w.teamUsage, team)
	}
}

// removeTaskLocked gives the room of t back.
func (w *workerState) removeTaskLocked(t *task) {
	if _, ok := w.tasks[t.spec.Attempt]; !ok {
		return
	}
	delete(w.tasks, t.spec.Attempt)
	w.addUsageLocked(t.spec.Team, resource.Amount{}.Sub(t.allocation()))
	if w.tasksByJob[t.spec.Attempt.Job]--; w.tasksByJob[t.spec.Attempt.Job] <= 0 {
		delete(w.tasksByJob, t.spec.Attempt.Job)
	}
}

// schedulableLocked reports whether the worker may be given new tasks.
func (w *workerState) schedulableLocked(now time.Time) bool {
	if !w.fenced || !w.acceptsRequests() {
		return false
	}
	if w.setAsideUntil.IsZero() {
		return true
	}
	// A worker that was set aside comes back with one task as a probe.
	return now.After(w.setAsideUntil) && (!w.probing || len(w.tasks) == 0)
}

// acceptsRequests reports whether the worker's instances may be given requests.
func (w *workerState) acceptsRequests() bool {
	return !w.leaving && !w.gone && !w.silent && !w.superseded
}

// recordResultLocked learns from a task's end whether the worker fails everything.
func (w *workerState) recordResultLocked(job string, ok bool, opts Options) (setAside bool) {
	if ok {
		w.failedJobs, w.setAsideUntil, w.setAsideTime, w.probing = nil, time.Time{}, 0, false
		return false
	}
	if !slices.Contains(w.failedJobs, job) {
		w.failedJobs = append(w.failedJobs, job)
	}
	if len(w.failedJobs) < failedJobsUntilSetAside && !w.probing {
		return false
	}
	w.setAsideTime = min(max(opts.SetAside, 2*w.setAsideTime), maxSetAsideTime)
	w.setAsideUntil = time.Now().Add(w.setAsideTime)
	w.failedJobs, w.probing = nil, true
	return true
}

// contactLoop sends a worker what is due as it comes up, until the pool is
// dropped; renewals go out with pollLoop as long as the worker answers.
func (p *Pool) contactLoop(w *workerState) {
	for woken := true; ; {
		if woken || !p.renewedRecently(w) {
			p.contact(p.ctx, w, 0)
		}
		woken = false
		t := time.NewTimer(p.opts.renewEvery())
		select {
		case <-p.ctx.Done():
			t.Stop()
			return
		case <-w.wake:
			woken = true
		case <-t.C:
		}
		t.Stop()
	}
}

// pollLoop renews a worker's leases with a contact that the worker holds back
// until a task ends, so that the end is heard of at once. A worker that does not
// hold it back is asked once an interval.
func (p *Pool) pollLoop(w *workerState) {
	for p.ctx.Err() == nil {
		began := time.Now()
		seen, answers := p.reportState(w)
		if answers && p.contact(p.ctx, w, p.opts.renewEvery()) {
			if now, _ := p.reportState(w); now > seen || time.Since(began) >= p.opts.renewEvery() {
				continue
			}
		}
		t := time.NewTimer(p.opts.renewEvery() - time.Since(began))
		select {
		case <-p.ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// reportState returns how many ends the worker has told of, and whether it answers
// under the pool's epoch.
func (p *Pool) reportState(w *workerState) (seen int64, answers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return w.lastSeq, w.fenced && !w.silent && !w.superseded
}

func (p *Pool) renewedRecently(w *workerState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return w.fenced && !w.silent && time.Since(w.renewedAt) < p.opts.renewEvery()
}

// contact sends the worker what is due, once; the worker may hold its report
// back for wait. It reports whether the worker answered.
func (p *Pool) contact(ctx context.Context, w *workerState, wait time.Duration) bool {
	c, address, ok := p.prepareContact(w, wait)
	if !ok {
		return false
	}
	rep, err := p.deps.Workers.Contact(ctx, address, c)
	if ctx.Err() != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.handleFailedContactLocked(w, c, err)
		return false
	}
	p.handleReportLocked(w, c, rep)
	return true
}

// prepareContact builds the next message for a worker; without the node's lease it
// renews only what the grace of its class allows. A message that the worker may
// hold back carries renewals and acknowledgements only.
func (p *Pool) prepareContact(w *workerState, wait time.Duration) (worker.Contact, string, bool) {
	held := p.grant.Held()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expireReservationsLocked(now)
	c := worker.Contact{
		Shard: string(p.grant.Key), Owner: p.grant.Owner, Epoch: p.grant.Epoch,
		Ticket: w.ticket, LeaseMS: p.opts.Lease.Milliseconds(), Inventory: w.needsInventory || w.silent, Seen: w.lastSeq,
	}
	if w.superseded {
		return c, "", false
	}
	if !held {
		if !p.renewInGraceLocked(w, &c) {
			return c, "", false
		}
		c.WaitMS = wait.Milliseconds()
		w.renewedAt = now
		return c, w.host.Address, true
	}
	c.Ack, w.acks = w.acks, nil
	if wait > 0 {
		c.WaitMS, c.Inventory, c.Renew = wait.Milliseconds(), false, true
		w.renewedAt = now
		return c, w.host.Address, true
	}
	c.Stop, c.Checkpoint, c.Throttle = w.stops, w.checkpoints, w.throttles
	w.stops, w.checkpoints, w.throttles = nil, nil, nil
	if w.silent {
		return c, w.host.Address, true
	}
	c.Renew = true
	if w.fenced && w.ticket != 0 {
		for _, t := range w.tasks {
			if t.state == starting && !t.stopping && (!t.awaitsPreemption || w.fitsLocked(t)) {
				t.awaitsPreemption = false
				c.Start = append(c.Start, t.spec)
			}
		}
	}
	w.renewedAt = now
	return c, w.host.Address, true
}

// renewInGraceLocked fills c with the renewals that are allowed without the node's lease.
func (p *Pool) renewInGraceLocked(w *workerState, c *worker.Contact) bool {
	if !w.fenced || w.silent {
		return false
	}
	lapsed := p.grant.LapsedFor()
	for a, t := range w.tasks {
		grace := min(p.opts.Grace, time.Duration(t.spec.GraceMS)*time.Millisecond)
		if lapsed > grace {
			c.Except = append(c.Except, a)
		}
	}
	c.Renew, c.Inventory = true, false
	return len(c.Except) < len(w.tasks)
}

// handleFailedContactLocked handles a contact without a reply.
func (p *Pool) handleFailedContactLocked(w *workerState, c worker.Contact, err error) {
	w.stops = append(c.Stop, w.stops...)
	w.acks = append(c.Ack, w.acks...)
	now := time.Now()
	if !w.silent && now.Sub(w.answeredAt) > p.opts.Lease {
		w.silent = true
		p.updateInstancesLocked(w)
		p.log.Warn("worker silent", events.WorkerSilent, zap.String("worker", w.host.ID), zap.Error(err))
	}
	if !w.silent || !w.fenced || now.Sub(w.renewedAt) <= p.opts.Lease+p.opts.Margin || !p.grant.Held() {
		return
	}
	// The worker has stopped its tasks by its own clock: nothing sent since can have renewed them.
	for _, t := range w.tasks {
		p.log.Warn("task lost", events.TaskLost, zap.Stringer("attempt", t.spec.Attempt), zap.String("worker", w.host.ID))
		if t.state == reserved {
			p.endTaskLocked(t, peer.Event{Kind: peer.EventVoid, Reason: "the worker is silent"})
			continue
		}
		p.endTaskLocked(t, peer.Event{Kind: peer.EventLost, Reason: "the worker is silent and its lease has run out"})
	}
}

// updateInstancesLocked tells whether the worker's instances take new requests.
func (p *Pool) updateInstancesLocked(w *workerState) {
	for a, t := range w.tasks {
		if t.address != "" {
			p.deps.Instances.SetOpen(a, w.acceptsRequests())
		}
	}
}

// handleReportLocked takes in a worker's report.
func (p *Pool) handleReportLocked(w *workerState, c worker.Contact, rep worker.Report) {
	if rep.Refused == worker.RefusedStaleEpoch {
		w.superseded = true
		p.updateInstancesLocked(w)
		p.log.Warn("worker has a newer owner", events.WorkerStaleEpoch, zap.String("worker", w.host.ID), zap.Int64("seen", rep.Epoch))
		return
	}
	if w.silent {
		p.log.Info("worker back", events.WorkerRecovered, zap.String("worker", w.host.ID))
	}
	if w.incarnation != "" && w.incarnation != rep.Incarnation {
		p.handleRestartLocked(w)
	}
	leaving := (rep.Leaving || w.host.State == platform.HostLeaving) && !p.opts.IgnoreLeaving
	changed := w.silent || w.leaving != leaving
	if w.incarnation != rep.Incarnation {
		w.ticket, w.lastSeq = 0, 0
	}
	w.ticket, w.lastSeq = max(w.ticket, rep.Ticket), max(w.lastSeq, rep.Seq)
	w.incarnation, w.answeredAt, w.silent = rep.Incarnation, time.Now(), false
	w.leaving = leaving
	for _, s := range rep.Started {
		p.handleStartReplyLocked(w, s)
	}
	for _, e := range rep.Ended {
		p.handleEndedLocked(w, e)
	}
	w.removeAckedLocked(c.Ack, rep.Ended)
	p.updateUsageLocked(w, rep.Usage)
	if c.Inventory {
		p.handleInventoryLocked(w, rep)
	}
	p.endStoppedLocked(w, c.Stop)
	if changed {
		p.updateInstancesLocked(w)
	}
	if w.ticket != c.Ticket && c.Ticket == 0 {
		w.signal()
	}
}

// handleRestartLocked handles a worker that has lost its memory, and with it its tasks.
func (p *Pool) handleRestartLocked(w *workerState) {
	for _, t := range w.tasks {
		if t.state == reserved {
			p.endTaskLocked(t, peer.Event{Kind: peer.EventVoid, Reason: "the worker was restarted"})
			continue
		}
		p.endTaskLocked(t, peer.Event{Kind: peer.EventLost, Reason: "the worker was restarted"})
	}
	w.needsInventory, w.acks, w.ackedTasks = true, nil, make(map[worker.Attempt]bool)
}

func (p *Pool) handleStartReplyLocked(w *workerState, s worker.Started) {
	t, ok := w.tasks[s.Attempt]
	if !ok {
		return
	}
	switch s.Refused {
	case "":
		p.setRunningLocked(t, s.Address)
	case worker.RefusedStaleTicket:
		// Not started; it is sent again with the ticket of this report.
		w.signal()
	case worker.RefusedStopped:
		p.endTaskLocked(t, peer.Event{Kind: peer.EventEnded, Result: worker.ResultStopped, Reason: "stopped before it was started"})
	default:
		w.needsInventory = true
		p.endTaskLocked(t, peer.Event{Kind: peer.EventVoid, Reason: "the worker refused it: " + string(s.Refused)})
	}
}

// removeAckedLocked forgets the acknowledgements that the worker has taken.
func (w *workerState) removeAckedLocked(acks []worker.Attempt, ended []worker.Ended) {
	for _, a := range acks {
		if !slices.ContainsFunc(ended, func(e worker.Ended) bool { return e.Attempt == a }) {
			delete(w.ackedTasks, a)
		}
	}
}

func (p *Pool) handleEndedLocked(w *workerState, e worker.Ended) {
	if w.ackedTasks[e.Attempt] {
		return
	}
	t, ok := p.tasks[e.Attempt]
	if !ok {
		// It was started by an earlier owner.
		t = &task{spec: worker.Spec{Attempt: e.Attempt}, worker: w.host.ID, state: running}
		p.tasks[e.Attempt] = t
	}
	if t.state == ended {
		return
	}
	if ok && (e.Result == worker.ResultDone || e.Result == worker.ResultFailed) {
		if w.recordResultLocked(e.Attempt.Job, e.Result == worker.ResultDone, p.opts) {
			p.log.Warn("worker set aside", events.WorkerSetAside, zap.String("worker", w.host.ID), zap.Duration("for", w.setAsideTime))
		}
	}
	why := e.Reason
	if e.Result == worker.ResultStopped && t.stopReason != "" {
		why = t.stopReason
	}
	p.endTaskLocked(t, peer.Event{Kind: peer.EventEnded, Result: e.Result, Reason: why})
	w.signal()
}

// handleInventoryLocked holds a worker's full list against what the pool knows.
func (p *Pool) handleInventoryLocked(w *workerState, rep worker.Report) {
	seen := make(map[worker.Attempt]bool, len(rep.Running))
	for _, r := range rep.Running {
		seen[r.Spec.Attempt] = true
		t, ok := p.tasks[r.Spec.Attempt]
		if !ok {
			t = &task{spec: r.Spec, worker: w.host.ID, state: starting}
			p.tasks[r.Spec.Attempt] = t
			w.addTaskLocked(t)
		}
		if t.state == ended {
			w.stops = append(w.stops, r.Spec.Attempt)
			continue
		}
		p.setRunningLocked(t, r.Address)
	}
	for a, t := range w.tasks {
		if t.state == running && !seen[a] {
			p.endTaskLocked(t, peer.Event{Kind: peer.EventLost, Reason: "the worker does not run it any more"})
		}
	}
	w.fenced, w.needsInventory = true, false
}

// endStoppedLocked ends the tasks whose stop the worker has taken without having run them.
func (p *Pool) endStoppedLocked(w *workerState, stops []worker.Attempt) {
	for _, a := range stops {
		if t, ok := w.tasks[a]; ok {
			p.endTaskLocked(t, peer.Event{Kind: peer.EventEnded, Result: worker.ResultStopped, Reason: "stopped before it was started"})
		}
	}
}
