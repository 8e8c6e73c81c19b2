// SPDX-License-Identifier: Apache-2.0

package pool

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/platform"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/shard"
	"switchbank.example/switchbank/internal/worker"
)

const (
	maxParallelDeliveries = 8
	deliveryRetryDelay    = 200 * time.Millisecond
	maxEventsPerDelivery  = 500
)

// Set holds the worker shards that a node owns.
type Set struct {
	ctx  context.Context
	dcs  []shard.DataCentre
	deps Deps
	opts Options
	log  *zap.Logger

	mu    sync.Mutex
	pools map[shard.Key]*Pool
}

// NewSet returns an empty Set, whose pools run until ctx ends.
func NewSet(ctx context.Context, dcs []shard.DataCentre, deps Deps, opts Options, log *zap.Logger) *Set {
	return &Set{ctx: ctx, dcs: dcs, deps: deps, opts: opts, log: log, pools: make(map[shard.Key]*Pool)}
}

// Run reads the host list at each interval until ctx ends.
func (s *Set) Run(ctx context.Context) error {
	t := time.NewTicker(s.opts.HostInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		for _, dc := range s.dcs {
			if err := s.readHosts(ctx, dc); err != nil {
				s.log.Warn("host list not read", events.HostsNotRead, zap.String("data_centre", dc.Name), zap.Error(err))
			}
		}
	}
}

// readHosts updates the pools of a data centre from the host list.
func (s *Set) readHosts(ctx context.Context, dc shard.DataCentre) error {
	pools := s.poolsOf(dc.Name)
	if len(pools) == 0 {
		return nil
	}
	hosts, err := s.deps.Hosts.Hosts(ctx, dc.Name)
	if err != nil {
		return &Error{"read hosts", KindHosts, err}
	}
	byShard := make(map[shard.Key][]platform.Host)
	for _, h := range hosts {
		key := shard.WorkerKey(dc, h.Rack)
		byShard[key] = append(byShard[key], h)
	}
	for _, p := range pools {
		p.updateHosts(byShard[p.grant.Key])
	}
	return nil
}

func (s *Set) poolsOf(dc string) []*Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pools []*Pool
	for key, p := range s.pools {
		if key.DataCentre() == dc {
			pools = append(pools, p)
		}
	}
	return pools
}

// Acquire takes over a worker shard: it reads the host list and starts to contact the workers.
func (s *Set) Acquire(ctx context.Context, g shard.Grant) error {
	p := newPool(s.ctx, g, s.deps, s.opts, s.log)
	s.mu.Lock()
	s.pools[g.Key] = p
	s.mu.Unlock()
	for _, dc := range s.dcs {
		if dc.Name != g.Key.DataCentre() {
			continue
		}
		if err := s.readHosts(ctx, dc); err != nil {
			s.Drop(g.Key)
			return err
		}
	}
	return nil
}

// Release stops the use of a shard's workers and waits for the requests in flight.
func (s *Set) Release(ctx context.Context, key shard.Key) {
	if p, ok := s.pool(string(key)); ok {
		p.release(ctx)
	}
}

// Drop removes a shard.
func (s *Set) Drop(key shard.Key) {
	s.mu.Lock()
	p, ok := s.pools[key]
	delete(s.pools, key)
	s.mu.Unlock()
	if ok {
		p.drop()
	}
}

func (s *Set) pool(key string) (*Pool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[shard.Key(key)]
	return p, ok
}

// ownedPool returns the pool of a shard that this node certainly owns.
func (s *Set) ownedPool(op, key string) (*Pool, error) {
	p, ok := s.pool(key)
	if !ok || !p.grant.Held() {
		return nil, &Error{op, KindNotOwner, errors.New(key)}
	}
	return p, nil
}

// Reserve places as many tasks as the shard has capacity for.
func (s *Set) Reserve(_ context.Context, req peer.ReserveRequest) (peer.ReserveReply, error) {
	p, err := s.ownedPool("reserve", req.Shard)
	if err != nil {
		return peer.ReserveReply{}, err
	}
	return peer.ReserveReply{Placements: p.reserve(req)}, nil
}

// forEachPlacement calls fn for each of the placements in a shard and returns the states.
func (s *Set) forEachPlacement(op, key string, places []peer.Placement, fn func(*Pool, peer.Placement) peer.ConfirmState) (peer.ConfirmReply, error) {
	p, err := s.ownedPool(op, key)
	if err != nil {
		return peer.ConfirmReply{}, err
	}
	reply := peer.ConfirmReply{Items: make([]peer.Confirmed, len(places))}
	for i, pl := range places {
		reply.Items[i] = peer.Confirmed{Attempt: pl.Attempt, State: fn(p, pl)}
	}
	return reply, nil
}

// Confirm starts reserved tasks, or returns the states of those that are not reserved.
func (s *Set) Confirm(_ context.Context, req peer.ConfirmRequest) (peer.ConfirmReply, error) {
	return s.forEachPlacement("confirm", req.Shard, req.Placements, (*Pool).confirm)
}

// Stop ends tasks. Events report when they have ended.
func (s *Set) Stop(_ context.Context, req peer.StopRequest) (peer.ConfirmReply, error) {
	return s.forEachPlacement("stop", req.Shard, req.Placements, (*Pool).stopTask)
}

// CancelReservations cancels reservations that will not be confirmed.
func (s *Set) CancelReservations(_ context.Context, req peer.StopRequest) (peer.ConfirmReply, error) {
	p, err := s.ownedPool("let go", req.Shard)
	if err != nil {
		return peer.ConfirmReply{}, err
	}
	for _, pl := range req.Placements {
		p.cancelReservation(pl)
	}
	return peer.ConfirmReply{}, nil
}

// Summaries returns the free capacity of the node's shards and the usage of the teams there.
func (s *Set) Summaries() ([]peer.PoolSummary, []peer.TeamUsage) {
	s.mu.Lock()
	pools := make([]*Pool, 0, len(s.pools))
	for _, p := range s.pools {
		pools = append(pools, p)
	}
	s.mu.Unlock()
	usage := usageByTeam{used: make(map[string]resource.Amount)}
	var summaries []peer.PoolSummary
	for _, p := range pools {
		if p.grant.Held() {
			summaries = append(summaries, p.summary(&usage))
		}
	}
	return summaries, usage.list()
}

// usageByTeam sums the usage of each team.
type usageByTeam struct{ used map[string]resource.Amount }

func (u *usageByTeam) add(team string, size resource.Amount) {
	u.used[team] = u.used[team].Add(size)
}

func (u *usageByTeam) list() []peer.TeamUsage {
	var list []peer.TeamUsage
	for team, used := range u.used {
		list = append(list, peer.TeamUsage{Team: team, Used: used})
	}
	slices.SortFunc(list, func(a, b peer.TeamUsage) int { return strings.Compare(a.Team, b.Team) })
	return list
}

// updateHosts updates the pool from the host list.
func (p *Pool) updateHosts(hosts []platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dropped {
		return
	}
	p.hostsRead = true
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = h.State != platform.HostGone
		w, ok := p.workers[h.ID]
		if !ok {
			if h.State == platform.HostGone {
				continue
			}
			w = newWorkerState(h, p.teamAllocations)
			p.workers[h.ID] = w
			p.workerList = append(p.workerList, w)
			p.loops.Go(func() { p.contactLoop(w) })
			p.loops.Go(func() { p.pollLoop(w) })
		}
		p.updateHostLocked(w, h)
	}
	for id, w := range p.workers {
		if !listed[id] && !w.gone {
			w.gone = true
			p.updateInstancesLocked(w)
		}
	}
}

func (p *Pool) updateHostLocked(w *workerState, h platform.Host) {
	changed := w.host != h || w.gone
	w.host, w.gone = h, h.State == platform.HostGone
	if h.State == platform.HostLeaving && !p.opts.IgnoreLeaving {
		w.leaving = true
	}
	if changed {
		p.updateInstancesLocked(w)
	}
}

// deliverLoop delivers events to the owners of jobs until the pool is dropped.
func (p *Pool) deliverLoop() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.wakeDelivery:
		}
		if p.deliver() {
			continue
		}
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(deliveryRetryDelay):
			p.signalDelivery()
		}
	}
}

// deliver sends all queued events. It reports whether all were accepted.
func (p *Pool) deliver() bool {
	groups := p.undeliveredEvents()
	var g errgroup.Group
	g.SetLimit(maxParallelDeliveries)
	for _, evs := range groups {
		g.Go(func() error {
			err := p.deps.Events.Deliver(p.ctx, evs[0].Attempt.Job, evs)
			if err != nil {
				p.log.Warn("events not accepted", events.ReportNotApplied, zap.String("job", evs[0].Attempt.Job), zap.Error(err))
				return err
			}
			p.eventsDelivered(evs)
			return nil
		})
	}
	return g.Wait() == nil
}

// undeliveredEvents returns the queued events by job shard.
func (p *Pool) undeliveredEvents() map[string][]peer.Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	groups := make(map[string][]peer.Event)
	for a, t := range p.undelivered {
		s := p.deps.Events.Shard(a.Job)
		if len(groups[s]) == maxEventsPerDelivery {
			p.signalDelivery()
			continue
		}
		groups[s] = append(groups[s], t.event)
	}
	return groups
}

// eventsDelivered records that events are journalled, and removes the tasks that have ended.
func (p *Pool) eventsDelivered(evs []peer.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ev := range evs {
		t, ok := p.tasks[ev.Attempt]
		if !ok || t.event != ev {
			continue
		}
		delete(p.undelivered, ev.Attempt)
		if t.state != ended {
			continue
		}
		delete(p.tasks, ev.Attempt)
		if w, ok := p.workers[t.worker]; ok && ev.Kind == peer.EventEnded {
			w.acks = append(w.acks, ev.Attempt)
			w.ackedTasks[ev.Attempt] = true
		}
	}
}

var _ shard.Handler = (*Set)(nil)

// Attempts returns the attempts that take resources in the node's shards, for tests and
// diagnostics.
func (s *Set) Attempts() []worker.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var as []worker.Attempt
	for _, p := range s.pools {
		p.mu.Lock()
		for a, t := range p.tasks {
			if t.holdsResources() {
				as = append(as, a)
			}
		}
		p.mu.Unlock()
	}
	return as
}
