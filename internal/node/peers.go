// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/jobs"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/requests"
)

// maxPeerBody bounds a message between nodes, which may hold a request's body in base64.
const maxPeerBody = 32 << 20

// JobRef identifies a workload to the owner of its shard.
type JobRef struct {
	Shard string `json:"shard"`
	ID    string `json:"id"`
	// Since makes the call wait at most WaitMS milliseconds for a revision above it.
	Since  int64 `json:"since,omitempty"`
	WaitMS int64 `json:"wait_ms,omitempty"`
	// Tasks asks for the status of each task.
	Tasks bool `json:"tasks,omitempty"`
}

// CreateRequest carries a new workload to the owner of its shard.
type CreateRequest struct {
	Shard    string       `json:"shard"`
	Workload api.Workload `json:"workload"`
}

// ListRequest asks for the workloads of a team; an empty team means all.
type ListRequest struct {
	Team string `json:"team,omitempty"`
}

// HeadReply carries the bundle in force on a node.
type HeadReply struct {
	Head   bundle.Head    `json:"head"`
	Bundle *bundle.Bundle `json:"bundle"`
}

func (n *Node) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	handlePeer(mux, peer.PathReserve, n.pools.Reserve)
	handlePeer(mux, peer.PathConfirm, n.pools.Confirm)
	handlePeer(mux, peer.PathStop, n.pools.Stop)
	handlePeer(mux, peer.PathCancelReservations, n.pools.CancelReservations)
	handlePeer(mux, peer.PathEvents, n.applyEvents)
	handlePeer(mux, peer.PathKeyBegin, n.jobs.KeyBegin)
	handlePeer(mux, peer.PathKeyFinish, n.jobs.KeyFinish)
	handlePeer(mux, peer.PathJobCreate, n.createLocal)
	handlePeer(mux, peer.PathJobGet, n.getLocal)
	handlePeer(mux, peer.PathJobCancel, n.cancelLocal)
	handlePeer(mux, peer.PathJobList, n.listLocal)
	handlePeer(mux, peer.PathRequest, n.runForwarded)
	mux.Handle("GET "+peer.PathSummary, httpx.Handle(0, n.serveSummary))
	mux.Handle("GET "+peer.PathHead, httpx.Handle(0, n.serveHead))
	return mux
}

// handlePeer registers the handler of a message between nodes.
func handlePeer[Req, Resp any](mux *http.ServeMux, path string, fn func(context.Context, Req) (Resp, error)) {
	mux.Handle("POST "+path, httpx.Handle(maxPeerBody, func(ctx context.Context, req Req) (Resp, error) {
		resp, err := fn(ctx, req)
		return resp, problem(err)
	}))
}

func (n *Node) createLocal(ctx context.Context, req CreateRequest) (api.Status, error) {
	return n.jobs.Create(ctx, req.Shard, req.Workload)
}

func (n *Node) getLocal(ctx context.Context, req JobRef) (api.Status, error) {
	if req.WaitMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond)
		defer cancel()
	}
	return n.jobs.Get(ctx, req.Shard, req.ID, req.Since, req.Tasks)
}

func (n *Node) cancelLocal(ctx context.Context, req JobRef) (api.Status, error) {
	return n.jobs.Cancel(ctx, req.Shard, req.ID)
}

func (n *Node) listLocal(_ context.Context, req ListRequest) (api.StatusList, error) {
	return api.StatusList{Workloads: n.jobs.List(req.Team)}, nil
}

// runForwarded runs a request that a peer forwarded, and does not forward it again.
// It refuses a message that arrives a second time.
func (n *Node) runForwarded(ctx context.Context, r requests.Request) (requests.Result, error) {
	if seen, _ := n.forwardedIDs.ContainsOrAdd(r.ID, struct{}{}); seen {
		return requests.Result{}, httpx.NewProblem(http.StatusConflict, "handed_over_before", r.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMS)*time.Millisecond)
	defer cancel()
	return n.entry.RunLocally(ctx, r), nil
}

func (n *Node) serveSummary(context.Context, httpx.Empty) (peer.Summary, error) {
	return n.load.ownSummary(), nil
}

func (n *Node) serveHead(context.Context, httpx.Empty) (HeadReply, error) {
	head, b := n.follower.state()
	return HeadReply{Head: head, Bundle: b}, nil
}

// forward sends a request to a peer. The error satisfies requests.IsNotSent if no
// connection was established, so that the request certainly did not run.
func (n *Node) forward(ctx context.Context, address string, r requests.Request) (requests.Result, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	res, err := httpx.Call[requests.Request, requests.Result](ctx, n.peerHTTP, "http://"+address+peer.PathRequest, r)
	if err != nil && !sent.Load() {
		return res, requests.NotSent(err)
	}
	return res, err
}

var _ jobs.Pools = poolRouter{}
