// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/scheduler"
)

// otherShards gives the owner of a shard access to the owners of the other shards.
type otherShards struct{ *Node }

// JobState returns a job's state, whichever shard the job is on.
func (n otherShards) JobState(ctx context.Context, service, id string) (state cluster.State, found bool, err error) {
	state, answer := n.State(ctx, AllTeams, service, id)
	switch answer {
	case AnswerOK:
		return state, true, nil
	case AnswerNoJob:
		return "", false, nil
	}
	return "", false, &Error{"state of " + id, KindNoAnswer, errors.New(string(answer))}
}

// QueryGang asks a shard's owner for its part of a gang's state.
func (n otherShards) QueryGang(ctx context.Context, shard cluster.ShardID, query scheduler.GangQuery) (scheduler.GangState, error) {
	msg := shardMessage[scheduler.GangQuery]{shard, query}
	return callOwner(ctx, n.Node, shard, pathGang, msg, peerTimeout, n.handleGangState)
}

// StartGang orders a shard's owner to start members of a gang.
func (n otherShards) StartGang(ctx context.Context, shard cluster.ShardID, start scheduler.GangStart) error {
	msg := shardMessage[scheduler.GangStart]{shard, start}
	_, err := callOwner(ctx, n.Node, shard, pathMembers, msg, peerTimeout, n.handleGangStart)
	return err
}

// handleGangState returns the state of a gang of which a shard owned here runs a part.
func (n *Node) handleGangState(_ context.Context, msg shardMessage[scheduler.GangQuery]) (scheduler.GangState, error) {
	o := n.local(msg.Shard)
	if o == nil {
		return scheduler.GangState{}, errNotOwner()
	}
	state, ok := o.HandleGangQuery(msg.What)
	if !ok {
		return state, httpx.NewProblem(http.StatusNotFound, "no_gang", "no such gang is known here, or another owner leads it")
	}
	return state, nil
}

// handleGangStart starts members of a gang on a shard owned here.
func (n *Node) handleGangStart(_ context.Context, msg shardMessage[scheduler.GangStart]) (empty, error) {
	o := n.local(msg.Shard)
	if o == nil {
		return empty{}, errNotOwner()
	}
	if err := o.HandleGangStart(msg.What); err != nil {
		return empty{}, httpx.NewProblem(http.StatusConflict, "not_started", err.Error())
	}
	return empty{}, nil
}
