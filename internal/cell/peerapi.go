// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"net/http"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// maxPeerBody bounds a request of a peer: the store's limit of 1 MB for one write, in
	// base64 and with its keys.
	maxPeerBody = 4 << 20
	// maxMembersInReply bounds the nodes that the reply to a ping names.
	maxMembersInReply = 10
)

func (n *Node) peerMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("POST "+pathPing, httpx.Handle(maxPeerBody, n.handlePing))
	mux.Handle("POST "+pathJob, httpx.Handle(maxPeerBody, n.handleJob))
	mux.Handle("POST "+pathCancel, httpx.Handle(maxPeerBody, n.handleCancel))
	mux.Handle("POST "+pathState, httpx.Handle(maxPeerBody, n.handleState))
	mux.Handle("POST "+pathUnresolved, httpx.Handle(maxPeerBody, n.handleUnresolved))
	mux.Handle("POST "+pathWaiting, httpx.Handle(maxPeerBody, n.handleWaiting))
	mux.Handle("POST "+pathAdvise, httpx.Handle(maxPeerBody, n.handleAdvise))
	mux.Handle("POST "+pathTake, httpx.Handle(maxPeerBody, n.handleTake))
	mux.Handle("POST "+pathGang, httpx.Handle(maxPeerBody, n.handleGangState))
	mux.Handle("POST "+pathMembers, httpx.Handle(maxPeerBody, n.handleGangStart))
	mux.Handle("POST "+pathTeams, httpx.Handle(maxPeerBody, n.handleTeamParts))
	mux.Handle("POST "+pathConfig, httpx.Handle(maxPeerBody, n.handleConfig))
	mux.Handle("POST "+pathConfigFeed, httpx.Handle(maxPeerBody, n.handleConfigFeed))
	mux.Handle("POST "+pathDirectory, httpx.Handle(maxPeerBody, n.handleDirectory))
	mux.Handle("POST "+pathCommit, httpx.Handle(maxPeerBody, func(ctx context.Context, txn tables.Txn) (storeReply[tables.TxnResult], error) {
		return storeReplyOf(n.relay.Direct().Commit(ctx, txn)), nil
	}))
	mux.Handle("POST "+pathList, httpx.Handle(maxPeerBody, func(ctx context.Context, req tables.ListRequest) (storeReply[tables.ListResult], error) {
		return storeReplyOf(n.relay.Direct().List(ctx, req)), nil
	}))
	mux.Handle("POST "+pathFeed, httpx.Handle(maxPeerBody, func(ctx context.Context, req tables.FeedRequest) (storeReply[tables.FeedResult], error) {
		return storeReplyOf(n.relay.Direct().Feed(ctx, req)), nil
	}))
	mux.Handle("POST "+pathWorkers, n.helperServer)
	mux.Handle("POST "+pathMachines, httpx.Handle(maxPeerBody, n.handleMachines))
	return mux
}

// storeReplyOf wraps the store's reply for a peer that doesn't reach the store itself.
func storeReplyOf[T any](res T, err error) storeReply[T] {
	if err != nil {
		return storeReply[T]{Failed: tables.KindOf(err), Detail: err.Error()}
	}
	return storeReply[T]{Result: res}
}

func (n *Node) handlePing(ctx context.Context, req pingRequest) (pingReply, error) {
	n.peers.recordContact(req.From)
	if req.PartsAway > 0 {
		n.store.parts.suspect()
	}
	now := n.admitter.now()
	n.admitter.memory.Learn(req.From.Name, req.Refused, now)
	reply := pingReply{
		Me: n.me, Draining: n.Draining(), StoreGood: n.relay.DirectAvailable() && !n.store.down(),
		PartsAway: n.store.parts.countAway(), ConfigVersion: versionOf(n.Config()), Evacuations: n.evacuations.orders(),
	}
	for shard, o := range n.ownedShards() {
		reply.Owns = append(reply.Owns, ownedShard{shard, o.Load(), n.encodeForecast(o)})
	}
	reply.Members = n.peers.membersFor(req)
	reply.Owners, reply.Knows = n.latestOwners(req.Owns), n.peers.count()
	reply.Refused, reply.RefusedLast = n.admitter.memory.News(req.RefusedAfter, req.From.Name, now)
	if req.About != "" {
		if q, ok := n.peers.get(req.About); ok {
			c, cancel := context.WithTimeout(ctx, watchPingTimeout)
			defer cancel()
			_, err := n.peers.ping(c, q.member)
			reply.AboutAnswers = err == nil
			reply.AboutHeardMS = n.peers.heardAgo(req.About).Milliseconds()
		}
	}
	return reply, nil
}

// errNotOwner is the answer to a peer if the shard isn't owned here.
func errNotOwner() *httpx.Error {
	return httpx.NewProblem(http.StatusConflict, "not_owner", "the shard is not owned here")
}

func (n *Node) handleJob(_ context.Context, msg jobMessage) (empty, error) {
	o := n.local(msg.Job.ShardID())
	if o == nil {
		return empty{}, errNotOwner()
	}
	o.AddJob(msg.Job, msg.Version)
	return empty{}, nil
}

func (n *Node) handleCancel(_ context.Context, q jobQuery) (empty, error) {
	o := n.local(q.Shard)
	if o == nil {
		return empty{}, errNotOwner()
	}
	o.CancelJob(q.ID)
	return empty{}, nil
}

func (n *Node) handleState(_ context.Context, q jobQuery) (stateReply, error) {
	o := n.local(q.Shard)
	if o == nil {
		return stateReply{}, errNotOwner()
	}
	state, team, ok := o.JobState(q.ID)
	return stateReply{Known: ok, State: state, Team: team, Unresolved: n.unresolved.Contains(q.ID)}, nil
}

func (n *Node) handleWaiting(_ context.Context, q waitingQuery) (waitingReply, error) {
	o := n.local(q.Shard)
	if o == nil {
		return waitingReply{}, errNotOwner()
	}
	count, ok := o.WaitingJobs(q.Queue)
	if !ok {
		return waitingReply{}, errNotOwner()
	}
	return waitingReply{Waiting: count}, nil
}

func (n *Node) handleAdvise(ctx context.Context, req adviseRequest) (adviseReply, error) {
	tickets, validFor, err := n.Advice.Advise(ctx, req.Step, req.Workers)
	if err != nil {
		return adviseReply{}, httpx.NewProblem(http.StatusBadGateway, "advice_failed", err.Error())
	}
	return adviseReply{Tickets: tickets, ValidMS: validFor.Milliseconds()}, nil
}

// handleTake takes over the shard of a node that stops. The write continues if that node
// gives up waiting: it may take effect anyway, and its outcome has to be determined here.
func (n *Node) handleTake(ctx context.Context, req takeRequest) (empty, error) {
	if n.Draining() {
		return empty{}, errNotOwner()
	}
	if _, version := n.owner(req.Shard); version < req.Version {
		n.reconcileOwner(ctx, req.Shard)
	}
	if _, ok := n.layout(req.Shard.Service); !ok || !n.takeShard(n.ctx, req.Shard, req.Version, ownerLoss{cause: "handed over"}) {
		return empty{}, errNotOwner()
	}
	return empty{}, nil
}

func (n *Node) handleConfig(context.Context, empty) (cluster.Config, error) {
	cfg := n.Config()
	if cfg == nil {
		return cluster.Config{}, httpx.NewProblem(http.StatusServiceUnavailable, "no_configuration", "no configuration is known yet")
	}
	return *cfg, nil
}
