// SPDX-License-Identifier: Apache-2.0

// Package requests routes callers' requests to the instances of services.
//
// The Balancer tracks the free slots of the instances that this node owns and
// queues requests while no slot is free. The Entry accepts a request, finds a
// slot for it on this node or on a peer, and returns exactly one typed outcome.
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
	// suspectTime is how long other instances are preferred to one that did not answer.
	suspectTime = time.Second
	// holdTimeWeight is the weight of the newest request in the moving average of the time
	// that a request holds a slot.
	holdTimeWeight  = 0.1
	initialHoldTime = 50 * time.Millisecond
	minRetryAfter   = 50 * time.Millisecond
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error; each is also the reason given to the caller.
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
	// RetryAfter is the suggested wait before a retry; 0 means unknown.
	RetryAfter time.Duration
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("requests: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Balancer assigns slots and queues requests for the instances that this node owns.
type Balancer struct {
	bundle func() *bundle.Bundle
	// overcommit disables the limit on the slots of an instance; see AllowOvercommit.
	overcommit bool

	mu        sync.Mutex
	services  map[string]*service
	byAttempt map[worker.Attempt]*instance
}

type service struct {
	name      string
	instances []*instance
	queue     *queue.Fair[*waiter]
	// meanHoldTime is the moving average of the time that a request holds a slot.
	meanHoldTime time.Duration
}

type instance struct {
	pool.Instance
	service *service
	busy    int  // slots in use
	open    bool // takes new requests
	// suspectUntil is set after a failed call; until then other instances are preferred.
	suspectUntil time.Time
	// idle is closed once a drained instance has no request in flight.
	idle chan struct{}
}

// waiter is a queued request. It receives an instance on which a slot is taken for it;
// the channel is closed when the service has no instance left on this node.
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
	return &Balancer{bundle: b, services: make(map[string]*service), byAttempt: make(map[worker.Attempt]*instance)}
}

// AllowOvercommit disables the limit on the slots of an instance. Tests call it to verify
// that they detect the missing safeguard.
func (b *Balancer) AllowOvercommit() { b.overcommit = true }

// Add adds an instance, unless the balancer has it already.
func (b *Balancer) Add(i pool.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.byAttempt[i.Attempt]; ok {
		return
	}
	s := b.serviceLocked(i.Service)
	inst := &instance{Instance: i, service: s, open: true}
	s.instances = append(s.instances, inst)
	b.byAttempt[i.Attempt] = inst
	b.dispatchLocked(s)
}

func (b *Balancer) serviceLocked(name string) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{name: name, meanHoldTime: initialHoldTime}
		b.services[name] = s
	}
	return s
}

// SetOpen sets whether an instance takes new requests. It has no effect while Drain waits
// for the instance's requests.
func (b *Balancer) SetOpen(a worker.Attempt, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if inst, ok := b.byAttempt[a]; ok && inst.idle == nil {
		inst.open = open
		b.dispatchLocked(inst.service)
	}
}

// Remove removes an instance. Requests that are queued for a service without any other
// instance on this node are refused.
func (b *Balancer) Remove(a worker.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	inst, ok := b.byAttempt[a]
	if !ok {
		return
	}
	inst.open = false
	delete(b.byAttempt, a)
	s := inst.service
	s.instances = slices.DeleteFunc(s.instances, func(i *instance) bool { return i == inst })
	if len(s.instances) == 0 {
		b.dropServiceLocked(s)
	}
}

// dropServiceLocked removes a service that has no instance left on this node and refuses
// the requests in its queue.
func (b *Balancer) dropServiceLocked(s *service) {
	if s.queue != nil {
		for w, ok := s.queue.Pop(); ok; w, ok = s.queue.Pop() {
			close(w.ready)
		}
	}
	delete(b.services, s.name)
}

// Drain closes instances and waits until they have no request in flight or ctx ends.
func (b *Balancer) Drain(ctx context.Context, attempts []worker.Attempt) {
	var waits []chan struct{}
	b.mu.Lock()
	for _, a := range attempts {
		inst, ok := b.byAttempt[a]
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

// TryAcquire takes a free slot without waiting, if there is one and no request is queued.
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

// pickLocked returns the least loaded instance with a free slot, or nil if there is none.
func (b *Balancer) pickLocked(s *service) *instance {
	now := time.Now()
	var best *instance
	for _, i := range s.instances {
		if !i.open || (i.busy >= i.Slots && !b.overcommit) || !i.Usable() {
			continue
		}
		if best == nil || preferred(i, best, now) {
			best = i
		}
	}
	return best
}

// preferred reports whether a is a better choice than b: one that is not suspect goes
// first, then the one with the smaller share of its slots in use.
func preferred(a, b *instance, now time.Time) bool {
	if suspectA, suspectB := now.Before(a.suspectUntil), now.Before(b.suspectUntil); suspectA != suspectB {
		return suspectB
	}
	return a.busy*b.Slots < b.busy*a.Slots
}

// Acquire takes a slot. While none is free, it waits in the team's queue until ctx ends.
func (b *Balancer) Acquire(ctx context.Context, name, team string) (*Slot, error) {
	w, err := b.enqueue(ctx, name, team)
	if err != nil {
		return nil, err
	}
	select {
	case inst, ok := <-w.ready:
		if !ok {
			return nil, &Error{"acquire", KindNoInstance, errors.New(name), minRetryAfter}
		}
		return &Slot{b, inst, time.Now()}, nil
	case <-ctx.Done():
		return nil, b.cancelWait(name, team, w)
	}
}

// enqueue adds a request to the team's queue. It refuses one whose deadline would pass
// before its expected turn.
func (b *Balancer) enqueue(ctx context.Context, name, team string) (*waiter, error) {
	cfg := b.bundle()
	t, _ := cfg.Team(team)
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[name]
	if !ok {
		return nil, &Error{"acquire", KindNoInstance, errors.New(name), minRetryAfter}
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
		return nil, &Error{"acquire", kind, err, max(minRetryAfter, wait)}
	}
	b.dispatchLocked(s)
	return w, nil
}

// setLimits applies the limits of the current bundle to the queue, creating it if needed.
func (s *service) setLimits(cfg bundle.Service) {
	limits := queue.Limits{PerTeam: cfg.QueuePerTeam, Total: cfg.QueueTotal}
	if s.queue == nil {
		s.queue = queue.NewFair[*waiter](limits)
	}
	s.queue.SetLimits(limits)
}

// expectedWait estimates how long a request that joins the queue now will wait.
func (s *service) expectedWait() time.Duration {
	slots, queued := 0, 0
	for _, i := range s.instances {
		slots += i.Slots
	}
	if s.queue != nil {
		queued = s.queue.Len()
	}
	if slots == 0 {
		return minRetryAfter
	}
	return time.Duration(int64(s.meanHoldTime) * int64(queued) / int64(slots))
}

// cancelWait removes a waiter from its queue, and releases a slot that was assigned to it
// in the meantime.
func (b *Balancer) cancelWait(name, team string, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait := minRetryAfter
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

// dispatchLocked assigns free slots to queued requests.
func (b *Balancer) dispatchLocked(s *service) {
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

// releaseLocked frees a slot, reports a drained instance as idle and serves the queue.
func (b *Balancer) releaseLocked(inst *instance) {
	inst.busy--
	if inst.busy == 0 && inst.idle != nil {
		close(inst.idle)
		inst.idle = nil
	}
	b.dispatchLocked(inst.service)
}

// Release returns the slot to the balancer.
func (s *Slot) Release() {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	svc := s.inst.service
	svc.meanHoldTime += time.Duration(holdTimeWeight * float64(time.Since(s.taken)-svc.meanHoldTime))
	s.b.releaseLocked(s.inst)
}

// MarkSuspect makes the balancer prefer other instances to the slot's for a short time.
func (s *Slot) MarkSuspect() {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	s.inst.suspectUntil = time.Now().Add(suspectTime)
}

// CloseInstance stops new requests to the slot's instance, which announced that it is leaving.
func (s *Slot) CloseInstance() {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	s.inst.open = false
}

// Address returns the address on which the slot's instance listens.
func (s *Slot) Address() string { return s.inst.Address }

// HasOpenInstance reports whether this node owns an open instance of a service.
func (b *Balancer) HasOpenInstance(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[name]
	return ok && slices.ContainsFunc(s.instances, func(i *instance) bool { return i.open })
}

// ServiceSummaries returns the load of each service on this node, sorted by name.
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
