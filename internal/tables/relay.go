// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"sync"
	"time"
)

const (
	// avoidDirect is how long calls go through peers first after the service
	// failed this node; one direct call a second is enough to notice its return.
	avoidDirect = time.Second
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

	mu       sync.Mutex
	badUntil time.Time
}

// NewRelay returns a Relay over the direct service and the peers.
func NewRelay(direct Service, peers Peers) *Relay { return &Relay{direct: direct, peers: peers} }

// Direct returns the service itself, for calls made on behalf of a peer.
func (r *Relay) Direct() Service { return r.direct }

// DirectGood reports whether the last direct call was answered.
func (r *Relay) DirectGood() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().After(r.badUntil)
}

// Commit commits txn. A write whose outcome is unknown is not repeated here:
// the caller settles it by its conditions.
func (r *Relay) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	return relayed(ctx, r, commitTimeout, true, func(ctx context.Context, s Service) (TxnResult, error) { return s.Commit(ctx, txn) })
}

// List reads rows.
func (r *Relay) List(ctx context.Context, req ListRequest) (ListResult, error) {
	return relayed(ctx, r, listTimeout, false, func(ctx context.Context, s Service) (ListResult, error) { return s.List(ctx, req) })
}

// Feed waits for changes.
func (r *Relay) Feed(ctx context.Context, req FeedRequest) (FeedResult, error) {
	return relayed(ctx, r, listTimeout+req.Wait, false, func(ctx context.Context, s Service) (FeedResult, error) { return s.Feed(ctx, req) })
}

const (
	// commitTimeout and listTimeout bound one call: an answer takes 4 ms, and
	// 60 times that (240 ms, twice it across parts) when the service is slow.
	commitTimeout = 1200 * time.Millisecond
	listTimeout   = 700 * time.Millisecond
)

func relayed[Res any](ctx context.Context, r *Relay, timeout time.Duration, write bool, call func(context.Context, Service) (Res, error)) (Res, error) {
	try := func(s Service) (Res, error) {
		c, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return call(c, s)
	}
	directFirst := r.DirectGood()
	var res Res
	var err error
	if directFirst {
		if res, err = try(r.direct); !r.failed(ctx, err) || (write && IsUnknown(err)) {
			return res, err
		}
	}
	for i, s := range r.peers.Relays() {
		if i == maxPeers || ctx.Err() != nil {
			break
		}
		if res, err = try(s); err == nil || final(err) || (write && IsUnknown(err)) {
			return res, err
		}
	}
	if !directFirst {
		res, err = try(r.direct)
		if err == nil {
			r.mu.Lock()
			r.badUntil = time.Time{}
			r.mu.Unlock()
		}
	}
	return res, err
}

// final reports whether another way to the service would answer the same.
func final(err error) bool {
	k := KindOf(err)
	return k == KindHistoryGone || k == KindInvalid
}

// failed notes whether the direct way failed for a reason that a peer may not have.
func (r *Relay) failed(ctx context.Context, err error) bool {
	if err == nil || final(err) || ctx.Err() != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.badUntil = time.Now().Add(avoidDirect)
	return true
}
