// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
)

// waitingTimeout bounds the query for the length of a queue.
const waitingTimeout = 600 * time.Millisecond

// Waiting returns how many jobs of a queue have not begun. The service is that of the queue now;
// jobs that were accepted while the queue had another one wait there, and aren't counted while
// that one doesn't answer.
func (n *Node) Waiting(ctx context.Context, service, queue string) (int, Answer) {
	layout, ok := n.layout(service)
	if !ok {
		return 0, AnswerRefused
	}
	shards := layout.IDs()
	for _, other := range n.knownLayouts() {
		if other.Service != service {
			shards = append(shards, other.IDs()...)
		}
	}
	counts := make([]int, len(shards))
	g, ctx := errgroup.WithContext(ctx)
	for i, shard := range shards {
		g.Go(func() (err error) {
			counts[i], err = n.waitingInShard(ctx, shard, queue)
			if err != nil && shard.Service != service {
				n.Log.Info("failed to count jobs of queue in its earlier service", events.PeerLost, zap.String("queue", queue), zap.Stringer("shard", shard), zap.Error(err))
				return nil
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		n.Log.Info("failed to count jobs of queue", events.PeerLost, zap.String("queue", queue), zap.Error(err))
		return 0, AnswerRefused
	}
	total := 0
	for _, c := range counts {
		total += c
	}
	return total, AnswerOK
}

// waitingInShard asks a shard's owner how many jobs of a queue have not begun.
func (n *Node) waitingInShard(ctx context.Context, shard cluster.ShardID, queue string) (int, error) {
	reply, err := callOwner(ctx, n, shard, pathWaiting, waitingQuery{shard, queue}, waitingTimeout, n.handleWaiting)
	return reply.Waiting, err
}
