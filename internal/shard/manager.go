// SPDX-License-Identifier: Apache-2.0

package shard

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/lease"
	"switchbank.example/switchbank/internal/platform"
)

const (
	// TableShards is the table that has a row for each shard.
	TableShards = "shards"
	// TableRevision has a single row that is written with every change of a shard's
	// owner, so that nodes read TableShards only after a change.
	TableRevision = "shard-revision"
	revisionKey   = "revision"
	// handOverPolls is for how many polls in a row another node must be preferred before
	// the owner hands a shard over.
	handOverPolls = 3
)

// Row is the value of a shard's row in TableShards.
type Row struct {
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
	Epoch       int64  `json:"epoch"`
	// Change identifies the write, to tell whether it took effect if its reply is lost.
	Change string `json:"change"`
}

// Grant is the ownership of a shard under one epoch.
type Grant struct {
	// Owner is the ID of this node.
	Owner string
	Key   Key
	Epoch int64
	// Version is the version of the shard's row. Every write that only the owner may make
	// has it as a condition.
	Version int64
	// Held reports whether the ownership is certain now.
	Held func() bool
	// ExpiredFor returns how long ago the node's lease expired; 0 while it is held.
	ExpiredFor func() time.Duration
}

// Handler does the work of the shards of one kind.
type Handler interface {
	// Acquire loads a shard that the node has taken; it is retried until it succeeds.
	Acquire(ctx context.Context, g Grant) error
	// Release ends the work on a shard that is handed over, after the calls in flight.
	Release(ctx context.Context, key Key)
	// Drop discards a shard that the node does not own any more.
	Drop(key Key)
}

// Options are the settings of a Manager.
type Options struct {
	// PollInterval is the time between reads of the shards.
	PollInterval time.Duration
	// ReleaseTimeout bounds Handler.Release.
	ReleaseTimeout time.Duration
	// NoEpochs keeps the epoch of every shard at 1. Tests set it to verify that they detect
	// the missing safeguard.
	NoEpochs bool
}

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	// ErrorStore means that a call of the table service failed.
	ErrorStore ErrorKind = "store"
	// ErrorConflict means that another node changed the row first.
	ErrorConflict ErrorKind = "conflict"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("shard: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Manager takes the shards that its node should own, checks that it still owns them, and
// hands them over when another node should.
type Manager struct {
	table    lease.Table
	lease    *lease.Lease
	keys     []Key
	handlers map[Kind]Handler
	opts     Options
	log      *zap.Logger
	wake     chan struct{}

	mu sync.Mutex
	// backgroundCount is the number of background functions that run; backgroundDone is
	// signalled when one ends. A WaitGroup cannot be used, because Run may start another
	// function while ReleaseAll waits.
	backgroundCount int
	backgroundDone  *sync.Cond
	revision        int64
	rowsCurrent     bool
	rows            map[Key]versionedRow
	owned           map[Key]*ownedShard
	onOwnerChange   func(Key)
}

// versionedRow is a shard's row and its version in the table.
type versionedRow struct {
	row     Row
	version int64
}

// ownedShard is a shard whose row names this node as the owner.
type ownedShard struct {
	epoch   int64
	version int64
	// confirmedGeneration is the lease generation under which the row was last read.
	confirmedGeneration int64
	loaded              bool
	releasing           bool
	// misplacedPolls counts the polls in a row in which another node was preferred.
	misplacedPolls int
	cancel         context.CancelFunc
}

// New returns a manager that owns no shard yet.
func New(table lease.Table, l *lease.Lease, keys []Key, handlers map[Kind]Handler, opts Options, log *zap.Logger) *Manager {
	m := &Manager{
		table:         table,
		lease:         l,
		keys:          keys,
		handlers:      handlers,
		opts:          opts,
		log:           log,
		wake:          make(chan struct{}, 1),
		rows:          make(map[Key]versionedRow),
		owned:         make(map[Key]*ownedShard),
		onOwnerChange: func(Key) {},
	}
	m.backgroundDone = sync.NewCond(&m.mu)
	return m
}

// OnOwnerChange sets the function that is called with a shard whose owner has changed,
// or that this node has loaded.
func (m *Manager) OnOwnerChange(fn func(Key)) { m.onOwnerChange = fn }

// Run takes, checks and hands over shards until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	t := time.NewTicker(m.opts.PollInterval)
	defer t.Stop()
	for {
		m.poll(ctx)
		select {
		case <-ctx.Done():
			m.waitBackground()
			return nil
		case <-t.C:
		case <-m.wake:
		}
	}
}

// Wake makes Run read the shards at once.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Owner returns the row of a shard as last read, and whether it has an owner.
func (m *Manager) Owner(key Key) (Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.rows[key]
	return e.row, ok && e.row.Owner != ""
}

// Owns reports whether this node certainly owns a shard now and has loaded it.
func (m *Manager) Owns(key Key) bool {
	m.mu.Lock()
	o, ok := m.owned[key]
	if !ok || !o.loaded {
		m.mu.Unlock()
		return false
	}
	epoch := o.epoch
	m.mu.Unlock()
	return m.held(key, epoch)
}

// Owned returns how many shards of a kind this node has loaded.
func (m *Manager) Owned(kind Kind) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for key, o := range m.owned {
		if key.Kind() == kind && o.loaded {
			n++
		}
	}
	return n
}

// Unowned returns how many shards have no owner, as far as this node knows.
func (m *Manager) Unowned() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, key := range m.keys {
		if e, ok := m.rows[key]; !ok || e.row.Owner == "" {
			n++
		}
	}
	return n
}

// ReleaseAll hands every shard over, for a planned stop.
func (m *Manager) ReleaseAll(ctx context.Context) {
	m.mu.Lock()
	var keys []Key
	for key, o := range m.owned {
		if !o.releasing {
			o.releasing = true
			keys = append(keys, key)
		}
	}
	m.mu.Unlock()
	var g errgroup.Group
	for _, key := range keys {
		g.Go(func() error {
			m.release(ctx, key)
			return nil
		})
	}
	_ = g.Wait()
	m.waitBackground()
}

// background runs fn in a goroutine that waitBackground waits for.
func (m *Manager) background(fn func()) {
	m.mu.Lock()
	m.backgroundCount++
	m.mu.Unlock()
	go func() {
		defer func() {
			m.mu.Lock()
			m.backgroundCount--
			m.mu.Unlock()
			m.backgroundDone.Broadcast()
		}()
		fn()
	}()
}

// waitBackground waits until no background function runs.
func (m *Manager) waitBackground() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.backgroundCount > 0 {
		m.backgroundDone.Wait()
	}
}

// held reports whether this node certainly owns key under epoch now: it holds its lease,
// and has read the shard's row since it last acquired the lease.
func (m *Manager) held(key Key, epoch int64) bool {
	generation, held := m.lease.Generation()
	if !held {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.owned[key]
	return ok && o.epoch == epoch && o.confirmedGeneration == generation
}

// poll reads the shards, drops those that were lost, and takes or hands over shards
// according to the preferred owners.
func (m *Manager) poll(ctx context.Context) {
	generation, held := m.lease.Generation()
	if err := m.refresh(ctx); err != nil {
		m.log.Warn("shards not read", events.ShardsNotRead, zap.Error(err))
		return
	}
	m.confirmOwned(generation)
	if !held || ctx.Err() != nil {
		return
	}
	live := m.lease.Live()
	self := m.lease.Self()
	if self.Draining {
		return
	}
	for _, key := range m.keys {
		preferred, ok := PreferredOwner(key, live)
		if !ok {
			continue
		}
		m.reconcileOwner(ctx, key, preferred, self)
	}
}

// reconcileOwner takes key if this node is its preferred owner, and hands it over if
// another node has been preferred for handOverPolls polls.
func (m *Manager) reconcileOwner(ctx context.Context, key Key, preferred, self lease.Node) {
	m.mu.Lock()
	e, o := m.rows[key], m.owned[key]
	handOver := false
	if o != nil {
		if preferred.ID == self.ID {
			o.misplacedPolls = 0
		} else {
			o.misplacedPolls++
		}
		handOver = o.misplacedPolls >= handOverPolls && o.loaded && !o.releasing
		o.releasing = o.releasing || handOver
	}
	m.mu.Unlock()
	if handOver {
		m.background(func() { m.release(ctx, key) })
	}
	if o != nil || preferred.ID != self.ID {
		return
	}
	guard, takeable := m.canTake(e)
	if !takeable {
		return
	}
	if err := m.take(ctx, key, e, guard, self); err != nil {
		m.log.Warn("shard not taken", events.ShardsNotRead, zap.String("shard", string(key)), zap.Error(err))
	}
}

// canTake reports whether a shard may be taken: it has no owner, or the lease of its owner
// has certainly expired. The write must have the returned conditions, so that it fails if
// the owner renews its lease in the meantime.
func (m *Manager) canTake(e versionedRow) ([]platform.Condition, bool) {
	if e.row.Owner == "" {
		return nil, true
	}
	dead, guard := m.lease.Dead(e.row.Owner, e.row.Incarnation)
	return guard, dead
}

// take makes this node the owner of a shard under a new epoch. It does nothing if the
// node does not hold its lease.
func (m *Manager) take(ctx context.Context, key Key, e versionedRow, guard []platform.Condition, self lease.Node) error {
	row := Row{
		Owner: self.ID, Incarnation: self.Incarnation, PeerAddress: self.PeerAddress, Epoch: e.row.Epoch + 1,
		Change: fmt.Sprintf("%s/%d", self.Incarnation, e.row.Epoch+1),
	}
	if m.opts.NoEpochs {
		row.Epoch = 1
	}
	generation, held := m.lease.Generation()
	if !held {
		return nil
	}
	version, err := m.write(ctx, key, row, e.version, guard)
	if err != nil {
		return err
	}
	m.startOwning(ctx, key, row, version, generation)
	return nil
}

// startOwning records that this node owns a shard, and loads it in the background.
func (m *Manager) startOwning(ctx context.Context, key Key, row Row, version, generation int64) {
	ctx, cancel := context.WithCancel(ctx)
	o := &ownedShard{epoch: row.Epoch, version: version, confirmedGeneration: generation, cancel: cancel}
	m.mu.Lock()
	m.rows[key] = versionedRow{row, version}
	m.owned[key] = o
	m.mu.Unlock()
	m.log.Info("shard taken", events.ShardTaken, zap.String("shard", string(key)), zap.Int64("epoch", row.Epoch))
	m.background(func() { m.load(ctx, key, o) })
}

// load lets the handler acquire a shard, and retries until it succeeds or the ownership
// ends.
func (m *Manager) load(ctx context.Context, key Key, o *ownedShard) {
	g := Grant{
		Owner: m.lease.Self().ID, Key: key, Epoch: o.epoch, Version: o.version,
		Held:       func() bool { return m.held(key, o.epoch) },
		ExpiredFor: m.lease.ExpiredFor,
	}
	for ctx.Err() == nil {
		err := m.handlers[key.Kind()].Acquire(ctx, g)
		if err == nil {
			break
		}
		m.log.Warn("shard not loaded", events.ShardNotLoaded, zap.String("shard", string(key)), zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.opts.PollInterval):
		}
	}
	m.mu.Lock()
	present := m.owned[key] == o
	o.loaded = true
	m.mu.Unlock()
	if !present {
		m.handlers[key.Kind()].Drop(key)
		return
	}
	m.onOwnerChange(key)
}

// release ends the work on a shard and clears the owner in its row.
func (m *Manager) release(ctx context.Context, key Key) {
	m.mu.Lock()
	o, ok := m.owned[key]
	m.mu.Unlock()
	if !ok {
		return
	}
	if o.loaded {
		wait, cancel := context.WithTimeout(ctx, m.opts.ReleaseTimeout)
		m.handlers[key.Kind()].Release(wait, key)
		cancel()
	}
	m.mu.Lock()
	present := m.owned[key] == o
	delete(m.owned, key)
	m.mu.Unlock()
	o.cancel()
	m.handlers[key.Kind()].Drop(key)
	if !present {
		return
	}
	row := Row{Epoch: o.epoch, Change: fmt.Sprintf("%s/%d/released", m.lease.Self().Incarnation, o.epoch)}
	if _, err := m.write(ctx, key, row, o.version, nil); err != nil {
		m.log.Warn("shard not released", events.ShardNotReleased, zap.String("shard", string(key)), zap.Error(err))
		return
	}
	m.log.Info("shard released", events.ShardReleased, zap.String("shard", string(key)), zap.Int64("epoch", o.epoch))
}

// write changes a shard's row if it still has version and guard holds, and returns the
// new version. If the reply is lost, the next poll reads whether the write took effect.
func (m *Manager) write(ctx context.Context, key Key, row Row, version int64, guard []platform.Condition) (int64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, err
	}
	txn := platform.Txn{
		If: append([]platform.Condition{{Table: TableShards, Key: string(key), Version: version}}, guard...),
		Put: []platform.Put{
			{Table: TableShards, Key: string(key), Value: value},
			{Table: TableRevision, Key: revisionKey, Value: json.RawMessage(`{}`)},
		},
	}
	res, err := m.table.Commit(ctx, txn)
	if err != nil {
		// The write may have taken effect or may still do so; the next poll reads the rows.
		m.invalidateRows()
		return 0, &Error{"write", ErrorStore, err}
	}
	if !res.Committed {
		m.invalidateRows()
		return 0, &Error{"write", ErrorConflict, errors.Errorf("another node has changed the row of shard %s", key)}
	}
	return res.Versions[0], nil
}

// invalidateRows makes the next poll read the shards even if their revision is unchanged.
func (m *Manager) invalidateRows() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rowsCurrent = false
}

// refresh reads the shards if their revision has changed.
func (m *Manager) refresh(ctx context.Context) error {
	rev, err := m.table.Get(ctx, TableRevision, revisionKey)
	if err != nil {
		return &Error{"refresh", ErrorStore, err}
	}
	m.mu.Lock()
	fresh := m.rowsCurrent && rev.Version == m.revision
	m.mu.Unlock()
	if fresh {
		return nil
	}
	rows, err := m.table.List(ctx, TableShards, "")
	if err != nil {
		return &Error{"refresh", ErrorStore, err}
	}
	read := make(map[Key]versionedRow, len(rows))
	for _, r := range rows {
		var row Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			return &Error{"refresh", ErrorStore, err}
		}
		read[Key(r.Key)] = versionedRow{row, r.Version}
	}
	m.updateRows(ctx, rev.Version, read)
	return nil
}

// updateRows replaces the known rows by those just read, calls onOwnerChange for those
// with a new owner, and releases shards whose row names this node although it has not
// recorded their ownership.
func (m *Manager) updateRows(ctx context.Context, revision int64, read map[Key]versionedRow) {
	self := m.lease.Self()
	var changed []Key
	var mine []Key
	m.mu.Lock()
	for key, e := range read {
		old := m.rows[key]
		if e.version < old.version {
			read[key] = old
			continue
		}
		if e.row.Epoch != old.row.Epoch || e.row.Owner != old.row.Owner {
			changed = append(changed, key)
		}
		if e.row.Incarnation == self.Incarnation && m.owned[key] == nil {
			mine = append(mine, key)
		}
	}
	m.rows, m.revision, m.rowsCurrent = read, revision, true
	m.mu.Unlock()
	for _, key := range changed {
		m.onOwnerChange(key)
	}
	for _, key := range mine {
		m.releaseUnloaded(ctx, key, read[key], self)
	}
}

// releaseUnloaded clears the owner of a shard that this node took with a write whose
// reply was lost. The shard is then taken again under a new epoch.
func (m *Manager) releaseUnloaded(ctx context.Context, key Key, e versionedRow, self lease.Node) {
	row := Row{Epoch: e.row.Epoch, Change: fmt.Sprintf("%s/%d/reclaimed", self.Incarnation, e.row.Epoch)}
	if _, err := m.write(ctx, key, row, e.version, nil); err != nil {
		m.log.Warn("shard not released", events.ShardNotReleased, zap.String("shard", string(key)), zap.Error(err))
	}
	m.invalidateRows()
}

// confirmOwned confirms the owned shards whose row is unchanged for a lease generation,
// and drops the others.
func (m *Manager) confirmOwned(generation int64) {
	m.mu.Lock()
	var lost []Key
	for key, o := range m.owned {
		if e := m.rows[key]; e.version != o.version {
			lost = append(lost, key)
			delete(m.owned, key)
			o.cancel()
			continue
		}
		o.confirmedGeneration = generation
	}
	m.mu.Unlock()
	for _, key := range lost {
		m.log.Warn("shard lost", events.ShardLost, zap.String("shard", string(key)))
		m.handlers[key.Kind()].Drop(key)
		m.onOwnerChange(key)
	}
}
