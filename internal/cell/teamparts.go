// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"net/http"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
)

// teamPartsTimeout bounds the wait for the first bytes of an answer: the other owner makes a write
// first.
const teamPartsTimeout = 600 * time.Millisecond

// RequestTeamParts asks a shard's owner for parts of teams' limits.
func (n otherShards) RequestTeamParts(ctx context.Context, shard cluster.ShardID, req owner.TeamPartsRequest) (scheduler.GivenParts, error) {
	return callOwner(ctx, n.Node, shard, pathTeams, shardMessage[owner.TeamPartsRequest]{shard, req}, teamPartsTimeout, n.handleTeamParts)
}

// handleTeamParts gives parts of teams' limits of a shard owned here to another shard.
func (n *Node) handleTeamParts(ctx context.Context, msg shardMessage[owner.TeamPartsRequest]) (scheduler.GivenParts, error) {
	o := n.local(msg.Shard)
	if o == nil {
		return scheduler.GivenParts{}, errNotOwner()
	}
	reply, err := o.HandleTeamParts(ctx, msg.What)
	if err != nil {
		return reply, httpx.NewProblem(http.StatusServiceUnavailable, "not_given", err.Error())
	}
	return reply, nil
}

// updateTeams passes the teams of the configuration in force to the owners that run here.
func (n *Node) updateTeams() {
	n.mu.Lock()
	defer n.mu.Unlock()
	cfg := n.Config()
	if cfg == nil {
		return
	}
	for _, o := range n.owned {
		o.SetTeams(cfg.Teams)
	}
}
