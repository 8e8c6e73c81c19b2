// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/shard"
)

// The paths of the operators' listener.
const (
	PathStatus        = "/operator/v1/status"
	PathDrain         = "/operator/v1/drain"
	PathBundle        = "/operator/v1/bundle"
	PathBundlePropose = "/operator/v1/bundle/propose"
	PathBundleAccept  = "/operator/v1/bundle/accept"
	PathBundleHistory = "/operator/v1/bundle/history"

	maxBundleBytes = 4 << 20
)

// Status is a node's view of itself and of the cell, for operators.
type Status struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	// NotReady says why the node does not serve.
	NotReady     string           `json:"not_ready,omitempty"`
	LeaseHeld    bool             `json:"lease_held"`
	StoreDown    bool             `json:"store_down"`
	JobShards    int              `json:"job_shards"`
	WorkerShards int              `json:"worker_shards"`
	Unowned      int              `json:"unowned_shards"`
	Bundle       bundle.Head      `json:"bundle"`
	Nodes        []AppliedBundles `json:"nodes"`
}

// AppliedBundles is the bundle that a live node applies and the one that it has staged.
type AppliedBundles struct {
	Node     string `json:"node"`
	InForce  int64  `json:"in_force"`
	Staged   string `json:"staged,omitempty"`
	Draining bool   `json:"draining,omitempty"`
}

// BundleStatus is the bundle in force, the pending proposal, and the nodes that have
// yet to stage it.
type BundleStatus struct {
	Head     bundle.Head      `json:"head"`
	Bundle   *bundle.Bundle   `json:"bundle,omitempty"`
	Proposal *bundle.Proposal `json:"proposal,omitempty"`
	// Waiting are the live nodes that have not staged the proposal yet.
	Waiting []string         `json:"waiting,omitempty"`
	Nodes   []AppliedBundles `json:"nodes"`
}

// ProposeRequest carries a signed bundle.
type ProposeRequest struct {
	Bundle   *bundle.Bundle  `json:"bundle"`
	Proposal bundle.Proposal `json:"proposal"`
}

// AcceptRequest names the change to accept.
type AcceptRequest struct {
	Change string `json:"change"`
}

// HistoryReply holds the accepted bundles, oldest first.
type HistoryReply struct {
	Heads []bundle.Head `json:"heads"`
}

// DrainReply confirms that a planned stop has begun.
type DrainReply struct {
	Node     string `json:"node"`
	Draining bool   `json:"draining"`
}

func (n *Node) operatorRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.Handle("/", n.requireOperator(n.authenticatedRoutes()))
	return mux
}

// authenticatedRoutes returns the routes that require an operator's token.
func (n *Node) authenticatedRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.Handle("GET "+PathStatus, operatorHandler(n.status))
	mux.Handle("POST "+PathDrain, operatorHandler(n.serveDrain))
	mux.Handle("GET "+PathBundle, operatorHandler(n.bundleStatus))
	mux.Handle("POST "+PathBundlePropose, operatorHandler(n.propose))
	mux.Handle("POST "+PathBundleAccept, operatorHandler(n.accept))
	mux.Handle("GET "+PathBundleHistory, operatorHandler(n.history))
	return mux
}

// requireOperator refuses requests without an operator's token, if the settings have
// any.
func (n *Node) requireOperator(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !tokenValid(n.cfg.Operators.TokenSHA256, r) {
			n.counters.refused("operator_token_not_valid")
			httpx.WriteError(w, httpx.NewProblem(http.StatusUnauthorized, "operator_token_not_valid", "the bearer token is not an operator's"))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// operatorHandler returns the handler of an operator's call.
func operatorHandler[Req, Resp any](fn func(context.Context, Req) (Resp, error)) http.Handler {
	return httpx.Handle(maxBundleBytes, func(ctx context.Context, req Req) (Resp, error) {
		resp, err := fn(ctx, req)
		return resp, bundleProblem(err)
	})
}

func bundleProblem(err error) error {
	var be *bundle.Error
	if !errors.As(err, &be) {
		return problem(err)
	}
	status := http.StatusUnprocessableEntity
	switch be.Kind {
	case bundle.KindConflict, bundle.KindNotStaged:
		status = http.StatusConflict
	case bundle.KindNotFound:
		status = http.StatusNotFound
	case bundle.KindSignature:
		status = http.StatusForbidden
	case bundle.KindStore:
		status = http.StatusServiceUnavailable
	case bundle.KindInvalid:
	}
	return httpx.NewProblem(status, "bundle_"+string(be.Kind), be.Err.Error())
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := n.Ready(); err != nil {
		httpx.WriteError(w, httpx.NewProblem(http.StatusServiceUnavailable, "not_ready", err.Error()))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) status(context.Context, httpx.Empty) (Status, error) {
	head, _ := n.follower.state()
	st := Status{
		Node: n.cfg.Node, DataCentre: n.cfg.DataCentre, Ready: true, LeaseHeld: n.lease.Held(), StoreDown: n.journal.Down(),
		JobShards: n.shards.Owned(shard.KindJob), WorkerShards: n.shards.Owned(shard.KindWorker), Unowned: n.shards.Unowned(),
		Bundle: head, Nodes: n.nodeBundles(),
	}
	if err := n.Ready(); err != nil {
		st.Ready, st.NotReady = false, err.Error()
	}
	return st, nil
}

func (n *Node) nodeBundles() []AppliedBundles {
	var list []AppliedBundles
	for _, node := range n.lease.Live() {
		list = append(list, AppliedBundles{Node: node.ID, InForce: node.InForce, Staged: node.Staged, Draining: node.Draining})
	}
	return list
}

func (n *Node) serveDrain(context.Context, httpx.Empty) (DrainReply, error) {
	n.Drain()
	return DrainReply{Node: n.cfg.Node, Draining: true}, nil
}

func (n *Node) bundleStatus(ctx context.Context, _ httpx.Empty) (BundleStatus, error) {
	head, b := n.follower.state()
	st := BundleStatus{Head: head, Bundle: b, Nodes: n.nodeBundles()}
	p, ok, err := n.bundles.PendingProposal(ctx)
	if err != nil || !ok {
		return st, err
	}
	st.Proposal = &p
	st.Waiting = n.nodesNotStaged(p.Digest)
	return st, nil
}

// nodesNotStaged returns the live nodes that have not staged a bundle; draining ones
// do not count.
func (n *Node) nodesNotStaged(digest string) []string {
	var waiting []string
	for _, node := range n.lease.Live() {
		if node.Staged != digest && !node.Draining {
			waiting = append(waiting, node.ID)
		}
	}
	return waiting
}

func (n *Node) propose(ctx context.Context, req ProposeRequest) (bundle.Proposal, error) {
	if req.Bundle == nil || req.Proposal.Change == "" || req.Proposal.Operator == "" {
		return bundle.Proposal{}, httpx.FieldProblem("bundle, proposal.change, proposal.operator", "must be given")
	}
	p, err := n.bundles.Propose(ctx, req.Bundle, req.Proposal)
	if err == nil {
		n.log.Info("bundle proposed", events.BundleProposed, zap.String("change", p.Change), zap.String("operator", p.Operator))
	}
	return p, err
}

// accept puts a proposed bundle in force once every live node has staged it.
func (n *Node) accept(ctx context.Context, req AcceptRequest) (bundle.Head, error) {
	p, ok, err := n.bundles.PendingProposal(ctx)
	if err != nil {
		return bundle.Head{}, err
	}
	if ok && p.Change == req.Change {
		if err := n.lease.Refresh(ctx); err != nil {
			return bundle.Head{}, &bundle.Error{Op: "accept", Kind: bundle.KindStore, Err: err}
		}
		if waiting := n.nodesNotStaged(p.Digest); len(waiting) > 0 {
			return bundle.Head{}, &bundle.Error{Op: "accept", Kind: bundle.KindNotStaged, Err: errors.Errorf("not staged yet on %v", waiting)}
		}
	}
	head, err := n.bundles.Accept(ctx, req.Change)
	if err != nil {
		return head, err
	}
	n.log.Info("bundle accepted", events.BundleRolledOut, zap.Int64("version", head.Version), zap.String("change", head.Change))
	// Apply the bundle here at once. The exchange of load spreads it to all nodes, even
	// if the store goes down before any of them has read the new head.
	if err := n.follower.advance(ctx, head); err != nil {
		n.log.Warn("bundle not read", events.BundleNotRead, zap.Error(err))
	}
	return head, nil
}

func (n *Node) history(ctx context.Context, _ httpx.Empty) (HistoryReply, error) {
	heads, err := n.bundles.History(ctx)
	return HistoryReply{Heads: heads}, err
}
