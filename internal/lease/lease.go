// SPDX-License-Identifier: Apache-2.0

// Package lease keeps a node's lease in the platform's table and watches the leases of
// the other nodes. A lease is a row that its node writes at regular intervals.
//
// A node holds its lease until the time to live, less a margin, has passed since it sent
// its last successful renewal. The other nodes consider it dead if they have seen its row
// unchanged for the time to live plus the margin. Each side measures with its own
// monotonic clock, so that no two clocks are compared.
//
// A lease that expires and is renewed later gets a new generation. Other nodes may have
// taken over shards in the meantime, so that a shard owned under an older generation must
// be confirmed before it is used.
//
// # Usage
//
//	l := lease.New(table, lease.Node{ID: "n1", …}, lease.Options{TTL: 3 * time.Second}, log)
//	g.Go(func() error { return l.Run(ctx) })
//	if !l.Held() { … }
package lease

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/platform"
)

// TableNodes is the table with a row for each node.
const TableNodes = "nodes"

// Table is the part of the table service that the package uses.
type Table interface {
	Commit(ctx context.Context, t platform.Txn) (platform.TxnResult, error)
	Get(ctx context.Context, table, key string) (platform.Row, error)
	List(ctx context.Context, table, prefix string) ([]platform.Row, error)
}

// Node is the row of a node.
type Node struct {
	ID              string `json:"id"`
	Incarnation     string `json:"incarnation"`
	PeerAddress     string `json:"peer_address"`
	OperatorAddress string `json:"operator_address"`
	DataCentre      string `json:"data_centre"`
	// Staged is the digest of the proposed bundle that the node is ready to apply.
	Staged string `json:"staged,omitempty"`
	// InForce is the bundle version that the node applies.
	InForce  int64 `json:"in_force"`
	Draining bool  `json:"draining,omitempty"`
	// Counter increases with every renewal, so that every renewal changes the row.
	Counter int64 `json:"counter"`
}

// Options are the settings of a lease.
type Options struct {
	TTL    time.Duration
	Margin time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// IgnoreExpiry treats an expired lease as held. It is a fault for tests, which must
	// detect it.
	IgnoreExpiry bool
}

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindReplaced is a lease whose row another process has written or removed.
	KindReplaced Kind = "replaced"
	// KindStore is a failed call of the table service.
	KindStore Kind = "store"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("lease: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Lease is a node's own lease and its view of the other nodes' leases.
type Lease struct {
	table Table
	opts  Options
	log   *zap.Logger

	mu   sync.Mutex
	self Node
	// version is that of the node's row as last written or read; 0 before the first read.
	version int64
	// heldUntil is when the lease expires; zero before the first renewal.
	heldUntil  time.Time
	generation int64
	renewNow   chan struct{}
	// observed holds when each incarnation's row was last seen to change.
	observed map[incarnationKey]observation
	// rows holds the rows as last read, by node ID.
	rows        map[string]nodeRow
	refreshedAt time.Time
}

type incarnationKey struct{ id, incarnation string }

type observation struct {
	version   int64
	changedAt time.Time
}

type nodeRow struct {
	node    Node
	version int64
}

// New returns a lease that is not held yet. It sets a new random incarnation in self.
func New(table Table, self Node, opts Options, log *zap.Logger) *Lease {
	self.Incarnation = rand.Text()
	return &Lease{
		table:    table,
		opts:     opts,
		log:      log,
		self:     self,
		renewNow: make(chan struct{}, 1),
		observed: make(map[incarnationKey]observation),
		rows:     make(map[string]nodeRow),
	}
}

// Run renews the lease and reads the rows of all nodes at each interval, until ctx ends or
// another process replaces the lease.
func (l *Lease) Run(ctx context.Context) error {
	t := time.NewTicker(l.opts.RenewInterval)
	defer t.Stop()
	for {
		if err := l.Renew(ctx); err != nil {
			var e *Error
			if errors.As(err, &e) && e.Kind == KindReplaced {
				return err
			}
			l.log.Warn("lease not renewed", events.LeaseNotRenewed, zap.Error(err))
		}
		if err := l.Refresh(ctx); err != nil {
			l.log.Warn("nodes not read", events.NodesNotRead, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-l.renewNow:
		}
	}
}

// RenewSoon makes Run renew the lease immediately, so that the other nodes see a change of
// the row soon.
func (l *Lease) RenewSoon() {
	select {
	case l.renewNow <- struct{}{}:
	default:
	}
}

// Renew writes the node's row once. The lease is extended from the time of sending, since
// the other nodes may see the write long before its reply arrives here.
func (l *Lease) Renew(ctx context.Context) error {
	l.mu.Lock()
	versionUnknown := l.version == 0
	l.mu.Unlock()
	if versionUnknown {
		if err := l.readVersion(ctx); err != nil {
			return err
		}
	}
	l.mu.Lock()
	l.self.Counter++
	self, version := l.self, l.version
	l.mu.Unlock()
	sentAt := time.Now()
	res, err := l.write(ctx, self, version)
	if err != nil {
		return &Error{"renew", KindStore, err}
	}
	if !res.Committed {
		return l.resolveMismatch(res.Mismatch)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = res.Versions[0]
	if !l.heldUntil.IsZero() && !time.Now().Before(l.heldUntil) {
		l.generation++
		l.log.Warn("lease expired", events.LeaseExpired, zap.Int64("generation", l.generation))
	}
	l.heldUntil = sentAt.Add(l.opts.TTL - l.opts.Margin)
	return nil
}

// readVersion reads the version of the row that an earlier process with the node's ID may
// have left, which the first renewal replaces.
func (l *Lease) readVersion(ctx context.Context) error {
	row, err := l.table.Get(ctx, TableNodes, l.self.ID)
	if err != nil {
		return &Error{"claim", KindStore, err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = row.Version
	return nil
}

// write writes the node's row if it still has the given version.
func (l *Lease) write(ctx context.Context, n Node, version int64) (platform.TxnResult, error) {
	value, err := json.Marshal(n)
	if err != nil {
		return platform.TxnResult{}, err
	}
	return l.table.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Table: TableNodes, Key: n.ID, Version: version}},
		Put: []platform.Put{{Table: TableNodes, Key: n.ID, Value: value}},
	})
}

// resolveMismatch handles a renewal that failed because the row has another version. Either
// an earlier renewal of this process took effect and its reply was lost, or another process
// has taken the row.
func (l *Lease) resolveMismatch(mismatch []platform.Row) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n Node
	row := mismatch[0]
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &n); err != nil {
			return &Error{"renew", KindReplaced, err}
		}
	}
	renewedBefore := !l.heldUntil.IsZero()
	if n.Incarnation == l.self.Incarnation || !renewedBefore {
		l.version = row.Version
		l.RenewSoon()
		return &Error{"renew", KindStore, errors.New("the row has changed; retrying")}
	}
	// The zero time would mean that the lease was never held.
	l.heldUntil = time.Time{}.Add(1)
	return &Error{"renew", KindReplaced, errors.Errorf("row of %s is held by incarnation %q", l.self.ID, n.Incarnation)}
}

// Refresh reads the rows of all nodes once, and notes when each of them last changed.
func (l *Lease) Refresh(ctx context.Context) error {
	rows, err := l.table.List(ctx, TableNodes, "")
	if err != nil {
		return &Error{"refresh", KindStore, err}
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshedAt = now
	l.rows = make(map[string]nodeRow, len(rows))
	for _, row := range rows {
		var n Node
		if err := json.Unmarshal(row.Value, &n); err != nil {
			return &Error{"refresh", KindStore, err}
		}
		l.rows[n.ID] = nodeRow{n, row.Version}
		k := incarnationKey{n.ID, n.Incarnation}
		if s, ok := l.observed[k]; !ok || s.version != row.Version {
			l.observed[k] = observation{row.Version, now}
		}
	}
	l.pruneLocked(now)
	return nil
}

// pruneLocked forgets incarnations whose row was replaced or removed long ago.
func (l *Lease) pruneLocked(now time.Time) {
	const retentionTTLs = 100
	for k, s := range l.observed {
		if m, ok := l.rows[k.id]; ok && m.node.Incarnation == k.incarnation {
			continue
		}
		if now.Sub(s.changedAt) > retentionTTLs*l.opts.TTL {
			delete(l.observed, k)
		}
	}
}

// Held reports whether the node holds its lease now.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldLocked()
}

func (l *Lease) heldLocked() bool {
	return time.Now().Before(l.heldUntil) || (l.opts.IgnoreExpiry && l.version != 0)
}

// Generation returns the lease's generation, which increases whenever an expired lease is
// renewed, and whether the lease is held.
func (l *Lease) Generation() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation, l.heldLocked()
}

// ExpiredFor returns how long ago the lease expired; 0 while it is held.
func (l *Lease) ExpiredFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, time.Since(l.heldUntil))
}

// Self returns the node's own row.
func (l *Lease) Self() Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self
}

// SetBundleState publishes the digest of the bundle that the node has staged and the bundle
// version that it applies.
func (l *Lease) SetBundleState(staged string, inForce int64) {
	l.mu.Lock()
	changed := l.self.Staged != staged || l.self.InForce != inForce
	l.self.Staged, l.self.InForce = staged, inForce
	l.mu.Unlock()
	if changed {
		l.RenewSoon()
	}
}

// SetDraining publishes that the node is about to stop.
func (l *Lease) SetDraining() {
	l.mu.Lock()
	l.self.Draining = true
	l.mu.Unlock()
	l.RenewSoon()
}

// Live returns the nodes whose row changed within the time to live plus the margin, ordered
// by ID. It includes this node while it holds its lease.
func (l *Lease) Live() []Node {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var live []Node
	for id, m := range l.rows {
		s := l.observed[incarnationKey{id, m.node.Incarnation}]
		if id != l.self.ID && now.Sub(s.changedAt) < l.opts.TTL+l.opts.Margin {
			live = append(live, m.node)
		}
	}
	if now.Before(l.heldUntil) {
		live = append(live, l.self)
	}
	slices.SortFunc(live, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// OtherNodes returns the last read rows of all other nodes, live or not, ordered by ID.
func (l *Lease) OtherNodes() []Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	var known []Node
	for id, m := range l.rows {
		if id != l.self.ID {
			known = append(known, m.node)
		}
	}
	slices.SortFunc(known, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	return known
}

// Dead reports whether the lease of an incarnation of a node has certainly expired. If its
// row still exists, guard is the condition that the row has not changed: a takeover must be
// written under it, since the node could renew its lease in the meantime.
func (l *Lease) Dead(id, incarnation string) (dead bool, guard []platform.Condition) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := incarnationKey{id, incarnation}
	s, ok := l.observed[k]
	if !ok {
		l.observed[k] = observation{changedAt: now}
		return false, nil
	}
	if now.Sub(s.changedAt) < l.opts.TTL+l.opts.Margin {
		return false, nil
	}
	if m, ok := l.rows[id]; ok && m.node.Incarnation == incarnation {
		guard = []platform.Condition{{Table: TableNodes, Key: id, Version: m.version}}
	}
	return true, guard
}

// Resign gives up the lease and removes the node's row, at a planned stop.
func (l *Lease) Resign(ctx context.Context) error {
	l.mu.Lock()
	self, version := l.self, l.version
	// The zero time would mean that the lease was never held.
	l.heldUntil = time.Time{}.Add(1)
	l.mu.Unlock()
	_, err := l.table.Commit(ctx, platform.Txn{
		If:     []platform.Condition{{Table: TableNodes, Key: self.ID, Version: version}},
		Delete: []platform.Delete{{Table: TableNodes, Key: self.ID}},
	})
	if err != nil {
		return &Error{"resign", KindStore, err}
	}
	return nil
}
