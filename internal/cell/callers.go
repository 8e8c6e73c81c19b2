// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/tables"
)

// Answer is the result of a caller's call.
type Answer string

// The answers to callers' calls.
const (
	// AnswerOK means that the call took effect and is durable.
	AnswerOK Answer = "ok"
	// AnswerRefused means that the call had no effect and never will.
	AnswerRefused Answer = "refused"
	// AnswerUnknown means that the call may take effect; the caller should repeat it.
	AnswerUnknown Answer = "unknown"
	// AnswerImpossible means that the call can't take effect however often it is repeated.
	AnswerImpossible Answer = "impossible"
	// AnswerNoJob means that the job doesn't exist, or belongs to another team.
	AnswerNoJob Answer = "no_job"
	// AnswerConflict means that a job of another team has the ID.
	AnswerConflict Answer = "conflict"
	// AnswerCancelled means that the job was cancelled before it was accepted, and never runs. Its ID
	// can't be used for a while.
	AnswerCancelled Answer = "cancelled"
	// AnswerOverLimit means that the job's team may never run it under the present limit.
	AnswerOverLimit Answer = "over_limit"
	// AnswerOverloaded means that the job would end too late, and is not accepted for now.
	AnswerOverloaded Answer = "overloaded"
	// AnswerNoToken means that the call has no token that is in force.
	AnswerNoToken Answer = "no_token"
)

// notifyAttempts bounds the attempts to notify a shard's owner. When a call fails on a
// connection that no longer passes data, the transport closes the other silent connections to
// that address, so that the second attempt gets a new one. Without it the owner would learn
// of the change only from its feed of the store, which may have stalled at the same moment
// and is given up after 2 s.
const notifyAttempts = 2

// notifyOwner tells a shard's owner of a change: by local if it runs on this node, otherwise
// by remote in the background. A lost notification does no harm, since the owner also finds
// the change in the store.
func (n *Node) notifyOwner(shard cluster.ShardID, local func(*owner.Owner), remote func(context.Context, member) error) {
	if o := n.local(shard); o != nil {
		local(o)
		return
	}
	go func() {
		for range notifyAttempts {
			rec, _ := n.owner(shard)
			if rec.Owner.Name == "" {
				return
			}
			err := remote(n.ctx, rec.Owner)
			if err == nil || n.ctx.Err() != nil {
				return
			}
			n.Log.Info("owner not notified", events.PeerLost, zap.Stringer("shard", shard), zap.String("owner", rec.Owner.Name), zap.Error(err))
		}
	}()
}

// callOwner calls a shard's owner: by local if it runs on this node, over the network
// otherwise. A remote answer has to begin to arrive within begin.
func callOwner[Req, Resp any](ctx context.Context, n *Node, shard cluster.ShardID, path string, req Req, begin time.Duration,
	local func(context.Context, Req) (Resp, error),
) (Resp, error) {
	if n.local(shard) != nil {
		return local(ctx, req)
	}
	rec, _ := n.owner(shard)
	if rec.Owner.Name == "" {
		var none Resp
		return none, errNotOwner()
	}
	return call[Req, Resp](ctx, n.peers, rec.Owner.Address, path, req, begin)
}

// State returns the state of a job that the viewer may see, from its owner or else from the
// store. The service is that of the job's queue now; the job may run in another one.
func (n *Node) State(ctx context.Context, v Viewer, service, id string) (cluster.State, Answer) {
	for _, shard := range n.likelyShards(service, id) {
		if reply := n.stateFromOwner(ctx, shard, id); reply.Known {
			return reply.visibleTo(v)
		}
	}
	if n.store.down() || !n.partAnswers(ctx, "state", id) {
		return "", AnswerRefused
	}
	pin, _, answer := n.lookUpPin(ctx, v, id)
	if answer != AnswerOK {
		return "", answer
	}
	shard := pin.Shards[0]
	if reply := n.stateFromOwner(ctx, shard, id); reply.Known {
		return reply.visibleTo(v)
	}
	state, found, err := owner.StoredJobState(ctx, n.store, shard, id)
	switch {
	case err != nil:
		return "", AnswerRefused
	case !found:
		return cluster.StatePending, AnswerOK
	}
	return state, AnswerOK
}

// visibleTo returns the state and answer for a viewer.
func (r stateReply) visibleTo(v Viewer) (cluster.State, Answer) {
	if !v.sees(r.Team) {
		return "", AnswerNoJob
	}
	return r.State, AnswerOK
}

// stateFromOwner asks a shard's owner for a job's state. The job counts as unknown if the owner
// doesn't answer.
func (n *Node) stateFromOwner(ctx context.Context, shard cluster.ShardID, id string) stateReply {
	if o := n.local(shard); o != nil {
		state, team, ok := o.JobState(id)
		return stateReply{Known: ok, State: state, Team: team}
	}
	rec, _ := n.owner(shard)
	if rec.Owner.Name == "" || n.peers.isDown(rec.Owner.Name) {
		return stateReply{}
	}
	reply, err := call[jobQuery, stateReply](ctx, n.peers, rec.Owner.Address, pathState, jobQuery{shard, id}, peerTimeout)
	if err != nil {
		return stateReply{}
	}
	return reply
}

// Cancel cancels a job that the viewer may see, durably. The service is as for State.
func (n *Node) Cancel(ctx context.Context, v Viewer, service, id string) Answer {
	state, answer := n.State(ctx, v, service, id)
	if answer == AnswerNoJob {
		answer = n.cancelAbsent(ctx, v, service, id)
	}
	if answer != AnswerOK {
		return answer
	}
	if state.Finished() {
		return AnswerOK
	}
	part, maybeCommitted := owner.JobPart(id), false
	for n.mayRetry(ctx) {
		if !maybeCommitted && !n.partAnswers(ctx, "cancel", id) {
			return AnswerRefused
		}
		shards, err := n.cancelOnce(ctx, v, id)
		if err == nil {
			n.Log.Info("cancel accepted", events.CancelAccepted, zap.String("job", id), zap.String("state", string(state)), zap.Stringers("shards", shards))
			for _, shard := range shards {
				n.notifyOwner(shard, func(o *owner.Owner) { o.CancelJob(id) }, func(ctx context.Context, m member) error {
					_, err := call[jobQuery, empty](ctx, n.peers, m.Address, pathCancel, jobQuery{shard, id}, peerTimeout)
					return err
				})
			}
			return AnswerOK
		}
		maybeCommitted = maybeCommitted || tables.IsUnknown(err)
		n.awaitRetry(ctx, part)
	}
	return AnswerUnknown
}

// partAnswers reports whether a job's part of the store is expected to answer a call, and counts
// the calls that end because it is not.
func (n *Node) partAnswers(ctx context.Context, kind, id string) bool {
	c, cancel := attemptContext(ctx)
	defer cancel()
	if n.store.partAnswers(c, owner.JobPart(id)) {
		return true
	}
	n.countPartRefusal(kind)
	return false
}

// cancelOnce looks up a job's shards and makes one attempt to write its cancellation to them. If
// the outcome of the write is unknown, so is the kind of the error.
func (n *Node) cancelOnce(ctx context.Context, v Viewer, id string) ([]cluster.ShardID, error) {
	c, cancel := attemptContext(ctx)
	defer cancel()
	pin, row, answer := n.lookUpPin(c, v, id)
	if answer != AnswerOK {
		return nil, errNotCancelled("the job's pin can't be read: " + string(answer))
	}
	res, err := n.store.Commit(c, owner.CancelJobTxn(pin.Shards, row))
	if err == nil && !res.Committed {
		err = errNotCancelled("the job's pin has changed")
	}
	return pin.Shards, err
}

// errNotCancelled is the error of an attempt to cancel that wrote nothing.
func errNotCancelled(cause string) error {
	return &tables.Error{Op: "cancel", Kind: tables.KindRefused, Err: errors.New(cause)}
}
