// SPDX-License-Identifier: Apache-2.0

// Package journal keeps the durable records of job shards as rows of the
// platform's table, many records a write.
//
// All shards of a node share one Committer, which gathers the records that
// became due while the last write was under way and writes them in one
// transaction. Each shard's part is conditional on the shard's row, which moves
// with its epoch, and on its sequence number being free. A lost reply is
// settled by sending the same transaction again and reading the rows back,
// never by guessing.
//
// # Usage
//
//	c := journal.New(table, objects, journal.Options{MinWriteInterval: 25 * time.Millisecond}, log)
//	s, rec, err := c.Open(ctx, grant)
//	p, err := c.Append(s, records...) // in order; does not wait
//	err = p.Wait(ctx)                 // nil: kept safe
package journal

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/platform"
)

const (
	// TableJournal is the table with a row for each batch of records of a shard.
	TableJournal = "journal"
	// TableSnapshots is the table that names each shard's newest snapshot.
	TableSnapshots = "snapshots"
	tableShards    = "shards"

	maxPending     = 20_000
	maxBatch       = 2_000
	firstRetryWait = 50 * time.Millisecond
	maxRetryWait   = time.Second
)

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindUnavailable is an append refused because the store does not take writes now.
	KindUnavailable Kind = "unavailable"
	// KindFenced is a shard that has gone to another owner; the records may be kept or not.
	KindFenced Kind = "fenced"
	// KindCorrupt is a journal that can't be read.
	KindCorrupt Kind = "corrupt"
	// KindStore is a read of the store that failed.
	KindStore Kind = "store"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("journal: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of this package and of a kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// Table is what the package uses of the table service.
type Table interface {
	Commit(ctx context.Context, t platform.Txn) (platform.TxnResult, error)
	Get(ctx context.Context, table, key string) (platform.Row, error)
	List(ctx context.Context, table, prefix string) ([]platform.Row, error)
}

// Objects is what the package uses of the object store.
type Objects interface {
	PutObject(ctx context.Context, key string, data []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
}

// Options are the settings of a Committer.
type Options struct {
	// MinWriteInterval is the least time between two writes, which bounds the writes a second.
	MinWriteInterval time.Duration
	// DownAfter is how long a write may fail before appends are refused at once.
	DownAfter time.Duration
	// SkipConditions leaves the conditions out, to show that tests see it.
	SkipConditions bool
}

// Batch is the value of a journal row.
type Batch struct {
	Epoch   int64             `json:"epoch"`
	Token   string            `json:"token"`
	Records []json.RawMessage `json:"records"`
}

// Counts tells what a Committer has written.
type Counts struct {
	Writes  int64
	Records int64
}

// Committer writes the records of all shards of a node.
type Committer struct {
	table   Table
	objects Objects
	opts    Options
	log     *zap.Logger
	wake    chan struct{}

	mu       sync.Mutex
	pending  []*Pending
	failing  time.Time
	counts   Counts
	lastSent time.Time
}

// Stream is the journal of one shard under one epoch.
type Stream struct {
	key     string
	epoch   int64
	version int64

	mu     sync.Mutex
	next   int64
	fenced bool
	// first is the oldest sequence number that has not been trimmed.
	first int64
	// snapshot is the version of the shard's snapshot row, and object its object.
	snapshot int64
	object   string
}

// Pending is a set of records on its way to the table.
type Pending struct {
	stream  *Stream
	records []json.RawMessage
	done    chan struct{}
	err     error
	// seq is the batch that holds the records, and end how many of its records
	// come before or are the last of them.
	seq int64
	end int
}

// Wait waits until the records are kept safe.
func (p *Pending) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done is closed when the records are kept safe or fenced; Err tells which.
func (p *Pending) Done() <-chan struct{} { return p.done }

// Err returns what became of the records, after Done.
func (p *Pending) Err() error { return p.err }

// New returns a Committer; Run must be running for records to be written.
func New(table Table, objects Objects, opts Options, log *zap.Logger) *Committer {
	return &Committer{table: table, objects: objects, opts: opts, log: log, wake: make(chan struct{}, 1)}
}

// Append queues records of s in order; Wait on the result tells when they are kept.
func (c *Committer) Append(s *Stream, records ...json.RawMessage) (*Pending, error) {
	s.mu.Lock()
	fenced := s.fenced
	s.mu.Unlock()
	if fenced {
		return nil, &Error{"append", KindFenced, errors.New(s.key)}
	}
	p := &Pending{stream: s, records: records, done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.downLocked() {
		return nil, &Error{"append", KindUnavailable, errors.New("the store does not take writes")}
	}
	if len(c.pending) >= maxPending {
		return nil, &Error{"append", KindUnavailable, errors.New("too many records wait for the store")}
	}
	c.pending = append(c.pending, p)
	c.signal()
	return p, nil
}

// Down reports whether appends are refused because the store does not take writes.
func (c *Committer) Down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.downLocked()
}

func (c *Committer) downLocked() bool {
	return !c.failing.IsZero() && time.Since(c.failing) >= c.opts.DownAfter
}

// Counts returns what has been written so far.
func (c *Committer) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

func (c *Committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run writes what is queued until ctx ends.
func (c *Committer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
		if !pause(ctx, time.Until(c.lastSent.Add(c.opts.MinWriteInterval))) {
			return nil
		}
		for batch := c.take(); len(batch) > 0; batch = c.take() {
			c.lastSent = time.Now()
			c.write(ctx, batch)
			if ctx.Err() != nil || !pause(ctx, time.Until(c.lastSent.Add(c.opts.MinWriteInterval))) {
				return nil
			}
		}
	}
}

func (c *Committer) take() []*Pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.pending), maxBatch)
	batch := c.pending[:n:n]
	c.pending = c.pending[n:]
	return batch
}

// part is what one shard contributes to a transaction.
type part struct {
	stream *Stream
	seq    int64
	items  []*Pending
	value  json.RawMessage
}

// write brings a batch to a definite end: kept, or fenced.
func (c *Committer) write(ctx context.Context, batch []*Pending) {
	token := rand.Text()
	parts := split(batch, token)
	wait := firstRetryWait
	for len(parts) > 0 {
		res, err := c.table.Commit(ctx, c.txn(parts))
		c.noteReply(err)
		if err == nil && res.Committed {
			c.finish(parts)
			return
		}
		if err == nil {
			parts = c.resolve(parts, res.Mismatch, token)
			continue
		}
		if !pause(ctx, wait) {
			c.abandon(parts)
			return
		}
		wait = min(2*wait, maxRetryWait)
	}
}

func split(batch []*Pending, token string) []*part {
	byStream := make(map[*Stream]*part)
	var parts []*part
	for _, p := range batch {
		pt, ok := byStream[p.stream]
		if !ok {
			pt = &part{stream: p.stream}
			byStream[p.stream] = pt
			parts = append(parts, pt)
		}
		pt.items = append(pt.items, p)
	}
	for _, pt := range parts {
		pt.seal(token)
	}
	return parts
}

// seal gives the part its sequence number and its unchangeable value.
func (pt *part) seal(token string) {
	b := Batch{Epoch: pt.stream.epoch, Token: token}
	pt.stream.mu.Lock()
	pt.seq = pt.stream.next
	pt.stream.mu.Unlock()
	for _, p := range pt.items {
		b.Records = append(b.Records, p.records...)
		p.seq, p.end = pt.seq, len(b.Records)
	}
	// The records are valid JSON already, so that this can't fail.
	pt.value, _ = json.Marshal(b)
}

func (c *Committer) txn(parts []*part) platform.Txn {
	var t platform.Txn
	for _, pt := range parts {
		key := rowKey(pt.stream.key, pt.seq)
		if !c.opts.SkipConditions {
			t.If = append(t.If,
				platform.Condition{Table: tableShards, Key: pt.stream.key, Version: pt.stream.version},
				platform.Condition{Table: TableJournal, Key: key})
		}
		t.Put = append(t.Put, platform.Put{Table: TableJournal, Key: key, Value: pt.value})
	}
	return t
}

// resolve drops the parts that are fenced, and finishes all when the write is
// found to have taken effect before.
func (c *Committer) resolve(parts []*part, mismatch []platform.Row, token string) []*part {
	moved := make(map[string]bool)
	for _, row := range mismatch {
		if row.Table == TableJournal && tokenOf(row) == token {
			c.finish(parts)
			return nil
		}
		moved[row.Table+"\x00"+row.Key] = true
	}
	var rest []*part
	for _, pt := range parts {
		if moved[tableShards+"\x00"+pt.stream.key] || moved[TableJournal+"\x00"+rowKey(pt.stream.key, pt.seq)] {
			c.fence(pt)
			continue
		}
		rest = append(rest, pt)
	}
	return rest
}

func tokenOf(row platform.Row) string {
	var b Batch
	if json.Unmarshal(row.Value, &b) != nil {
		return ""
	}
	return b.Token
}

func (c *Committer) fence(pt *part) {
	c.log.Warn("shard fenced", events.JournalFenced, zap.String("shard", pt.stream.key), zap.Int64("epoch", pt.stream.epoch))
	pt.stream.mu.Lock()
	pt.stream.fenced = true
	pt.stream.mu.Unlock()
	settle(pt, &Error{"write", KindFenced, errors.New(pt.stream.key)})
}

func (c *Committer) finish(parts []*part) {
	c.mu.Lock()
	c.counts.Writes++
	for _, pt := range parts {
		for _, p := range pt.items {
			c.counts.Records += int64(len(p.records))
		}
	}
	c.mu.Unlock()
	for _, pt := range parts {
		pt.stream.mu.Lock()
		pt.stream.next = pt.seq + 1
		pt.stream.mu.Unlock()
		settle(pt, nil)
	}
}

func (c *Committer) abandon(parts []*part) {
	for _, pt := range parts {
		settle(pt, &Error{"write", KindFenced, errors.New("stopped")})
	}
}

func settle(pt *part, err error) {
	for _, p := range pt.items {
		p.err = err
		close(p.done)
	}
}

// noteReply notes whether the store answers; any answer ends a failure, also
// one that fences the whole batch.
func (c *Committer) noteReply(err error) {
	c.mu.Lock()
	first := err != nil && c.failing.IsZero()
	switch {
	case err == nil:
		c.failing = time.Time{}
	case first:
		c.failing = time.Now()
	}
	c.mu.Unlock()
	if first {
		c.log.Warn("journal waits for the store", events.JournalBlocked, zap.Error(err))
	}
}

func rowKey(shard string, seq int64) string { return fmt.Sprintf("%s/%012d", shard, seq) }

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
