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
	budgetMost     = 20
	leastTimeLeft  = 5 * time.Millisecond
	finishTimeout  = 2 * time.Second
	finishTries    = 5
	storeRetryIn   = 2 * time.Second
	maxRetries     = 3
	retryFirstWait = 10 * time.Millisecond
)

// Peers reaches the other nodes.
type Peers interface {
	// ServiceLoads returns the load of a service on each peer that owns instances of it.
	ServiceLoads(name string) []PeerLoad
	// RefreshLoads asks the peers for their loads now, unless that was done a moment ago.
	RefreshLoads(ctx context.Context)
	// Forward hands a request to a peer.
	Forward(ctx context.Context, node string, r Request) (Result, error)
}

// PeerLoad is how busy a service's instances on a peer are.
type PeerLoad struct {
	Node string
	Free int
	// Queued and Instances tell how long the queue is where no slot is free.
	Queued    int
	Instances int
}

// Keys reaches the homes of the keys of requests that must not be repeated.
type Keys interface {
	Begin(ctx context.Context, req peer.KeyBeginRequest) (peer.KeyReply, error)
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
	// KeyWindow is how long a key is kept; older ones are answered unknown.
	KeyWindow time.Duration
	// KeyMargin is how far a caller's clock may be ahead.
	KeyMargin time.Duration
	// SkipKeyJournal leaves the journalling of keys out, to show that tests see it.
	SkipKeyJournal bool
}

// Entry takes requests in.
type Entry struct {
	deps   Deps
	opts   Options
	log    *zap.Logger
	budget *Budget
}

// NewEntry returns an Entry.
func NewEntry(deps Deps, opts Options, log *zap.Logger) *Entry {
	return &Entry{deps: deps, opts: opts, log: log, budget: NewBudget(budgetMost)}
}

// Do brings a request to its end; ctx carries its deadline.
func (e *Entry) Do(ctx context.Context, r Request) Result {
	ctx, span := tracer().Start(ctx, "entry", trace.WithAttributes(
		attribute.String("service", r.Service), attribute.String("team", r.Team), attribute.String("request", r.ID)))
	defer span.End()
	var res Result
	if r.Key != "" && !e.opts.SkipKeyJournal {
		res = e.once(ctx, r)
	} else {
		res = e.route(ctx, r)
	}
	span.SetAttributes(attribute.String("outcome", string(res.Outcome)), attribute.String("reason", string(res.Reason)))
	if res.Outcome == api.OutcomeUnknown {
		e.log.Warn("request unknown", events.RequestOutcomeUnknown, zap.String("request", r.ID), zap.String("service", r.Service),
			zap.String("reason", string(res.Reason)), zap.String("detail", res.Detail))
	}
	return res
}

// once runs a request that must not be repeated, under its key.
func (e *Entry) once(ctx context.Context, r Request) Result {
	age := time.Since(r.KeyCreated)
	if age > e.opts.KeyWindow {
		return unknown(KindKeyTooOld, fmt.Sprintf("the key is older than %s", e.opts.KeyWindow))
	}
	reply, err := e.deps.Keys.Begin(ctx, peer.KeyBeginRequest{
		Team: r.Team, Key: r.Key, Token: r.ID, Digest: r.digest(), TimeoutMS: remaining(ctx), Created: r.KeyCreated,
	})
	if err != nil {
		// Nothing was sent and nothing will be, whatever became of the intent.
		go e.finish(ctx, r, notRun(KindKeyStoreUnavailable, ""))
		if httpx.Reason(err) == string(KindTooManyKeys) {
			return refused(KindTooManyKeys, err.Error(), time.Minute)
		}
		return refused(KindKeyStoreUnavailable, "the key could not be journalled: "+err.Error(), storeRetryIn)
	}
	switch reply.State {
	case peer.KeyRun:
	case peer.KeyDone:
		return keptAnswer(reply.Answer)
	case peer.KeyConflict:
		return refused(KindKeyReused, "the key was used for another request", 0)
	default:
		return unknown(KindKeyOutcomeUnknown, "an earlier arrival of the key ended without its outcome being known")
	}
	res := e.route(ctx, r)
	e.finish(ctx, r, res)
	return res
}

func keptAnswer(a *peer.Answer) Result {
	if a == nil || a.Dropped {
		return unknown(KindAnswerTooLarge, "the request has run; its answer was too large to be kept")
	}
	return Result{Outcome: api.OutcomeDone, Answer: a}
}

// finish journals how a request with a key ended, trying for a short time.
func (e *Entry) finish(ctx context.Context, r Request, res Result) {
	outcome := res.Outcome
	if outcome == api.OutcomeRefused {
		outcome = api.OutcomeNotRun
	}
	msg := peer.KeyFinishRequest{Team: r.Team, Key: r.Key, Token: r.ID, Outcome: string(outcome), Answer: res.Answer}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	wait := retryFirstWait
	for range finishTries {
		if _, err := e.deps.Keys.Finish(ctx, msg); err == nil || ctx.Err() != nil {
			return
		}
		pause(ctx, wait)
		wait *= 4
	}
	e.log.Warn("key left without outcome", events.KeyOutcomeUnknown, zap.String("request", r.ID))
}

// route finds a slot for a request, and another one as long as it did not run
// and the retry budget and the deadline allow.
func (e *Entry) route(ctx context.Context, r Request) Result {
	e.budget.Deposit(e.deps.Bundle().Limits.RetryShare)
	wait := retryFirstWait
	for try := 0; ; try++ {
		res := e.try(ctx, r)
		if try == maxRetries || !mayRetry(res, r) || !e.enoughTime(ctx, wait) || !e.budget.Withdraw() {
			return res
		}
		pause(ctx, wait/2+rand.N(wait))
		wait *= 2
	}
}

// mayRetry reports whether a result leaves room for another try.
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

func (e *Entry) enoughTime(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || time.Until(deadline) > 2*wait+leastTimeLeft)
}

// try makes one attempt. When no instance is known, the peers are asked once more:
// a service may have started since their last summary.
func (e *Entry) try(ctx context.Context, r Request) Result {
	if res, found := e.find(ctx, r); found {
		return res
	}
	e.deps.Peers.RefreshLoads(ctx)
	if res, found := e.find(ctx, r); found {
		return res
	}
	return refused(KindNoInstance, "no instance of the service is known", time.Second)
}

// find runs a request where it can: in a free slot here, else on a peer with room,
// else in a queue.
func (e *Entry) find(ctx context.Context, r Request) (res Result, found bool) {
	if slot, ok := e.deps.Balancer.TryAcquire(r.Service); ok {
		return e.send(ctx, slot, r), true
	}
	peers := e.deps.Peers.ServiceLoads(r.Service)
	if p, ok := pickPeer(peers, true); ok {
		return e.forward(ctx, p, r), true
	}
	if e.deps.Balancer.HasOpenInstance(r.Service) {
		return e.RunLocally(ctx, r), true
	}
	if p, ok := pickPeer(peers, false); ok {
		return e.forward(ctx, p, r), true
	}
	return Result{}, false
}

// RunLocally runs a request on this node's own instances, waiting for a slot; it is
// also where a request that a peer handed over ends.
func (e *Entry) RunLocally(ctx context.Context, r Request) Result {
	qctx, span := tracer().Start(ctx, "queue")
	slot, err := e.deps.Balancer.Acquire(qctx, r.Service, r.Team)
	span.End()
	var rerr *Error
	if errors.As(err, &rerr) {
		return refused(rerr.Kind, rerr.Err.Error(), rerr.RetryAfter)
	}
	return e.send(ctx, slot, r)
}

func (e *Entry) send(ctx context.Context, slot *Slot, r Request) Result {
	return e.deps.Upstream.Send(ctx, slot, &r, e.deps.Bundle().Limits.BodyBytes)
}

// forward hands a request to a peer, once.
func (e *Entry) forward(ctx context.Context, node string, r Request) Result {
	ctx, span := tracer().Start(ctx, "peer", trace.WithAttributes(attribute.String("node", node)))
	defer span.End()
	r.TimeoutMS = remaining(ctx)
	res, err := e.deps.Peers.Forward(ctx, node, r)
	if err == nil {
		return res
	}
	var he *httpx.Error
	if errors.As(err, &he) && he.Kind == httpx.KindProblem {
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

// pickPeer chooses the better of two peers drawn at random, of those with a
// free slot or of those with any instance.
func pickPeer(peers []PeerLoad, free bool) (string, bool) {
	var fit []PeerLoad
	for _, p := range peers {
		if p.Instances > 0 && (!free || p.Free > 0) {
			fit = append(fit, p)
		}
	}
	if len(fit) == 0 {
		return "", false
	}
	a, b := fit[rand.IntN(len(fit))], fit[rand.IntN(len(fit))]
	if b.Free > a.Free || (b.Free == a.Free && b.Queued*a.Instances < a.Queued*b.Instances) {
		a = b
	}
	return a.Node, true
}

// notSent marks an error of a call of which no byte left the node.
type notSent struct{ error }

// NotSent marks err as one of a call of which no byte left the node.
func NotSent(err error) error { return notSent{err} }

// IsNotSent reports whether err was marked by NotSent.
func IsNotSent(err error) bool {
	var ns notSent
	return errors.As(err, &ns)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
