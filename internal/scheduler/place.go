// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/resource"
)

// placeAll starts what can start, the most urgent first.
func (s *Shard) placeAll(now time.Time) {
	s.round++
	s.reserving, s.gangReserving = 0, false
	for _, j := range s.active {
		if j.moving {
			continue
		}
		for _, rep := range j.reps {
			if now.Before(rep.due.Add(-prefetchBefore)) {
				break
			}
			for _, st := range rep.steps {
				if st.done == len(st.tasks) {
					continue
				}
				if !st.ready(now) {
					s.prefetch(now, st)
					continue
				}
				s.placeStep(now, st)
			}
		}
	}
}

// startable returns the step's tasks that may start now.
func (st *step) startable(now time.Time) []*task {
	var list []*task
	for _, t := range st.tasks {
		if !t.done && len(t.runs) == 0 && !t.uncertain && !now.Before(t.notBefore) {
			list = append(list, t)
		}
	}
	return list
}

func (s *Shard) placeStep(now time.Time, st *step) {
	waiting := st.startable(now)
	if len(waiting) == 0 {
		st.waitingSince = time.Time{}
		return
	}
	if st.spec.Gang {
		s.placeGang(now, st, waiting)
		return
	}
	for _, t := range waiting {
		if t.waitsFrom.IsZero() {
			t.waitsFrom = now
		}
	}
	if st.spec.LongRunning {
		// The first ones by number would take each place, and the last ones none.
		slices.SortStableFunc(waiting, func(a, b *task) int { return a.waitsFrom.Compare(b.waitsFrom) })
	}
	placed := 0
	for _, t := range waiting {
		w := s.bestWorkerFor(now, t)
		if w == nil {
			if t.leftOn != "" {
				continue
			}
			break
		}
		s.start(now, t, w)
		placed++
	}
	s.wait(now, st, len(waiting)-placed)
}

// wait handles tasks of a step for which there is no worker now.
func (s *Shard) wait(now time.Time, st *step, left int) {
	if left == 0 {
		st.waitingSince = time.Time{}
		return
	}
	if st.waitingSince.IsZero() {
		st.waitingSince = now
	}
	if st.spec.Gang {
		s.waitGang(now, st)
		return
	}
	asks := st.needsTicket() && s.asks(now, st, left)
	if st.spec.LongRunning {
		s.makeRoom(now, st, left, asks)
		return
	}
	if asks {
		return
	}
	slack := s.slack(now, st)
	within := reserveMost
	if slack >= 0 {
		within = min(slack-slackMargin, reserveMost)
	}
	s.reserve(now, st, left, within)
	// What is late already stops nobody's work, which would be late for it in turn: mean
	// worth of six days of a full service 0.866, and 0.860 without.
	if slack >= 0 {
		s.preempt(now, st, left)
	}
}

// asks reports whether a step that waits has a call for advice open now.
func (s *Shard) asks(now time.Time, st *step, left int) bool {
	return s.ask(now, st, left, true) || st.advice.calls > 0 || (!s.ticketHelps(now, st) && s.ask(now, st, left, false))
}

// makeRoom sets room aside for tasks that last, or stops less urgent work for them if none
// comes free at once. While advice is asked for, others would take the room meanwhile.
func (s *Shard) makeRoom(now time.Time, st *step, left int, asks bool) {
	if !asks {
		if st.waited(now) < stopsFrom {
			// Later it isn't counted on: what is overdue seems to end at once, each time.
			s.reserve(now, st, left, stopsFrom)
		}
		s.preempt(now, st, left)
	}
	s.reserve(now, st, left, reserveMost)
}

// waitGang sets room aside for a gang, and asks for advice until the workers that are
// known to be good could hold gangChoice times as much, so that there is a choice which of
// them become free, and again, since tickets run out, when they have the room. A gang that
// asked only about workers with room went on with the few it had found first: one of 124
// tasks knew 13 of some 66 good ones, and never started.
func (s *Shard) waitGang(now time.Time, st *step) {
	s.reserveGang(now, st)
	if !st.needsTicket() {
		return
	}
	able, ready := s.goodRoom(now, st)
	if ready >= len(st.tasks) {
		s.ask(now, st, len(st.tasks), true)
		return
	}
	if enough := int(gangChoice * float64(len(st.tasks))); able < enough {
		s.askOthers(now, st, enough-able)
	}
}

// goodRoom returns how many tasks of a step the workers that are known to be good would
// hold but for those that last, and how many they hold now.
func (s *Shard) goodRoom(now time.Time, st *step) (able, ready int) {
	for _, w := range s.order {
		if st.advice.answers[w.info.ID].good && s.usable(now, w, st) {
			able += int(fitsIn(w.info.Capacity.Sub(w.lasting()), st))
			ready += int(countFits(w, now, st))
		}
	}
	return able, ready
}

// lasting returns the room of the runs on a worker that last.
func (w *worker) lasting() (sum resource.Amount) {
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning {
			sum = sum.Add(r.task.step.spec.Allocation())
		}
	}
	return sum
}

// roomNow returns for how many tasks of a step there is room on workers on which they may
// start now.
func (s *Shard) roomNow(now time.Time, st *step) (n int) {
	for _, w := range s.order {
		if !s.usable(now, w, st) {
			continue
		}
		if st.needsTicket() {
			if _, ok := st.ticket(now, w.info.ID); !ok {
				continue
			}
		}
		n += int(countFits(w, now, st))
	}
	return n
}

// ticketHelps reports whether the step holds a valid ticket for a worker on which one more
// of its tasks could run once others have ended or been stopped. Those of workers with as
// many of its tasks as they may have kept a step from asking about any others.
func (s *Shard) ticketHelps(now time.Time, st *step) bool {
	for _, w := range s.order {
		if _, ok := st.ticket(now, w.info.ID); ok && s.couldHold(now, w, st) {
			return true
		}
	}
	return false
}

// couldHold reports whether one more task of the step could run on a worker if all that
// runs there, but for what lasts, had ended.
func (s *Shard) couldHold(now time.Time, w *worker, st *step) bool {
	return s.mayHold(now, w, st) && s.spreadAllows(w, st, 0) && w.info.Capacity.Sub(w.lasting()).Fits(st.spec.Allocation())
}

// usable reports whether a worker may run tasks of the step, room and tickets aside.
// One that runs what no known job explains may not: how much room that takes isn't
// known, and after a takeover not even how much the worker has.
func (s *Shard) usable(now time.Time, w *worker, st *step) bool {
	return s.suits(now, w, st) && w.health.takes(now, w)
}

// suits is usable for a worker whose health is left aside.
func (s *Shard) suits(now time.Time, w *worker, st *step) bool {
	return w.stays() && len(w.foreign) == 0 && !st.avoids(now, w) && !now.Before(w.refusesUntil) &&
		w.info.Service == st.job.spec.Service &&
		(st.spec.Label == "" || w.info.HasLabel(st.spec.Label)) &&
		w.info.Capacity.Fits(st.spec.Allocation())
}

// failedHere notes that a member of a gang failed on a worker.
func (st *step) failedHere(now time.Time, w *worker) {
	if st.failedOn == nil {
		st.failedOn = make(map[string]time.Time)
	}
	st.failedOn[w.info.ID] = now
}

// avoids reports whether a member of the gang has failed on the worker lately. One worker
// that fails all that it starts used up all attempts of a gang, which came back to it.
func (st *step) avoids(now time.Time, w *worker) bool {
	at, failed := st.failedOn[w.info.ID]
	return failed && now.Sub(at) < avoidLast
}

// mayHold is usable for a step whose tasks, where they last and have waited for a while,
// may also run on workers that are set aside.
func (s *Shard) mayHold(now time.Time, w *worker, st *step) bool {
	return s.suits(now, w, st) && (w.health.takes(now, w) || (st.spec.LongRunning && st.waited(now) >= asidePatience))
}

// waited returns for how long the step has waited for room.
func (st *step) waited(now time.Time) time.Duration {
	if st.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(st.waitingSince)
}

// takesNew reports whether anything new may start on the worker, room aside.
func (w *worker) takesNew(now time.Time) bool { return w.stays() && w.health.takes(now, w) }

// stays reports whether the worker answers, and neither leaves nor has an entry that is
// invalid or of another life.
func (w *worker) stays() bool {
	return w.answers() && !w.info.Draining && !w.leaving && !w.entryInvalid && w.next == nil && !w.noEntry
}

const (
	// avoidFor is how long a task that failed or crawled waits for another worker than
	// the one on which it did.
	avoidFor = time.Second
	// avoidLast is the same before its last attempt. Where the other workers take nothing
	// for a while, a job in 300 failed with all its attempts on a worker that fails all.
	avoidLast = 4 * time.Second
)

// bestWorkerFor returns the worker on which a task should start. One that lasts and has
// waited takes one that is set aside if there is no other: tasks that are to be at work
// within seconds waited for 21 s while 30 of 48 workers were (70% of them failed what
// they started for 60 s).
func (s *Shard) bestWorkerFor(now time.Time, t *task) *worker {
	w := s.bestSoundWorkerFor(now, t)
	if w == nil && t.step.spec.LongRunning && now.Sub(t.waitsFrom) >= asidePatience {
		return s.bestOf(now, t.step, nil, func(w *worker) bool { return s.suits(now, w, t.step) })
	}
	return w
}

// bestSoundWorkerFor returns the worker on which a task should start, of those that aren't
// set aside. A task that has failed or crawled goes elsewhere, and with its last attempt to
// a worker that is proven if there is one, and to none on which a run has failed since.
func (s *Shard) bestSoundWorkerFor(now time.Time, t *task) *worker {
	isLast := len(t.failed) > 0 && !t.step.spec.LongRunning && t.attemptsLeft() <= 1
	avoid := avoidFor
	if isLast {
		avoid = avoidLast
	}
	if t.leftOn == "" || now.Sub(t.leftAt) >= avoid {
		return s.bestWorker(now, t.step, nil, anyWorker)
	}
	elsewhere := func(w *worker) bool { return w.info.ID != t.leftOn }
	if !isLast {
		return s.bestWorker(now, t.step, nil, elsewhere)
	}
	if w := s.bestWorker(now, t.step, nil, func(w *worker) bool { return elsewhere(w) && w.health.proven }); w != nil {
		return w
	}
	return s.bestWorker(now, t.step, nil, func(w *worker) bool { return elsewhere(w) && w.health.fresh.failures == 0 && !w.health.probing })
}

// anyWorker allows all workers.
func anyWorker(*worker) bool { return true }

// bestWorker returns the worker on which the next task of the step should
// start: near its data, then where the least room is left over. Extra is room
// that this decision has already given away, by worker.
func (s *Shard) bestWorker(now time.Time, st *step, extra map[*worker]int, allowed func(*worker) bool) *worker {
	return s.bestOf(now, st, extra, func(w *worker) bool { return allowed(w) && s.usable(now, w, st) })
}

// bestOf is bestWorker among the workers that are allowed.
func (s *Shard) bestOf(now time.Time, st *step, extra map[*worker]int, allowed func(*worker) bool) *worker {
	var best *worker
	bestScore := 0.0
	room := st.spec.Allocation()
	for _, w := range s.order {
		// Most workers of a busy shard are full, and each step that waits tries all.
		if !w.info.Capacity.Sub(w.used).Fits(room) || !allowed(w) {
			continue
		}
		if st.needsTicket() {
			if _, ok := st.ticket(now, w.info.ID); !ok {
				continue
			}
		}
		n := extra[w]
		free := w.free(now, st).Sub(room.Times(int64(n)))
		if !free.Fits(room) || !s.spreadAllows(w, st, n) {
			continue
		}
		if score := s.score(w, st, free.Sub(room)); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (s *Shard) spreadAllows(w *worker, st *step, extra int) bool {
	limit := st.spec.MaxPerWorker
	if limit == 0 {
		return true
	}
	n := extra
	for _, r := range w.runs {
		if r.task.step == st {
			n++
		}
	}
	return n < limit
}

const (
	// nearBonus prefers the rack of a step's data to any saving of room, which
	// counts at most 1.
	nearBonus = 10.0
	// besideServing keeps what fills away from what serves, and the other way round.
	besideServing = 5.0
)

// score rates a worker that would have rest left over.
func (s *Shard) score(w *worker, st *step, rest resource.Amount) float64 {
	score := -rest.DominantShare(w.info.Capacity)
	if st.spec.BestEffortCPU {
		score = -score
	}
	if st.spec.DataRack != "" && st.spec.DataRack == w.info.Rack {
		score += nearBonus
	}
	if st.spec.BestEffortCPU || st.spec.LatencyTargetMS > 0 {
		for _, r := range w.runs {
			other := r.task.step.spec
			if (st.spec.BestEffortCPU && other.LatencyTargetMS > 0) || (st.spec.LatencyTargetMS > 0 && other.BestEffortCPU) {
				score -= besideServing
			}
		}
	}
	return score
}

// start orders a run of a task on a worker.
func (s *Shard) start(now time.Time, t *task, w *worker) {
	s.startRun(now, t, w, t.lastRun+1)
}

func (s *Shard) startRun(now time.Time, t *task, w *worker, n int64) {
	st := t.step
	ticket, _ := st.ticket(now, w.info.ID)
	delete(w.reserved, st)
	r := s.add(now, t, n, w, runStarting)
	r.resumed = t.checkpoint != ""
	s.counts.Starts++
	s.log.Info("starting run", events.RunStarted, zap.Stringer("task", t.id), zap.Int64("run", n), zap.String("worker", w.info.ID),
		zap.Bool("resumed", r.resumed), zap.Duration("due_in", st.job.rank.Due.Sub(now)))
	s.emit(Start{cluster.StartOrder{
		Order: s.starting(now, w), Task: t.id, Run: n, Spec: st.job.spec.Spec, Checkpoint: t.checkpoint, Ticket: ticket,
	}})
}

// placeGang starts all members at once or none.
func (s *Shard) placeGang(now time.Time, st *step, waiting []*task) {
	if len(waiting) < len(st.tasks) {
		return // members of an earlier run are still there
	}
	if st.job.isJoint() {
		if st.waitingSince.IsZero() {
			st.waitingSince = now
		}
		s.waitJoint(now, st)
		return
	}
	var places []*worker
	if s.roomNow(now, st) >= len(st.tasks) {
		places = s.gangPlaces(now, st)
	}
	if places == nil {
		s.wait(now, st, len(waiting))
		return
	}
	st.waitingSince = time.Time{}
	s.startMembers(now, st.tasks, places, st.gangRun+1, st.checkpoint())
}

// checkpoint returns one of a gang's members, which is valid for all, or "".
func (st *step) checkpoint() (checkpoint string) {
	for _, t := range st.tasks {
		checkpoint = cmp.Or(t.checkpoint, checkpoint)
	}
	return checkpoint
}

// startMembers starts members of a gang, each on its place, as one run from one checkpoint.
func (s *Shard) startMembers(now time.Time, members []*task, places []*worker, run int64, checkpoint string) {
	for i, t := range members {
		t.checkpoint = checkpoint
		s.startRun(now, t, places[i], run)
	}
}

// gangPlaces returns a worker for each member, or nil: on one rack where that
// makes a difference and is possible.
func (s *Shard) gangPlaces(now time.Time, st *step) []*worker {
	if st.spec.OneRack {
		for _, rack := range s.racks() {
			if places := s.fillGang(now, st, rack); places != nil {
				return places
			}
		}
		if now.Sub(st.waitingSince) < oneRackPatience || st.waitingSince.IsZero() {
			return nil
		}
	}
	return s.fillGang(now, st, "")
}

// oneRackPatience is how long a gang waits for a single rack before it starts
// across racks, where it takes half as long again.
const oneRackPatience = time.Second

func (s *Shard) fillGang(now time.Time, st *step, rack string) []*worker {
	return s.fill(now, st, len(st.tasks), func(w *worker) bool { return rack == "" || w.info.Rack == rack })
}

// fill returns a worker of those allowed for each of n members of a gang, or nil.
func (s *Shard) fill(now time.Time, st *step, n int, allowed func(*worker) bool) []*worker {
	extra := make(map[*worker]int)
	places := make([]*worker, 0, n)
	for range n {
		w := s.bestWorker(now, st, extra, allowed)
		if w == nil {
			return nil
		}
		extra[w]++
		places = append(places, w)
	}
	return places
}

func (s *Shard) racks() []string {
	var racks []string
	seen := make(map[string]bool)
	for _, w := range s.order {
		if !seen[w.info.Rack] {
			seen[w.info.Rack] = true
			racks = append(racks, w.info.Rack)
		}
	}
	return racks
}
