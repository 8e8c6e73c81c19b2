// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/jobs"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/pool"
	"switchbank.example/switchbank/internal/shard"
)

const (
	// ownerRetryTime is how long a call is retried while a shard changes owners.
	ownerRetryTime     = 3 * time.Second
	ownerRetryInterval = 50 * time.Millisecond
	// callTimeout bounds the calls that a node makes without a caller's deadline.
	callTimeout = 5 * time.Second
	// retryAfter is the usual Retry-After of a refused call.
	retryAfter = time.Second
	// retryAfterFull is the Retry-After while a shard is full, which ends only when
	// workloads or keys reach the end of their retention.
	retryAfterFull = time.Minute
)

// callOwner calls the owner of a shard: local if this node owns it, or else the
// peer that does.
func callOwner[Req, Resp any](
	ctx context.Context, n *Node, key shard.Key, path string, req Req, local func(context.Context, Req) (Resp, error),
) (Resp, error) {
	var zero Resp
	if n.shards.Owns(key) {
		return local(ctx, req)
	}
	owner, ok := n.shards.Owner(key)
	if !ok {
		return zero, noOwnerProblem(key)
	}
	if owner.Owner == n.cfg.Node {
		// The ownership is not certain now; local returns the reason.
		return local(ctx, req)
	}
	return httpx.Call[Req, Resp](ctx, n.peerHTTP, "http://"+owner.PeerAddress+path, req)
}

// callOwnerRetrying is like callOwner, but retries for up to ownerRetryTime while the
// shard changes owners. The call must be idempotent.
func callOwnerRetrying[Req, Resp any](
	ctx context.Context, n *Node, key shard.Key, path string, req Req, local func(context.Context, Req) (Resp, error),
) (Resp, error) {
	deadline := time.Now().Add(ownerRetryTime)
	for {
		resp, err := callOwner(ctx, n, key, path, req, local)
		if err == nil || !ownerMayChange(err) || ctx.Err() != nil || time.Now().After(deadline) {
			return resp, err
		}
		n.shards.Wake()
		sleep(ctx, ownerRetryInterval)
	}
}

// ownerMayChange reports whether an error may be due to a change of the shard's owner.
func ownerMayChange(err error) bool {
	var he *httpx.Error
	if errors.As(err, &he) {
		return he.Kind == httpx.KindTransport || he.Problem.Reason == peer.ReasonNotOwner
	}
	return jobs.KindOf(err) == jobs.KindNotOwner
}

func noOwnerProblem(key shard.Key) error {
	return httpx.NewProblem(http.StatusServiceUnavailable, peer.ReasonNotOwner, "shard "+string(key)+" has no owner now").
		RetryAfter(retryAfter).WithOutcome(string(api.OutcomeNotRun))
}

// problem converts an error of the node's parts into a problem document.
func problem(err error) error {
	if err == nil {
		return nil
	}
	var he *httpx.Error
	if errors.As(err, &he) {
		if he.Kind == httpx.KindProblem {
			return he
		}
		return httpx.NewProblem(http.StatusServiceUnavailable, "owner_unreachable", err.Error()).
			RetryAfter(retryAfter).WithOutcome(string(api.OutcomeUnknown))
	}
	var pe *pool.Error
	if errors.As(err, &pe) {
		return httpx.NewProblem(http.StatusServiceUnavailable, string(pe.Kind), err.Error()).RetryAfter(retryAfter)
	}
	return jobProblem(err)
}

func jobProblem(err error) error {
	switch jobs.KindOf(err) {
	case jobs.KindNotFound:
		return httpx.NewProblem(http.StatusNotFound, "not_found", "there is no such workload")
	case jobs.KindConflict:
		p := httpx.NewProblem(http.StatusConflict, "id_taken", err.Error())
		p.Problem.Field = "id"
		return p.WithOutcome(string(api.OutcomeRefused))
	case jobs.KindNotOwner:
		return httpx.NewProblem(http.StatusServiceUnavailable, peer.ReasonNotOwner, err.Error()).
			RetryAfter(retryAfter).WithOutcome(string(api.OutcomeNotRun))
	case jobs.KindUnavailable:
		return httpx.NewProblem(http.StatusServiceUnavailable, "store_unavailable", "the store takes no writes now; nothing was kept").
			RetryAfter(2 * retryAfter).WithOutcome(string(api.OutcomeRefused))
	case jobs.KindTooManyKeys, jobs.KindTooManyJobs:
		return httpx.NewProblem(http.StatusTooManyRequests, string(jobs.KindOf(err)), err.Error()).
			RetryAfter(retryAfterFull).WithOutcome(string(api.OutcomeRefused))
	case jobs.KindUncertain:
		return httpx.NewProblem(http.StatusGatewayTimeout, "not_known_whether_kept", "the store did not answer in time; sending the same again is safe").
			RetryAfter(2 * retryAfter).WithOutcome(string(api.OutcomeUnknown))
	}
	return err
}

// poolRouter calls the owners of worker shards.
type poolRouter struct{ n *Node }

// callPoolOwner calls the owner of a worker shard, within callTimeout.
func callPoolOwner[Req, Resp any](
	ctx context.Context, n *Node, key, path string, req Req, local func(context.Context, Req) (Resp, error),
) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return callOwner(ctx, n, shard.Key(key), path, req, local)
}

// Reserve reserves workers' resources for tasks.
func (r poolRouter) Reserve(ctx context.Context, req peer.ReserveRequest) (peer.ReserveReply, error) {
	return callPoolOwner(ctx, r.n, req.Shard, peer.PathReserve, req, r.n.pools.Reserve)
}

// Confirm starts tasks that have a reservation.
func (r poolRouter) Confirm(ctx context.Context, req peer.ConfirmRequest) (peer.ConfirmReply, error) {
	return callPoolOwner(ctx, r.n, req.Shard, peer.PathConfirm, req, r.n.pools.Confirm)
}

// Stop stops tasks.
func (r poolRouter) Stop(ctx context.Context, req peer.StopRequest) (peer.ConfirmReply, error) {
	return callPoolOwner(ctx, r.n, req.Shard, peer.PathStop, req, r.n.pools.Stop)
}

// CancelReservations releases reservations that are not needed.
func (r poolRouter) CancelReservations(ctx context.Context, req peer.StopRequest) (peer.ConfirmReply, error) {
	return callPoolOwner(ctx, r.n, req.Shard, peer.PathCancelReservations, req, r.n.pools.CancelReservations)
}

// eventSink delivers task events to the owners of job shards.
type eventSink struct{ n *Node }

// Shard returns the key of a job's shard.
func (s eventSink) Shard(job string) string { return string(s.n.jobKey(job)) }

// Deliver sends the events of a job to the owner of its shard, and returns nil once
// they are journalled.
func (s eventSink) Deliver(ctx context.Context, job string, evs []peer.Event) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := s.n.jobKey(job)
	_, err := callOwner(ctx, s.n, key, peer.PathEvents, peer.EventsRequest{Shard: string(key), Events: evs}, s.n.applyEvents)
	return err
}

func (n *Node) applyEvents(ctx context.Context, req peer.EventsRequest) (httpx.Empty, error) {
	return httpx.Empty{}, n.jobs.Events(ctx, req)
}

func (n *Node) jobKey(id string) shard.Key { return shard.JobKey(id, n.cfg.JobShards) }

// keyRouter calls the owners of the job shards that hold request keys.
type keyRouter struct{ n *Node }

// Begin asks whether a request with a key may run.
func (r keyRouter) Begin(ctx context.Context, req peer.KeyBeginRequest) (peer.KeyReply, error) {
	key := r.n.jobKey(jobs.KeyName(req.Team, req.Key))
	req.Shard = string(key)
	reply, err := callOwnerRetrying(ctx, r.n, key, peer.PathKeyBegin, req, r.n.jobs.KeyBegin)
	return reply, problem(err)
}

// Finish journals the outcome of a request with a key.
func (r keyRouter) Finish(ctx context.Context, req peer.KeyFinishRequest) (peer.KeyReply, error) {
	key := r.n.jobKey(jobs.KeyName(req.Team, req.Key))
	req.Shard = string(key)
	return callOwnerRetrying(ctx, r.n, key, peer.PathKeyFinish, req, r.n.jobs.KeyFinish)
}
