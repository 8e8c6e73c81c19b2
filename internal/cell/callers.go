// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"time"

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
	// AnswerNoJob means that the job doesn't exist.
	AnswerNoJob Answer = "no_job"
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

// State returns a job's state, from its owner or else from the store.
func (n *Node) State(ctx context.Context, service, id string) (cluster.State, Answer) {
	for _, shard := range n.likelyShards(service, id) {
		if state, ok := n.stateFromOwner(ctx, shard, id); ok {
			return state, AnswerOK
		}
	}
	if n.store.down() {
		return "", AnswerRefused
	}
	shards, _, answer := n.lookUpPin(ctx, service, id)
	if answer != AnswerOK {
		return "", answer
	}
	shard := shards[0]
	if state, ok := n.stateFromOwner(ctx, shard, id); ok {
		return state, AnswerOK
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

// stateFromOwner asks a shard's owner for a job's state. It returns false if the owner
// doesn't know the job or doesn't answer.
func (n *Node) stateFromOwner(ctx context.Context, shard cluster.ShardID, id string) (cluster.State, bool) {
	if o := n.local(shard); o != nil {
		return o.JobState(id)
	}
	rec, _ := n.owner(shard)
	if rec.Owner.Name == "" || n.peers.isDown(rec.Owner.Name) {
		return "", false
	}
	reply, err := call[jobQuery, stateReply](ctx, n.peers, rec.Owner.Address, pathState, jobQuery{shard, id}, peerTimeout)
	return reply.State, err == nil && reply.Known
}

// Cancel cancels a job durably.
func (n *Node) Cancel(ctx context.Context, service, id string) Answer {
	state, answer := n.State(ctx, service, id)
	if answer != AnswerOK {
		return answer
	}
	if state.Finished() {
		return AnswerOK
	}
	for n.mayRetry(ctx) {
		if shards, ok := n.cancelOnce(ctx, service, id); ok {
			n.Log.Info("cancel accepted", events.CancelAccepted, zap.String("job", id), zap.String("state", string(state)), zap.Stringers("shards", shards))
			for _, shard := range shards {
				n.notifyOwner(shard, func(o *owner.Owner) { o.CancelJob(id) }, func(ctx context.Context, m member) error {
					_, err := call[jobQuery, empty](ctx, n.peers, m.Address, pathCancel, jobQuery{shard, id}, peerTimeout)
					return err
				})
			}
			return AnswerOK
		}
		tables.Sleep(ctx, submitRetryInterval)
	}
	return AnswerUnknown
}

// cancelOnce looks up a job's shards and makes one attempt to write its cancellation to them.
func (n *Node) cancelOnce(ctx context.Context, service, id string) ([]cluster.ShardID, bool) {
	c, cancel := attemptContext(ctx)
	defer cancel()
	shards, pin, answer := n.lookUpPin(c, service, id)
	if answer != AnswerOK {
		return nil, false
	}
	res, err := n.store.Commit(c, owner.CancelJobTxn(shards, pin))
	return shards, err == nil && res.Committed
}
