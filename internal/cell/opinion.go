// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"sync"
	"time"
)

const (
	// secondOpinions is how many peers are asked before a silent owner is replaced.
	secondOpinions = 3
	// aloneDelay is how long a node waits that no other node answers: far more
	// likely it is cut off itself than are all others lost without a trace.
	aloneDelay = 3 * time.Second
)

// opinionTimeout is longer than the ping that a peer makes before it answers.
const opinionTimeout = watchPing + 100*time.Millisecond

// opinion is what others say of a node that was silent to this one.
type opinion struct {
	// answers is who gets an answer from it: a peer that was asked to try, or this
	// node itself at a second try; "" if nobody.
	answers string
	// alone is set if there are other nodes, and none answered here either.
	alone bool
}

// askAbout asks a few peers whether a node answers them, and tries it once more.
func (n *Node) askAbout(ctx context.Context, m member) opinion {
	asked, others := n.peers.witnesses(m.Name)
	var mu sync.Mutex
	var wg sync.WaitGroup
	result := opinion{alone: others}
	for _, p := range asked {
		wg.Go(func() {
			reply, err := call[pingRequest, pingReply](ctx, n.peers, p.Address, pathPing, pingRequest{From: n.me, Knows: n.peers.known(), About: m.Name}, opinionTimeout)
			if err != nil {
				n.peers.failed(p, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			result.alone = false
			if reply.AboutAnswers {
				result.answers = p.Name
			}
		})
	}
	wg.Go(func() {
		if _, err := n.peers.ping(ctx, m); err == nil {
			mu.Lock()
			defer mu.Unlock()
			result.answers = n.me.Name
		}
	})
	wg.Wait()
	return result
}
