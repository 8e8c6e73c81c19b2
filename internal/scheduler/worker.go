// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/resource"
)

// worker is one life of a worker and what the shard believes to run there.
type worker struct {
	info cluster.Worker
	// started is the start of the life that has answered, or before it has, the one expected.
	started int64
	// since is when the life became known, lives what is known of all that had its ID, and
	// generation its number among them.
	since      time.Time
	lives      *lives
	generation int64
	// next is an entry that names another life than the one known; nil: there is none. And
	// noEntry is set while the directory has not shown the entry of this life.
	next    *cluster.Worker
	noEntry bool
	// answered is set once the worker has taken this owner's fence; only then is
	// all that runs there known.
	answered bool
	// heard is set once it has answered since jobs were loaded last.
	heard bool
	// silent is set while the last hold has failed.
	silent      bool
	silentSince time.Time
	runs        map[runKey]*run
	// foreign are the runs whose job is not known here. How much room they take isn't
	// known either, so that the worker counts as full for each.
	foreign map[runKey]bool
	used    resource.Amount
	// reserved is room set aside, or being freed by preemption, by the step that is to have it.
	reserved map[*step]reservation
	// ends are when its runs are expected to end, the soonest first, as of the endsRound-th round.
	ends      []runEnd
	endsRound int64

	// holds counts the holds sent; a report counts only for what was known before it was sent.
	holds int64
	// lastReport is the highest hold whose report was taken.
	lastReport int64
	// clock and clockAt are the last reading of the worker's steady clock.
	clock   int64
	clockAt time.Time
	// deadline is the latest lease ever sent, on the worker's clock.
	deadline int64
	// inDoubtLease is until when an order for an earlier life may have leased what runs
	// there: its deadline was on another clock, on which it may seem to be far away.
	inDoubtLease time.Time

	// held are ends of jobs that have not been read yet, by rising numbers.
	held         []cluster.RunEnd
	lastEnd      int64 // the highest end taken
	confirmedEnd int64 // the highest end that is persisted
	// taken are the ends that are not confirmed and of which a job has to be persisted.
	taken    []takenEnd
	health   health
	leavesAt time.Time
	// refusesUntil is until when nothing new starts there, since it was busy.
	refusesUntil time.Time
	// unlisted is set while the directory doesn't list the worker, since unlistedAt.
	unlisted   bool
	unlistedAt time.Time
	// leaving is set while the directory has dropped a worker that still answers: it
	// ends soon, like one that says that it drains.
	leaving bool
	// entryInvalid is set while the worker's entry in the directory names no worker to use.
	entryInvalid bool
}

// takenEnd is an end that was taken, by its number and job.
type takenEnd struct {
	n   int64
	job string
}

// ClockSlack is how many times as long as its own clock says a worker's lease
// may last on ours: its steady clock may run slower by 2 %.
const ClockSlack = 1.02

// leaseMargin is added to a lease that is taken to be over: timers fire late.
const leaseMargin = 150 * time.Millisecond

// UpsertWorker notes what the directory says of a worker.
func (s *Shard) UpsertWorker(now time.Time, info cluster.Worker) {
	w := s.workers[info.ID]
	if w == nil {
		w = s.newWorker(now, info)
		s.log.Info("worker found", events.WorkerFound, zap.Stringer("worker", info.Incarnation()), zap.String("rack", info.Rack),
			zap.Int64("cpu_milli", info.Capacity.CPUMilli))
	}
	if !s.entryOfLife(now, w, info) {
		return
	}
	if info.Draining && !w.info.Draining {
		s.log.Info("worker is draining", events.WorkerDraining, zap.String("worker", info.ID),
			zap.Duration("remaining", info.Remaining), zap.Int("runs", len(w.runs)))
	}
	draining := w.info.Draining
	w.info, w.unlisted, w.leaving, w.entryInvalid = info, false, false, false
	w.info.Draining = info.Draining || draining
	if info.Draining && info.Remaining > 0 {
		w.leavesAt = now.Add(info.Remaining)
	}
}

// entryOfLife reports whether an entry is that of the life known. One of another life is
// kept until the worker has been asked, and one of a life that is over is late.
func (s *Shard) entryOfLife(now time.Time, w *worker, info cluster.Worker) bool {
	switch w.relate(info.Started, false) {
	case olderLife:
		return false
	case newerLife:
		w.setListed(now, true)
		if w.next == nil || w.next.Started != info.Started {
			s.log.Info("entry of another life", events.DirectoryEntryInvalid, zap.Stringer("worker", w.info.Incarnation()), zap.Int64("started", info.Started), zap.Int("runs", len(w.runs)))
			s.emit(Poll{Worker: info.ID})
		}
		w.next = &info
		return false
	case sameLife:
	}
	w.started, w.next, w.noEntry = info.Started, nil, false
	return true
}

// WorkerEnded notes that a life is over: nothing runs there any more.
func (s *Shard) WorkerEnded(now time.Time, id, evidence string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	s.log.Warn("worker's life is over", events.WorkerEnded, zap.String("worker", id), zap.String("evidence", evidence),
		zap.Int("runs", len(w.runs)))
	s.endLife(now, w, "worker's life is over")
	delete(s.workers, id)
	w.lives.goneAt = now
	delete(s.takeover.expected, id)
	s.order = sortedWorkers(s.workers)
}

// HoldSent numbers a hold that is about to be sent and returns the order for it.
func (s *Shard) HoldSent(now time.Time, id string) (seq int64, order cluster.Order, lastSeen int64, ok bool) {
	w := s.workers[id]
	if w == nil {
		return 0, cluster.Order{}, 0, false
	}
	w.holds++
	order = s.orderTo(w)
	if w.answers() {
		// A silent worker gets no renewal: its lease has to end some time.
		order = s.renewing(now, w)
	}
	return w.holds, order, w.confirmedEnd, true
}

// orderTo returns the head of an order that leaves the worker's lease as it is.
func (s *Shard) orderTo(w *worker) cluster.Order {
	return cluster.Order{Worker: w.info.ID, Started: w.started, Address: w.address(), Fence: s.p.Epoch, Generation: w.generation}
}

// address returns where the worker is called: where the entry of another life says, if the
// one known doesn't answer.
func (w *worker) address() string {
	if w.silent && w.next != nil {
		return w.next.Address
	}
	return w.info.Address
}

// renewing returns the head of an order that renews the worker's lease.
func (s *Shard) renewing(now time.Time, w *worker) cluster.Order {
	return s.orderWithin(now, w, s.p.Lease)
}

// startWithin is how long after its decision a worker takes a start. An order that the
// owner has given up may still be on its way, over a connection that has taken it, and
// would begin a run on a worker that has said meanwhile that it leaves. It is twice as long
// as the longest wait for an answer, so that starts on slow links are not refused.
const startWithin = 1200 * time.Millisecond

// starting returns the head of an order to start a run. Its deadline is the last moment at
// which the worker takes it; the lease, which a deadline never shortens, is renewed by holds.
func (s *Shard) starting(now time.Time, w *worker) cluster.Order {
	return s.orderWithin(now, w, min(startWithin, s.p.Lease))
}

// orderWithin returns the head of an order with a deadline, on the worker's clock.
func (s *Shard) orderWithin(now time.Time, w *worker, d time.Duration) cluster.Order {
	o := s.orderTo(w)
	if w.started != 0 && w.answered {
		o.ClockMS = w.clock + time.Duration(float64(now.Sub(w.clockAt))/ClockSlack).Milliseconds()
	}
	o.DeadlineMS = w.clock + now.Sub(w.clockAt).Milliseconds() + d.Milliseconds()
	w.deadline = max(w.deadline, o.DeadlineMS)
	return o
}

// HoldFailed notes that a hold got no answer.
func (s *Shard) HoldFailed(now time.Time, id, cause string) {
	w := s.workers[id]
	if w == nil || w.silent {
		return
	}
	w.silent, w.silentSince = true, now
	s.log.Warn("worker does not answer", events.WorkerUnresponsive, zap.String("worker", id), zap.String("cause", cause),
		zap.Int("runs", len(w.runs)), zap.Bool("answered_before", w.answered))
}

// leaseEnd returns when everything on the worker is surely dead unless it is renewed.
func (s *Shard) leaseEnd(w *worker) time.Time {
	if !w.answered {
		return s.began.Add(s.p.UncertainFor)
	}
	left := time.Duration(w.deadline-w.clock) * time.Millisecond
	end := w.clockAt.Add(time.Duration(float64(left)*ClockSlack) + leaseMargin)
	if w.inDoubtLease.After(end) {
		return w.inDoubtLease
	}
	return end
}

// expireLeases frees what ran on silent workers whose lease is surely over.
func (s *Shard) expireLeases(now time.Time) {
	for _, w := range s.order {
		if (w.silent || !w.answered) && len(w.runs) > 0 && now.After(s.leaseEnd(w)) {
			s.log.Warn("worker's lease is over", events.WorkerLeaseExpired, zap.String("worker", w.info.ID),
				zap.Duration("silent", now.Sub(w.silentSince)), zap.Int("runs", len(w.runs)))
			s.loseRuns(now, w, "lease over")
		}
		if (w.unlisted || w.entryInvalid) && w.silent && now.After(s.leaseEnd(w)) {
			s.WorkerEnded(now, w.info.ID, "not listed, and its lease is over")
		}
	}
}

// loseRuns takes all runs off a worker that can't have them any more.
func (s *Shard) loseRuns(now time.Time, w *worker, cause string) {
	for _, r := range sortedRuns(w.runs) {
		s.loseRun(now, r, cause)
	}
	clear(w.foreign)
	s.recount(w)
}

// loseRun takes a run off its worker, which can't have it any more.
func (s *Shard) loseRun(now time.Time, r *run, cause string) {
	s.counts.Lost++
	s.log.Warn("run lost", events.RunLost, zap.Stringer("task", r.task.id), zap.Int64("run", r.n),
		zap.String("worker", r.worker.info.ID), zap.String("cause", cause), zap.Int("percent", r.percent))
	s.drop(r)
	s.breakGang(now, r, cause)
}

// free returns the worker's room for a step.
func (w *worker) free(now time.Time, st *step) resource.Amount {
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

// recount works out anew how much of the worker's room is taken.
func (s *Shard) recount(w *worker) {
	w.used = resource.Amount{}
	for _, r := range w.runs {
		w.used = w.used.Add(r.task.step.spec.Allocation())
	}
	w.used = w.used.Add(w.info.Capacity.Times(int64(len(w.foreign))))
}

// WorkerEntryInvalid notes that a worker's entry in the directory is there but names no worker
// to use: another writer may have left it so. Nothing new starts there until the entry
// is right again. What runs there runs on: nothing says that the life is over or ends.
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

// WorkerUnlisted notes that the directory has dropped a worker. That proves
// nothing by itself: entries also go while the store is away.
func (s *Shard) WorkerUnlisted(now time.Time, id string) {
	if w := s.workers[id]; w != nil {
		w.setListed(now, false)
	}
}

// SetListedWorkers notes all workers that the directory lists.
func (s *Shard) SetListedWorkers(now time.Time, listed map[string]bool) {
	for id, w := range s.workers {
		w.setListed(now, listed[id])
	}
}

// setListed notes whether the directory lists the worker, and since when it does not.
func (w *worker) setListed(now time.Time, listed bool) {
	switch {
	case listed:
		w.unlisted, w.leaving = false, false
	case !w.unlisted:
		w.unlisted, w.unlistedAt = true, now
	}
}

// Silent reports whether a worker is known and does not answer.
func (s *Shard) Silent(id string) bool {
	w := s.workers[id]
	return w != nil && (w.silent || !w.answered)
}

// Workers returns the IDs of the known workers, in order.
func (s *Shard) Workers() []string {
	ids := make([]string, 0, len(s.order))
	for _, w := range s.order {
		ids = append(ids, w.info.ID)
	}
	return ids
}

// WorkerInfos returns what is known of the workers, in the order of their IDs.
func (s *Shard) WorkerInfos() []cluster.Worker {
	list := make([]cluster.Worker, 0, len(s.order))
	for _, w := range s.order {
		list = append(list, w.info)
	}
	return list
}

// HasUnconfirmedEnds reports whether a worker has ends that are not persisted yet.
func (s *Shard) HasUnconfirmedEnds(id string) bool {
	w := s.workers[id]
	return w != nil && w.lastEnd > w.confirmedEnd
}
