// SPDX-License-Identifier: Apache-2.0

// Package journal stores the durable records of job shards as rows of the
// platform's table and batches many records into each write.
//
// All shards of a node share one Committer. It collects the records that are
// appended while a write is in flight and writes them in one transaction. Each
// shard's part of the transaction is conditional on the version of the shard's
// row, which changes with the shard's epoch, and on the batch's sequence number
// being unused. When a reply is lost, the Committer sends the same transaction
// again and compares the rows it gets back with its own, so that it never has
// to guess whether the write took effect.
//
// # Usage
//
//	c := journal.New(table, objects, journal.Options{MinWriteInterval: 25 * time.Millisecond}, log)
//	s, rec, err := c.Open(ctx, key, epoch, version)
//	p, err := c.Append(s, records...) // in order; does not wait
//	err = p.Wait(ctx)                 // nil: the records are durable
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
	// TableJournal is the table with one row for each batch of a shard's records.
	TableJournal = "journal"
	// TableSnapshots is the table with a row that names each shard's newest snapshot.
	TableSnapshots = "snapshots"
	tableShards    = "shards"

	maxPendingAppends  = 20_000
	maxAppendsPerWrite = 2_000
	firstRetryWait     = 50 * time.Millisecond
	maxRetryWait       = time.Second
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindUnavailable means that an append was refused because the store does not accept writes.
	KindUnavailable Kind = "unavailable"
	// KindFenced means that another node owns the shard now, or that the Committer was
	// stopped. The records may or may not have been stored.
	KindFenced Kind = "fenced"
	// KindCorrupt means that the stored journal or snapshot can't be decoded or has a gap.
	KindCorrupt Kind = "corrupt"
	// KindStore means that a call to the store failed or that a snapshot was not stored.
	KindStore Kind = "store"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("journal: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of this package with the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// Table is the part of the table service that this package uses.
type Table interface {
	Commit(ctx context.Context, t platform.Txn) (platform.TxnResult, error)
	Get(ctx context.Context, table, key string) (platform.Row, error)
	List(ctx context.Context, table, prefix string) ([]platform.Row, error)
}

// Objects is the part of the object store that this package uses.
type Objects interface {
	PutObject(ctx context.Context, key string, data []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
}

// Options are the settings of a Committer.
type Options struct {
	// MinWriteInterval is the minimum time between two writes. It limits the write rate.
	MinWriteInterval time.Duration
	// DownAfter is how long writes must fail before appends are refused immediately.
	DownAfter time.Duration
	// SkipConditions omits the conditions of transactions. Tests set it to verify that
	// they detect the missing safeguard.
	SkipConditions bool
}

// Batch is the value of a journal row. The token identifies the write, so that a
// Committer recognizes its own row after a lost reply.
type Batch struct {
	Epoch   int64             `json:"epoch"`
	Token   string            `json:"token"`
	Records []json.RawMessage `json:"records"`
}

// Counts holds the numbers of writes and records that a Committer has stored.
type Counts struct {
	Writes  int64
	Records int64
}

// Committer writes the journal records of all shards of a node.
type Committer struct {
	table   Table
	objects Objects
	opts    Options
	log     *zap.Logger
	wake    chan struct{}

	mu           sync.Mutex
	pending      []*Pending
	failingSince time.Time // when the current series of failed writes began; zero if none
	counts       Counts
	lastSent     time.Time
}

// Stream is the journal of one shard under one epoch.
type Stream struct {
	key   string
	epoch int64
	// version is that of the shard's row.
	version int64

	mu     sync.Mutex
	next   int64 // sequence number of the next batch
	fenced bool
	// first is the oldest sequence number that has not been trimmed.
	first int64
	// snapshot is the version of the shard's snapshot row; object is the key of the
	// object with the snapshot's data.
	snapshot int64
	object   string
}

// Pending is a set of appended records that may not have been stored yet.
type Pending struct {
	stream  *Stream
	records []json.RawMessage
	done    chan struct{}
	err     error
	// seq is the sequence number of the batch that holds the records; end is the index
	// in that batch just after the last of them.
	seq int64
	end int
}

// Wait blocks until the records are durable or have failed.
func (p *Pending) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done returns a channel that is closed when the records are durable or fenced; Err
// tells which.
func (p *Pending) Done() <-chan struct{} { return p.done }

// Err returns the result of the write: nil if the records are durable. It may be
// called only after Done is closed.
func (p *Pending) Err() error { return p.err }

// New returns a Committer. It writes records only while Run is running.
func New(table Table, objects Objects, opts Options, log *zap.Logger) *Committer {
	return &Committer{table: table, objects: objects, opts: opts, log: log, wake: make(chan struct{}, 1)}
}

// Append queues records of s in order. Wait on the result blocks until they are durable.
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
	if len(c.pending) >= maxPendingAppends {
		return nil, &Error{"append", KindUnavailable, errors.New("too many records wait for the store")}
	}
	c.pending = append(c.pending, p)
	c.wakeWriter()
	return p, nil
}

// Down reports whether appends are refused because the store does not accept writes.
func (c *Committer) Down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.downLocked()
}

func (c *Committer) downLocked() bool {
	return !c.failingSince.IsZero() && time.Since(c.failingSince) >= c.opts.DownAfter
}

// Counts returns the numbers of writes and records stored so far.
func (c *Committer) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// wakeWriter wakes Run; it never blocks.
func (c *Committer) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run writes queued records until ctx ends.
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
		for batch := c.takePending(); len(batch) > 0; batch = c.takePending() {
			c.lastSent = time.Now()
			c.writeBatch(ctx, batch)
			if ctx.Err() != nil || !pause(ctx, time.Until(c.lastSent.Add(c.opts.MinWriteInterval))) {
				return nil
			}
		}
	}
}

// takePending removes up to maxAppendsPerWrite appends from the queue.
func (c *Committer) takePending() []*Pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.pending), maxAppendsPerWrite)
	batch := c.pending[:n:n]
	c.pending = c.pending[n:]
	return batch
}

// part is one shard's share of a transaction.
type part struct {
	stream *Stream
	seq    int64
	items  []*Pending
	value  json.RawMessage
}

// writeBatch retries a batch until each of its parts is stored, fenced, or abandoned
// because ctx ended.
func (c *Committer) writeBatch(ctx context.Context, batch []*Pending) {
	token := rand.Text()
	parts := groupByShard(batch, token)
	wait := firstRetryWait
	for len(parts) > 0 {
		res, err := c.table.Commit(ctx, c.buildTxn(parts))
		c.trackOutage(err)
		if err == nil && res.Committed {
			c.finishParts(parts)
			return
		}
		if err == nil {
			parts = c.resolveMismatch(parts, res.Mismatch, token)
			continue
		}
		if !pause(ctx, wait) {
			c.abandonParts(parts)
			return
		}
		wait = min(2*wait, maxRetryWait)
	}
}

// groupByShard groups a batch by shard.
func groupByShard(batch []*Pending, token string) []*part {
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

// seal fixes the part's sequence number and value, which stay the same in every retry.
func (pt *part) seal(token string) {
	b := Batch{Epoch: pt.stream.epoch, Token: token}
	pt.stream.mu.Lock()
	pt.seq = pt.stream.next
	pt.stream.mu.Unlock()
	for _, p := range pt.items {
		b.Records = append(b.Records, p.records...)
		p.seq, p.end = pt.seq, len(b.Records)
	}
	// The records are valid JSON already, so this can't fail.
	pt.value, _ = json.Marshal(b)
}

func (c *Committer) buildTxn(parts []*part) platform.Txn {
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

// resolveMismatch handles a transaction whose conditions failed. If a mismatching journal row
// carries the batch's own token, an earlier try has taken effect and all parts are done.
// Otherwise it fences the parts whose rows have changed and returns the rest for a retry.
func (c *Committer) resolveMismatch(parts []*part, mismatch []platform.Row, token string) []*part {
	changed := make(map[string]bool)
	for _, row := range mismatch {
		if row.Table == TableJournal && tokenOf(row) == token {
			c.finishParts(parts)
			return nil
		}
		changed[row.Table+"\x00"+row.Key] = true
	}
	var rest []*part
	for _, pt := range parts {
		if changed[tableShards+"\x00"+pt.stream.key] || changed[TableJournal+"\x00"+rowKey(pt.stream.key, pt.seq)] {
			c.fencePart(pt)
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

// fencePart fails a part and all later appends to its stream.
func (c *Committer) fencePart(pt *part) {
	c.log.Warn("shard fenced", events.JournalFenced, zap.String("shard", pt.stream.key), zap.Int64("epoch", pt.stream.epoch))
	pt.stream.mu.Lock()
	pt.stream.fenced = true
	pt.stream.mu.Unlock()
	completePart(pt, &Error{"write", KindFenced, errors.New(pt.stream.key)})
}

// finishParts counts stored parts and completes their appends.
func (c *Committer) finishParts(parts []*part) {
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
		completePart(pt, nil)
	}
}

// abandonParts fails parts whose outcome is unknown because the Committer is stopping.
func (c *Committer) abandonParts(parts []*part) {
	for _, pt := range parts {
		completePart(pt, &Error{"write", KindFenced, errors.New("stopped")})
	}
}

// completePart reports the result to everyone who waits for the part's appends.
func completePart(pt *part, err error) {
	for _, p := range pt.items {
		p.err = err
		close(p.done)
	}
}

// trackOutage records whether the store answers. Any answer ends an outage, also one
// that fences the whole batch.
func (c *Committer) trackOutage(err error) {
	c.mu.Lock()
	first := err != nil && c.failingSince.IsZero()
	switch {
	case err == nil:
		c.failingSince = time.Time{}
	case first:
		c.failingSince = time.Now()
	}
	c.mu.Unlock()
	if first {
		c.log.Warn("journal waits for the store", events.JournalBlocked, zap.Error(err))
	}
}

// rowKey returns a batch's key. The zero padding makes keys sort by sequence number.
func rowKey(shard string, seq int64) string { return fmt.Sprintf("%s/%012d", shard, seq) }

// pause waits for d and reports whether ctx is still active.
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
