// SPDX-License-Identifier: Apache-2.0

// Package requests carries callers' requests to the instances of services.
//
// The Balancer counts the slots of the instances that this node owns and keeps
// the queues before them. The Entry takes a request in, finds it a slot here or
// on a peer, and ends it with one typed outcome.
//
// # Usage
//
//	b := requests.NewBalancer(currentBundle)
//	e := requests.NewEntry(requests.Deps{Balancer: b, …}, opts, log)
//	res := e.Do(ctx, requests.Request{Service: "balance-check", …})
package requests

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/pool"
	"switchbank.example/switchbank/internal/queue"
	"switchbank.example/switchbank/internal/worker"
)

const (
	// suspectFor is how long an instance that did not answer is passed over.
	suspectFor = time.Second
	// smoothing is the weight of the newest request in the mean time taken.
	smoothing    = 0.1
	firstMean    = 50 * time.Millisecond
	leastRetryIn = 50 * time.Millisecond
)

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error; each is also the reason that a caller is told.
const (
	KindNoInstance          Kind = "no_instance"
	KindTeamQueueFull       Kind = "team_queue_full"
	KindQueueFull           Kind = "queue_full"
	KindDeadline            Kind = "deadline"
	KindKeyStoreUnavailable Kind = "key_store_unavailable"
	KindTooManyKeys         Kind = "too_many_keys"
	KindKeyReused           Kind = "key_used_for_another_request"
	KindKeyOutcomeUnknown   Kind = "key_outcome_unknown"
	KindKeyTooOld           Kind = "key_older_than_window"
	KindUpstreamFailed      Kind = "upstream_failed"
	KindUpstreamNotReached  Kind = "upstream_not_reached"
	KindAnswerTruncated     Kind = "answer_cut"
	KindAnswerMismatch      Kind = "answer_of_another_request"
	KindAnswerTooLarge      Kind = "answer_too_large"
	KindPeerFailed          Kind = "peer_failed"
	KindUpstreamDidNotRun   Kind = "upstream_did_not_run"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// RetryAfter is when it makes sense to come back; 0 is unknown.
	RetryAfter time.Duration
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("requests: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Balancer counts slots and queues requests for the instances that this node owns.
type Balancer struct {
	bundle func() *bundle.Bundle
	// overcommit switches the counting of slots off, to show that tests see it.
	overcommit bool

	mu       sync.Mutex
	services map[string]*service
	byID     map[worker.Attempt]*instance
}

type service struct {
	name      string
	instances []*instance
	queue     *queue.Fair[*waiter]
	// mean is the mean time that a request holds a slot.
	mean time.Duration
}

type instance struct {
	pool.Instance
	service *service
	busy    int
	open    bool
	suspect time.Time
	// idle is closed once a drained instance has no request in flight.
	idle chan struct{}
}

type waiter struct {
	ready chan *instance
}

// Slot is the right to send one request to an instance.
type Slot struct {
	b     *Balancer
	inst  *instance
	taken time.Time
}

// NewBalancer returns a balancer without instances.
func NewBalancer(b func() *bundle.Bundle) *Balancer {
	return &Balancer{bundle: b, services: make(map[string]*service), byID: make(map[worker.Attempt]*instance)}
}

// AllowOvercommit switches the counting of slots off, to show that tests see it.
func (b *Balancer) AllowOvercommit() { b.overcommit = true }

// Add takes an instance into use.
func (b *Balancer) Add(i pool.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.byID[i.Attempt]; ok {
		return
	}
	s := b.serviceLocked(i.Service)
	inst := &instance{Instance: i, service: s, open: true}
	s.instances = append(s.instances, inst)
	b.byID[i.Attempt] = inst
	b.serveLocked(s)
}

func (b *Balancer) serviceLocked(name string) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{name: name, mean: firstMean}
		b.services[name] = s
	}
	return s
}

// SetOpen says whether an instance takes new requests.
func (b *Balancer) SetOpen(a worker.Attempt, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if inst, ok := b.byID[a]; ok && inst.idle == nil {
		inst.open = open
		b.serveLocked(inst.service)
	}
}

// Remove takes an instance out of use.
func (b *Balancer) Remove(a worker.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	inst, ok := b.byID[a]
	if !ok {
		return
	}
	inst.open = false
	delete(b.byID, a)
	s := inst.service
	s.instances = slices.DeleteFunc(s.instances, func(i *instance) bool { return i == inst })
	if len(s.instances) == 0 {
		b.failLocked(s)
	}
}

// failLocked turns away what waits for a service that has no instance left here.
func (b *Balancer) failLocked(s *service) {
	if s.queue != nil {
		for w, ok := s.queue.Pop(); ok; w, ok = s.queue.Pop() {
			close(w.ready)
		}
	}
	delete(b.services, s.name)
}

// Drain closes instances and waits until none of their requests is in flight.
func (b *Balancer) Drain(ctx context.Context, as []worker.Attempt) {
	var waits []chan struct{}
	b.mu.Lock()
	for _, a := range as {
		inst, ok := b.byID[a]
		if !ok {
			continue
		}
		inst.open = false
		if inst.busy == 0 {
			continue
		}
		if inst.idle == nil {
			inst.idle = make(chan struct{})
		}
		waits = append(waits, inst.idle)
	}
	b.mu.Unlock()
	for _, idle := range waits {
		select {
		case <-idle:
		case <-ctx.Done():
			return
		}
	}
}

// TryAcquire takes a free slot at once, if there is one and nobody waits for it.
func (b *Balancer) TryAcquire(name string) (*Slot, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[name]
	if !ok || (s.queue != nil && s.queue.Len() > 0) {
		return nil, false
	}
	inst := b.pickLocked(s)
	if inst == nil {
		return nil, false
	}
	inst.busy++
	return &Slot{b, inst, time.Now()}, true
}

// pickLocked returns the least busy instance with a free slot, or nil.
func (b *Balancer) pickLocked(s *service) *instance {
	now := time.Now()
	var best *instance
	for _, i := range s.instances {
		if !i.open || (i.busy >= i.Slots && !b.overcommit) || !i.Usable() {
			continue
		}
		if best == nil || less(i, best, now) {
			best = i
		}
	}
	return best
}

func less(a, b *instance, now time.Time) bool {
	if sa, sb := now.Before(a.suspect), now.Before(b.suspect); sa != sb {
		return sb
	}
	return a.busy*b.Slots < b.busy*a.Slots
}

// Acquire takes a slot, waiting in the team's queue until ctx ends.
func (b *Balancer) Acquire(ctx context.Context, name, team string) (*Slot, error) {
	w, err := b.enqueue(ctx, name, team)
	if err != nil {
		return nil, err
	}
	select {
	case inst, ok := <-w.ready:
		if !ok {
			return nil, &Error{"acquire", KindNoInstance, errors.New(name), leastRetryIn}
		}
		return &Slot{b, inst, time.Now()}, nil
	case <-ctx.Done():
		return nil, b.giveUp(name, team, w)
	}
}

func (b *Balancer) enqueue(ctx context.Context, name, team string) (*waiter, error) {
	cfg := b.bundle()
	t, _ := cfg.Team(team)
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[name]
	if !ok {
		return nil, &Error{"acquire", KindNoInstance, errors.New(name), leastRetryIn}
	}
	s.setLimits(cfg.Service(name))
	wait := s.expectedWait()
	if deadline, ok := ctx.Deadline(); ok && s.queue.Len() > 0 && time.Until(deadline) < wait {
		return nil, &Error{"acquire", KindDeadline, errors.New("the queue is longer than the time left"), wait}
	}
	w := &waiter{ready: make(chan *instance, 1)}
	if err := s.queue.Push(team, t.Weight, w); err != nil {
		kind := KindQueueFull
		var qe *queue.Error
		if errors.As(err, &qe) && qe.Kind == queue.KindTeamFull {
			kind = KindTeamQueueFull
		}
		return nil, &Error{"acquire", kind, err, max(leastRetryIn, wait)}
	}
	b.serveLocked(s)
	return w, nil
}

func (s *service) setLimits(cfg bundle.Service) {
	limits := queue.Limits{PerTeam: cfg.QueuePerTeam, Total: cfg.QueueTotal}
	if s.queue == nil {
		s.queue = queue.NewFair[*waiter](limits)
	}
	s.queue.SetLimits(limits)
}

// expectedWait estimates how long a request that joins the queue now waits.
func (s *service) expectedWait() time.Duration {
	slots, queued := 0, 0
	for _, i := range s.instances {
		slots += i.Slots
	}
	if s.queue != nil {
		queued = s.queue.Len()
	}
	if slots == 0 {
		return leastRetryIn
	}
	return time.Duration(int64(s.mean) * int64(queued) / int64(slots))
}

// giveUp takes a waiter out of its queue; a slot that came meanwhile is given back.
func (b *Balancer) giveUp(name, team string, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait := leastRetryIn
	if s, ok := b.services[name]; ok && s.queue != nil {
		s.queue.Remove(team, func(x *waiter) bool { return x == w })
		wait = max(wait, s.expectedWait())
	}
	select {
	case inst, ok := <-w.ready:
		if ok {
			b.releaseLocked(inst)
		}
	default:
	}
	return &Error{"acquire", KindDeadline, errors.New("the time was over in the queue"), wait}
}

// serveLocked hands free slots to those who wait.
func (b *Balancer) serveLocked(s *service) {
	for s.queue != nil && s.queue.Len() > 0 {
		inst := b.pickLocked(s)
		if inst == nil {
			return
		}
		w, _ := s.queue.Pop()
		inst.busy++
		w.ready <- inst
	}
}

func (b *Balancer) releaseLocked(inst *instance) {
	inst.busy--
	if inst.busy == 0 && inst.idle != nil {
		close(inst.idle)
		inst.idle = nil
	}
	b.serveLocked(inst.service)
}

// Release gives a slot back.
func (s *Slot) Release() {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	svc := s.inst.service
	svc.mean += time.Duration(smoothing * float64(time.Since(s.taken)-svc.mean))
	s.b.releaseLocked(s.inst)
}

// MarkSuspect makes the balancer pass the slot's instance over for a short time.
func (s *Slot) MarkSuspect() {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	s.inst.suspect = time.Now().Add(suspectFor)
}

// CloseInstance makes the slot's instance take no new request, as it said that it is leaving.
func (s *Slot) CloseInstance() {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	s.inst.open = false
}

// Address is where the slot's instance listens.
func (s *Slot) Address() string { return s.inst.Address }

// HasOpenInstance reports whether this node owns an open instance of a service.
func (b *Balancer) HasOpenInstance(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[name]
	return ok && slices.ContainsFunc(s.instances, func(i *instance) bool { return i.open })
}

// ServiceSummaries tells how busy the node's instances are.
func (b *Balancer) ServiceSummaries() []peer.ServiceSummary {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []peer.ServiceSummary
	for _, s := range b.services {
		sum := peer.ServiceSummary{Service: s.name}
		if s.queue != nil {
			sum.Queued = s.queue.Len()
		}
		for _, i := range s.instances {
			if i.open && i.Usable() {
				sum.Instances++
				sum.Free += max(0, i.Slots-i.busy)
			}
		}
		list = append(list, sum)
	}
	slices.SortFunc(list, func(a, b peer.ServiceSummary) int { return strings.Compare(a.Service, b.Service) })
	return list
}
