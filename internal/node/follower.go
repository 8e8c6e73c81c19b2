// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/peer"
)

const (
	followInterval = time.Second
	// staleAfter is how long a node serves callers after the store or a peer last
	// confirmed the bundle in force.
	staleAfter = 5 * time.Second
	// confirmFor is how long a node confirms its peers' bundle after its own was
	// confirmed. It is longer than the interval of the exchange of summaries.
	// staleAfter + confirmFor must stay within the 7 s after which a change is in force
	// on every node that serves.
	confirmFor = 2 * time.Second
)

// follower applies the bundle in force: the highest version that the store or a peer
// reports. A node thus follows changes through its peers while it cannot reach the
// store.
type follower struct {
	n *Node

	mu     sync.Mutex
	head   bundle.Head
	bundle *bundle.Bundle
	// haveHead is set once the head has been read from the store or a peer.
	haveHead bool
	// confirmedAt is when the last call was sent in which the store or a peer reported no
	// version above ours.
	confirmedAt  time.Time
	stagedDigest string
	stagedBundle *bundle.Bundle
}

func newFollower(n *Node) *follower { return &follower{n: n, bundle: bundle.Default()} }

func (f *follower) run(ctx context.Context) error {
	t := time.NewTicker(followInterval)
	defer t.Stop()
	for {
		f.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// poll reads the head and the proposal from the store once.
func (f *follower) poll(ctx context.Context) {
	sentAt := time.Now()
	head, err := f.n.bundles.Head(ctx)
	if err != nil {
		f.n.log.Warn("bundle not read", events.BundleNotRead, zap.Error(err))
		return
	}
	if err := f.advance(ctx, head); err != nil {
		f.n.log.Warn("bundle not read", events.BundleNotRead, zap.Error(err))
		return
	}
	f.mu.Lock()
	f.haveHead, f.confirmedAt = true, sentAt
	f.mu.Unlock()
	f.stage(ctx)
	f.mu.Lock()
	staged, version := f.stagedDigest, f.head.Version
	f.mu.Unlock()
	f.n.lease.SetBundleState(staged, version)
}

// advance fetches and applies the bundle of head, if its version is higher than the
// current one.
func (f *follower) advance(ctx context.Context, head bundle.Head) error {
	f.mu.Lock()
	current := f.head
	staged, fetched := f.stagedDigest, f.stagedBundle
	f.mu.Unlock()
	if head.Version <= current.Version {
		return nil
	}
	if head.Digest == "" || head.Digest == current.Digest && head.Version == current.Version {
		return nil
	}
	b := fetched
	if staged != head.Digest || fetched == nil {
		var err error
		if b, err = f.n.bundles.Fetch(ctx, head.Digest); err != nil {
			return err
		}
	}
	f.apply(head, b)
	return nil
}

// apply puts a bundle in force, unless one with a higher version already is.
func (f *follower) apply(head bundle.Head, b *bundle.Bundle) {
	f.mu.Lock()
	if head.Version <= f.head.Version {
		f.mu.Unlock()
		return
	}
	f.head, f.bundle = head, b
	staged := f.stagedDigest
	f.mu.Unlock()
	f.n.lease.SetBundleState(staged, head.Version)
	f.n.log.Info("bundle in force", events.BundleInForce, zap.Int64("version", head.Version), zap.String("digest", head.Digest))
}

// stage fetches the proposed bundle, so that it can be applied as soon as it is
// accepted.
func (f *follower) stage(ctx context.Context) {
	p, ok, err := f.n.bundles.PendingProposal(ctx)
	if err != nil || !ok {
		return
	}
	f.mu.Lock()
	done := f.stagedDigest == p.Digest
	f.mu.Unlock()
	if done {
		return
	}
	b, err := f.n.bundles.Fetch(ctx, p.Digest)
	if err != nil {
		f.n.log.Warn("bundle not staged", events.BundleNotRead, zap.String("change", p.Change), zap.Error(err))
		return
	}
	f.mu.Lock()
	f.stagedDigest, f.stagedBundle = p.Digest, b
	f.mu.Unlock()
	f.n.log.Info("bundle staged", events.BundleStaged, zap.String("change", p.Change), zap.Int64("version", p.Version()))
}

// observePeer handles the version that a peer reported in reply to a call sent at
// sentAt. If the peer is ahead, its bundle is fetched and applied, so that a node that
// cannot reach the store follows too. Otherwise the peer confirms the current bundle,
// but only if its own was confirmed recently: a peer that was cut off itself may have
// missed a change.
func (f *follower) observePeer(address string, version int64, confirmed bool, sentAt time.Time) {
	f.mu.Lock()
	newer := version > f.head.Version
	if !newer && f.haveHead && confirmed {
		f.confirmedAt = sentAt
	}
	f.mu.Unlock()
	if !newer {
		return
	}
	ctx, cancel := context.WithTimeout(f.n.runCtx, callTimeout)
	defer cancel()
	reply, err := httpx.Call[httpx.Empty, HeadReply](ctx, f.n.peerHTTP, "http://"+address+peer.PathHead, httpx.Empty{})
	if err != nil || reply.Bundle == nil || reply.Bundle.Digest() != reply.Head.Digest {
		return
	}
	f.apply(reply.Head, reply.Bundle)
	f.mu.Lock()
	f.haveHead = true
	if confirmed {
		f.confirmedAt = sentAt
	}
	f.mu.Unlock()
}

// current returns the bundle in force.
func (f *follower) current() *bundle.Bundle {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bundle
}

// state returns the bundle in force and its head.
func (f *follower) state() (bundle.Head, *bundle.Bundle) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head, f.bundle
}

// headRead reports whether the head has been read from the store or a peer.
func (f *follower) headRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.haveHead
}

// confirmsPeers reports whether this node may confirm the bundle of its peers.
func (f *follower) confirmsPeers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.haveHead && time.Since(f.confirmedAt) < confirmFor
}

// isFresh reports whether the bundle in force was confirmed recently. A node that was
// paused or cut off is not fresh until its bundle is confirmed again.
func (f *follower) isFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.haveHead && (time.Since(f.confirmedAt) < staleAfter || f.n.deps.Guards.ServeStaleBundle)
}
