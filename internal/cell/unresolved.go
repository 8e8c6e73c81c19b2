// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
)

// The load that this file addresses: callers repeat a submission without a known outcome at any
// node, while its part of the store is away. The node that got no answer tells the owners of the
// shards that may get the job, and a node asks them before it refuses a job. This is soft state:
// a node that has lost it refuses a job that an earlier call may have submitted.

const (
	// unresolvedSize is how many jobs of unknown outcome a node remembers: more than callers
	// repeat within seconds after an outage.
	unresolvedSize = 2000
	// ownerLookupTimeout bounds how long a refusal waits for the owners, which answer within
	// 2 ms: the caller is to be refused within 0.2 s.
	ownerLookupTimeout = 100 * time.Millisecond
)

// noteUnresolved remembers that a job may have been accepted, here and at the owners of the
// shards that may get it.
func (n *Node) noteUnresolved(job *cluster.Job) {
	n.unresolved.Add(job.ID, struct{}{})
	for _, shard := range n.likelyShards(job.Service, job.ID) {
		n.notifyOwner(shard, func(*owner.Owner) {}, func(ctx context.Context, m member) error {
			_, err := call[jobQuery, empty](ctx, n.peers, m.Address, pathUnresolved, jobQuery{shard, job.ID}, peerTimeout)
			return err
		})
	}
}

// handleUnresolved remembers that a peer doesn't know whether a job was accepted.
func (n *Node) handleUnresolved(_ context.Context, q jobQuery) (empty, error) {
	n.unresolved.Add(q.ID, struct{}{})
	return empty{}, nil
}

// answerUnsent returns the answer for a job of which this call has written nothing. An earlier
// call may have: a job that was accepted, or may have been, is not refused, as far as this node
// and the owners know.
func (n *Node) answerUnsent(ctx context.Context, job *cluster.Job, cause string) Answer {
	if pin, ok := n.pins.Get(job.ID); ok && pin.Team == job.Team {
		return n.answerAccepted(job)
	}
	reply := n.askOwners(ctx, job.ID, n.possibleShards(job.Service, job.ID))
	switch {
	case reply.Known && reply.Team == job.Team:
		return n.answerAccepted(job)
	case reply.Unresolved || n.unresolved.Contains(job.ID):
		return n.answerUnknown(job.ID)
	}
	return n.refuse(job.ID, cause)
}

// possibleShards returns the shards whose owners may know of a job: those of its queue's service
// first, and then those of all others, which the queue may have had when an earlier call came.
func (n *Node) possibleShards(service, id string) []cluster.ShardID {
	shards := n.likelyShards(service, id)
	for _, layout := range n.knownLayouts() {
		if layout.Service != service {
			shards = append(shards, n.candidatesByLoad(&layout, id)...)
		}
	}
	return shards
}

// askOwners asks the owners of shards about a job until one knows it. Unresolved is set in the
// reply if any of those asked holds the job's outcome for unknown.
func (n *Node) askOwners(ctx context.Context, id string, shards []cluster.ShardID) (reply stateReply) {
	ctx, cancel := context.WithTimeout(ctx, ownerLookupTimeout)
	defer cancel()
	for _, shard := range shards {
		next := n.stateFromOwner(ctx, shard, id)
		next.Unresolved = next.Unresolved || reply.Unresolved
		if reply = next; reply.Known {
			break
		}
	}
	return reply
}

// answerAccepted returns the answer for a job that was accepted before, perhaps by an attempt
// whose answer was lost.
func (n *Node) answerAccepted(job *cluster.Job) Answer {
	n.Log.Info("job already accepted", events.JobAccepted, zap.String("job", job.ID), zap.String("queue", job.Queue))
	return AnswerOK
}
