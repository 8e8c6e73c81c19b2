// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/client"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/node"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/requests"
	"switchbank.example/switchbank/internal/worker"
)

// callPeer sends a message to the peers' listener, and returns the reply and the reason
// of a problem.
func callPeer[Req, Resp any](t *testing.T, r *testNode, path string, req Req) (Resp, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	resp, err := httpx.Call[Req, Resp](ctx, http.DefaultClient, "http://"+r.peers+path, req)
	if err != nil && httpx.Reason(err) == "" {
		t.Fatal(err)
	}
	return resp, httpx.Reason(err)
}

// TestPeerContract checks that a node answers the messages of peers, and refuses calls for
// shards that it does not own and duplicates of forwarded requests.
func TestPeerContract(t *testing.T) {
	t.Parallel()
	r := startNode(t, nil)
	const otherShard = "worker/nowhere/000"
	a := worker.Attempt{Job: "j", N: 1}
	placements := []peer.Placement{{Attempt: a, Shard: otherShard, Worker: "w", Reservation: "r"}}
	if _, reason := callPeer[peer.ReserveRequest, peer.ReserveReply](t, r, peer.PathReserve, peer.ReserveRequest{Shard: otherShard}); reason != peer.ReasonNotOwner {
		t.Errorf("reserve in a shard of another owner: %q", reason)
	}
	if _, reason := callPeer[peer.ConfirmRequest, peer.ConfirmReply](t, r, peer.PathConfirm, peer.ConfirmRequest{Shard: otherShard, Placements: placements}); reason != peer.ReasonNotOwner {
		t.Errorf("confirm in a shard of another owner: %q", reason)
	}
	if _, reason := callPeer[peer.EventsRequest, httpx.Empty](t, r, peer.PathEvents, peer.EventsRequest{Shard: "job/999"}); reason != peer.ReasonNotOwner {
		t.Errorf("events for a shard of another owner: %q", reason)
	}
	if _, reason := callPeer[peer.KeyBeginRequest, peer.KeyReply](t, r, peer.PathKeyBegin, peer.KeyBeginRequest{Shard: "job/999"}); reason != peer.ReasonNotOwner {
		t.Errorf("key in a shard of another owner: %q", reason)
	}
	const ownShard = "worker/kosice-1/000"
	known, reason := callPeer[peer.ConfirmRequest, peer.ConfirmReply](t, r, peer.PathConfirm, peer.ConfirmRequest{Shard: ownShard, Placements: placements})
	if reason != "" || len(known.Items) != 1 || known.Items[0].State == peer.ConfirmAccepted {
		t.Errorf("confirm of a task without a reservation: %+v %s", known, reason)
	}
	// An event of an unknown job is accepted, so that its sender does not retry it forever.
	ev := peer.EventsRequest{Shard: "job/000", Events: []peer.Event{{Kind: peer.EventLost, Attempt: a}}}
	if _, reason := callPeer[peer.EventsRequest, httpx.Empty](t, r, peer.PathEvents, ev); reason != "" {
		t.Errorf("event of an unknown job: %q", reason)
	}
	req := requests.Request{ID: "once", Service: "none", Team: "inkasoft", TimeoutMS: 100}
	res, reason := callPeer[requests.Request, requests.Result](t, r, peer.PathRequest, req)
	if reason != "" || res.Outcome != api.OutcomeRefused {
		t.Errorf("request to a service without instances: %+v %s", res, reason)
	}
	if _, reason := callPeer[requests.Request, requests.Result](t, r, peer.PathRequest, req); reason != "handed_over_before" {
		t.Errorf("duplicate of a forwarded request: %q", reason)
	}
	if sum, reason := callPeer[httpx.Empty, peer.Summary](t, r, peer.PathSummary, httpx.Empty{}); reason != "" || sum.Node != "entry-1" || sum.BundleVersion != 1 {
		t.Errorf("summary: %+v %s", sum, reason)
	}
	if head, reason := callPeer[httpx.Empty, node.HeadReply](t, r, peer.PathHead, httpx.Empty{}); reason != "" || head.Bundle.Digest() != head.Head.Digest {
		t.Errorf("head: %+v %s", head.Head, reason)
	}
}

// TestOperatorContract makes valid and invalid calls of an operator, in the order of a
// bundle's roll-out.
func TestOperatorContract(t *testing.T) {
	t.Parallel()
	r := startNode(t, nil)
	op := r.client("", "")
	next := bundle.Default()
	next.Limits.TimeoutMS = 12_345
	conflict, invalid := http.StatusConflict, http.StatusUnprocessableEntity
	tests := []struct {
		name   string
		call   func(ctx context.Context) error
		status int
	}{
		{"no bundle", func(ctx context.Context) error {
			return proposeError(op.Propose(ctx, nil, bundle.Proposal{Change: "x", Operator: "o"}))
		}, invalid},
		{"no change id", func(ctx context.Context) error {
			return proposeError(op.Propose(ctx, next, bundle.Proposal{Base: 1, Operator: "o"}))
		}, invalid},
		{"an old base", func(ctx context.Context) error {
			return proposeError(op.Propose(ctx, next, bundle.Proposal{Base: 0, Change: "old", Operator: "o"}))
		}, conflict},
		{"a change that nobody proposed", func(ctx context.Context) error { return acceptError(op.Accept(ctx, "none")) }, conflict},
		{"a good proposal", func(ctx context.Context) error {
			return proposeError(op.Propose(ctx, next, bundle.Proposal{Base: 1, Change: "good", Operator: "o"}))
		}, 0},
		{"accepted", func(ctx context.Context) error { return acceptError(op.AcceptWhenStaged(ctx, "good")) }, 0},
		{"accepted again", func(ctx context.Context) error { return acceptError(op.Accept(ctx, "good")) }, 0},
	}
	for _, tt := range tests {
		err := tt.call(t.Context())
		p, _ := client.ProblemOf(err)
		if p.Status != tt.status || (err != nil && p.Reason == "") {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
	st, err := op.Bundle(t.Context())
	if err != nil || st.Head.Version != 2 || st.Bundle.Limits.TimeoutMS != 12_345 || st.Proposal != nil {
		t.Errorf("status after the roll-out: %+v, %v", st.Head, err)
	}
	h, err := op.History(t.Context())
	if err != nil || len(h.Heads) != 2 {
		t.Errorf("history: %+v, %v", h, err)
	}
}

func proposeError(_ bundle.Proposal, err error) error { return err }

func acceptError(_ bundle.Head, err error) error { return err }
