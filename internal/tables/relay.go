// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"sync"
	"time"
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

	mu sync.Mutex
	// lastAnswer is when the service last answered this node.
	lastAnswer time.Time
	// bad is set while the service turns this node away.
	bad bool
}

// NewRelay returns a Relay over the direct service and the peers.
func NewRelay(direct Service, peers Peers) *Relay { return &Relay{direct: direct, peers: peers} }

// Direct returns the service itself, for calls made on behalf of a peer.
func (r *Relay) Direct() Service { return r.direct }

// DirectGood reports whether the last direct call was answered.
func (r *Relay) DirectGood() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.bad
}

func (r *Relay) setBad(bad bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad = bad
}

// Probe looks for the service's return while it turns this node away, until ctx ends.
func (r *Relay) Probe(ctx context.Context, req ListRequest) {
	for ctx.Err() == nil {
		Sleep(ctx, probeEvery)
		if r.DirectGood() {
			continue
		}
		c, cancel := context.WithTimeout(ctx, probeTimeout)
		if _, err := r.direct.List(c, req); err == nil {
			r.setBad(false)
		}
		cancel()
	}
}

// Commit commits txn. A write whose outcome is unknown is not repeated here:
// the caller settles it by its conditions.
func (r *Relay) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	return relayed(ctx, r, commitTimeout, silentDirect, true, func(ctx context.Context, s Service) (TxnResult, error) { return s.Commit(ctx, txn) })
}

// List reads rows.
func (r *Relay) List(ctx context.Context, req ListRequest) (ListResult, error) {
	return relayed(ctx, r, listTimeout, silentDirect, false, func(ctx context.Context, s Service) (ListResult, error) { return s.List(ctx, req) })
}

// Feed waits for changes.
func (r *Relay) Feed(ctx context.Context, req FeedRequest) (FeedResult, error) {
	return relayed(ctx, r, listTimeout+req.Wait, silentDirect+req.Wait, false, func(ctx context.Context, s Service) (FeedResult, error) { return s.Feed(ctx, req) })
}

const (
	// commitTimeout and listTimeout bound one call: an answer takes 4 ms, and
	// 60 times that (240 ms, twice it across parts) when the service is slow.
	commitTimeout = 1200 * time.Millisecond
	listTimeout   = 700 * time.Millisecond
)

func relayed[Res any](ctx context.Context, r *Relay, timeout, silent time.Duration, write bool, call func(context.Context, Service) (Res, error)) (Res, error) {
	try := func(s Service) (Res, error) {
		c, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return call(c, s)
	}
	direct := func() (Res, error) {
		c, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		defer r.giveUpSilent(cancel, silent).Stop()
		res, err := call(c, r.direct)
		r.answered(err)
		return res, err
	}
	directFirst := r.DirectGood()
	var res Res
	var err error
	if directFirst {
		if res, err = direct(); !r.failed(ctx, err) || (write && IsUnknown(err)) {
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
		res, err = direct()
		if err == nil {
			r.setBad(false)
		}
	}
	return res, err
}

// silentDirect is how long a call may go without an answer while no other call
// gets one: a node that is cut off from the service alone is so found before the
// call's own limit. A slow service answers in about 0.4 s.
const silentDirect = 600 * time.Millisecond

// giveUpSilent ends a direct call early if the service answers nothing meanwhile.
func (r *Relay) giveUpSilent(cancel context.CancelFunc, after time.Duration) *time.Timer {
	sent := time.Now()
	return time.AfterFunc(after, func() {
		r.mu.Lock()
		unanswered := r.lastAnswer.Before(sent)
		r.mu.Unlock()
		if unanswered {
			cancel()
		}
	})
}

// answered notes an answer of the service.
func (r *Relay) answered(err error) {
	if err != nil && KindOf(err) == KindUnknown {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAnswer = time.Now()
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
	r.setBad(true)
	return true
}
