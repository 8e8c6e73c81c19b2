// SPDX-License-Identifier: Apache-2.0

package jobs

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/journal"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/policy"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/worker"
)

const (
	// maxTasksPerRound is the maximum number of tasks of a job that a round places, unless
	// the job is all-at-once: its tasks are always placed together.
	maxTasksPerRound = 512
	// maxConcurrentPools is the maximum number of concurrent calls to worker shards.
	maxConcurrentPools = 8
	// maxAhead is the maximum number of jobs that a wait status lists as ahead.
	maxAhead = 5
	// journalTimeout bounds how long a round waits until appends are durable.
	journalTimeout = 2 * time.Second
)

// waitingJob is a job that has tasks to be placed now.
type waitingJob struct {
	shard     *Shard
	job       string
	spec      api.Workload
	specs     []worker.Spec
	allAtOnce bool
	// neverPlaced is set if no task of the job was ever placed.
	neverPlaced bool
}

// round is the input and the progress of one round of scheduling.
type round struct {
	bundle        *bundle.Bundle
	pools         []peer.PoolSummary
	total         resource.Amount
	teams         []policy.Team
	jobs          []waitingJob
	pendingStarts []pendingStart
	// allPoolsKnown is set if the workers of every worker shard are known.
	allPoolsKnown bool
}

// schedule places waiting tasks in the order of the policy, and starts them.
func (s *Set) schedule(ctx context.Context) {
	jobs := s.waitingJobs()
	if len(jobs) == 0 {
		return
	}
	r := s.newRound(jobs)
	items := r.policyJobs()
	var ahead []string
	for _, i := range policy.Order(time.Now(), items, r.teams, r.total) {
		if ctx.Err() != nil {
			return
		}
		w := &r.jobs[i]
		reason, err := s.placeJob(ctx, &r, w)
		if err != nil {
			reason = err.Error()
			s.log.Warn("tasks not placed", events.TaskNotPlaced, zap.String("job", w.job), zap.Error(err))
		}
		w.shard.setWaitStatus(w.job, waitStatus{reason, slices.Clone(ahead)})
		if len(ahead) < maxAhead {
			ahead = append(ahead, w.job)
		}
	}
	s.startDurable(ctx, r.pendingStarts)
}

// pendingStart holds placements that are being journalled; their tasks can be started
// once pending is durable.
type pendingStart struct {
	shard      *Shard
	placements []peer.Placement
	pending    *journal.Pending
}

// startDurable starts tasks as soon as their placements are durable. Those that are not
// durable within journalTimeout are left to reconcile.
func (s *Set) startDurable(ctx context.Context, batch []pendingStart) {
	waitCtx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrentPools)
	for _, b := range batch {
		g.Go(func() error {
			_, span := tracer().Start(waitCtx, "journal")
			durable := s.opts.StartBeforeJournal || b.pending.Wait(waitCtx) == nil
			span.End()
			if durable {
				s.confirm(ctx, b.shard, b.placements)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// waitingJobs returns the jobs that have tasks to be placed now, sorted by ID.
func (s *Set) waitingJobs() []waitingJob {
	now, b := time.Now(), s.deps.Bundle()
	var jobs []waitingJob
	for _, sh := range s.ownedShards() {
		jobs = append(jobs, sh.waitingJobs(now, b)...)
	}
	slices.SortFunc(jobs, func(a, b waitingJob) int { return cmp.Compare(a.job, b.job) })
	return jobs
}

// newRound returns a round for jobs, with the current load of the cell.
func (s *Set) newRound(jobs []waitingJob) round {
	r := round{bundle: s.deps.Bundle(), pools: s.deps.Load.Pools(), jobs: jobs}
	known := 0
	for _, p := range r.pools {
		r.total = r.total.Add(p.Capacity)
		if p.Known {
			known++
		}
	}
	r.allPoolsKnown = known == s.opts.WorkerShards
	for _, t := range r.bundle.Teams {
		r.teams = append(r.teams, policy.Team{Name: t.Name, Weight: t.Weight, Quota: t.Quota})
	}
	for _, u := range s.deps.Load.Teams() {
		if i := r.teamIndex(u.Team); i >= 0 {
			r.teams[i].Used = r.teams[i].Used.Add(u.Used)
		}
	}
	return r
}

// teamIndex returns a team's index in r.teams, or -1.
func (r *round) teamIndex(name string) int {
	return slices.IndexFunc(r.teams, func(t policy.Team) bool { return t.Name == name })
}

// policyJobs returns the waiting jobs in the form in which the policy orders them.
func (r *round) policyJobs() []policy.WaitingJob {
	items := make([]policy.WaitingJob, len(r.jobs))
	for i, w := range r.jobs {
		class, _ := r.bundle.Class(w.spec.Class)
		items[i] = policy.WaitingJob{
			TeamIndex: r.teamIndexOrAdd(w.spec.Team), Priority: class.Priority, Deadline: w.spec.Deadline,
			RunTime: time.Duration(w.spec.RunMS) * time.Millisecond, TaskSize: w.spec.Size, Demand: w.spec.Size.Times(int64(len(w.specs))),
		}
	}
	return items
}

// teamIndexOrAdd returns a team's index in r.teams. It adds a team that is not in the
// bundle any more, with the minimum weight.
func (r *round) teamIndexOrAdd(name string) int {
	if i := r.teamIndex(name); i >= 0 {
		return i
	}
	r.teams = append(r.teams, policy.Team{Name: name})
	return len(r.teams) - 1
}

// waitingJobs returns the shard's jobs that have tasks to be placed now. An all-at-once
// job is among them only if all of its tasks can be.
func (sh *Shard) waitingJobs(now time.Time, b *bundle.Bundle) []waitingJob {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var list []waitingJob
	for id, j := range sh.state.Jobs {
		if j.counts.Waiting == 0 || j.Cancelled || j.Restarting {
			continue
		}
		class, _ := b.Class(j.Spec.Class)
		w := waitingJob{shard: sh, job: id, spec: j.Spec, allAtOnce: j.Spec.Kind == api.KindAllAtOnce, neverPlaced: j.neverPlaced()}
		w.specs = j.readySpecs(now, class)
		if len(w.specs) == 0 || (w.allAtOnce && len(w.specs) < len(j.Tasks)) {
			continue
		}
		list = append(list, w)
	}
	return list
}

// readySpecs returns the specs of the tasks that can be placed now: they wait, and their
// backoff is over.
func (j *Job) readySpecs(now time.Time, class bundle.Class) []worker.Spec {
	limit := maxTasksPerRound
	if j.Spec.Kind == api.KindAllAtOnce {
		limit = len(j.Tasks)
	}
	var specs []worker.Spec
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.State != api.TaskWaiting || now.Before(t.NotBefore) {
			continue
		}
		specs = append(specs, worker.Spec{
			Attempt: worker.Attempt{Job: j.Spec.ID, Task: i, N: t.Attempt + 1},
			Team:    j.Spec.Team, Class: j.Spec.Class, Size: j.Spec.Size, Command: j.Spec.Command,
			Service: j.Spec.Service, Slots: j.Spec.Slots, GraceMS: class.GraceMS,
			Priority: class.Priority, Preemptible: class.Preemptible && !j.Spec.AtMostOnce && j.Spec.Kind != api.KindAllAtOnce,
		})
		if len(specs) == limit {
			break
		}
	}
	return specs
}

// setWaitStatus sets a job's wait status; one without a reason is removed.
func (sh *Shard) setWaitStatus(job string, status waitStatus) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if status.reason == "" {
		delete(sh.waitStatuses, job)
		return
	}
	sh.waitStatuses[job] = status
}

// placeJob reserves resources for a job's tasks and journals their placements. It adds a
// pending start to the round, and returns the reason why tasks still wait, or "".
func (s *Set) placeJob(ctx context.Context, r *round, w *waitingJob) (string, error) {
	if r.neverFits(w) {
		reason := "no worker of the cell has as much as a task needs"
		_, err := w.shard.appendRecords(Record{Reject: &Reject{Job: w.job, Reason: reason, At: time.Now().UTC()}})
		return reason, err
	}
	if reason := r.overLimit(w); reason != "" {
		return reason, nil
	}
	placements, err := s.reserve(ctx, r, w)
	unplaced := len(w.specs) - len(placements)
	if unplaced > 0 && (w.allAtOnce || len(placements) == 0) {
		s.cancelReservations(ctx, placements)
		return fmt.Sprintf("no room: %d of %d tasks fit now", len(placements), len(w.specs)), err
	}
	placements = w.shard.stillWaiting(placements)
	if len(placements) == 0 {
		return "", nil
	}
	pending, err := w.shard.appendRecords(Record{Place: &Place{Placements: placements}})
	if err != nil {
		s.cancelReservations(ctx, placements)
		return "the store does not take writes", err
	}
	r.pendingStarts = append(r.pendingStarts, pendingStart{w.shard, placements, pending})
	if unplaced > 0 {
		return fmt.Sprintf("no room: %d tasks still wait", unplaced), nil
	}
	return "", nil
}

// neverFits reports whether all workers of the cell are known and none is large enough
// for a task of the job, even without other tasks.
func (r *round) neverFits(w *waitingJob) bool {
	if !r.allPoolsKnown || !w.neverPlaced {
		return false
	}
	known := false
	for _, p := range r.pools {
		for _, shape := range p.Shapes {
			if shape.Fits(w.spec.Size) {
				return false
			}
			known = true
		}
	}
	return known
}

// overLimit returns the reason why the job's next tasks may not be placed now because of
// the limit of its team, or "".
func (r *round) overLimit(w *waitingJob) string {
	t, ok := r.bundle.Team(w.spec.Team)
	if !ok {
		return "team " + w.spec.Team + " is not in the bundle"
	}
	used := r.teams[r.teamIndex(w.spec.Team)].Used
	n := int64(1)
	if w.allAtOnce {
		n = int64(len(w.specs))
	}
	if used.Add(w.spec.Size.Times(n)).Exceeds(t.Limit) {
		return "team " + t.Name + " is at its limit"
	}
	return ""
}

// reserve reserves resources for the job's tasks in one worker shard after the other. If
// tasks remain and the class of the job allows it, it preempts other tasks, but never for
// an all-at-once job.
func (s *Set) reserve(ctx context.Context, r *round, w *waitingJob) ([]peer.Placement, error) {
	placements, remaining, err := s.reserveFrom(ctx, r, w, r.poolOrder(w), w.specs, false)
	if len(remaining) == 0 || w.allAtOnce || !r.mayPreempt(w) {
		return placements, err
	}
	preempted, _, preemptErr := s.reserveFrom(ctx, r, w, r.allPools(), remaining, true)
	return append(placements, preempted...), cmp.Or(err, preemptErr)
}

// mayPreempt reports whether there is a preemptible class with a lower priority than the
// job's.
func (r *round) mayPreempt(w *waitingJob) bool {
	class, _ := r.bundle.Class(w.spec.Class)
	return slices.ContainsFunc(r.bundle.Classes, func(c bundle.Class) bool {
		return c.Preemptible && c.Priority < class.Priority
	})
}

// allPools returns the worker shards that have workers, regardless of their free capacity.
func (r *round) allPools() []int {
	var all []int
	for i, p := range r.pools {
		if p.Workers > 0 {
			all = append(all, i)
		}
	}
	return all
}

// reserveFrom asks worker shards for reservations in order. It returns the placements, the
// specs that have none, and the first error. Tasks of a service are spread evenly over
// the shards.
func (s *Set) reserveFrom(
	ctx context.Context, r *round, w *waitingJob, order []int, specs []worker.Spec, preempt bool,
) ([]peer.Placement, []worker.Spec, error) {
	var placements []peer.Placement
	var firstErr error
	for n, i := range order {
		if len(specs) == 0 {
			break
		}
		batch := specs
		if w.spec.Kind == api.KindService {
			left := len(order) - n
			batch = specs[:(len(specs)+left-1)/left]
		}
		rctx, span := tracer().Start(ctx, "reserve", trace.WithAttributes(
			attribute.String("job", w.job), attribute.String("shard", r.pools[i].Shard), attribute.Int("tasks", len(batch))))
		reply, err := s.deps.Pools.Reserve(rctx, peer.ReserveRequest{
			Shard: r.pools[i].Shard, Specs: batch, Spread: w.spec.Kind == api.KindService, Preempt: preempt,
		})
		span.End()
		if err != nil {
			firstErr = cmp.Or(firstErr, err)
			continue
		}
		placements = append(placements, reply.Placements...)
		specs = unplacedSpecs(specs, reply.Placements)
		r.recordReserved(i, w, len(reply.Placements), len(batch))
	}
	return placements, specs, firstErr
}

// poolOrder returns the worker shards that may have enough free capacity, best first: the
// fullest if the bundle gives packing more weight than waiting, and otherwise, or for a
// service, the emptiest.
func (r *round) poolOrder(w *waitingJob) []int {
	var order []int
	for i, p := range r.pools {
		if p.Workers > 0 && p.Largest.Fits(w.spec.Size) {
			order = append(order, i)
		}
	}
	fullestFirst := w.spec.Kind != api.KindService && r.bundle.Placement.Packing > r.bundle.Placement.Waiting
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := r.pools[a].Free.DominantShare(r.pools[a].Capacity), r.pools[b].Free.DominantShare(r.pools[b].Capacity)
		if fullestFirst {
			return cmp.Compare(x, y)
		}
		return cmp.Compare(y, x)
	})
	return order
}

// recordReserved updates the round's view of a worker shard and a team after a
// reservation of granted tasks out of requested.
func (r *round) recordReserved(i int, w *waitingJob, granted, requested int) {
	used := w.spec.Size.Times(int64(granted))
	r.pools[i].Free = r.pools[i].Free.Sub(used)
	if granted < requested {
		// The shard has no more capacity for this size, so do not ask it again in this round.
		r.pools[i].Largest = resource.Amount{}
	}
	if t := r.teamIndex(w.spec.Team); t >= 0 {
		r.teams[t].Used = r.teams[t].Used.Add(used)
	}
}

// unplacedSpecs returns the specs that have no placement.
func unplacedSpecs(specs []worker.Spec, placements []peer.Placement) []worker.Spec {
	placed := make(map[worker.Attempt]bool, len(placements))
	for _, p := range placements {
		placed[p.Attempt] = true
	}
	var unplaced []worker.Spec
	for _, sp := range specs {
		if !placed[sp.Attempt] {
			unplaced = append(unplaced, sp)
		}
	}
	return unplaced
}

// startable returns the placements of tasks that are still to be started.
func (sh *Shard) startable(placements []peer.Placement) []peer.Placement {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var start []peer.Placement
	for _, p := range placements {
		if j, t := sh.state.task(p.Attempt); t != nil && t.Attempt == p.Attempt.N && t.State.Active() && !j.mustStop() {
			start = append(start, p)
		}
	}
	return start
}

// stillWaiting returns the placements of tasks that have not been cancelled meanwhile.
func (sh *Shard) stillWaiting(placements []peer.Placement) []peer.Placement {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var waiting []peer.Placement
	for _, p := range placements {
		if j, t := sh.state.task(p.Attempt); t != nil && t.State == api.TaskWaiting && !j.Cancelled {
			waiting = append(waiting, p)
		}
	}
	return waiting
}

// byPool groups placements by worker shard.
func byPool(placements []peer.Placement) [][]peer.Placement {
	sorted := slices.Clone(placements)
	slices.SortStableFunc(sorted, func(a, b peer.Placement) int { return cmp.Compare(a.Shard, b.Shard) })
	var groups [][]peer.Placement
	for i, p := range sorted {
		if i == 0 || p.Shard != sorted[i-1].Shard {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], p)
	}
	return groups
}

// eachPool calls fn with the placements of each worker shard, concurrently.
func eachPool(placements []peer.Placement, fn func(shard string, placements []peer.Placement)) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentPools)
	for _, group := range byPool(placements) {
		g.Go(func() error {
			fn(group[0].Shard, group)
			return nil
		})
	}
	_ = g.Wait()
}

// cancelReservations releases reservations. It ignores errors, since reservations expire.
func (s *Set) cancelReservations(ctx context.Context, placements []peer.Placement) {
	eachPool(placements, func(shard string, placements []peer.Placement) {
		_, _ = s.deps.Pools.CancelReservations(ctx, peer.StopRequest{Shard: shard, Placements: placements})
	})
}

// confirm starts placed tasks, and journals what became of those that can't be started.
func (s *Set) confirm(ctx context.Context, sh *Shard, placements []peer.Placement) {
	placements = sh.startable(placements)
	sh.recordAsked(placements, time.Now())
	eachPool(placements, func(shard string, placements []peer.Placement) {
		ctx, span := tracer().Start(ctx, "start", trace.WithAttributes(
			attribute.String("shard", shard), attribute.Int("tasks", len(placements))))
		defer span.End()
		reply, err := s.deps.Pools.Confirm(ctx, peer.ConfirmRequest{Shard: shard, Placements: placements})
		if err != nil {
			// reconcile asks again later.
			return
		}
		s.applyConfirmReply(ctx, sh, placements, reply)
	})
}

// applyConfirmReply journals events for the tasks that the owner of a worker shard does not
// run, according to its reply.
func (s *Set) applyConfirmReply(ctx context.Context, sh *Shard, placements []peer.Placement, reply peer.ConfirmReply) {
	workers := make(map[worker.Attempt]string, len(placements))
	for _, p := range placements {
		workers[p.Attempt] = p.Worker
	}
	var evs []peer.Event
	sh.recordConfirmed(reply.Items)
	for _, c := range reply.Items {
		ev := peer.Event{Attempt: c.Attempt, Worker: workers[c.Attempt]}
		switch c.State {
		case peer.ConfirmNeverRan:
			ev.Kind, ev.Reason = peer.EventNeverRan, "the reservation has run out"
		case peer.ConfirmLost:
			ev.Kind, ev.Reason = peer.EventLost, "its worker is gone or was restarted"
		default:
			continue
		}
		evs = append(evs, ev)
	}
	if len(evs) == 0 {
		return
	}
	if err := sh.applyEvents(ctx, evs); err != nil {
		s.log.Warn("task events not journalled", events.ReportNotApplied, zap.Error(err))
	}
	s.Wake()
}

func tracer() trace.Tracer { return otel.Tracer("switchbank/jobs") }
