// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"switchbank.example/switchbank/internal/conns"
)

const (
	// probeEvery is how often a node that the service turns away looks for its
	// return, and probeTimeout bounds one look; calls go through peers meanwhile,
	// so that none of them waits for a service that doesn't answer.
	probeEvery   = 300 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// maxPeers is how many peers one call may try: with a third of the nodes
	// turned away, two in three chains of two find a peer that is served.
	maxPeers = 3
)

// Peers finds the table service behind other nodes.
type Peers interface {
	// Relays returns peers in the order in which they should be tried.
	Relays() []Service
}

// Relay is a Service that goes through peers while the service turns this node away.
type Relay struct {
	direct Service
	peers  Peers
	// look is the list that shows whether the service answers.
	look ListRequest
	// looks lets calls that wait together share one look.
	looks singleflight.Group

	mu sync.Mutex
	// lastAnswer is when the service last answered this node.
	lastAnswer time.Time
	// lookedAt is when a look last ended, and found whether it was answered.
	lookedAt time.Time
	found    bool
	// bad is set while the service turns this node away.
	bad bool
}

// NewRelay returns a Relay over the direct service and the peers, which reads look
// to see whether the service answers.
func NewRelay(direct Service, peers Peers, look ListRequest) *Relay {
	return &Relay{direct: direct, peers: peers, look: look}
}

// Direct returns the service itself, for calls made on behalf of a peer.
func (r *Relay) Direct() Service { return r.direct }

// DirectAvailable reports whether the service serves this node, as far as is known.
func (r *Relay) DirectAvailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.bad
}

// setBad notes whether the service turns this node away.
func (r *Relay) setBad(bad bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad = bad
}

// Probe looks for the service's return while it turns this node away, until ctx ends.
func (r *Relay) Probe(ctx context.Context) {
	for ctx.Err() == nil {
		Sleep(ctx, probeEvery)
		if r.DirectAvailable() {
			continue
		}
		if err := r.lookOnce(ctx, probeTimeout); err == nil {
			r.setBad(false)
		}
	}
}

// Commit commits txn. A write whose outcome is unknown is not repeated here:
// the caller settles it by its conditions.
func (r *Relay) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	return relayed(ctx, r, limits{wait: sending(txn.size()), most: commitTimeout, write: true}, func(ctx context.Context, s Service) (TxnResult, error) { return s.Commit(ctx, txn) })
}

// List reads rows.
func (r *Relay) List(ctx context.Context, req ListRequest) (ListResult, error) {
	return r.list(ctx, req, false)
}

// ListDirect reads rows, but not through peers.
func (r *Relay) ListDirect(ctx context.Context, req ListRequest) (ListResult, error) {
	return r.list(ctx, req, true)
}

func (r *Relay) list(ctx context.Context, req ListRequest, own bool) (ListResult, error) {
	return relayed(ctx, r, limits{most: listTimeout, own: own}, func(ctx context.Context, s Service) (ListResult, error) { return s.List(ctx, req) })
}

// Feed waits for changes.
func (r *Relay) Feed(ctx context.Context, req FeedRequest) (FeedResult, error) {
	return r.feed(ctx, req, false)
}

// FeedDirect waits for changes, but not through peers.
func (r *Relay) FeedDirect(ctx context.Context, req FeedRequest) (FeedResult, error) {
	return r.feed(ctx, req, true)
}

func (r *Relay) feed(ctx context.Context, req FeedRequest, own bool) (FeedResult, error) {
	return relayed(ctx, r, limits{most: listTimeout, wait: req.Wait, own: own}, func(ctx context.Context, s Service) (FeedResult, error) { return s.Feed(ctx, req) })
}

// request makes one call of a service.
type request[Res any] func(ctx context.Context, s Service) (Res, error)

// limits bound one call.
type limits struct {
	// wait is how long the request takes on its way, or for how long the service may hold
	// the answer back, and most how much longer that may take to begin.
	wait, most time.Duration
	// write is set if the call may not be repeated without an answer, and own if it may
	// not go through peers.
	write, own bool
}

const (
	// commitTimeout and listTimeout bound one call. An answer takes 4 ms, and 0.4 s
	// when the service is 100 times slower; a write then keeps its part busy for
	// 0.3 s more, behind others of the part. A write that is repeated early only
	// makes the part slower, so it has almost all of a caller's 3 s.
	commitTimeout = 2500 * time.Millisecond
	listTimeout   = time.Second
)

// uploadRate is what a node can send at least, in bytes a second: half of a link of 10
// Mbit/s, the slowest that nodes have.
const uploadRate = 625_000

// sending returns how long a request of a size may be on its way. A write that is given
// up while it is being sent counts as unknown and is sent again, over the same link.
func sending(size int) time.Duration {
	return time.Duration(size) * time.Second / uploadRate
}

// relayed makes a call directly, or through peers while the service turns this node away.
func relayed[Res any](ctx context.Context, r *Relay, lim limits, call request[Res]) (res Res, err error) {
	directFirst := r.DirectAvailable()
	if directFirst {
		var settled bool
		if res, settled, err = directlyFirst(ctx, r, lim, call); settled {
			return res, err
		}
	}
	if lim.own {
		if !directFirst {
			err = &Error{Op: "read", Kind: KindRefused, Err: errors.New("the service turns this node away")}
		}
		return res, err
	}
	for i, s := range r.peers.Relays() {
		if i == maxPeers || ctx.Err() != nil {
			break
		}
		if res, err = through(ctx, s, lim, call); err == nil || IsFinal(err) || (lim.write && IsUnknown(err)) {
			return res, err
		}
	}
	if !directFirst {
		if res, _, err = directly(ctx, r, lim, call); err == nil {
			r.setBad(false)
		}
	}
	return res, err
}

// directlyFirst makes a call of the service itself, and a read once more if its
// answer was lost. Unless the call is settled, peers are to be tried next.
func directlyFirst[Res any](ctx context.Context, r *Relay, lim limits, call request[Res]) (res Res, settled bool, err error) {
	res, back, err := directly(ctx, r, lim, call)
	if !failed(ctx, err) {
		return res, true, err
	}
	r.setBad(!back)
	if lim.write && IsUnknown(err) {
		return res, true, err
	}
	if back {
		res, _, err = directly(ctx, r, lim, call)
		return res, !failed(ctx, err), err
	}
	return res, false, err
}

// directly makes a call of the service itself. If its outcome is unknown, back
// reports whether the service answers on another connection.
func directly[Res any](ctx context.Context, r *Relay, lim limits, call request[Res]) (res Res, back bool, err error) {
	c, cancel := conns.WithLimit(ctx, lim.wait+lim.most)
	defer cancel()
	defer r.giveUpSilent(c, cancel, lim.wait+silentDirect).Stop()
	defer r.giveUpLost(c, cancel, lim.wait+lostAfter).Stop()
	res, err = call(c, r.direct)
	r.answered(err)
	return res, IsUnknown(err) && ctx.Err() == nil && r.answers(), err
}

// through makes a call through a peer.
func through[Res any](ctx context.Context, peer Service, lim limits, call request[Res]) (Res, error) {
	c, cancel := conns.WithLimit(ctx, lim.wait+lim.most)
	defer cancel()
	return call(c, peer)
}

// failed reports whether the direct way failed for a reason that a peer may not meet.
func failed(ctx context.Context, err error) bool {
	return err != nil && !IsFinal(err) && ctx.Err() == nil
}
