// SPDX-License-Identifier: Apache-2.0

// Package pool manages worker shards: it reserves capacity on workers, starts and
// stops tasks, renews their leases and reports their state to job shards.
//
// A worker shard keeps no journal; its state is that of the workers. A new owner
// asks each worker for its tasks, under the new epoch, and uses a worker for new
// work only once it has answered. For each worker one goroutine sends orders as
// they come up, and another one renews its leases with long polls.
//
// # Usage
//
//	s := pool.NewSet(ctx, dcs, deps, opts, log) // a shard.Handler
//	reply, err := s.Reserve(ctx, req)           // reserves capacity for a short time
//	reply, err := s.Confirm(ctx, confirm)       // starts the tasks; may be repeated
package pool

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/platform"
	"switchbank.example/switchbank/internal/policy"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/shard"
	"switchbank.example/switchbank/internal/worker"
)

// Kind is the kind of an Error.
type Kind string

// The kinds of error.
const (
	// KindNotOwner means that this node does not own the shard now.
	KindNotOwner Kind = "not_owner"
	// KindHosts means that the host list could not be read.
	KindHosts Kind = "hosts"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("pool: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// HostList reads the platform's list of hosts.
type HostList interface {
	Hosts(ctx context.Context, dataCentre string) ([]platform.Host, error)
}

// Workers sends messages to workers.
type Workers interface {
	Contact(ctx context.Context, address string, c worker.Contact) (worker.Report, error)
}

// EventSink delivers events to the owners of the jobs they belong to. Deliver
// returns nil once the events are journalled.
type EventSink interface {
	Deliver(ctx context.Context, job string, events []peer.Event) error
	// Shard returns the job shard of a job, by which events are grouped.
	Shard(job string) string
}

// Instances keeps track of the service instances that this node owns.
type Instances interface {
	Add(i Instance)
	// SetOpen sets whether an instance accepts new requests.
	SetOpen(a worker.Attempt, open bool)
	Remove(a worker.Attempt)
	// Drain closes instances and waits until no request to them is in flight.
	Drain(ctx context.Context, as []worker.Attempt)
}

// Instance is a running task of a service.
type Instance struct {
	Attempt worker.Attempt
	Service string
	Address string
	Slots   int
	// Usable reports whether requests may go to the instance: while this node owns it, and for the
	// grace after the node has lost its lease.
	Usable func() bool
}

// Deps are the dependencies of a Set.
type Deps struct {
	Hosts     HostList
	Workers   Workers
	Events    EventSink
	Instances Instances
	Weights   func() policy.Weights
}

// Options configure a pool.
type Options struct {
	// Lease is the time that a task runs without a renewal.
	Lease time.Duration
	// Margin is added wherever times of two processes' clocks are compared.
	Margin time.Duration
	// Grace is the longest time for which an owner that has lost its lease renews the leases
	// of tasks.
	Grace time.Duration
	// Reservation is the time for which capacity is reserved for a task that is not confirmed.
	Reservation time.Duration
	// HostInterval is the time between two reads of the host list.
	HostInterval time.Duration
	// Quarantine is the time for which a worker on which different jobs fail is first
	// quarantined, that is, gets no new tasks. It doubles each time.
	Quarantine time.Duration
	// IgnoreLeaving keeps using workers that are leaving. It is a fault for tests, which must
	// detect it.
	IgnoreLeaving bool
}

// renewEvery returns the time between two renewals.
func (o Options) renewEvery() time.Duration { return o.Lease / 3 }

type taskState int

const (
	reserved taskState = iota
	starting
	running
	ended
)

type task struct {
	spec        worker.Spec
	worker      string
	reservation string
	state       taskState
	stopping    bool
	// stopReason is the reason for a stop that the pool has decided on itself.
	stopReason string
	// awaitsPreemption is set while the task waits for preempted tasks to end.
	awaitsPreemption bool
	// used is the usage that the worker reported last; it lags behind.
	used    resource.Amount
	address string
	expires time.Time
	// event is the latest event for the job's owner.
	event peer.Event
}

// allocation returns the resources that the task takes: the larger of its declared size and its
// reported usage.
func (t *task) allocation() resource.Amount { return t.spec.Size.Max(t.used) }

// holdsResources reports whether the task takes resources on its worker.
func (t *task) holdsResources() bool { return t.state != ended }

// Pool is a worker shard owned under one epoch.
type Pool struct {
	grant        shard.Grant
	deps         Deps
	opts         Options
	log          *zap.Logger
	acquiredAt   time.Time
	ctx          context.Context
	stop         context.CancelFunc
	wakeDelivery chan struct{}
	loops        sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	dropped bool
	// hostsRead is set once the host list was read.
	hostsRead  bool
	workers    map[string]*workerState
	workerList []*workerState
	// teamAllocations is the allocation of each team in this shard.
	teamAllocations map[string]resource.Amount
	tasks           map[worker.Attempt]*task
	// reservations are the tasks that are not confirmed yet, and undelivered those whose
	// latest event has not been accepted yet.
	reservations map[worker.Attempt]*task
	undelivered  map[worker.Attempt]*task
}

func newPool(ctx context.Context, g shard.Grant, deps Deps, opts Options, log *zap.Logger) *Pool {
	ctx, stop := context.WithCancel(ctx)
	p := &Pool{
		grant: g, deps: deps, opts: opts, acquiredAt: time.Now(), ctx: ctx, stop: stop,
		log:             log.With(zap.String("shard", string(g.Key)), zap.Int64("epoch", g.Epoch)),
		wakeDelivery:    make(chan struct{}, 1),
		workers:         make(map[string]*workerState),
		teamAllocations: make(map[string]resource.Amount),
		tasks:           make(map[worker.Attempt]*task),
		reservations:    make(map[worker.Attempt]*task),
		undelivered:     make(map[worker.Attempt]*task),
	}
	p.loops.Go(p.deliverLoop)
	return p
}

// drop stops the pool's goroutines and removes its instances.
func (p *Pool) drop() {
	p.mu.Lock()
	p.dropped = true
	p.mu.Unlock()
	p.stop()
	p.loops.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, t := range p.tasks {
		if t.address != "" {
			p.deps.Instances.Remove(a)
		}
	}
}

// release stops accepting reservations and waits for the requests in flight.
func (p *Pool) release(ctx context.Context) {
	p.mu.Lock()
	p.closed = true
	var instances []worker.Attempt
	for a, t := range p.tasks {
		if t.address != "" {
			instances = append(instances, a)
		}
	}
	p.mu.Unlock()
	p.deps.Instances.Drain(ctx, instances)
}

// reserve places as many of the specs as there is capacity for.
func (p *Pool) reserve(req peer.ReserveRequest) []peer.Placement {
	weights := p.deps.Weights()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(req.Specs) == 0 {
		return nil
	}
	now := time.Now()
	candidates := p.candidatesLocked(now, req.Specs[0].Attempt.Job)
	var places []peer.Placement
	for _, spec := range req.Specs {
		if t, ok := p.tasks[spec.Attempt]; ok {
			if t.state == reserved {
				places = append(places, p.placementLocked(t))
			}
			continue
		}
		i, ok := policy.Place(spec.Size, candidates, policy.Constraints{Spread: req.Spread}, weights)
		preempts := !ok && req.Preempt
		if preempts {
			i, ok = p.preemptLocked(spec, candidates)
		}
		if !ok {
			continue
		}
		w := p.workerList[i]
		t := &task{
			spec: spec, worker: w.host.ID, reservation: rand.Text(), expires: now.Add(p.opts.Reservation), awaitsPreemption: preempts,
		}
		p.tasks[spec.Attempt], p.reservations[spec.Attempt] = t, t
		w.addTaskLocked(t)
		p.updateCandidatesLocked(candidates, i, spec.Size)
		places = append(places, p.placementLocked(t))
	}
	return places
}

// updateCandidatesLocked updates the candidates after size was placed on the i-th.
func (p *Pool) updateCandidatesLocked(candidates []policy.Candidate, i int, size resource.Amount) {
	candidates[i].Free = candidates[i].Free.Sub(size)
	candidates[i].JobTasks++
	candidates[i].Unschedulable = p.workerList[i].probing
	for j := range candidates {
		if p.workerList[j].host.Rack == p.workerList[i].host.Rack {
			candidates[j].RackTasks++
		}
	}
}

func (p *Pool) placementLocked(t *task) peer.Placement {
	incarnation := ""
	if w, ok := p.workers[t.worker]; ok {
		incarnation = w.incarnation
	}
	return peer.Placement{
		Attempt: t.spec.Attempt, Shard: string(p.grant.Key), Worker: t.worker,
		Incarnation: incarnation, Reservation: t.reservation,
	}
}

// candidatesLocked returns the workers as candidates for placement, in the order of workerList.
func (p *Pool) candidatesLocked(now time.Time, job string) []policy.Candidate {
	cs := make([]policy.Candidate, len(p.workerList))
	for i, w := range p.workerList {
		cs[i] = policy.Candidate{Free: w.host.Capacity.Sub(w.allocated), Capacity: w.host.Capacity, Unschedulable: !w.schedulableLocked(now)}
	}
	p.countJobTasksLocked(cs, job)
	return cs
}

// countJobTasksLocked counts the tasks of a job by worker and by rack.
func (p *Pool) countJobTasksLocked(cs []policy.Candidate, job string) {
	for i, w := range p.workerList {
		n := w.tasksByJob[job]
		if n == 0 {
			continue
		}
		cs[i].JobTasks = n
		for j, other := range p.workerList {
			if other.host.Rack == w.host.Rack {
				cs[j].RackTasks += n
			}
		}
	}
}

// confirm starts a reserved task, or returns the state of a task that is not reserved.
func (p *Pool) confirm(pl peer.Placement) peer.ConfirmState {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tasks[pl.Attempt]
	if !ok {
		return p.unknownTaskStateLocked(pl)
	}
	if t.state == reserved {
		if t.reservation != pl.Reservation {
			return peer.ConfirmNeverRan
		}
		t.state = starting
		delete(p.reservations, pl.Attempt)
		if w, ok := p.workers[t.worker]; ok {
			w.signal()
		}
		return peer.ConfirmAccepted
	}
	if t.state != starting {
		p.queueEventLocked(t)
	}
	return peer.ConfirmAccepted
}

// unknownTaskStateLocked returns the state of a task that the pool does not know: ConfirmNeverRan
// if its worker has not restarted since the reservation, ConfirmLost if the worker has restarted or
// is gone and the leases of its tasks have certainly expired, and ConfirmPending if the pool can't
// tell yet.
func (p *Pool) unknownTaskStateLocked(pl peer.Placement) peer.ConfirmState {
	w, ok := p.workers[pl.Worker]
	if ok && w.fenced {
		if w.incarnation == pl.Incarnation {
			return peer.ConfirmNeverRan
		}
		return peer.ConfirmLost
	}
	gone := !ok || w.gone
	if gone && time.Since(p.acquiredAt) > p.opts.Grace+p.opts.Lease+p.opts.Margin && p.grant.Held() {
		return peer.ConfirmLost
	}
	return peer.ConfirmPending
}

// stopTask ends a task: a reservation at once, and a started task by an order to its worker. It
// returns the state of a task that the pool does not know.
func (p *Pool) stopTask(pl peer.Placement) peer.ConfirmState {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tasks[pl.Attempt]
	switch {
	case ok && t.state == reserved:
		p.endTaskLocked(t, peer.Event{Kind: peer.EventNeverRan, Reason: "stopped before it was started"})
		return peer.ConfirmAccepted
	case ok && t.state == ended:
		p.queueEventLocked(t)
		return peer.ConfirmAccepted
	}
	if w, known := p.workers[pl.Worker]; known {
		w.stops = append(w.stops, pl.Attempt)
		w.signal()
	}
	if !ok {
		return p.unknownTaskStateLocked(pl)
	}
	t.stopping = true
	return peer.ConfirmAccepted
}

// endTaskLocked marks a task as ended and queues its final event.
func (p *Pool) endTaskLocked(t *task, ev peer.Event) {
	if t.state == ended {
		return
	}
	if w, ok := p.workers[t.worker]; ok {
		w.removeTaskLocked(t)
	}
	if t.address != "" {
		p.deps.Instances.Remove(t.spec.Attempt)
		t.address = ""
	}
	ev.Attempt, ev.Worker = t.spec.Attempt, t.worker
	t.state, t.event = ended, ev
	delete(p.reservations, t.spec.Attempt)
	p.queueEventLocked(t)
}

// setRunningLocked marks a task as running.
func (p *Pool) setRunningLocked(t *task, address string) {
	if t.state == running || t.state == ended {
		return
	}
	t.state, t.address = running, address
	t.event = peer.Event{Kind: peer.EventStarted, Attempt: t.spec.Attempt, Worker: t.worker, Address: address}
	if t.spec.Service != "" && address != "" {
		p.deps.Instances.Add(Instance{
			Attempt: t.spec.Attempt, Service: t.spec.Service, Address: address, Slots: t.spec.Slots, Usable: p.usable,
		})
		if w, ok := p.workers[t.worker]; ok {
			p.deps.Instances.SetOpen(t.spec.Attempt, w.acceptsRequests())
		}
	}
	p.queueEventLocked(t)
}

// usable reports whether requests may go to the shard's instances: while the node owns the
// shard, and for the grace after its lease has expired.
func (p *Pool) usable() bool {
	return p.grant.Held() || p.grant.ExpiredFor() < p.opts.Grace
}

// queueEventLocked queues the latest event of a task for delivery.
func (p *Pool) queueEventLocked(t *task) {
	p.undelivered[t.spec.Attempt] = t
	p.signalDelivery()
}

func (p *Pool) signalDelivery() {
	select {
	case p.wakeDelivery <- struct{}{}:
	default:
	}
}

// expireReservationsLocked cancels reservations that were not confirmed in time.
func (p *Pool) expireReservationsLocked(now time.Time) {
	for _, t := range p.reservations {
		if now.After(t.expires) {
			p.cancelReservationLocked(t)
		}
	}
}

// cancelReservationLocked removes a task that is only reserved.
func (p *Pool) cancelReservationLocked(t *task) {
	if w, ok := p.workers[t.worker]; ok {
		w.removeTaskLocked(t)
	}
	delete(p.reservations, t.spec.Attempt)
	delete(p.tasks, t.spec.Attempt)
}

// cancelReservation cancels a reservation that its job will not confirm.
func (p *Pool) cancelReservation(pl peer.Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.reservations[pl.Attempt]; ok && t.reservation == pl.Reservation {
		p.cancelReservationLocked(t)
	}
}

// summary returns the free capacity of the shard and adds the usage of its teams to usage.
func (p *Pool) summary(usage *usageByTeam) peer.PoolSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := peer.PoolSummary{Shard: string(p.grant.Key), Known: p.hostsRead}
	now := time.Now()
	shapes := make(map[resource.Amount]bool)
	for _, w := range p.workerList {
		s.Known = s.Known && (w.fenced || w.gone)
		if !w.leaving && !w.gone && !shapes[w.host.Capacity] {
			shapes[w.host.Capacity] = true
			s.Shapes = append(s.Shapes, w.host.Capacity)
		}
		if !w.schedulableLocked(now) {
			continue
		}
		free := w.host.Capacity.Sub(w.allocated)
		s.Workers++
		s.Free = s.Free.Add(free)
		s.Capacity = s.Capacity.Add(w.host.Capacity)
		if free.DominantShare(s.Capacity) > s.Largest.DominantShare(s.Capacity) {
			s.Largest = free
		}
	}
	if p.closed {
		s.Workers, s.Free, s.Largest = 0, resource.Amount{}, resource.Amount{}
	}
	for team, allocated := range p.teamAllocations {
		usage.add(team, allocated)
	}
	return s
}
