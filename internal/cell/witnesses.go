// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

const (
	// maxWitnesses is how many peers are asked about a silent owner before it is replaced.
	maxWitnesses = 3
	// isolationDelay is how long a node waits while no other node answers it: it is far more
	// likely that this node is cut off than that all others failed at once.
	isolationDelay = 3 * time.Second
)

// witnessTimeout bounds one question to a witness, which pings the owner before it answers.
const witnessTimeout = watchPingTimeout + 100*time.Millisecond

// witnessReport is what other nodes report of a node that was silent to this one.
type witnessReport struct {
	// reachedBy names a node that got an answer: a witness, or this node itself at a second
	// attempt. It is empty if nobody did.
	reachedBy string
	// asked is how many nodes were asked, and answered how many of them have answered.
	asked, answered int
	// isolated is set if there are other nodes and none of them answered this one.
	isolated bool
}

// firstWatcher returns the name of the first other candidate for a shard, which pings the owner most
// often; "": there is none.
func (n *Node) firstWatcher(shard cluster.ShardID, owner member) string {
	first, _ := firstCandidate(shard.String(), func(fn func(c candidate)) {
		n.peers.eachPossibleCandidate(n.asCandidate(), func(c candidate) {
			if c.Incarnation != owner.Incarnation {
				fn(c)
			}
		})
	})
	return first.Name
}

// askWitnesses asks a few peers whether a shard's owner answers them, or has since the given time, and
// pings it once more itself.
func (n *Node) askWitnesses(ctx context.Context, shard cluster.ShardID, m member, since time.Time) witnessReport {
	asked, others := n.peers.witnesses(m.Name, n.firstWatcher(shard, m))
	var mu sync.Mutex
	var wg sync.WaitGroup
	result := witnessReport{asked: len(asked), isolated: others}
	for _, p := range asked {
		wg.Go(func() {
			sent := time.Now()
			reply, err := call[pingRequest, pingReply](ctx, n.peers, p.Address, pathPing, pingRequest{From: n.me, Knows: n.peers.count(), About: m.Name}, witnessTimeout)
			if err != nil {
				n.peers.recordFailure(p, sent, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			result.isolated = false
			result.answered++
			heardAgo := time.Duration(reply.AboutHeardMS) * time.Millisecond
			if reply.AboutAnswers || (heardAgo > 0 && heardAgo < time.Since(since)) {
				result.reachedBy = p.Name
			}
		})
	}
	wg.Go(func() {
		if _, err := n.peers.ping(ctx, m); err == nil {
			mu.Lock()
			defer mu.Unlock()
			result.reachedBy = n.me.Name
		}
	})
	wg.Wait()
	return result
}
