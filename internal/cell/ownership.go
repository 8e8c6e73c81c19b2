// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/settings"
	"switchbank.example/switchbank/internal/tables"
)

// The rows of TableCell, which all nodes follow: one for each node, one for each shard and
// one for each service.
const (
	TableCell   = "cell"
	nodePrefix  = "node/"
	ownerPrefix = "owner/"
	// layoutPrefix is the prefix of the rows with the services' layouts.
	layoutPrefix = "layout/"
)

const (
	// workerLease is how long workers keep running without an owner. It has to cover the loss
	// of an owner while the store is down for some seconds, and bounds how long the tasks of
	// an unreachable worker wait to start elsewhere.
	workerLease = 8 * time.Second
	// ownershipLease bounds the leases of workers by the last confirmation of their owner. It
	// covers an outage of the store of 15 s in which a node is lost as well, so that the others
	// can't confirm the ownership either.
	ownershipLease = 20 * time.Second
	// leaseSlack is added to the time for which a new owner takes leases of earlier ones to last:
	// timers fire late, and a lease begins when its order is given.
	leaseSlack = 350 * time.Millisecond
	// fenceReadTimeout bounds the read of a fence in parallel with the write of the owner's
	// row: a read takes 0.4 s while the store is 60 to 100 times slower.
	fenceReadTimeout = 600 * time.Millisecond
)

// followCell follows the rows of nodes, owners and layouts in the store.
func (n *Node) followCell(ctx context.Context) {
	f := tables.Follower{
		Service: n.store, Table: TableCell, Parts: []string{""}, FeedWait: cellFeedWait, Pause: cellFeedPause,
		OnError: n.logReadFailure(TableCell),
	}
	f.Apply = func(rows []tables.Row, full bool) {
		n.applyCellRows(rows)
		if full {
			n.ownersRead.Store(true)
		}
		n.scaleCellFeed(&f)
	}
	f.Run(ctx)
}

// applyCellRows applies rows of TableCell.
func (n *Node) applyCellRows(rows []tables.Row) {
	for _, r := range rows {
		switch {
		case r.Deleted:
		case strings.HasPrefix(r.Key, nodePrefix):
			var m member
			if err := json.Unmarshal(r.Value, &m); err != nil {
				n.Log.Warn("member row skipped", events.RowSkipped, zap.String("key", r.Key), zap.Error(err))
				continue
			}
			if m.Stopped {
				n.stopped.Add(m.Incarnation, struct{}{})
				continue
			}
			n.peers.addMember(m)
		case strings.HasPrefix(r.Key, ownerPrefix):
			n.applyOwnerRow(r)
		case strings.HasPrefix(r.Key, layoutPrefix):
			n.applyLayout(r)
		}
	}
}

// applyOwnerRow applies a row that names an owner.
func (n *Node) applyOwnerRow(r tables.Row) {
	shard, err := cluster.ParseShardID(strings.TrimPrefix(r.Key, ownerPrefix))
	if err != nil {
		n.Log.Warn("owner row skipped", events.RowSkipped, zap.String("key", r.Key), zap.Error(err))
		return
	}
	n.updateOwner(shard, r)
}

// ownerState is the last known owner of a shard and the version of its row.
type ownerState struct {
	ownerRecord
	version int64
	// changes holds the times at which this node saw the last few owners appear.
	changes []time.Time
}

// maxOwnerChanges is how many changes of a shard's owner are remembered.
const maxOwnerChanges = 4

// setOwner records an owner's row. The caller holds mu.
func (n *Node) setOwner(shard cluster.ShardID, rec ownerRecord, version int64) {
	state := ownerState{rec, version, n.owners[shard].changes}
	state.changes = append(state.changes, time.Now())
	state.changes = state.changes[max(0, len(state.changes)-maxOwnerChanges):]
	n.owners[shard] = state
}

// updateOwner records an owner's row, and ends this node's ownership if the row replaces it.
func (n *Node) updateOwner(shard cluster.ShardID, r tables.Row) {
	if r.Version == 0 {
		// Without a row the shard has never had an owner.
		return
	}
	rec, err := decodeOwner(r)
	n.mu.Lock()
	if r.Version <= n.owners[shard].version {
		n.mu.Unlock()
		return
	}
	if err != nil {
		// Treat the shard as without an owner, so that it can be taken: the fence row holds
		// the epoch. Whichever owner there was may go on.
		rec = ownerRecord{Epoch: n.owners[shard].Epoch, Unsettled: []member{{}}}
		n.Log.Warn("owner row is unreadable", events.RowSkipped, zap.String("key", r.Key), zap.Int64("epoch", rec.Epoch), zap.Error(err))
	}
	n.setOwner(shard, rec, r.Version)
	o := n.owned[shard]
	n.mu.Unlock()
	n.Log.Info("owner changed", events.OwnerChanged, zap.Stringer("shard", shard), zap.String("owner", rec.Owner.Name),
		zap.Int64("epoch", rec.Epoch), zap.Int64("version", r.Version))
	if o != nil && rec.Epoch > o.Epoch() {
		o.EndOwnership("the store names " + rec.Owner.Name)
	}
}

// decodeOwner decodes the row that names a shard's owner.
func decodeOwner(r tables.Row) (ownerRecord, error) {
	var rec ownerRecord
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		return rec, &Error{"owner row", KindDecode, err}
	}
	return rec, nil
}

// ownerRow encodes the row that names a shard's owner, without a version.
func ownerRow(shard cluster.ShardID, rec ownerRecord) tables.Row {
	value, err := json.Marshal(rec)
	if err != nil {
		panic("cell: an owner's record holds only strings and numbers: " + err.Error())
	}
	return tables.Row{Table: TableCell, Key: ownerPrefix + shard.String(), Value: value}
}

// replaceOwnerRow returns the row that names a shard's next owner, and the condition of its
// write: that the row still has the given version.
func replaceOwnerRow(shard cluster.ShardID, version int64, next ownerRecord) (condition, row tables.Row) {
	row = ownerRow(shard, next)
	condition = row
	condition.Version = version
	return condition, row
}

// owner returns the last known owner of a shard and the version of its row.
func (n *Node) owner(shard cluster.ShardID) (ownerRecord, int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	o := n.owners[shard]
	return o.ownerRecord, o.version
}

// shardCounts returns how many shards each incarnation of a node owns, according to the
// owners' rows.
func (n *Node) shardCounts() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	owned := make(map[string]int, len(n.owners))
	for _, o := range n.owners {
		owned[o.Owner.Incarnation]++
	}
	return owned
}

// local returns the owner of the shard if it runs on this node, or nil.
func (n *Node) local(shard cluster.ShardID) *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owned[shard]
}

// ownedShards returns the owners that run on this node now, by shard.
func (n *Node) ownedShards() map[cluster.ShardID]*owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.owned)
}

// nodeRow returns the row of a node.
func nodeRow(m member) tables.Row {
	value, err := json.Marshal(m)
	if err != nil {
		panic("cell: a member holds only strings: " + err.Error())
	}
	return tables.Row{Table: TableCell, Key: nodePrefix + m.Name, Value: value}
}

// announce writes this node's row, by which the other nodes find it.
func (n *Node) announce(ctx context.Context) {
	for ctx.Err() == nil {
		res, err := n.store.Commit(ctx, tables.Txn{Put: []tables.Row{nodeRow(n.me)}})
		if err == nil {
			n.rowVersion.Store(res.Version)
			return
		}
		n.Log.Info("failed to announce node", events.StoreFailed, zap.Error(err))
		tables.Sleep(ctx, tables.RetryPause(err, watchInterval))
	}
}

// takeShard makes this node the owner of a shard, on condition that the owner's row still has
// the version for which the loss was found. It reports whether this node owns the shard.
func (n *Node) takeShard(ctx context.Context, shard cluster.ShardID, version int64, loss ownerLoss) bool {
	rec, current := n.owner(shard)
	if current != version || !n.beginTake(shard) {
		return n.local(shard) != nil
	}
	defer n.endTake(shard)
	next := ownerRecord{Owner: n.me, Epoch: rec.Epoch + 1, Unsettled: n.unsettledOwners(shard, rec, loss)}
	condition, row := replaceOwnerRow(shard, version, next)
	fence := n.readFence(ctx, shard)
	sent := time.Now()
	res, err := n.store.Commit(ctx, tables.Txn{If: []tables.Row{condition}, Put: []tables.Row{row}})
	if err != nil {
		n.Log.Warn("failed to take shard", events.StoreFailed, zap.Stringer("shard", shard), zap.String("cause", loss.cause), zap.Error(err))
		n.reconcileOwner(ctx, shard)
		tables.Sleep(ctx, tables.RetryPause(err, 0))
		return n.local(shard) != nil
	}
	if !res.Committed {
		for _, r := range res.Current {
			n.updateOwner(shard, r)
		}
		return false
	}
	row.Version = res.Version
	n.Log.Info("shard taken", events.OwnershipTaken, zap.Stringer("shard", shard), zap.Int64("epoch", next.Epoch),
		zap.String("from", rec.Owner.Name), zap.String("cause", loss.cause), zap.Int("unsettled", len(next.Unsettled)), zap.Duration("silent_for", loss.silentFor),
		zap.Duration("answer_time", n.peers.answerTime(rec.Owner)), zap.Duration("own_delay", n.ownDelay.value()))
	n.startOwner(shard, row, next, <-fence, sent)
	return true
}

// readFence reads a shard's fence while its owner's row is being written, so that a takeover
// doesn't wait for both in turn. The row it sends has no key if the read failed.
func (n *Node) readFence(ctx context.Context, shard cluster.ShardID) <-chan tables.Row {
	read := make(chan tables.Row, 1)
	go func() {
		c, cancel := context.WithTimeout(ctx, fenceReadTimeout)
		defer cancel()
		row, err := owner.ReadFence(c, n.store, shard)
		if err != nil {
			// The owner retries the read.
			n.Log.Info("failed to read fence", events.StoreFailed, zap.Stringer("shard", shard), zap.Error(err))
			row = tables.Row{}
		}
		read <- row
	}()
	return read
}

// beginTake marks a shard as being taken, and returns false if it already is, or runs here.
// That happens because the feed may show this node as the owner before the write is answered,
// and a watcher may have waited for its turn until the write was complete.
func (n *Node) beginTake(shard cluster.ShardID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.taking[shard] || n.owned[shard] != nil {
		return false
	}
	n.taking[shard] = true
	return true
}

// endTake removes the mark of beginTake.
func (n *Node) endTake(shard cluster.ShardID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.taking, shard)
}

// reconcileOwner reads the owner's row after a write whose outcome is unknown, and starts the
// owner if the row names this node.
func (n *Node) reconcileOwner(ctx context.Context, shard cluster.ShardID) {
	sent := time.Now()
	r, ok, err := tables.Get(ctx, n.store, TableCell, "", ownerPrefix+shard.String())
	if err != nil {
		// The feed will deliver the row, or the watcher takes the shard again.
		n.Log.Info("failed to read owner row", events.StoreFailed, zap.Stringer("shard", shard), zap.Error(err))
		return
	}
	if !ok {
		return
	}
	rec, err := decodeOwner(r)
	if err == nil && rec.Owner.Incarnation == n.me.Incarnation && n.hasNotRun(shard, rec.Epoch) {
		n.startOwner(shard, r, rec, tables.Row{}, sent)
		return
	}
	n.updateOwner(shard, r)
}

// hasNotRun reports whether no owner of that epoch or a later one has run here. One that has ended
// can't run again, since its runs and their numbers are not known any more.
func (n *Node) hasNotRun(shard cluster.ShardID, epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return epoch > n.lastEpochs[shard]
}

// startOwner runs a shard that this node has taken, with the fence that was read in parallel. The
// call that has shown that the row names this node was sent at confirmedAt.
func (n *Node) startOwner(shard cluster.ShardID, row tables.Row, rec ownerRecord, fence tables.Row, confirmedAt time.Time) {
	layout, _ := n.layout(shard.Service)
	workers := n.newFanout(shard, &layout)
	o := owner.New(owner.Config{
		Shard: shard, Layout: layout, Row: row, Fence: fence, ConfirmedAt: confirmedAt, MaxParallelReads: n.parallelReads(), MaxWriteBytes: n.writeBytes(), Params: n.schedulerParams(shard, &layout, rec.Epoch),
	}, owner.Deps{
		Tables: n.newOwnerStore(shard), Workers: workers, Advisers: n.peers, Machines: proxiedMachines{n, shard.Service}, Directory: n.Directory, Shards: otherShards{n}, Confirmer: ownerConfirmer{n.peers},
		CountInvalidEntry: n.countInvalidEntry, Log: n.Log,
	})
	if !n.registerOwner(shard, o, rec, row.Version) {
		workers.Close()
		return
	}
	n.updateTeams()
	n.updateEvacuations()
	if len(rec.Unsettled) == 0 {
		o.EarlierOwnersEnded()
	} else {
		n.group.Go(func() error { n.settleOwners(n.ctx, shard, o, slices.Clone(rec.Unsettled)); return nil })
	}
	n.group.Go(func() error {
		defer workers.Close()
		err := o.Run(n.ctx)
		n.mu.Lock()
		delete(n.owned, shard)
		n.mu.Unlock()
		n.Log.Info("ownership ended", events.OwnershipEnded, zap.Stringer("shard", shard), zap.Int64("epoch", rec.Epoch), zap.Error(err))
		return nil
	})
}

// registerOwner records that a shard runs on this node, and returns false if it already does.
func (n *Node) registerOwner(shard cluster.ShardID, o *owner.Owner, rec ownerRecord, version int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owned[shard] != nil {
		return false
	}
	n.owned[shard], n.lastEpochs[shard] = o, rec.Epoch
	if version > n.owners[shard].version {
		n.setOwner(shard, rec, version)
	}
	return true
}

// schedulerParams returns the parameters of a shard's scheduler that depend on this node's
// bounds.
func (n *Node) schedulerParams(shard cluster.ShardID, layout *cluster.Layout, epoch int64) scheduler.Params {
	most := time.Duration(n.cfg.Bounds.MaxLeaseMS) * time.Millisecond
	return scheduler.Params{
		Epoch: epoch, Lease: min(workerLease, most), MaxLease: most, OwnershipLease: ownershipLease, StopTime: time.Duration(n.cfg.Bounds.StopMS) * time.Millisecond,
		UncertainFor: onSlowClocks(ownershipLease), UncertainAfterEnd: onSlowClocks(most),
		FinishedRetention: time.Duration(n.cfg.Bounds.FinishedRetentionMS) * time.Millisecond,
		OrderByDue:        n.cfg.WaitingOrder == settings.WaitingOrderDue,
		Index:             shard.Index, Shards: layout.Shards,
	}
}

// onSlowClocks returns how long a time that earlier owners and workers measure may last on this
// node's clock, if theirs are slow and this one is fast.
func onSlowClocks(d time.Duration) time.Duration {
	return time.Duration(float64(d)*scheduler.ClockSlack*scheduler.ClockSlack) + leaseSlack
}
