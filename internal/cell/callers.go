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

// Answer is how a caller's call ended.
type Answer string

// The answers to callers.
const (
	// AnswerOK: the call took effect and is durable.
	AnswerOK Answer = "ok"
	// AnswerRefused: the call had no effect and never will.
	AnswerRefused Answer = "refused"
	// AnswerUnknown: the call may take effect; the caller should repeat it.
	AnswerUnknown Answer = "unknown"
	// AnswerImpossible: the call can't take effect however often it comes.
	AnswerImpossible Answer = "impossible"
	// AnswerNoJob: there is no such job.
	AnswerNoJob Answer = "no_job"
)

// notifyAttempts is how often a shard's owner is told something. A call that fails because its
// connection passes nothing any more has the silent ones beside it closed, so that the next
// call gets a new one. Otherwise the owner would have to wait for its feed of the store,
// which may have gone silent in the same moment and is given up after 2 s.
const notifyAttempts = 2

// notifyOwner tells a shard's owner something that it also finds in the store.
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
			n.Log.Info("owner not told", events.PeerLost, zap.Stringer("shard", shard), zap.String("owner", rec.Owner.Name), zap.Error(err))
		}
	}()
}

// callOwner makes a call of a shard's owner, here or on another node, whose answer there has
// to begin to arrive within a time.
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

// stateFromOwner asks a shard's owner for a job's state; false: it doesn't tell.
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

// cancelOnce looks a job's shards up and writes its cancel there once.
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
