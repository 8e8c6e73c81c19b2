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
	// failedJobsUntilQuarantine is the number of different jobs that must fail on a worker, without
	// a success in between, before it is quarantined.
	failedJobsUntilQuarantine = 3
	maxQuarantineTime         = 10 * time.Minute
)

// workerState is what the pool knows of a worker. It is guarded by the pool's lock.
type workerState struct {
	host        platform.Host
	incarnation string
	ticket      int64
	// lastSeq is the highest Seq that the worker has reported.
	lastSeq int64
	// fenced is set once the worker has answered under the pool's epoch.
	fenced bool
	// A leaving worker gets no new tasks; a gone one is no longer in the host list.
	leaving bool
	gone    bool
	// A silent worker has not answered for the time of a lease; it gets no renewal.
	silent bool
	// superseded is set once the worker has seen a higher epoch than the pool's.
	superseded bool
	// needsInventory requests the list of all tasks with the next contact.
	needsInventory bool
	// answeredAt is when the worker last answered, and renewedAt when it was last sent a
	// message that may extend a lease.
	answeredAt time.Time
	renewedAt  time.Time

	allocated resource.Amount
	// teamAllocations is the allocation of each team on all workers of the pool.
	teamAllocations map[string]resource.Amount
	tasksByJob      map[string]int
	tasks           map[worker.Attempt]*task
	stops           []worker.Attempt
	// checkpoints and throttles are sent once; a lost one is not repeated.
	checkpoints []worker.Attempt
	throttles   []worker.Attempt
	acks        []worker.Attempt
	// ackedTasks are ended tasks that are journalled and that the worker may still report,
	// until it has received the acknowledgement.
	ackedTasks map[worker.Attempt]bool
	wake       chan struct{}

	// failedJobs holds the jobs that have failed here since the last success.
	failedJobs       []string
	quarantinedUntil time.Time
	quarantineTime   time.Duration
	probing          bool
}

func newWorkerState(h platform.Host, teams map[string]resource.Amount) *workerState {
	return &workerState{
		host: h, needsInventory: true, answeredAt: time.Now(), teamAllocations: teams,
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

// addTaskLocked adds a task and its allocation.
func (w *workerState) addTaskLocked(t *task) {
	if _, ok := w.tasks[t.spec.Attempt]; ok {
		return
	}
	w.tasks[t.spec.Attempt] = t
	w.addAllocationLocked(t.spec.Team, t.allocation())
	w.tasksByJob[t.spec.Attempt.Job]++
}

// addAllocationLocked adds an amount, which may be negative, to what is allocated on the worker and
// to a team.
func (w *workerState) addAllocationLocked(team string, amount resource.Amount) {
	w.allocated = w.allocated.Add(amount)
	if w.teamAllocations[team] = w.teamAllocations[team].Add(amount); w.teamAllocations[team] == (resource.Amount{}) {
		delete(w.teamAllocations, team)
	}
}

// removeTaskLocked removes a task and its allocation.
func (w *workerState) removeTaskLocked(t *task) {
	if _, ok := w.tasks[t.spec.Attempt]; !ok {
		return
	}
	delete(w.tasks, t.spec.Attempt)
	w.addAllocationLocked(t.spec.Team, resource.Amount{}.Sub(t.allocation()))
	if w.tasksByJob[t.spec.Attempt.Job]--; w.tasksByJob[t.spec.Attempt.Job] <= 0 {
		delete(w.tasksByJob, t.spec.Attempt.Job)
	}
}

// schedulableLocked reports whether the worker may get new tasks.
func (w *workerState) schedulableLocked(now time.Time) bool {
	if !w.fenced || !w.acceptsRequests() {
		return false
	}
	if w.quarantinedUntil.IsZero() {
		return true
	}
	// A worker that was quarantined first gets a single task as a probe.
	return now.After(w.quarantinedUntil) && (!w.probing || len(w.tasks) == 0)
}

// acceptsRequests reports whether the worker's instances may get requests.
func (w *workerState) acceptsRequests() bool {
	return !w.leaving && !w.gone && !w.silent && !w.superseded
}

// recordResultLocked records a task's result. It reports whether the worker is quarantined for
// its failures.
func (w *workerState) recordResultLocked(job string, ok bool, opts Options) (quarantined bool) {
	if ok {
		w.failedJobs, w.quarantinedUntil, w.quarantineTime, w.probing = nil, time.Time{}, 0, false
		return false
	}
	if !slices.Contains(w.failedJobs, job) {
		w.failedJobs = append(w.failedJobs, job)
	}
	if len(w.failedJobs) < failedJobsUntilQuarantine && !w.probing {
		return false
	}
	w.quarantineTime = min(max(opts.Quarantine, 2*w.quarantineTime), maxQuarantineTime)
	w.quarantinedUntil = time.Now().Add(w.quarantineTime)
	w.failedJobs, w.probing = nil, true
	return true
}

// contactLoop sends orders to a worker as they come up, until the pool is dropped. Renewals are
// sent by pollLoop as long as the worker answers.
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

// pollLoop renews a worker's leases with a contact that the worker answers only once a task ends,
// so that the end is known at once. A worker that answers early is contacted once per interval.
func (p *Pool) pollLoop(w *workerState) {
	for p.ctx.Err() == nil {
		start := time.Now()
		seen, answers := p.reportState(w)
		if answers && p.contact(p.ctx, w, p.opts.renewEvery()) {
			if now, _ := p.reportState(w); now > seen || time.Since(start) >= p.opts.renewEvery() {
				continue
			}
		}
		t := time.NewTimer(p.opts.renewEvery() - time.Since(start))
		select {
		case <-p.ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// reportState returns the highest Seq that the worker has reported, and whether it answers under
// the pool's epoch.
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

// contact sends the worker one message, which the worker may answer after up to wait. It
// reports whether the worker answered.
func (p *Pool) contact(ctx context.Context, w *workerState, wait time.Duration) bool {
	c, address, ok := p.prepareContact(w, wait)
	if !ok {
		return false
	}
	report, err := p.deps.Workers.Contact(ctx, address, c)
	if ctx.Err() != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.handleFailedContactLocked(w, c, err)
		return false
	}
	p.handleReportLocked(w, c, report)
	return true
}

// prepareContact returns the next message for a worker and its address. Without the node's lease
// it renews only the tasks whose grace allows it. A message that the worker may answer late
// carries only renewals and acknowledgements.
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

// renewInGraceLocked sets the renewals in c that are allowed without the node's lease. It reports
// whether there are any.
func (p *Pool) renewInGraceLocked(w *workerState, c *worker.Contact) bool {
	if !w.fenced || w.silent {
		return false
	}
	expiredFor := p.grant.ExpiredFor()
	for a, t := range w.tasks {
		grace := min(p.opts.Grace, time.Duration(t.spec.GraceMS)*time.Millisecond)
		if expiredFor > grace {
			c.Except = append(c.Except, a)
		}
	}
	c.Renew, c.Inventory = true, false
	return len(c.Except) < len(w.tasks)
}

// handleFailedContactLocked handles a contact without an answer.
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
	// The worker has stopped its tasks by its own clock: no message since can have renewed them.
	for _, t := range w.tasks {
		p.log.Warn("task lost", events.TaskLost, zap.Stringer("attempt", t.spec.Attempt), zap.String("worker", w.host.ID))
		if t.state == reserved {
			p.endTaskLocked(t, peer.Event{Kind: peer.EventNeverRan, Reason: "the worker is silent"})
			continue
		}
		p.endTaskLocked(t, peer.Event{Kind: peer.EventLost, Reason: "the worker is silent and its lease has run out"})
	}
}

// updateInstancesLocked sets whether the worker's instances accept new requests.
func (p *Pool) updateInstancesLocked(w *workerState) {
	for a, t := range w.tasks {
		if t.address != "" {
			p.deps.Instances.SetOpen(a, w.acceptsRequests())
		}
	}
}

// handleReportLocked applies a worker's report.
func (p *Pool) handleReportLocked(w *workerState, c worker.Contact, report worker.Report) {
	if report.Refused == worker.RefusedStaleEpoch {
		w.superseded = true
		p.updateInstancesLocked(w)
		p.log.Warn("worker has a newer owner", events.WorkerStaleEpoch, zap.String("worker", w.host.ID), zap.Int64("seen", report.Epoch))
		return
	}
	if w.silent {
		p.log.Info("worker answers again", events.WorkerRecovered, zap.String("worker", w.host.ID))
	}
	if w.incarnation != "" && w.incarnation != report.Incarnation {
		p.handleRestartLocked(w)
	}
	leaving := (report.Leaving || w.host.State == platform.HostLeaving) && !p.opts.IgnoreLeaving
	changed := w.silent || w.leaving != leaving
	if w.incarnation != report.Incarnation {
		w.ticket, w.lastSeq = 0, 0
	}
	w.ticket, w.lastSeq = max(w.ticket, report.Ticket), max(w.lastSeq, report.Seq)
	w.incarnation, w.answeredAt, w.silent = report.Incarnation, time.Now(), false
	w.leaving = leaving
	for _, s := range report.Started {
		p.handleStartReplyLocked(w, s)
	}
	for _, e := range report.Ended {
		p.handleEndedLocked(w, e)
	}
	w.removeAckedLocked(c.Ack, report.Ended)
	p.updateUsageLocked(w, report.Usage)
	if c.Inventory {
		p.handleInventoryLocked(w, report)
	}
	p.endStoppedLocked(w, c.Stop)
	if changed {
		p.updateInstancesLocked(w)
	}
	if w.ticket != c.Ticket && c.Ticket == 0 {
		w.signal()
	}
}

// handleRestartLocked handles the restart of a worker, which has lost its tasks.
func (p *Pool) handleRestartLocked(w *workerState) {
	for _, t := range w.tasks {
		if t.state == reserved {
			p.endTaskLocked(t, peer.Event{Kind: peer.EventNeverRan, Reason: "the worker was restarted"})
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
		// The task was not started; it is sent again with the ticket of this report.
		w.signal()
	case worker.RefusedStopped:
		p.endTaskLocked(t, peer.Event{Kind: peer.EventEnded, Result: worker.ResultStopped, Reason: "stopped before it was started"})
	default:
		w.needsInventory = true
		p.endTaskLocked(t, peer.Event{Kind: peer.EventNeverRan, Reason: "the worker refused it: " + string(s.Refused)})
	}
}

// removeAckedLocked removes the acknowledgements that the worker has received.
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
		// The task was started by an earlier owner.
		t = &task{spec: worker.Spec{Attempt: e.Attempt}, worker: w.host.ID, state: running}
		p.tasks[e.Attempt] = t
	}
	if t.state == ended {
		return
	}
	if ok && (e.Result == worker.ResultDone || e.Result == worker.ResultFailed) {
		if w.recordResultLocked(e.Attempt.Job, e.Result == worker.ResultDone, p.opts) {
			p.log.Warn("worker quarantined", events.PoolWorkerQuarantined, zap.String("worker", w.host.ID), zap.Duration("for", w.quarantineTime))
		}
	}
	reason := e.Reason
	if e.Result == worker.ResultStopped && t.stopReason != "" {
		reason = t.stopReason
	}
	p.endTaskLocked(t, peer.Event{Kind: peer.EventEnded, Result: e.Result, Reason: reason})
	w.signal()
}

// handleInventoryLocked reconciles the pool's tasks with a worker's full list.
func (p *Pool) handleInventoryLocked(w *workerState, report worker.Report) {
	seen := make(map[worker.Attempt]bool, len(report.Running))
	for _, r := range report.Running {
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

// endStoppedLocked ends tasks whose stop order the worker received before it had started them.
func (p *Pool) endStoppedLocked(w *workerState, stops []worker.Attempt) {
	for _, a := range stops {
		if t, ok := w.tasks[a]; ok {
			p.endTaskLocked(t, peer.Event{Kind: peer.EventEnded, Result: worker.ResultStopped, Reason: "stopped before it was started"})
		}
	}
}
