// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/resource"
)

// worker is one incarnation of a worker, from one start of its process to the end, and
// what the shard knows about it.
type worker struct {
	info cluster.Worker
	// kind is what its labels say beside its rack, and slowness how much longer tasks take there
	// than on the fastest kind, as a share.
	kind     string
	slowness float64
	// started is the start time of the incarnation that has answered or, before one has,
	// of the one expected.
	started int64
	// knownSince is when the incarnation became known, history what is known of all
	// incarnations of its ID, and generation its number among them.
	knownSince time.Time
	history    *incarnationHistory
	generation int64
	// nextEntry is a directory entry that names another incarnation than the known one;
	// nil: there is none. entryMissing is set while the directory has not shown the entry
	// of this incarnation.
	nextEntry    *cluster.Worker
	entryMissing bool
	// answered is set once the worker has accepted this owner's fence; only then is all
	// that runs there known.
	answered bool
	// answeredSinceLoad is set once the worker has answered since jobs were last loaded, so that
	// all that runs there is known, and endsKnown once it has listed all ends since then, too.
	answeredSinceLoad bool
	endsKnown         bool
	// silent is set while the last hold has failed.
	silent      bool
	silentSince time.Time
	// contactLostAt is when the first hold failed since the last one was answered; zero: none
	// has.
	contactLostAt time.Time
	runs          map[runKey]*run
	// unknownRuns are the runs whose job is not known here. How much room they take is
	// unknown too, so the worker counts as full for each of them.
	unknownRuns map[runKey]bool
	// isolated are the runs beside which nothing else starts.
	isolated []*run
	used     resource.Amount
	// reserved is the room reserved for steps, or being freed for them by preemption.
	reserved map[*step]reservation
	// expectedEnds are when its runs are expected to end, the soonest first, computed in
	// round expectedEndsRound.
	expectedEnds      []expectedEnd
	expectedEndsRound int64

	// holdsSent counts the holds sent; a report says nothing about what became known
	// after its hold was sent.
	holdsSent int64
	// lastReportedHold is the highest hold whose report was processed.
	lastReportedHold int64
	// clockMS is the last reading of the worker's monotonic clock, and clockAt when it
	// was read.
	clockMS int64
	clockAt time.Time
	// deadlineMS is the latest lease deadline ever sent, on the worker's clock.
	deadlineMS int64
	// inDoubtLeaseEnd is until when an order for an earlier incarnation may have extended
	// the lease of what runs there. Its deadline was on another clock and may seem to be
	// far away.
	inDoubtLeaseEnd time.Time

	// unreadEnds are ends of jobs that have not been read yet, by rising numbers.
	unreadEnds   []cluster.RunEnd
	lastEnd      int64 // the highest end received
	confirmedEnd int64 // the highest end that is persisted
	// unconfirmedEnds are the ends that were processed but not confirmed, whose jobs have
	// to be persisted first.
	unconfirmedEnds []unconfirmedEnd
	health          health
	leavesAt        time.Time
	// busyUntil is until when nothing new starts there, because the worker replied that
	// it was busy.
	busyUntil time.Time
	// unlisted is set while the directory doesn't list the worker, since unlistedAt.
	unlisted   bool
	unlistedAt time.Time
	// leaving is set while the directory has dropped a worker that still answers: it is
	// about to exit, like one that reports that it is draining.
	leaving bool
	// entryInvalid is set while the worker's entry in the directory is not valid.
	entryInvalid bool
}

// unconfirmedEnd is the number and the job of a processed end.
type unconfirmedEnd struct {
	number int64
	job    string
}

// ClockSlack is how many times longer a worker's lease may last on the owner's clock than
// on the worker's: the worker's monotonic clock may run slower by 2 %.
const ClockSlack = 1.02

// leaseMargin is added to a lease before it counts as expired, since timers fire late.
const leaseMargin = 150 * time.Millisecond

// UpsertWorker takes a worker's entry in the directory.
func (s *Shard) UpsertWorker(now time.Time, info cluster.Worker) {
	w := s.workers[info.ID]
	if w == nil {
		w = s.newWorker(now, info)
		s.log.Info("worker found", events.WorkerFound, zap.Stringer("worker", info.Incarnation()), zap.String("rack", info.Rack),
			zap.Int64("cpu_milli", info.Capacity.CPUMilli))
	}
	if !s.acceptEntry(now, w, info) {
		return
	}
	if info.Draining && !w.info.Draining {
		s.log.Info("worker is draining", events.WorkerDraining, zap.String("worker", info.ID),
			zap.Duration("remaining", info.Remaining), zap.Int("runs", len(w.runs)))
	}
	draining := w.info.Draining
	w.info, w.unlisted, w.leaving, w.entryInvalid = info, false, false, false
	w.kind = kindOf(info.Labels, info.Rack)
	w.info.Draining = info.Draining || draining
	if info.Draining && info.Remaining > 0 {
		w.leavesAt = now.Add(info.Remaining - w.entryAge(now, info))
	}
}

// entryAge returns how long ago the worker wrote its entry, by its own clock: the entry may have
// passed through another node, which hands it on only if it says something new.
func (w *worker) entryAge(now time.Time, info cluster.Worker) time.Duration {
	if !w.answered || info.ClockMS <= 0 {
		return 0
	}
	written := time.Duration(info.ClockMS) * time.Millisecond
	return min(max(0, w.uptime(now)-written), info.Remaining)
}

// acceptEntry reports whether an entry belongs to the known incarnation. An entry of
// another incarnation is kept until the worker has been polled, and a late one of an
// incarnation that has ended is dropped.
func (s *Shard) acceptEntry(now time.Time, w *worker, info cluster.Worker) bool {
	switch w.relationTo(info.Started, false) {
	case endedIncarnation:
		return false
	case newerIncarnation:
		w.setListed(now, true)
		if w.nextEntry == nil || w.nextEntry.Started != info.Started {
			s.log.Info("directory entry names another incarnation", events.DirectoryEntryInvalid, zap.Stringer("worker", w.info.Incarnation()), zap.Int64("started", info.Started), zap.Int("runs", len(w.runs)))
			s.emit(Poll{Worker: info.ID})
		}
		w.nextEntry = &info
		return false
	case sameIncarnation:
	}
	w.started, w.nextEntry, w.entryMissing = info.Started, nil, false
	return true
}

// WorkerEnded records that an incarnation has ended: nothing runs there any more.
func (s *Shard) WorkerEnded(now time.Time, id string, evidence EndEvidence) {
	w := s.workers[id]
	if w == nil {
		return
	}
	s.log.Warn("worker has ended", events.WorkerEnded, zap.String("worker", id), zap.String("evidence", string(evidence)),
		zap.Int("runs", len(w.runs)))
	s.endIncarnation(now, w, evidence, "worker has ended")
	delete(s.workers, id)
	w.history.endedAt = now
	delete(s.takeover.expected, id)
	s.workerList = workersByID(s.workers)
}

// BeginHold returns the number of the next hold of a worker, the order to send with it,
// and the last end that the worker may forget; ok is false for an unknown worker.
func (s *Shard) BeginHold(now time.Time, id string) (seq int64, order cluster.Order, lastSeen int64, ok bool) {
	w := s.workers[id]
	if w == nil {
		return 0, cluster.Order{}, 0, false
	}
	w.holdsSent++
	order = s.orderFor(w)
	if w.responsive() && !s.OwnershipExpired(now) {
		// A silent worker's lease is not renewed: it has to expire some time.
		order = s.renewalOrder(now, w)
	}
	return w.holdsSent, order, w.confirmedEnd, true
}

// orderFor returns the header of an order that leaves the worker's lease as it is.
func (s *Shard) orderFor(w *worker) cluster.Order {
	return cluster.Order{Worker: w.info.ID, Started: w.started, Address: w.address(), Fence: s.params.Epoch, Generation: w.generation}
}

// address returns the address at which the worker is called: that of the next
// incarnation's entry if the known one does not answer.
func (w *worker) address() string {
	if w.silent && w.nextEntry != nil {
		return w.nextEntry.Address
	}
	return w.info.Address
}

// renewalOrder returns the header of an order that renews the worker's lease.
func (s *Shard) renewalOrder(now time.Time, w *worker) cluster.Order {
	return s.orderWithDeadline(now, w, s.params.Lease)
}

// maxStartDelay is how long after its decision a worker accepts a start. An order that
// the owner has given up may still be on its way and would start a run on a worker that
// has begun to leave meanwhile. It is twice the longest wait for a reply, so that starts
// over slow links are not refused.
const maxStartDelay = 1200 * time.Millisecond

// startOrder returns the header of an order to start a run. Its deadline is the last
// moment at which the worker accepts it. A deadline never shortens the lease, which holds
// renew.
func (s *Shard) startOrder(now time.Time, w *worker) cluster.Order {
	return s.orderWithDeadline(now, w, min(maxStartDelay, s.params.Lease))
}

// orderWithDeadline returns the header of an order with a deadline on the worker's clock,
// d from now, or as late as the ownership allows.
func (s *Shard) orderWithDeadline(now time.Time, w *worker, d time.Duration) cluster.Order {
	if s.boundsOwnership() {
		d = min(d, s.grantableFor(now))
	}
	o := s.orderFor(w)
	if w.started != 0 && w.answered {
		o.ClockMS = w.clockMS + time.Duration(float64(now.Sub(w.clockAt))/ClockSlack).Milliseconds()
	}
	o.DeadlineMS = w.clockMS + now.Sub(w.clockAt).Milliseconds() + d.Milliseconds()
	w.deadlineMS = max(w.deadlineMS, o.DeadlineMS)
	return o
}

// HoldFailed records that a hold got no answer.
func (s *Shard) HoldFailed(now time.Time, id, cause string) {
	w := s.workers[id]
	if w == nil || w.silent {
		return
	}
	w.silent, w.silentSince = true, now
	s.log.Warn("worker does not answer", events.WorkerUnresponsive, zap.String("worker", id), zap.String("cause", cause),
		zap.Int("runs", len(w.runs)), zap.Bool("answered_before", w.answered))
}

// leaseEnd returns when all runs on the worker have certainly stopped unless the lease is
// renewed.
func (s *Shard) leaseEnd(w *worker) time.Time {
	if !w.answered {
		return s.earlierLeasesEnd()
	}
	left := time.Duration(w.deadlineMS-w.clockMS) * time.Millisecond
	end := w.clockAt.Add(time.Duration(float64(left)*ClockSlack) + leaseMargin)
	return latest(w.inDoubtLeaseEnd, end)
}

// leaseExpired reports whether all runs on a worker that doesn't answer have certainly stopped.
func (s *Shard) leaseExpired(now time.Time, w *worker) bool { return s.hasExpired(now, s.leaseEnd(w)) }

// hasExpired reports whether a lease that ends at the given time has expired. A later owner may have
// renewed it, unless this one was still the owner when it ended.
func (s *Shard) hasExpired(now, end time.Time) bool { return now.After(end) && s.ownedAt(end) }

// expireLeases drops the runs of silent workers whose lease has certainly expired.
func (s *Shard) expireLeases(now time.Time) {
	for _, w := range s.workerList {
		if (w.silent || !w.answered) && len(w.runs) > 0 && s.leaseExpired(now, w) {
			s.log.Warn("worker's lease has expired", events.WorkerLeaseExpired, zap.String("worker", w.info.ID),
				zap.Duration("silent", now.Sub(w.silentSince)), zap.Int("runs", len(w.runs)))
			s.loseRuns(now, w, s.leaseEnd(w), "lease expired")
		}
		if (w.unlisted || w.entryInvalid) && w.silent && s.leaseExpired(now, w) {
			s.WorkerEnded(now, w.info.ID, EvidenceLeaseExpired)
		}
	}
}

// loseRuns drops all runs of a worker on which they can't be running any more, at endedBy or later.
func (s *Shard) loseRuns(now time.Time, w *worker, endedBy time.Time, cause string) {
	for _, r := range sortedRuns(w.runs) {
		s.loseRun(now, r, endedBy, cause)
	}
	clear(w.unknownRuns)
	s.recomputeUsed(w)
}

// loseRun drops a run that can't be running on its worker any more, at endedBy or later.
func (s *Shard) loseRun(now time.Time, r *run, endedBy time.Time, cause string) {
	s.counts.Lost++
	s.log.Warn("run lost", events.RunLost, zap.Stringer("task", r.task.id), zap.Int64("run", r.number),
		zap.String("worker", r.worker.info.ID), zap.String("cause", cause), zap.Int("percent", r.percent),
		zap.Duration("age", now.Sub(r.startedAt)), zap.Bool("accepted", r.accepted), zap.Int("runs_of_task", len(r.task.runs)))
	r.task.lostAt = endedBy
	s.dropRun(r)
	s.stopOtherMembers(now, r, cause)
}

// freeFor returns the worker's room for a step: what neither runs nor other steps'
// reservations occupy. Reservations that have expired are deleted.
func (w *worker) freeFor(now time.Time, st *step) resource.Amount {
	a := w.info.Capacity.Sub(w.used)
	if len(w.reserved) == 0 {
		return a
	}
	for owner, res := range w.reserved {
		if now.After(res.until) {
			delete(w.reserved, owner)
			continue
		}
		if res.blocks(now, owner, st) {
			a = a.Sub(res.amount)
		}
	}
	return a
}

// recomputeUsed recomputes how much of the worker's capacity is in use.
func (s *Shard) recomputeUsed(w *worker) {
	w.used = resource.Amount{}
	for _, r := range w.runs {
		w.used = w.used.Add(r.task.step.spec.Allocation())
	}
	w.used = w.used.Add(w.info.Capacity.Times(int64(len(w.unknownRuns))))
}

// WorkerEntryInvalid records that a worker's entry in the directory exists but is not
// valid, for example because another program wrote it. Nothing new starts there until the
// entry is valid again. Its runs continue, since the entry does not show that the worker
// has ended or is about to.
func (s *Shard) WorkerEntryInvalid(now time.Time, id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.setListed(now, true)
	if !w.entryInvalid {
		w.entryInvalid = true
		s.log.Info("directory entry is invalid", events.DirectoryEntryInvalid, zap.String("worker", id), zap.Int("runs", len(w.runs)))
	}
}

// WorkerUnlisted records that the directory has dropped a worker. That proves nothing by
// itself: entries also expire while the store is unavailable.
func (s *Shard) WorkerUnlisted(now time.Time, id string) {
	if w := s.workers[id]; w != nil {
		w.setListed(now, false)
	}
}

// SetListedWorkers takes the set of all workers that the directory lists.
func (s *Shard) SetListedWorkers(now time.Time, listed map[string]bool) {
	for id, w := range s.workers {
		w.setListed(now, listed[id])
	}
}

// setListed records whether the directory lists the worker, and since when it does not.
func (w *worker) setListed(now time.Time, listed bool) {
	switch {
	case listed:
		w.unlisted, w.leaving = false, false
	case !w.unlisted:
		w.unlisted, w.unlistedAt = true, now
	}
}

// WorkerSilent reports whether a worker is known and does not answer.
func (s *Shard) WorkerSilent(id string) bool {
	w := s.workers[id]
	return w != nil && (w.silent || !w.answered)
}

// Workers returns the IDs of the known workers, in order.
func (s *Shard) Workers() []string {
	ids := make([]string, 0, len(s.workerList))
	for _, w := range s.workerList {
		ids = append(ids, w.info.ID)
	}
	return ids
}

// WorkerInfos returns the directory's data of the workers, in the order of their IDs.
func (s *Shard) WorkerInfos() []cluster.Worker {
	list := make([]cluster.Worker, 0, len(s.workerList))
	for _, w := range s.workerList {
		list = append(list, w.info)
	}
	return list
}

// HasUnconfirmedEnds reports whether a worker has ends that are not persisted yet.
func (s *Shard) HasUnconfirmedEnds(id string) bool {
	w := s.workers[id]
	return w != nil && w.lastEnd > w.confirmedEnd
}
