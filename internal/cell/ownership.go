// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// The rows of TableCell, which all nodes follow: one a node, one a shard.
const (
	TableCell   = "cell"
	nodePrefix  = "node/"
	ownerPrefix = "owner/"
)

const (
	// watchEvery is how often a node looks after an owner; the first successors
	// do it, so that the cost of watching does not grow with the square of the nodes.
	watchEvery = 150 * time.Millisecond
	// watchers is how many successors look after an owner at that pace; the
	// others do it watchSlower times as rarely.
	watchers    = 2
	watchSlower = 4
	// watchPing bounds one ping of an owner: nodes are a few milliseconds apart,
	// and one that has used up its processor quota answers within 0.1 s.
	watchPing = 200 * time.Millisecond
	// refusedPings is how many refused connections show that its process is gone.
	refusedPings = 2
	// rankDelay keeps the successors from trying all at once.
	rankDelay = 120 * time.Millisecond
	// lease is how long workers run on without their owner: long enough for an
	// owner that is lost while the store is away for some seconds, short enough
	// that the work of an unreachable worker is not kept waiting for ever.
	lease = 8 * time.Second
	// selfStop is how long a replaced owner may go on before a worker's answer
	// stops it.
	selfStop = 1500 * time.Millisecond
)

// followCell keeps the members' and the owners' rows current.
func (n *Node) followCell(ctx context.Context) {
	f := tables.Follower{
		Service: n.store, Table: TableCell, Parts: []string{""}, Silence: followSilence, Pause: cellPause,
		Apply:  func(rows []tables.Row, _ bool) { n.applyCell(rows) },
		Failed: n.storeFailed(TableCell),
	}
	f.Run(ctx)
}

func (n *Node) applyCell(rows []tables.Row) {
	for _, r := range rows {
		switch {
		case r.Gone:
		case strings.HasPrefix(r.Key, nodePrefix):
			var m member
			if err := json.Unmarshal(r.Value, &m); err != nil {
				n.Log.Warn("member row skipped", events.RowSkipped, zap.String("key", r.Key), zap.Error(err))
				continue
			}
			n.peers.learn(m)
		case strings.HasPrefix(r.Key, ownerPrefix):
			n.ownerSeen(strings.TrimPrefix(r.Key, ownerPrefix), r)
		}
	}
}

// ownerSeen notes an owner's row, and ends an ownership of this node that it replaces.
func (n *Node) ownerSeen(service string, r tables.Row) {
	rec, err := decodeOwner(r)
	if err != nil {
		n.Log.Warn("owner row skipped", events.RowSkipped, zap.String("key", r.Key), zap.Error(err))
		return
	}
	n.mu.Lock()
	old := n.owners[service]
	if r.Version <= old.Version {
		n.mu.Unlock()
		return
	}
	n.owners[service] = r
	o := n.owned[service]
	n.mu.Unlock()
	n.Log.Info("owner changed", events.OwnerChanged, zap.String("service", service), zap.String("owner", rec.Owner.Name),
		zap.Int64("epoch", rec.Epoch), zap.Int64("version", r.Version))
	if o != nil && rec.Epoch > o.Epoch() {
		o.Lost("the store names " + rec.Owner.Name)
	}
}

func decodeOwner(r tables.Row) (ownerRecord, error) {
	var rec ownerRecord
	if r.Version == 0 {
		return rec, nil
	}
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		return rec, &Error{"owner row", KindDecode, err}
	}
	return rec, nil
}

// owner returns the owner of a service's shard, and the version of its row.
func (n *Node) owner(service string) (ownerRecord, int64) {
	n.mu.Lock()
	r := n.owners[service]
	n.mu.Unlock()
	rec, err := decodeOwner(r)
	if err != nil {
		return ownerRecord{}, r.Version
	}
	return rec, r.Version
}

// local returns the ownership that runs on this node, or nil.
func (n *Node) local(service string) *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owned[service]
}

// announce writes this node's row, so that the others find it.
func (n *Node) announce(ctx context.Context) {
	value, err := json.Marshal(n.me)
	if err != nil {
		panic("cell: a member holds only strings: " + err.Error())
	}
	row := tables.Row{Table: TableCell, Key: nodePrefix + n.me.Name, Value: value}
	for ctx.Err() == nil {
		if _, err := n.store.Commit(ctx, tables.Txn{Put: []tables.Row{row}}); err == nil {
			return
		}
		tables.Sleep(ctx, watchEvery)
	}
}

// watchServices watches the ownership of each service of the configuration.
func (n *Node) watchServices(services []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range services {
		if n.watched[s] {
			continue
		}
		n.watched[s] = true
		n.group.Go(func() error { n.watchOwner(n.ctx, s); return nil })
	}
}

// watchOwner takes the shard of a service over when its owner is lost.
func (n *Node) watchOwner(ctx context.Context, service string) {
	suspect := suspicion{}
	for {
		rank := n.rank(service)
		pause := watchEvery
		if rank >= watchers {
			pause *= watchSlower
		}
		tables.Sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		if n.Draining() || n.local(service) != nil {
			suspect = suspicion{}
			continue
		}
		rec, version := n.owner(service)
		cause := n.ownerLost(ctx, rec, &suspect)
		if cause == "" {
			continue
		}
		tables.Sleep(ctx, time.Duration(rank)*rankDelay)
		if _, now := n.owner(service); now == version && !n.Draining() {
			n.take(ctx, service, cause)
			suspect = suspicion{}
		}
	}
}

// suspicion is the evidence against an owner.
type suspicion struct {
	life    string
	refused int
}

// ownerLost returns why the owner has to be replaced, or "".
func (n *Node) ownerLost(ctx context.Context, rec ownerRecord, s *suspicion) string {
	if rec.Owner.Name == "" {
		return "no owner"
	}
	if rec.Owner.Name == n.me.Name {
		return "owner was an earlier life of this node"
	}
	if s.life != rec.Owner.Life {
		*s = suspicion{life: rec.Owner.Life}
	}
	c, cancel := context.WithTimeout(ctx, watchPing)
	reply, err := n.peers.ping(c, rec.Owner)
	cancel()
	if err == nil {
		s.refused = 0
		if reply.Me.Life != rec.Owner.Life {
			return "owner has started anew"
		}
		return ""
	}
	if isRefused(err) {
		if s.refused++; s.refused >= refusedPings {
			return "owner refuses connections"
		}
		return ""
	}
	if who := n.answersOthers(ctx, rec.Owner); who != "" {
		n.Log.Info("owner answers others", events.OwnerSuspected, zap.String("owner", rec.Owner.Name), zap.String("peer", who))
		return ""
	}
	return "owner is silent"
}

// secondOpinions is how many peers are asked before a silent owner is replaced.
const secondOpinions = 2

// opinionTimeout is longer than the ping that a peer makes before it answers.
const opinionTimeout = watchPing + 100*time.Millisecond

// answersOthers returns who gets an answer from a node that was silent to this
// one: a peer that is asked to try, or this node itself at a second try; "" if nobody.
func (n *Node) answersOthers(ctx context.Context, m member) string {
	var asked []member
	n.peers.mu.Lock()
	for _, q := range n.peers.sorted() {
		if q.Name != m.Name && q.up(time.Now()) && len(asked) < secondOpinions {
			asked = append(asked, q.member)
		}
	}
	n.peers.mu.Unlock()
	var mu sync.Mutex
	var wg sync.WaitGroup
	who := ""
	answers := func(name string) {
		mu.Lock()
		who = name
		mu.Unlock()
	}
	for _, p := range asked {
		wg.Go(func() {
			reply, err := call[pingRequest, pingReply](ctx, n.peers, p.Address, pathPing, pingRequest{From: n.me, About: m.Name}, opinionTimeout)
			if err == nil && reply.AboutAnswers {
				answers(p.Name)
			}
		})
	}
	wg.Go(func() {
		if _, err := n.peers.ping(ctx, m); err == nil {
			answers(n.me.Name)
		}
	})
	wg.Wait()
	return who
}

// rank returns this node's place among the successors of a service's owner.
func (n *Node) rank(service string) int {
	names := []string{n.me.Name}
	now := time.Now()
	n.peers.mu.Lock()
	for _, q := range n.peers.list {
		if q.up(now) && !q.reply.Draining {
			names = append(names, q.Name)
		}
	}
	n.peers.mu.Unlock()
	return slices.Index(successors(service, names), n.me.Name)
}

// successors sorts nodes by rendezvous hash.
func successors(service string, names []string) []string {
	slices.SortFunc(names, func(a, b string) int {
		ha, hb := xxhash.Sum64String(service+"/"+a), xxhash.Sum64String(service+"/"+b)
		switch {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		}
		return strings.Compare(a, b)
	})
	return names
}

// take makes this node the owner, by a write on condition of the row as it was last seen.
func (n *Node) take(ctx context.Context, service, cause string) bool {
	rec, version := n.owner(service)
	next := ownerRecord{Owner: n.me, Epoch: rec.Epoch + 1}
	value, err := json.Marshal(next)
	if err != nil {
		panic("cell: an owner's record holds only strings and numbers: " + err.Error())
	}
	row := tables.Row{Table: TableCell, Key: ownerPrefix + service, Value: value}
	seen := row
	seen.Version = version
	res, err := n.store.Commit(ctx, tables.Txn{If: []tables.Row{seen}, Put: []tables.Row{row, owner.FenceRow(service)}, Across: true})
	if err != nil {
		n.Log.Warn("shard not taken", events.StoreFailed, zap.String("service", service), zap.String("cause", cause), zap.Error(err))
		n.rereadOwner(ctx, service)
		return false
	}
	if !res.Committed {
		for _, r := range res.Current {
			n.ownerSeen(service, r)
		}
		return false
	}
	row.Version = res.Version
	n.Log.Info("shard taken", events.OwnerTaken, zap.String("service", service), zap.Int64("epoch", next.Epoch),
		zap.String("from", rec.Owner.Name), zap.String("cause", cause))
	n.own(service, row, next.Epoch)
	return true
}

// rereadOwner settles a write whose reply was lost.
func (n *Node) rereadOwner(ctx context.Context, service string) {
	r, ok, err := tables.Get(ctx, n.store, TableCell, "", ownerPrefix+service)
	if err != nil || !ok {
		return
	}
	rec, err := decodeOwner(r)
	if err == nil && rec.Owner.Life == n.me.Life && n.local(service) == nil {
		n.own(service, r, rec.Epoch)
		return
	}
	n.ownerSeen(service, r)
}

// own runs a shard that this node has taken.
func (n *Node) own(service string, row tables.Row, epoch int64) {
	o := owner.New(owner.Config{
		Service: service, Fence: row.Version, Params: n.params(epoch),
	}, owner.Deps{
		Tables: n.store, Workers: n.Workers, Advisers: n.peers, Machines: n.Machines, Directory: n.Directory, Log: n.Log,
	})
	n.mu.Lock()
	if n.owned[service] != nil {
		n.mu.Unlock()
		return
	}
	n.owned[service] = o
	if row.Version > n.owners[service].Version {
		n.owners[service] = row
	}
	n.mu.Unlock()
	n.group.Go(func() error {
		err := o.Run(n.ctx)
		n.mu.Lock()
		delete(n.owned, service)
		n.mu.Unlock()
		n.Log.Info("ownership ended", events.OwnerEnded, zap.String("service", service), zap.Int64("epoch", epoch), zap.Error(err))
		return nil
	})
}

func (n *Node) params(epoch int64) scheduler.Params {
	most := time.Duration(n.cfg.Bounds.LeaseMostMS) * time.Millisecond
	return scheduler.Params{
		Epoch: epoch, Lease: min(lease, most), StopTime: time.Duration(n.cfg.Bounds.StopMS) * time.Millisecond,
		Uncertain:    time.Duration(float64(min(lease, most))*scheduler.ClockSlack) + selfStop,
		KeepFinished: time.Duration(n.cfg.Bounds.KeepStateMS) * time.Millisecond,
	}
}

// handOver asks other nodes to take what this one owns, before it stops.
func (n *Node) handOver() {
	n.mu.Lock()
	owned := make(map[string]*owner.Owner, len(n.owned))
	for s, o := range n.owned {
		owned[s] = o
	}
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, handOverMost)
	defer cancel()
	for service, o := range owned {
		n.handOverOne(ctx, service, o)
	}
}

// handOverMost bounds all hand-overs together: the grace period is for callers too.
const handOverMost = 2 * time.Second

func (n *Node) handOverOne(ctx context.Context, service string, o *owner.Owner) {
	_, version := n.owner(service)
	now := time.Now()
	var names []string
	addresses := make(map[string]string)
	n.peers.mu.Lock()
	for _, q := range n.peers.list {
		if q.up(now) && !q.reply.Draining {
			names = append(names, q.Name)
			addresses[q.Name] = q.Address
		}
	}
	n.peers.mu.Unlock()
	for _, name := range successors(service, names) {
		_, err := call[takeRequest, done](ctx, n.peers, addresses[name], pathTake, takeRequest{service, version}, handOverTimeout)
		if err == nil {
			n.Log.Info("shard handed over", events.OwnerEnded, zap.String("service", service), zap.String("to", name))
			o.Lost("handed over to " + name)
			return
		}
		n.Log.Warn("shard not handed over", events.PeerLost, zap.String("service", service), zap.String("to", name), zap.Error(err))
	}
	n.release(ctx, service)
}

// handOverTimeout bounds one hand-over, which is one write to the store.
const handOverTimeout = 800 * time.Millisecond

// release leaves the shard without an owner, for whichever node comes first.
func (n *Node) release(ctx context.Context, service string) {
	rec, version := n.owner(service)
	value, err := json.Marshal(ownerRecord{Epoch: rec.Epoch})
	if err != nil {
		panic("cell: an owner's record holds only strings and numbers: " + err.Error())
	}
	row := tables.Row{Table: TableCell, Key: ownerPrefix + service, Value: value}
	seen := row
	seen.Version = version
	if _, err := n.store.Commit(ctx, tables.Txn{If: []tables.Row{seen}, Put: []tables.Row{row}}); err != nil {
		n.Log.Warn("shard not released", events.StoreFailed, zap.String("service", service), zap.Error(err))
	}
}
