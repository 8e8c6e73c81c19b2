// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// watchInterval is the time between two checks of an owner by each of the first
	// primaryWatchers candidates. Each further candidate checks less often than the one
	// before it, so that the number of checks grows with the logarithm of the nodes.
	// maxWatchInterval bounds the interval of the last ones, which matter if all candidates
	// before them are lost together with the owner.
	watchInterval    = 150 * time.Millisecond
	primaryWatchers  = 2
	maxWatchInterval = 3 * time.Second
	// firstWatchDelay is the time from the first knowledge of a shard to the first check of
	// its owner: by then this node also knows the other nodes, which come with the same list.
	firstWatchDelay = 20 * time.Millisecond
	// watchPingTimeout bounds one ping of an owner: nodes are a few milliseconds apart, and
	// one that has used up its CPU quota answers within 0.1 s.
	watchPingTimeout = 200 * time.Millisecond
	// maxRefusedPings is how many refused connections are taken for the loss of the owner. They don't prove
	// that its process has ended, since the network may refuse them for it.
	maxRefusedPings = 2
)

// watchServices starts a watcher for each new service of the configuration, and for those that
// have a layout since an earlier configuration had them.
func (n *Node) watchServices(services []cluster.Service) {
	for _, s := range services {
		n.watchService(s.Name)
	}
	for _, l := range n.knownLayouts() {
		n.watchService(l.Service)
	}
}

// watchService starts a watcher for a service unless there is one.
func (n *Node) watchService(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.watched[service] {
		return
	}
	n.watched[service] = true
	n.group.Go(func() error { n.watchShards(n.ctx, service); return nil })
}

// watchShards checks the owners of a service's shards once its layout is known. One loop
// serves all shards: when the candidates ahead of this node have taken other shards, it must
// check at once and not wait out a long interval.
func (n *Node) watchShards(ctx context.Context, service string) {
	layout, ok := n.awaitLayout(ctx, service)
	if !ok {
		return
	}
	watches := make([]*ownerWatch, layout.Shards)
	for i, shard := range layout.IDs() {
		watches[i] = &ownerWatch{shard: shard}
	}
	for tables.Sleep(ctx, firstWatchDelay); ctx.Err() == nil; n.ownDelay.sleep(ctx, watchInterval) {
		for _, w := range watches {
			if n.startCheckIfDue(w, time.Now()) {
				n.group.Go(func() error { n.checkOwner(ctx, w); return nil })
			}
		}
	}
}

// ownerWatch is the state of the checks of one shard's owner.
type ownerWatch struct {
	shard   cluster.ShardID
	suspect suspicion

	mu sync.Mutex
	// checking is set while a check runs, and checkedAt is when the last one ended.
	checking  bool
	checkedAt time.Time
}

// startCheckIfDue reports whether a check of an owner is due, and marks it as running.
func (n *Node) startCheckIfDue(w *ownerWatch, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.checking {
		return false
	}
	if now.Sub(w.checkedAt) < n.checkInterval(w) {
		return false
	}
	w.checking = true
	return true
}

// checkInterval returns the time between two checks of an owner. The caller holds the watch's
// mu, and no check is running.
func (n *Node) checkInterval(w *ownerWatch) time.Duration {
	if w.suspect.isOpen() || n.local(w.shard) != nil {
		return 0
	}
	after := n.rank(w.shard) - primaryWatchers
	if after < 0 {
		return 0
	}
	return min(time.Duration(after+1)*watchInterval, maxWatchInterval)
}

// endCheck records that a check has ended.
func (w *ownerWatch) endCheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checking, w.checkedAt = false, time.Now()
}

// checkOwner takes a shard over if its owner is lost, and hands one that runs here over to a
// node with much more CPU.
func (n *Node) checkOwner(ctx context.Context, w *ownerWatch) {
	defer w.endCheck()
	o := n.local(w.shard)
	switch {
	case n.Draining():
		w.suspect = suspicion{}
	case o != nil:
		w.suspect = suspicion{}
		n.moveToLargerNode(ctx, w.shard, o)
	default:
		n.takeIfLost(ctx, w.shard, &w.suspect)
	}
}

// takeIfLost checks the owner of a shard, and takes the shard if the owner is lost and this
// node is the first candidate to claim it.
func (n *Node) takeIfLost(ctx context.Context, shard cluster.ShardID, suspect *suspicion) {
	rec, version := n.owner(shard)
	loss := n.ownerLoss(ctx, shard, rec, suspect)
	judged := time.Now()
	if loss.cause == "" || n.store.down() || !n.claim(ctx, shard, version) {
		return
	}
	defer n.releaseClaim(shard)
	if n.answeredDuringClaim(ctx, shard, rec.Owner, suspect, judged) {
		return
	}
	n.takeShard(ctx, shard, version, loss)
	*suspect = suspicion{}
}

// answeredDuringClaim reports whether an owner that was silent when it was judged has answered while
// this node waited for its turn. If that took long, the nodes before it didn't take the shard, and may
// have heard the owner.
func (n *Node) answeredDuringClaim(ctx context.Context, shard cluster.ShardID, owner member, s *suspicion, judged time.Time) bool {
	if s.silentSince.IsZero() {
		return false
	}
	if time.Since(judged) > watchPingTimeout {
		return n.silentOwnerLossCause(ctx, shard, owner, s) == ""
	}
	return n.peers.answeredSince(owner, s.silentSince)
}

// suspicion is the evidence that an owner is lost.
type suspicion struct {
	incarnation string
	refused     int
	// silentSince is when the owner stopped answering, and isolatedSince when all other nodes
	// stopped answering this one; zero if they answer.
	silentSince, isolatedSince time.Time
}

// isOpen reports whether there is evidence against the owner, so that it is checked again
// soon.
func (s *suspicion) isOpen() bool {
	return s.refused > 0 || !s.isolatedSince.IsZero() || !s.silentSince.IsZero()
}

// silentFor returns how long the owner has not answered.
func (s *suspicion) silentFor(now time.Time) time.Duration {
	if s.silentSince.IsZero() {
		return 0
	}
	return now.Sub(s.silentSince)
}

// ownerLoss returns why an owner has to be replaced, if it has to be.
func (n *Node) ownerLoss(ctx context.Context, shard cluster.ShardID, rec ownerRecord, s *suspicion) ownerLoss {
	if rec.Owner.Name == "" {
		return ownerLoss{cause: "no owner", ended: true}
	}
	if rec.Owner.Name == n.me.Name {
		// A node of the same name at another address may still run.
		return ownerLoss{cause: "owner has ended on this node", ended: rec.Owner.Address == n.me.Address}
	}
	if s.incarnation != rec.Owner.Incarnation {
		*s = suspicion{incarnation: rec.Owner.Incarnation}
	}
	sent := time.Now()
	c, cancel := context.WithTimeout(ctx, watchPingTimeout)
	reply, err := n.peers.ping(c, rec.Owner)
	cancel()
	if err == nil {
		s.refused, s.silentSince = 0, time.Time{}
		if reply.Me.Incarnation != rec.Owner.Incarnation {
			return ownerLoss{cause: "owner has restarted", ended: true}
		}
		return ownerLoss{}
	}
	if isRefused(err) {
		if s.refused++; s.refused >= maxRefusedPings {
			return ownerLoss{cause: "owner refuses connections"}
		}
		return ownerLoss{}
	}
	s.noteSilence(sent, n.ownDelay.lastLate())
	cause := n.silentOwnerLossCause(ctx, shard, rec.Owner, s)
	return ownerLoss{cause: cause, silentFor: s.silentFor(time.Now())}
}

// noteSilence records that a ping that was sent at the given time was not answered in time. The time
// in which this process did not run doesn't count as silence of the owner.
func (s *suspicion) noteSilence(sent, ownLateAt time.Time) {
	if s.silentSince.IsZero() {
		s.silentSince = sent
	}
	if ownLateAt.After(s.silentSince) {
		s.silentSince = ownLateAt
	}
}

// silentOwnerLossCause returns why an owner that didn't answer a ping has to be replaced, or
// an empty string. It asks other nodes first, and allows more time to an owner whose answers have
// been late.
func (n *Node) silentOwnerLossCause(ctx context.Context, shard cluster.ShardID, owner member, s *suspicion) string {
	report := n.askWitnesses(ctx, shard, owner, s.silentSince)
	if report.reachedBy == "" && n.peers.answeredSince(owner, s.silentSince) {
		report.reachedBy = n.me.Name
	}
	if report.reachedBy != "" {
		n.Log.Info("owner answers other nodes", events.OwnerSuspected, zap.String("owner", owner.Name), zap.String("peer", report.reachedBy))
		s.isolatedSince, s.silentSince = time.Time{}, time.Time{}
		return ""
	}
	silentFor := s.silentFor(time.Now())
	patience := n.silencePatience(shard, owner, report, silentFor)
	if !report.isolated {
		s.isolatedSince = time.Time{}
		if silentFor < patience {
			return ""
		}
		return "owner is silent"
	}
	if s.isolatedSince.IsZero() || n.peers.anyAnsweredSince(s.isolatedSince) {
		s.isolatedSince = time.Now()
		n.Log.Info("no other node answers this one", events.OwnerSuspected, zap.String("owner", owner.Name))
	}
	if time.Since(s.isolatedSince) < max(isolationDelay, patience) {
		return ""
	}
	return "all other nodes are silent"
}

const (
	// A silent owner is waited for longer if the shard changed its owner recently: for each
	// change within ownerChangeWindow by patiencePerChange, up to maxPatience. A takeover
	// reads all jobs and asks all workers, on top of the load that made the last owner
	// silent. Without this, an overloaded shard of 120 workers, on hosts with links of
	// 2 Mbit/s, changed its owner 44 times in 35 s and did no work.
	ownerChangeWindow = 10 * time.Second
	patiencePerChange = 2 * time.Second
	maxPatience       = 4 * time.Second
	// patiencePerDelay is how many times longer than its last answers took a silent owner is
	// waited for, and how many times longer than this node itself ran late. An owner that is
	// short of processor time or bandwidth is late and not dead, and its successor would have
	// to do the same work and load the shard in addition.
	patiencePerDelay = 4
	// unsurePatience is how long a silent owner is waited for at least while most of the nodes
	// that were asked about it are silent as well, since the network or this node may be slow,
	// and by a node that has not heard it for knownAnswerAge, and so doesn't know how late its
	// answers are.
	unsurePatience = time.Second
	knownAnswerAge = 2 * time.Second
)

// silencePatience returns how long an owner that has been silent for some time is waited for.
func (n *Node) silencePatience(shard cluster.ShardID, owner member, report witnessReport, silentFor time.Duration) time.Duration {
	patience := time.Duration(n.unsettledChanges(shard, owner)) * patiencePerChange
	patience = max(patience, patiencePerDelay*n.peers.answerTime(owner), patiencePerDelay*n.ownDelay.value())
	unknown := n.peers.heardAgo(owner.Name) > knownAnswerAge+silentFor
	if unknown || 2*report.answered < report.asked {
		patience = max(patience, unsurePatience)
	}
	return min(patience, maxPatience)
}

// unsettledChanges returns how often a shard changed its owner recently, unless the present owner has
// answered for long enough after it took the shard: its takeover is then not what makes it silent.
func (n *Node) unsettledChanges(shard cluster.ShardID, owner member) (recent int) {
	n.mu.Lock()
	changes := slices.Clone(n.owners[shard].changes)
	n.mu.Unlock()
	if len(changes) == 0 || n.peers.answeredSince(owner, changes[len(changes)-1].Add(patiencePerChange)) {
		return 0
	}
	now := time.Now()
	for _, at := range changes {
		if now.Sub(at) < ownerChangeWindow {
			recent++
		}
	}
	return recent
}
