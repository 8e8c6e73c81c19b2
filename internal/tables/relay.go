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
	// probeInterval is how often a node probes a service that is unavailable to it, and
	// probeTimeout bounds one probe. Calls go through peers meanwhile, so that none of them
	// waits for the service.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// maxRelayPeers is how many peers one call may try. If the service is unavailable to a
	// third of the nodes, two in three peers can relay a call.
	maxRelayPeers = 3
)

// Peers finds other nodes through which the table service can be called.
type Peers interface {
	// Relays returns peers in the order in which they should be tried.
	Relays() []Service
}

// Relay is a Service that makes calls directly, or through peers while the service is
// unavailable to this node.
type Relay struct {
	direct Service
	peers  Peers
	// healthCheck is the list that is read to see whether the service answers.
	healthCheck ListRequest
	// healthChecks lets concurrent calls share one health check.
	healthChecks singleflight.Group

	mu sync.Mutex
	// lastAnswer is when the service last answered this node.
	lastAnswer time.Time
	// checkedAt is when the last health check ended, and healthy whether it was answered.
	checkedAt time.Time
	healthy   bool
	// down is set while the service is unavailable to this node.
	down bool
}

// NewRelay returns a Relay over the direct service and the peers. It reads healthCheck to see
// whether the service answers.
func NewRelay(direct Service, peers Peers, healthCheck ListRequest) *Relay {
	return &Relay{direct: direct, peers: peers, healthCheck: healthCheck}
}

// Direct returns the service itself, for calls on behalf of a peer.
func (r *Relay) Direct() Service { return r.direct }

// DirectAvailable reports whether the service is available to this node, as far as is known.
func (r *Relay) DirectAvailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down
}

// setDown records whether the service is unavailable to this node.
func (r *Relay) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// Probe probes the service while it is unavailable to this node, until ctx ends.
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

// Commit commits txn. A write of unknown outcome is not repeated: the caller finds the outcome
// through the write's conditions.
func (r *Relay) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	return callWithRelay(ctx, r, callLimits{wait: uploadTime(txn.size()), timeout: commitTimeout, write: true}, func(ctx context.Context, s Service) (TxnResult, error) { return s.Commit(ctx, txn) })
}

// List reads rows, directly or through peers.
func (r *Relay) List(ctx context.Context, req ListRequest) (ListResult, error) {
	return r.list(ctx, req, false)
}

// ListDirect reads rows, never through peers.
func (r *Relay) ListDirect(ctx context.Context, req ListRequest) (ListResult, error) {
	return r.list(ctx, req, true)
}

func (r *Relay) list(ctx context.Context, req ListRequest, directOnly bool) (ListResult, error) {
	return callWithRelay(ctx, r, callLimits{timeout: listTimeout, directOnly: directOnly}, func(ctx context.Context, s Service) (ListResult, error) { return s.List(ctx, req) })
}

// Feed waits for changes, directly or through peers.
func (r *Relay) Feed(ctx context.Context, req FeedRequest) (FeedResult, error) {
	return r.feed(ctx, req, false)
}

// FeedDirect waits for changes, never through peers.
func (r *Relay) FeedDirect(ctx context.Context, req FeedRequest) (FeedResult, error) {
	return r.feed(ctx, req, true)
}

func (r *Relay) feed(ctx context.Context, req FeedRequest, directOnly bool) (FeedResult, error) {
	return callWithRelay(ctx, r, callLimits{timeout: listTimeout, wait: req.Wait, directOnly: directOnly}, func(ctx context.Context, s Service) (FeedResult, error) { return s.Feed(ctx, req) })
}

// request makes one call to a service.
type request[Res any] func(ctx context.Context, s Service) (Res, error)

// callLimits are the limits of one call.
type callLimits struct {
	// wait is how long the request may take to be sent, or the service may hold back the
	// answer; timeout is how much longer the answer may take to begin.
	wait, timeout time.Duration
	// write is set if the call must not be repeated when its outcome is unknown, and directOnly
	// if it must not go through peers.
	write, directOnly bool
}

const (
	// commitTimeout and listTimeout bound one call. An answer takes 4 ms, and 0.4 s while the
	// service is 100 times slower; a write then occupies its part for another 0.3 s, and queues
	// behind other writes of the part. Repeating a write early only makes the part slower, so a
	// write gets almost all of the 3 s that a caller waits.
	commitTimeout = 2500 * time.Millisecond
	listTimeout   = time.Second
)

// minUploadRate is the slowest rate at which a node sends, in bytes a second: half of a link of
// 10 Mbit/s, the slowest that nodes have.
const minUploadRate = 625_000

// uploadTime returns how long a request of the given size may take to be sent. A write that is
// cancelled while it is being sent has an unknown outcome and is sent again, over the same
// link.
func uploadTime(size int) time.Duration {
	return time.Duration(size) * time.Second / minUploadRate
}

// callWithRelay makes a call directly, or through peers while the service is unavailable to
// this node.
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
			err = &Error{Op: "read", Kind: KindRefused, Err: errors.New("the table service is unavailable to this node")}
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

// callDirectFirst makes a call directly, and repeats a read if its answer was lost. If the
// result is not final, the call may be tried through peers.
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

// callDirect makes a call directly. If its outcome is unknown, serviceUp reports whether the
// service responds to a health check.
func callDirect[Res any](ctx context.Context, r *Relay, lim callLimits, call request[Res]) (res Res, serviceUp bool, err error) {
	c, cancel := conns.WithStallTimeout(ctx, lim.wait+lim.timeout)
	defer cancel()
	defer r.cancelIfSilent(c, cancel, lim.wait+silenceTimeout).Stop()
	defer r.cancelIfAnswerLost(c, cancel, lim.wait+lostAnswerTimeout).Stop()
	res, err = call(c, r.direct)
	r.noteAnswer(err)
	return res, IsUnknown(err) && ctx.Err() == nil && r.responds(), err
}

// callPeer makes a call through a peer.
func callPeer[Res any](ctx context.Context, peer Service, lim callLimits, call request[Res]) (Res, error) {
	c, cancel := conns.WithStallTimeout(ctx, lim.wait+lim.timeout)
	defer cancel()
	return call(c, peer)
}

// needsPeer reports whether a direct call failed for a reason that may not apply to a peer.
func needsPeer(ctx context.Context, err error) bool {
	return err != nil && !IsFinal(err) && ctx.Err() == nil
}
