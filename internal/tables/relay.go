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
	// probeInterval is how often a node that the service turns away looks for its
	// return, and probeTimeout bounds one look; calls go through peers meanwhile,
	// so that none of them waits for a service that doesn't answer.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// maxRelayPeers is how many peers one call may try: with a third of the nodes
	// turned away, two in three chains of two find a peer that is served.
	maxRelayPeers = 3
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
	// healthCheck is the list that shows whether the service answers.
	healthCheck ListRequest
	// healthChecks lets calls that wait together share one look.
	healthChecks singleflight.Group

	mu sync.Mutex
	// lastAnswer is when the service last answered this node.
	lastAnswer time.Time
	// checkedAt is when a look last ended, and found whether it was answered.
	checkedAt time.Time
	healthy   bool
	// down is set while the service turns this node away.
	down bool
}

// NewRelay returns a Relay over the direct service and the peers, which reads look
// to see whether the service answers.
func NewRelay(direct Service, peers Peers, healthCheck ListRequest) *Relay {
	return &Relay{direct: direct, peers: peers, healthCheck: healthCheck}
}

// Direct returns the service itself, for calls made on behalf of a peer.
func (r *Relay) Direct() Service { return r.direct }

// DirectAvailable reports whether the service serves this node, as far as is known.
func (r *Relay) DirectAvailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down
}

// setDown notes whether the service turns this node away.
func (r *Relay) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// Probe looks for the service's return while it turns this node away, until ctx ends.
func (r *Relay) Probe(ctx context.Context) {
	for ctx.Err() == nil {
		Sleep(ctx, probeInterval)
		if r.DirectAvailable() {
			continue
		}
		if err := r.checkHealthOnce(ctx, probeTimeout); err == nil {
			r.setDown(false)
		}
	}
}

// Commit commits txn. A write whose outcome is unknown is not repeated here:
// the caller settles it by its conditions.
func (r *Relay) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	return callWithRelay(ctx, r, callLimits{wait: uploadTime(txn.size()), timeout: commitTimeout, write: true}, func(ctx context.Context, s Service) (TxnResult, error) { return s.Commit(ctx, txn) })
}

// List reads rows.
func (r *Relay) List(ctx context.Context, req ListRequest) (ListResult, error) {
	return r.list(ctx, req, false)
}

// ListDirect reads rows, but not through peers.
func (r *Relay) ListDirect(ctx context.Context, req ListRequest) (ListResult, error) {
	return r.list(ctx, req, true)
}

func (r *Relay) list(ctx context.Context, req ListRequest, directOnly bool) (ListResult, error) {
	return callWithRelay(ctx, r, callLimits{timeout: listTimeout, directOnly: directOnly}, func(ctx context.Context, s Service) (ListResult, error) { return s.List(ctx, req) })
}

// Feed waits for changes.
func (r *Relay) Feed(ctx context.Context, req FeedRequest) (FeedResult, error) {
	return r.feed(ctx, req, false)
}

// FeedDirect waits for changes, but not through peers.
func (r *Relay) FeedDirect(ctx context.Context, req FeedRequest) (FeedResult, error) {
	return r.feed(ctx, req, true)
}

func (r *Relay) feed(ctx context.Context, req FeedRequest, directOnly bool) (FeedResult, error) {
	return callWithRelay(ctx, r, callLimits{timeout: listTimeout, wait: req.Wait, directOnly: directOnly}, func(ctx context.Context, s Service) (FeedResult, error) { return s.Feed(ctx, req) })
}

// request makes one call of a service.
type request[Res any] func(ctx context.Context, s Service) (Res, error)

// callLimits bound one call.
type callLimits struct {
	// wait is how long the request takes on its way, or for how long the service may hold
	// the answer back, and timeout how much longer that may take to begin.
	wait, timeout time.Duration
	// write is set if the call may not be repeated without an answer, and directOnly if it may
	// not go through peers.
	write, directOnly bool
}

const (
	// commitTimeout and listTimeout bound one call. An answer takes 4 ms, and 0.4 s
	// when the service is 100 times slower; a write then keeps its part busy for
	// 0.3 s more, behind others of the part. A write that is repeated early only
	// makes the part slower, so it has almost all of a caller's 3 s.
	commitTimeout = 2500 * time.Millisecond
	listTimeout   = time.Second
)

// minUploadRate is what a node can send at least, in bytes a second: half of a link of 10
// Mbit/s, the slowest that nodes have.
const minUploadRate = 625_000

// uploadTime returns how long a request of a size may be on its way. A write that is given
// up while it is being sent counts as unknown and is sent again, over the same link.
func uploadTime(size int) time.Duration {
	return time.Duration(size) * time.Second / minUploadRate
}

// callWithRelay makes a call directly, or through peers while the service turns this node away.
func callWithRelay[Res any](ctx context.Context, r *Relay, lim callLimits, call request[Res]) (res Res, err error) {
	directFirst := r.DirectAvailable()
	if directFirst {
		var final bool
		if res, final, err = callDirectFirst(ctx, r, lim, call); final {
			return res, err
		}
	}
	if lim.directOnly {
		if !directFirst {
			err = &Error{Op: "read", Kind: KindRefused, Err: errors.New("the service turns this node away")}
		}
		return res, err
	}
	for i, s := range r.peers.Relays() {
		if i == maxRelayPeers || ctx.Err() != nil {
			break
		}
		if res, err = callPeer(ctx, s, lim, call); err == nil || IsFinal(err) || (lim.write && IsUnknown(err)) {
			return res, err
		}
	}
	if !directFirst {
		if res, _, err = callDirect(ctx, r, lim, call); err == nil {
			r.setDown(false)
		}
	}
	return res, err
}

// callDirectFirst makes a call of the service itself, and a read once more if its
// answer was lost. Unless the call is settled, peers are to be tried next.
func callDirectFirst[Res any](ctx context.Context, r *Relay, lim callLimits, call request[Res]) (res Res, final bool, err error) {
	res, serviceUp, err := callDirect(ctx, r, lim, call)
	if !needsPeer(ctx, err) {
		return res, true, err
	}
	r.setDown(!serviceUp)
	if lim.write && IsUnknown(err) {
		return res, true, err
	}
	if serviceUp {
		res, _, err = callDirect(ctx, r, lim, call)
		return res, !needsPeer(ctx, err), err
	}
	return res, false, err
}

// callDirect makes a call of the service itself. If its outcome is unknown, back
// reports whether the service answers on another connection.
func callDirect[Res any](ctx context.Context, r *Relay, lim callLimits, call request[Res]) (res Res, serviceUp bool, err error) {
	c, cancel := conns.WithStallTimeout(ctx, lim.wait+lim.timeout)
	defer cancel()
	defer r.cancelIfSilent(c, cancel, lim.wait+silenceTimeout).Stop()
	defer r.cancelIfAnswerLost(c, cancel, lim.wait+lostAnswerTimeout).Stop()
	res, err = call(c, r.direct)
	r.noteAnswer(err)
	return res, IsUnknown(err) && ctx.Err() == nil && r.responds(), err
}

// callPeer makes a call callPeer a peer.
func callPeer[Res any](ctx context.Context, peer Service, lim callLimits, call request[Res]) (Res, error) {
	c, cancel := conns.WithStallTimeout(ctx, lim.wait+lim.timeout)
	defer cancel()
	return call(c, peer)
}

// needsPeer reports whether the direct way needsPeer for a reason that a peer may not meet.
func needsPeer(ctx context.Context, err error) bool {
	return err != nil && !IsFinal(err) && ctx.Err() == nil
}
