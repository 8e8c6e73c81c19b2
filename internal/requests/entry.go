// SPDX-License-Identifier: Apache-2.0

package requests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/peer"
)

const (
	retryBudgetCapacity = 20
	// minTimeLeft is the time that must remain for another try after the wait before it.
	minTimeLeft     = 5 * time.Millisecond
	finishTimeout   = 2 * time.Second
	finishTries     = 5
	storeRetryAfter = 2 * time.Second
	maxRetries      = 3
	firstRetryWait  = 10 * time.Millisecond
)

// Peers gives access to the other nodes.
type Peers interface {
	// ServiceLoads returns the load of a service on each peer that owns instances of it.
	ServiceLoads(name string) []PeerLoad
	// RefreshLoads asks the peers for their loads, unless that was done a moment ago.
	RefreshLoads(ctx context.Context)
	// Forward sends a request to a peer.
	Forward(ctx context.Context, node string, r Request) (Result, error)
}

// PeerLoad is the load of a service's instances on a peer.
type PeerLoad struct {
	Node string
	// Free is the number of free slots.
	Free int
	// Queued and Instances are used to compare queues where no slot is free.
	Queued    int
	Instances int
}

// Keys calls the owners of the job shards that store the keys of requests.
type Keys interface {
	// Begin journals that a request with a key is about to run, or returns how an
	// earlier one with the same key ended.
	Begin(ctx context.Context, req peer.KeyBeginRequest) (peer.KeyReply, error)
	// Finish journals how the request ended.
	Finish(ctx context.Context, req peer.KeyFinishRequest) (peer.KeyReply, error)
}

// Deps are the dependencies of an Entry.
type Deps struct {
	Balancer *Balancer
	Upstream *Upstream
	Peers    Peers
	Keys     Keys
	Bundle   func() *bundle.Bundle
}

// Options are the settings of an Entry.
type Options struct {
	// KeyWindow is how long a key is stored. A request with an older key ends as unknown.
	KeyWindow time.Duration
	// KeyMargin is how far a caller's clock may be ahead.
	KeyMargin time.Duration
	// SkipKeyJournal disables the journalling of keys. Tests set it to verify that they
	// detect the missing safeguard.
	SkipKeyJournal bool
}

// Entry accepts requests and routes them to an instance on this node or on a peer.
type Entry struct {
	deps   Deps
	opts   Options
	log    *zap.Logger
	budget *RetryBudget
}

// NewEntry returns an Entry.
func NewEntry(deps Deps, opts Options, log *zap.Logger) *Entry {
	return &Entry{deps: deps, opts: opts, log: log, budget: NewRetryBudget(retryBudgetCapacity)}
}

// Do runs a request and returns its outcome; ctx carries the deadline.
func (e *Entry) Do(ctx context.Context, r Request) Result {
	ctx, span := tracer().Start(ctx, "entry", trace.WithAttributes(
		attribute.String("service", r.Service), attribute.String("team", r.Team), attribute.String("request", r.ID)))
	defer span.End()
	var res Result
	if r.Key != "" && !e.opts.SkipKeyJournal {
		res = e.routeOnce(ctx, r)
	} else {
		res = e.route(ctx, r)
	}
	span.SetAttributes(attribute.String("outcome", string(res.Outcome)), attribute.String("reason", string(res.Reason)))
	if res.Outcome == api.OutcomeUnknown {
		e.log.Warn("outcome of request unknown", events.RequestOutcomeUnknown, zap.String("request", r.ID), zap.String("service", r.Service),
			zap.String("reason", string(res.Reason)), zap.String("detail", res.Detail))
	}
	return res
}

// routeOnce routes a request that has a key, so that it runs at most once.
func (e *Entry) routeOnce(ctx context.Context, r Request) Result {
	age := time.Since(r.KeyCreated)
	if age > e.opts.KeyWindow {
		return unknown(KindKeyTooOld, fmt.Sprintf("the key is older than %s", e.opts.KeyWindow))
	}
	reply, err := e.deps.Keys.Begin(ctx, peer.KeyBeginRequest{
		Team: r.Team, Key: r.Key, Token: r.ID, Digest: r.digest(), TimeoutMS: remainingMS(ctx), Created: r.KeyCreated,
	})
	if err != nil {
		// Begin may have journalled the key although it failed. The request was not and
		// will not be sent, so that it can be recorded as not run.
		go e.finishKey(ctx, r, notRun(KindKeyStoreUnavailable, ""))
		if httpx.Reason(err) == string(KindTooManyKeys) {
			return refused(KindTooManyKeys, err.Error(), time.Minute)
		}
		return refused(KindKeyStoreUnavailable, "the key could not be journalled: "+err.Error(), storeRetryAfter)
	}
	switch reply.State {
	case peer.KeyRun:
	case peer.KeyDone:
		return storedAnswer(reply.Answer)
	case peer.KeyConflict:
		return refused(KindKeyReused, "the key was used for another request", 0)
	default:
		return unknown(KindKeyOutcomeUnknown, "an earlier arrival of the key ended without its outcome being known")
	}
	res := e.route(ctx, r)
	e.finishKey(ctx, r, res)
	return res
}

// storedAnswer returns the result of a repeated request from the answer that is stored
// under its key.
func storedAnswer(a *peer.Answer) Result {
	if a == nil || a.Dropped {
		return unknown(KindAnswerTooLarge, "the request has run; its answer was too large to be kept")
	}
	return Result{Outcome: api.OutcomeDone, Answer: a}
}

// finishKey journals how a request with a key ended. It retries for a short time; without the
// record, later requests with the key end as unknown.
func (e *Entry) finishKey(ctx context.Context, r Request, res Result) {
	outcome := res.Outcome
	if outcome == api.OutcomeRefused {
		outcome = api.OutcomeNotRun
	}
	msg := peer.KeyFinishRequest{Team: r.Team, Key: r.Key, Token: r.ID, Outcome: string(outcome), Answer: res.Answer}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	wait := firstRetryWait
	for range finishTries {
		if _, err := e.deps.Keys.Finish(ctx, msg); err == nil || ctx.Err() != nil {
			return
		}
		pause(ctx, wait)
		wait *= 4
	}
	e.log.Warn("outcome of keyed request not journalled", events.KeyOutcomeUnknown, zap.String("request", r.ID))
}

// route tries to run a request. It retries while a retry is safe and the retry budget and
// the deadline allow it.
func (e *Entry) route(ctx context.Context, r Request) Result {
	e.budget.Deposit(e.deps.Bundle().Limits.RetryShare)
	wait := firstRetryWait
	for try := 0; ; try++ {
		res := e.tryRequest(ctx, r)
		if try == maxRetries || !mayRetry(res, r) || !e.enoughTime(ctx, wait) || !e.budget.Withdraw() {
			return res
		}
		pause(ctx, wait/2+rand.N(wait))
		wait *= 2
	}
}

// mayRetry reports whether it is safe and useful to try a request again after a result.
func mayRetry(res Result, r Request) bool {
	switch res.Outcome {
	case api.OutcomeNotRun:
		return res.Reason != KindDeadline
	case api.OutcomeUnknown:
		return r.Repeatable && r.Key == "" && res.Reason != KindDeadline
	default:
		return res.Reason == KindNoInstance
	}
}

// enoughTime reports whether the deadline leaves time for another try after a wait.
func (e *Entry) enoughTime(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || time.Until(deadline) > 2*wait+minTimeLeft)
}

// tryRequest makes one attempt. When no instance is known, it first refreshes the loads of the
// peers: a service may have started since their last summary.
func (e *Entry) tryRequest(ctx context.Context, r Request) Result {
	if res, found := e.runOnKnownInstance(ctx, r); found {
		return res
	}
	e.deps.Peers.RefreshLoads(ctx)
	if res, found := e.runOnKnownInstance(ctx, r); found {
		return res
	}
	return refused(KindNoInstance, "no instance of the service is known", time.Second)
}

// runOnKnownInstance runs a request on a known instance of its service. A free slot on this
// node is preferred to a free slot on a peer, then to a queue here, then to one on a peer.
// It returns false if no instance is known.
func (e *Entry) runOnKnownInstance(ctx context.Context, r Request) (res Result, found bool) {
	if slot, ok := e.deps.Balancer.TryAcquire(r.Service); ok {
		return e.sendToInstance(ctx, slot, r), true
	}
	peers := e.deps.Peers.ServiceLoads(r.Service)
	if p, ok := pickPeer(peers, true); ok {
		return e.forwardToPeer(ctx, p, r), true
	}
	if e.deps.Balancer.HasOpenInstance(r.Service) {
		return e.RunLocally(ctx, r), true
	}
	if p, ok := pickPeer(peers, false); ok {
		return e.forwardToPeer(ctx, p, r), true
	}
	return Result{}, false
}

// RunLocally runs a request on this node's own instances and waits for a slot if necessary.
// Requests that a peer forwards to this node are run in this way.
func (e *Entry) RunLocally(ctx context.Context, r Request) Result {
	queueCtx, span := tracer().Start(ctx, "queue")
	slot, err := e.deps.Balancer.Acquire(queueCtx, r.Service, r.Team)
	span.End()
	var acquireErr *Error
	if errors.As(err, &acquireErr) {
		return refused(acquireErr.Kind, acquireErr.Err.Error(), acquireErr.RetryAfter)
	}
	return e.sendToInstance(ctx, slot, r)
}

// sendToInstance sends a request to the instance of a slot.
func (e *Entry) sendToInstance(ctx context.Context, slot *Slot, r Request) Result {
	return e.deps.Upstream.Send(ctx, slot, &r, e.deps.Bundle().Limits.BodyBytes)
}

// forwardToPeer sends a request to a peer, without retries.
func (e *Entry) forwardToPeer(ctx context.Context, node string, r Request) Result {
	ctx, span := tracer().Start(ctx, "peer", trace.WithAttributes(attribute.String("node", node)))
	defer span.End()
	r.TimeoutMS = remainingMS(ctx)
	res, err := e.deps.Peers.Forward(ctx, node, r)
	if err == nil {
		return res
	}
	var httpErr *httpx.Error
	if errors.As(err, &httpErr) && httpErr.Kind == httpx.KindProblem {
		return notRun(KindPeerFailed, err.Error())
	}
	if IsNotSent(err) {
		return notRun(KindPeerFailed, err.Error())
	}
	if ctx.Err() != nil {
		return unknown(KindDeadline, "the time was over while a peer worked on the request")
	}
	return unknown(KindPeerFailed, err.Error())
}

// pickPeer draws two peers at random and returns the less loaded one. It considers only
// peers with a free slot if free is set, else all that have an instance. Two draws keep
// the nodes from all choosing the same peer while its load is not updated yet.
func pickPeer(peers []PeerLoad, free bool) (string, bool) {
	var candidates []PeerLoad
	for _, p := range peers {
		if p.Instances > 0 && (!free || p.Free > 0) {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	a, b := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	if b.Free > a.Free || (b.Free == a.Free && b.Queued*a.Instances < a.Queued*b.Instances) {
		a = b
	}
	return a.Node, true
}

// notSent marks the error of a call that failed before any byte was sent.
type notSent struct{ error }

// NotSent marks err as the error of a call that failed before any byte was sent. Such a
// request has not run and may be retried.
func NotSent(err error) error { return notSent{err} }

// IsNotSent reports whether err was marked by NotSent.
func IsNotSent(err error) bool {
	var ns notSent
	return errors.As(err, &ns)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
