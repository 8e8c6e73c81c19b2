// SPDX-License-Identifier: Apache-2.0

// Package lease keeps a node's lease in the platform's table and watches the
// leases of the other nodes.
//
// A node holds its lease while its own monotonic clock is below the time at
// which it sent the last successful renewal, plus the time to live, less a
// margin. Others judge it by watching its row stand still for the time to live
// plus the margin on their own clock. No two clocks are compared.
//
// A lease that lapsed and was renewed later has a new generation: what was
// owned under an older generation must be confirmed before it is used.
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

// Table is what the package uses of the table service.
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
	// Staged is the digest of the proposed bundle that the node holds ready.
	Staged string `json:"staged,omitempty"`
	// InForce is the bundle version that the node applies.
	InForce  int64 `json:"in_force"`
	Draining bool  `json:"draining,omitempty"`
	// Counter rises with every renewal.
	Counter int64 `json:"counter"`
}

// Options are the times of a lease.
type Options struct {
	TTL    time.Duration
	Margin time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// IgnoreExpiry takes the lease for held whatever the clock says, to show that
	// tests see it.
	IgnoreExpiry bool
}

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindReplaced is a lease whose row another process has taken or removed.
	KindReplaced Kind = "replaced"
	// KindStore is a call of the table service that failed.
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

// Lease is a node's own lease and its view of the others.
type Lease struct {
	table Table
	opts  Options
	log   *zap.Logger

	mu         sync.Mutex
	self       Node
	version    int64
	until      time.Time
	generation int64
	renewed    chan struct{}
	seen       map[seenKey]seen
	rows       map[string]member
	listed     time.Time
}

type seenKey struct{ id, incarnation string }

type seen struct {
	version int64
	changed time.Time
}

type member struct {
	node    Node
	version int64
}

// New returns a lease that is not held yet; the incarnation of self is set.
func New(table Table, self Node, opts Options, log *zap.Logger) *Lease {
	self.Incarnation = rand.Text()
	return &Lease{
		table:   table,
		opts:    opts,
		log:     log,
		self:    self,
		renewed: make(chan struct{}, 1),
		seen:    make(map[seenKey]seen),
		rows:    make(map[string]member),
	}
}

// Run renews the lease and reads the others' until ctx ends or the lease is replaced.
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
		case <-l.renewed:
		}
	}
}

// RenewSoon makes Run renew at once, so that a change of the row is seen soon.
func (l *Lease) RenewSoon() {
	select {
	case l.renewed <- struct{}{}:
	default:
	}
}

// Renew writes the node's row once.
func (l *Lease) Renew(ctx context.Context) error {
	l.mu.Lock()
	first := l.version == 0
	l.mu.Unlock()
	if first {
		if err := l.claim(ctx); err != nil {
			return err
		}
	}
	l.mu.Lock()
	l.self.Counter++
	self, version := l.self, l.version
	l.mu.Unlock()
	sent := time.Now()
	res, err := l.write(ctx, self, version)
	if err != nil {
		return &Error{"renew", KindStore, err}
	}
	if !res.Committed {
		return l.settle(res.Mismatch)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = res.Versions[0]
	if !l.until.IsZero() && !time.Now().Before(l.until) {
		l.generation++
		l.log.Warn("lease lapsed", events.LeaseExpired, zap.Int64("generation", l.generation))
	}
	l.until = sent.Add(l.opts.TTL - l.opts.Margin)
	return nil
}

// claim learns the version of the row that an earlier process of this id left.
func (l *Lease) claim(ctx context.Context) error {
	row, err := l.table.Get(ctx, TableNodes, l.self.ID)
	if err != nil {
		return &Error{"claim", KindStore, err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = row.Version
	return nil
}

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

// settle handles a renewal whose condition failed: by a lost reply of our own,
// or because another process has taken the row.
func (l *Lease) settle(mismatch []platform.Row) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n Node
	row := mismatch[0]
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &n); err != nil {
			return &Error{"renew", KindReplaced, err}
		}
	}
	held := !l.until.IsZero()
	if n.Incarnation == l.self.Incarnation || !held {
		l.version = row.Version
		l.RenewSoon()
		return &Error{"renew", KindStore, errors.New("the row has moved; trying again")}
	}
	l.until = time.Time{}.Add(1)
	return &Error{"renew", KindReplaced, errors.Errorf("row of %s is held by incarnation %q", l.self.ID, n.Incarnation)}
}

// Refresh reads the rows of all nodes once.
func (l *Lease) Refresh(ctx context.Context) error {
	rows, err := l.table.List(ctx, TableNodes, "")
	if err != nil {
		return &Error{"refresh", KindStore, err}
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = now
	l.rows = make(map[string]member, len(rows))
	for _, row := range rows {
		var n Node
		if err := json.Unmarshal(row.Value, &n); err != nil {
			return &Error{"refresh", KindStore, err}
		}
		l.rows[n.ID] = member{n, row.Version}
		k := seenKey{n.ID, n.Incarnation}
		if s, ok := l.seen[k]; !ok || s.version != row.Version {
			l.seen[k] = seen{row.Version, now}
		}
	}
	l.forgetLocked(now)
	return nil
}

// forgetLocked drops incarnations that have been gone for long.
func (l *Lease) forgetLocked(now time.Time) {
	const keep = 100
	for k, s := range l.seen {
		if m, ok := l.rows[k.id]; ok && m.node.Incarnation == k.incarnation {
			continue
		}
		if now.Sub(s.changed) > keep*l.opts.TTL {
			delete(l.seen, k)
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
	return time.Now().Before(l.until) || (l.opts.IgnoreExpiry && l.version != 0)
}

// Generation returns the lease's generation, and whether the lease is held.
func (l *Lease) Generation() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation, l.heldLocked()
}

// LapsedFor returns how long ago the lease lapsed; 0 while it is held.
func (l *Lease) LapsedFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, time.Since(l.until))
}

// Self returns the node's own row.
func (l *Lease) Self() Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self
}

// SetBundleState publishes the bundle that the node has staged and the version that it applies.
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

// Live returns the nodes whose row moved within the time to live plus the margin, by id.
func (l *Lease) Live() []Node {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var live []Node
	for id, m := range l.rows {
		s := l.seen[seenKey{id, m.node.Incarnation}]
		if id != l.self.ID && now.Sub(s.changed) < l.opts.TTL+l.opts.Margin {
			live = append(live, m.node)
		}
	}
	if now.Before(l.until) {
		live = append(live, l.self)
	}
	slices.SortFunc(live, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// OtherNodes returns every node as last read, live or not, but for this one.
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

// Dead reports whether an incarnation's lease has certainly lapsed. While its
// row is still there, guard is the condition under which that stays true.
func (l *Lease) Dead(id, incarnation string) (dead bool, guard []platform.Condition) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := seenKey{id, incarnation}
	s, ok := l.seen[k]
	if !ok {
		l.seen[k] = seen{changed: now}
		return false, nil
	}
	if now.Sub(s.changed) < l.opts.TTL+l.opts.Margin {
		return false, nil
	}
	if m, ok := l.rows[id]; ok && m.node.Incarnation == incarnation {
		guard = []platform.Condition{{Table: TableNodes, Key: id, Version: m.version}}
	}
	return true, guard
}

// Resign removes the node's row at a planned stop.
func (l *Lease) Resign(ctx context.Context) error {
	l.mu.Lock()
	self, version := l.self, l.version
	l.until = time.Time{}.Add(1)
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
