// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// The rows of TableCell, which all nodes follow: one a node, one a shard, one a service.
const (
	TableCell   = "cell"
	nodePrefix  = "node/"
	ownerPrefix = "owner/"
	// layoutPrefix begins the rows of the services' layouts.
	layoutPrefix = "layout/"
)

const (
	// workerLease is how long workers run on without their owner: long enough for an
	// owner that is lost while the store is away for some seconds, short enough
	// that the work of an unreachable worker is not kept waiting for ever.
	workerLease = 8 * time.Second
	// replacedOwnerTime is how long a replaced owner may go on before a worker's answer
	// stops it.
	replacedOwnerTime = 1500 * time.Millisecond
	// fenceReadTimeout bounds the reading of a fence beside the write of its owner's row: a read
	// takes 0.4 s while the store is 60 to 100 times slower.
	fenceReadTimeout = 600 * time.Millisecond
)

// followCell keeps the members' and the owners' rows current.
func (n *Node) followCell(ctx context.Context) {
	f := tables.Follower{
		Service: n.store, Table: TableCell, Parts: []string{""}, FeedWait: cellFeedWait, Pause: cellFeedPause,
		Apply:   func(rows []tables.Row, _ bool) { n.applyCellRows(rows) },
		OnError: n.logReadFailure(TableCell),
	}
	f.Run(ctx)
}

// applyCellRows takes in rows of TableCell.
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
			n.peers.addMember(m)
		case strings.HasPrefix(r.Key, ownerPrefix):
			n.applyOwnerRow(r)
		case strings.HasPrefix(r.Key, layoutPrefix):
			n.applyLayout(r)
		}
	}
}

// applyOwnerRow takes in a row that names an owner.
func (n *Node) applyOwnerRow(r tables.Row) {
	shard, err := cluster.ParseShardID(strings.TrimPrefix(r.Key, ownerPrefix))
	if err != nil {
		n.Log.Warn("owner row skipped", events.RowSkipped, zap.String("key", r.Key), zap.Error(err))
		return
	}
	n.updateOwner(shard, r)
}

// ownerState is an owner's record and the version of its row.
type ownerState struct {
	ownerRecord
	version int64
	// changes are when this node saw the last few owners come.
	changes []time.Time
}

// maxOwnerChanges is how many changes of a shard's owner are remembered.
const maxOwnerChanges = 4

// setOwner notes an owner's row. The caller holds mu.
func (n *Node) setOwner(shard cluster.ShardID, rec ownerRecord, version int64) {
	seen := ownerState{rec, version, n.owners[shard].changes}
	seen.changes = append(seen.changes, time.Now())
	seen.changes = seen.changes[max(0, len(seen.changes)-maxOwnerChanges):]
	n.owners[shard] = seen
}

// updateOwner notes an owner's row, and ends an ownership of this node that it replaces.
func (n *Node) updateOwner(shard cluster.ShardID, r tables.Row) {
	if r.Version == 0 {
		// There is no row: nobody has owned the shard yet.
		return
	}
	rec, err := decodeOwner(r)
	n.mu.Lock()
	if r.Version <= n.owners[shard].version {
		n.mu.Unlock()
		return
	}
	if err != nil {
		// It names no owner, so that the shard can be taken: the fence holds the epoch.
		rec = ownerRecord{Epoch: n.owners[shard].Epoch}
		n.Log.Warn("owner row names none", events.RowSkipped, zap.String("key", r.Key), zap.Int64("epoch", rec.Epoch), zap.Error(err))
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

// decodeOwner reads the row that names a shard's owner.
func decodeOwner(r tables.Row) (ownerRecord, error) {
	var rec ownerRecord
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		return rec, &Error{"owner row", KindDecode, err}
	}
	return rec, nil
}

// ownerRow returns the row that names a shard's owner, without a version.
func ownerRow(shard cluster.ShardID, rec ownerRecord) tables.Row {
	value, err := json.Marshal(rec)
	if err != nil {
		panic("cell: an owner's record holds only strings and numbers: " + err.Error())
	}
	return tables.Row{Table: TableCell, Key: ownerPrefix + shard.String(), Value: value}
}

// replaceOwnerRow returns the row that names a shard's next owner, and as the condition of
// its write the row of that version.
func replaceOwnerRow(shard cluster.ShardID, version int64, next ownerRecord) (condition, row tables.Row) {
	row = ownerRow(shard, next)
	condition = row
	condition.Version = version
	return condition, row
}

// owner returns the owner of a shard, and the version of its row.
func (n *Node) owner(shard cluster.ShardID) (ownerRecord, int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	o := n.owners[shard]
	return o.ownerRecord, o.version
}

// shardCounts returns how many shards each life of a node owns, by the owners' rows.
func (n *Node) shardCounts() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	owned := make(map[string]int, len(n.owners))
	for _, o := range n.owners {
		owned[o.Owner.Incarnation]++
	}
	return owned
}

// local returns the ownership that runs on this node, or nil.
func (n *Node) local(shard cluster.ShardID) *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owned[shard]
}

// announce writes this node's row, so that the others find it.
func (n *Node) announce(ctx context.Context) {
	value, err := json.Marshal(n.me)
	if err != nil {
		panic("cell: a member holds only strings: " + err.Error())
	}
	row := tables.Row{Table: TableCell, Key: nodePrefix + n.me.Name, Value: value}
	for ctx.Err() == nil {
		_, err := n.store.Commit(ctx, tables.Txn{Put: []tables.Row{row}})
		if err == nil {
			return
		}
		n.Log.Info("node not announced", events.StoreFailed, zap.Error(err))
		tables.Sleep(ctx, tables.RetryPause(err, watchInterval))
	}
}

// takeShard makes this node the owner, by a write on condition of the owner's row of that
// version, to which the cause applies. It reports whether the node has the shard.
func (n *Node) takeShard(ctx context.Context, shard cluster.ShardID, version int64, cause string) bool {
	rec, current := n.owner(shard)
	if current != version || !n.beginTake(shard) {
		return n.local(shard) != nil
	}
	defer n.endTake(shard)
	next := ownerRecord{Owner: n.me, Epoch: rec.Epoch + 1}
	seen, row := replaceOwnerRow(shard, version, next)
	fence := n.readFence(ctx, shard)
	res, err := n.store.Commit(ctx, tables.Txn{If: []tables.Row{seen}, Put: []tables.Row{row}})
	if err != nil {
		n.Log.Warn("shard not taken", events.StoreFailed, zap.Stringer("shard", shard), zap.String("cause", cause), zap.Error(err))
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
		zap.String("from", rec.Owner.Name), zap.String("cause", cause))
	n.startOwner(shard, row, next, <-fence)
	return true
}

// readFence reads a shard's fence while its owner's row is being written, so that a
// takeover doesn't wait for the one after the other. The row has no key if it could not be read.
func (n *Node) readFence(ctx context.Context, shard cluster.ShardID) <-chan tables.Row {
	read := make(chan tables.Row, 1)
	go func() {
		c, cancel := context.WithTimeout(ctx, fenceReadTimeout)
		defer cancel()
		row, err := owner.ReadFence(c, n.store, shard)
		if err != nil {
			// The owner reads it again.
			n.Log.Info("fence not read", events.StoreFailed, zap.Stringer("shard", shard), zap.Error(err))
			row = tables.Row{}
		}
		read <- row
	}()
	return read
}

// beginTake notes that this node is taking a shard; false: it is already, or has it.
// The feed may show its row as the owner before the write is answered, and its watch
// may have waited for its turn until the write was settled.
func (n *Node) beginTake(shard cluster.ShardID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.taking[shard] || n.owned[shard] != nil {
		return false
	}
	n.taking[shard] = true
	return true
}

// endTake notes that a write that takes a shard is settled.
func (n *Node) endTake(shard cluster.ShardID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.taking, shard)
}

// reconcileOwner settles a write whose reply was lost.
func (n *Node) reconcileOwner(ctx context.Context, shard cluster.ShardID) {
	r, ok, err := tables.Get(ctx, n.store, TableCell, "", ownerPrefix+shard.String())
	if err != nil {
		// The feed shows the row, or the next look after the owner takes the shard again.
		n.Log.Info("owner row not read", events.StoreFailed, zap.Stringer("shard", shard), zap.Error(err))
		return
	}
	if !ok {
		return
	}
	rec, err := decodeOwner(r)
	if err == nil && rec.Owner.Incarnation == n.me.Incarnation && n.local(shard) == nil {
		n.startOwner(shard, r, rec, tables.Row{})
		return
	}
	n.updateOwner(shard, r)
}

// startOwner runs a shard that this node has taken, with its fence as it was read meanwhile.
func (n *Node) startOwner(shard cluster.ShardID, row tables.Row, rec ownerRecord, fence tables.Row) {
	layout, _ := n.layout(shard.Service)
	workers := n.newFanout(shard, &layout)
	o := owner.New(owner.Config{
		Shard: shard, Layout: layout, Row: row, Fence: fence, MaxParallelReads: n.parallelReads(), MaxWriteBytes: n.writeBytes(), Params: n.schedulerParams(rec.Epoch),
	}, owner.Deps{
		Tables: proxiedStore{n.store, n}, Workers: workers, Advisers: n.peers, Machines: proxiedMachines{n, shard.Service}, Directory: n.Directory, Shards: otherShards{n},
		CountRefusedEntry: n.countRejectedEntry, Log: n.Log,
	})
	if !n.registerOwner(shard, o, rec, row.Version) {
		workers.Close()
		return
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

// registerOwner notes that a shard runs on this node; false: it does already.
func (n *Node) registerOwner(shard cluster.ShardID, o *owner.Owner, rec ownerRecord, version int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owned[shard] != nil {
		return false
	}
	n.owned[shard] = o
	if version > n.owners[shard].version {
		n.setOwner(shard, rec, version)
	}
	return true
}

// schedulerParams returns what the scheduler of a shard has to know of this node's bounds.
func (n *Node) schedulerParams(epoch int64) scheduler.Params {
	most := time.Duration(n.cfg.Bounds.LeaseMostMS) * time.Millisecond
	return scheduler.Params{
		Epoch: epoch, Lease: min(workerLease, most), MaxLease: most, StopTime: time.Duration(n.cfg.Bounds.StopMS) * time.Millisecond,
		UncertainFor:      time.Duration(float64(min(workerLease, most))*scheduler.ClockSlack) + replacedOwnerTime,
		FinishedRetention: time.Duration(n.cfg.Bounds.KeepStateMS) * time.Millisecond,
	}
}
