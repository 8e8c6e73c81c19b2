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
	// maxPerRound bounds the tasks of one job that a round places.
	maxPerRound = 512
	// poolsAtOnce bounds the calls of one step that are under way together.
	poolsAtOnce = 8
	// aheadKept is how many of the jobs that go first are told of.
	aheadKept = 5
	// keepTimeout bounds a round's wait for the journal.
	keepTimeout = 2 * time.Second
)

// waiting is a job with tasks that may be placed now.
type waiting struct {
	shard *Shard
	job   string
	spec  api.Workload
	specs []worker.Spec
	whole bool
	// untried is set while no task of the job was ever placed.
	untried bool
}

// round is what one round of scheduling works on.
type round struct {
	bundle *bundle.Bundle
	pools  []peer.PoolSummary
	total  resource.Amount
	teams  []policy.Team
	jobs   []waiting
	placed []placed
	// whole is set when the workers of every worker shard are known.
	whole bool
}

// schedule gives places to the tasks that wait, in the order of the policy.
func (s *Set) schedule(ctx context.Context) {
	jobs := s.waitingJobs()
	if len(jobs) == 0 {
		return
	}
	r := s.newRound(jobs)
	items := r.items()
	var ahead []string
	for _, i := range policy.Order(time.Now(), items, r.teams, r.total) {
		if ctx.Err() != nil {
			return
		}
		w := &r.jobs[i]
		why, err := s.place(ctx, &r, w)
		if err != nil {
			why = err.Error()
			s.log.Warn("tasks not placed", events.TaskNotPlaced, zap.String("job", w.job), zap.Error(err))
		}
		w.shard.setWaits(w.job, waitNote{why, slices.Clone(ahead)})
		if len(ahead) < aheadKept {
			ahead = append(ahead, w.job)
		}
	}
	s.startPlaced(ctx, r.placed)
}

// placed are places whose record is on its way to the journal.
type placed struct {
	shard  *Shard
	places []peer.Placement
	kept   *journal.Pending
}

// startPlaced starts tasks as their places are kept; what is not kept in time
// is left to reconcile.
func (s *Set) startPlaced(ctx context.Context, batch []placed) {
	wait, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(poolsAtOnce)
	for _, b := range batch {
		g.Go(func() error {
			_, span := tracer().Start(wait, "journal")
			kept := s.opts.StartBeforeJournal || b.kept.Wait(wait) == nil
			span.End()
			if kept {
				s.confirm(ctx, b.shard, b.places)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// waitingJobs returns the jobs with tasks that may be placed now, by name.
func (s *Set) waitingJobs() []waiting {
	now, b := time.Now(), s.deps.Bundle()
	var jobs []waiting
	for _, sh := range s.all() {
		jobs = append(jobs, sh.waiting(now, b)...)
	}
	slices.SortFunc(jobs, func(a, b waiting) int { return cmp.Compare(a.job, b.job) })
	return jobs
}

func (s *Set) newRound(jobs []waiting) round {
	r := round{bundle: s.deps.Bundle(), pools: s.deps.Load.Pools(), jobs: jobs}
	known := 0
	for _, p := range r.pools {
		r.total = r.total.Add(p.Capacity)
		if p.Known {
			known++
		}
	}
	r.whole = known == s.opts.WorkerShards
	for _, t := range r.bundle.Teams {
		r.teams = append(r.teams, policy.Team{Name: t.Name, Weight: t.Weight, Quota: t.Quota})
	}
	for _, u := range s.deps.Load.Teams() {
		if i := r.team(u.Team); i >= 0 {
			r.teams[i].Used = r.teams[i].Used.Add(u.Used)
		}
	}
	return r
}

func (r *round) team(name string) int {
	return slices.IndexFunc(r.teams, func(t policy.Team) bool { return t.Name == name })
}

// items describes the waiting jobs to the policy.
func (r *round) items() []policy.WaitingJob {
	items := make([]policy.WaitingJob, len(r.jobs))
	for i, w := range r.jobs {
		class, _ := r.bundle.Class(w.spec.Class)
		items[i] = policy.WaitingJob{
			TeamIndex: r.teamOrAdd(w.spec.Team), Priority: class.Priority, Deadline: w.spec.Deadline,
			RunTime: time.Duration(w.spec.RunMS) * time.Millisecond, TaskSize: w.spec.Size, Demand: w.spec.Size.Times(int64(len(w.specs))),
		}
	}
	return items
}

// teamOrAdd returns a team's index; a team that left the bundle counts with the least weight.
func (r *round) teamOrAdd(name string) int {
	if i := r.team(name); i >= 0 {
		return i
	}
	r.teams = append(r.teams, policy.Team{Name: name})
	return len(r.teams) - 1
}

// waiting returns the shard's jobs with tasks that may be placed now.
func (sh *Shard) waiting(now time.Time, b *bundle.Bundle) []waiting {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var list []waiting
	for id, j := range sh.state.Jobs {
		if j.counts.Waiting == 0 || j.Cancelled || j.Restarting {
			continue
		}
		class, _ := b.Class(j.Spec.Class)
		w := waiting{shard: sh, job: id, spec: j.Spec, whole: j.Spec.Kind == api.KindAllAtOnce, untried: j.untried()}
		w.specs = j.ready(now, class)
		if len(w.specs) == 0 || (w.whole && len(w.specs) < len(j.Tasks)) {
			continue
		}
		list = append(list, w)
	}
	return list
}

// ready returns the specs of the tasks that may be placed now.
func (j *Job) ready(now time.Time, class bundle.Class) []worker.Spec {
	most := maxPerRound
	if j.Spec.Kind == api.KindAllAtOnce {
		most = len(j.Tasks)
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
		if len(specs) == most {
			break
		}
	}
	return specs
}

func (sh *Shard) setWaits(job string, note waitNote) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if note.why == "" {
		delete(sh.waits, job)
		return
	}
	sh.waits[job] = note
}

// place reserves room for a job's tasks and journals the places; the starts follow.
// It returns why tasks still wait, or "".
func (s *Set) place(ctx context.Context, r *round, w *waiting) (string, error) {
	if r.neverFits(w) {
		why := "no worker of the cell has as much as a task needs"
		_, err := w.shard.append(Record{Reject: &Reject{Job: w.job, Reason: why, At: time.Now().UTC()}})
		return why, err
	}
	if why := r.overLimit(w); why != "" {
		return why, nil
	}
	places, err := s.reserve(ctx, r, w)
	short := len(w.specs) - len(places)
	if short > 0 && (w.whole || len(places) == 0) {
		s.letGo(ctx, places)
		return fmt.Sprintf("no room: %d of %d tasks fit now", len(places), len(w.specs)), err
	}
	places = w.shard.stillWaiting(places)
	if len(places) == 0 {
		return "", nil
	}
	kept, err := w.shard.append(Record{Place: &Place{Placements: places}})
	if err != nil {
		s.letGo(ctx, places)
		return "the store does not take writes", err
	}
	r.placed = append(r.placed, placed{w.shard, places, kept})
	if short > 0 {
		return fmt.Sprintf("no room: %d tasks still wait", short), nil
	}
	return "", nil
}

// neverFits reports whether every worker of the cell is known and none could
// hold a task of the job, empty as it may be.
func (r *round) neverFits(w *waiting) bool {
	if !r.whole || !w.untried {
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

// overLimit tells whether the job's next tasks would take its team over its limit.
func (r *round) overLimit(w *waiting) string {
	t, ok := r.bundle.Team(w.spec.Team)
	if !ok {
		return "team " + w.spec.Team + " is not in the bundle"
	}
	used := r.teams[r.team(w.spec.Team)].Used
	n := int64(1)
	if w.whole {
		n = int64(len(w.specs))
	}
	if exceeds(used.Add(w.spec.Size.Times(n)), t.Limit) {
		return "team " + t.Name + " is at its limit"
	}
	return ""
}

// exceeds reports whether a is above limit in a resource that has one.
func exceeds(a, limit resource.Amount) bool {
	over := func(a, limit int64) bool { return limit > 0 && a > limit }
	return over(a.CPUMilli, limit.CPUMilli) || over(a.MemoryMB, limit.MemoryMB) || over(a.Accelerators, limit.Accelerators)
}

// reserve asks worker shards for room until the job's tasks have it or no shard is left.
func (s *Set) reserve(ctx context.Context, r *round, w *waiting) ([]peer.Placement, error) {
	places, rest, err := s.reserveIn(ctx, r, w, r.poolOrder(w), w.specs, false)
	if len(rest) == 0 || w.whole || !r.urgent(w) {
		return places, err
	}
	more, _, perr := s.reserveIn(ctx, r, w, r.allPools(), rest, true)
	return append(places, more...), cmp.Or(err, perr)
}

// urgent reports whether a job's class may take room from preemptible ones.
func (r *round) urgent(w *waiting) bool {
	class, _ := r.bundle.Class(w.spec.Class)
	return slices.ContainsFunc(r.bundle.Classes, func(c bundle.Class) bool {
		return c.Preemptible && c.Priority < class.Priority
	})
}

// allPools returns the worker shards that have workers, whatever room they have.
func (r *round) allPools() []int {
	var all []int
	for i, p := range r.pools {
		if p.Workers > 0 {
			all = append(all, i)
		}
	}
	return all
}

// reserveIn asks worker shards in order, and returns what is still without a place.
func (s *Set) reserveIn(
	ctx context.Context, r *round, w *waiting, order []int, rest []worker.Spec, preempt bool,
) ([]peer.Placement, []worker.Spec, error) {
	var places []peer.Placement
	var firstErr error
	for n, i := range order {
		if len(rest) == 0 {
			break
		}
		ask := rest
		if w.spec.Kind == api.KindService {
			left := len(order) - n
			ask = rest[:(len(rest)+left-1)/left]
		}
		rctx, span := tracer().Start(ctx, "reserve", trace.WithAttributes(
			attribute.String("job", w.job), attribute.String("shard", r.pools[i].Shard), attribute.Int("tasks", len(ask))))
		reply, err := s.deps.Pools.Reserve(rctx, peer.ReserveRequest{
			Shard: r.pools[i].Shard, Specs: ask, Spread: w.spec.Kind == api.KindService, Preempt: preempt,
		})
		span.End()
		if err != nil {
			firstErr = cmp.Or(firstErr, err)
			continue
		}
		places = append(places, reply.Placements...)
		rest = without(rest, reply.Placements)
		r.took(i, w, len(reply.Placements), len(ask))
	}
	return places, rest, firstErr
}

// poolOrder returns the worker shards that may have room, best first.
func (r *round) poolOrder(w *waiting) []int {
	var order []int
	for i, p := range r.pools {
		if p.Workers > 0 && p.Largest.Fits(w.spec.Size) {
			order = append(order, i)
		}
	}
	fullFirst := w.spec.Kind != api.KindService && r.bundle.Placement.Packing > r.bundle.Placement.Waiting
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := r.pools[a].Free.DominantShare(r.pools[a].Capacity), r.pools[b].Free.DominantShare(r.pools[b].Capacity)
		if fullFirst {
			return cmp.Compare(x, y)
		}
		return cmp.Compare(y, x)
	})
	return order
}

// took brings the round's view of a worker shard and a team up to date.
func (r *round) took(i int, w *waiting, n, asked int) {
	used := w.spec.Size.Times(int64(n))
	r.pools[i].Free = r.pools[i].Free.Sub(used)
	if n < asked {
		// It gave all it had for this size; the next summary tells more.
		r.pools[i].Largest = resource.Amount{}
	}
	if t := r.team(w.spec.Team); t >= 0 {
		r.teams[t].Used = r.teams[t].Used.Add(used)
	}
}

func without(specs []worker.Spec, places []peer.Placement) []worker.Spec {
	placed := make(map[worker.Attempt]bool, len(places))
	for _, p := range places {
		placed[p.Attempt] = true
	}
	var rest []worker.Spec
	for _, sp := range specs {
		if !placed[sp.Attempt] {
			rest = append(rest, sp)
		}
	}
	return rest
}

// wanted leaves out the places of tasks that must not be started any more.
func (sh *Shard) wanted(places []peer.Placement) []peer.Placement {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var wanted []peer.Placement
	for _, p := range places {
		if j, t := sh.state.task(p.Attempt); t != nil && t.Attempt == p.Attempt.N && t.State.Active() && !j.mustStop() {
			wanted = append(wanted, p)
		}
	}
	return wanted
}

// stillWaiting leaves out the places of tasks that were cancelled meanwhile.
func (sh *Shard) stillWaiting(places []peer.Placement) []peer.Placement {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var still []peer.Placement
	for _, p := range places {
		if j, t := sh.state.task(p.Attempt); t != nil && t.State == api.TaskWaiting && !j.Cancelled {
			still = append(still, p)
		}
	}
	return still
}

// byPool groups placements by worker shard.
func byPool(places []peer.Placement) [][]peer.Placement {
	sorted := slices.Clone(places)
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

// eachPool calls fn for the placements of each worker shard, several at once.
func eachPool(places []peer.Placement, fn func(shard string, places []peer.Placement)) {
	var g errgroup.Group
	g.SetLimit(poolsAtOnce)
	for _, group := range byPool(places) {
		g.Go(func() error {
			fn(group[0].Shard, group)
			return nil
		})
	}
	_ = g.Wait()
}

// letGo gives up reservations; what is not reached runs out by itself.
func (s *Set) letGo(ctx context.Context, places []peer.Placement) {
	eachPool(places, func(shard string, places []peer.Placement) {
		_, _ = s.deps.Pools.CancelReservations(ctx, peer.StopRequest{Shard: shard, Placements: places})
	})
}

// confirm starts placed tasks, or learns what became of them.
func (s *Set) confirm(ctx context.Context, sh *Shard, places []peer.Placement) {
	places = sh.wanted(places)
	sh.noteAsked(places, time.Now())
	eachPool(places, func(shard string, places []peer.Placement) {
		ctx, span := tracer().Start(ctx, "start", trace.WithAttributes(
			attribute.String("shard", shard), attribute.Int("tasks", len(places))))
		defer span.End()
		reply, err := s.deps.Pools.Confirm(ctx, peer.ConfirmRequest{Shard: shard, Placements: places})
		if err != nil {
			// Asked again by reconcile.
			return
		}
		s.learn(ctx, sh, places, reply)
	})
}

// learn journals what the owner of a worker shard says of tasks that it does not run.
func (s *Set) learn(ctx context.Context, sh *Shard, places []peer.Placement, reply peer.ConfirmReply) {
	workers := make(map[worker.Attempt]string, len(places))
	for _, p := range places {
		workers[p.Attempt] = p.Worker
	}
	var evs []peer.Event
	sh.noteAnswered(reply.Items)
	for _, c := range reply.Items {
		ev := peer.Event{Attempt: c.Attempt, Worker: workers[c.Attempt]}
		switch c.State {
		case peer.ConfirmVoid:
			ev.Kind, ev.Reason = peer.EventVoid, "the reservation has run out"
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
	if err := sh.takeEvents(ctx, evs); err != nil {
		s.log.Warn("events not kept", events.ReportNotApplied, zap.Error(err))
	}
	s.Wake()
}

func tracer() trace.Tracer { return otel.Tracer("switchbank/jobs") }
