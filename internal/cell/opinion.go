// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"sync"
	"time"
)

const (
	// maxWitnesses is how many peers are asked before a silent owner is replaced.
	maxWitnesses = 3
	// isolationDelay is how long a node waits that no other node answers: far more
	// likely it is cut off itself than are all others lost without a trace.
	isolationDelay = 3 * time.Second
)

// witnessTimeout is longer than the ping that a peer makes before it answers.
const witnessTimeout = watchPingTimeout + 100*time.Millisecond

// witnessReport is what others say of a node that was silent to this one.
type witnessReport struct {
	// reachedBy is who gets an answer from it: a peer that was asked to try, or this
	// node itself at a second try; "" if nobody.
	reachedBy string
	// isolated is set if there are other nodes, and none answered here either.
	isolated bool
}

// askWitnesses asks a few peers whether a node answers them, and tries it once more.
func (n *Node) askWitnesses(ctx context.Context, m member) witnessReport {
	asked, others := n.peers.witnesses(m.Name)
	var mu sync.Mutex
	var wg sync.WaitGroup
	result := witnessReport{isolated: others}
	for _, p := range asked {
		wg.Go(func() {
			reply, err := call[pingRequest, pingReply](ctx, n.peers, p.Address, pathPing, pingRequest{From: n.me, Knows: n.peers.count(), About: m.Name}, witnessTimeout)
			if err != nil {
				n.peers.recordFailure(p, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			result.isolated = false
			if reply.AboutAnswers {
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
