// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/internal/directory"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

// Where a service has several shards, one node reads the workers' directory for the owners of
// all of them: 6,000 workers that announce themselves every 2 s are 1.2 MB a second, for each
// that reads them. An owner that gets no answer reads the directory itself for a while.

const (
	// directoryWait is how long one call of the directory's feed waits for a change.
	directoryWait = time.Second
	// directoryRelistAfter is the time after a list from which a feed without a change makes the
	// directory be listed again: all workers may announce themselves at the same moment.
	directoryRelistAfter = 5 * time.Second
	// maxDirectoryAge is the age from which a node's copy is too old for the owners: they take
	// the directory for unread after 2 s.
	maxDirectoryAge = directoryWait + directory.MaxPause
	// directoryIdleTime is how long a node reads the directory after the last owner has asked.
	directoryIdleTime = 15 * time.Second
	// directoryPollInterval is how often an owner's call looks whether the copy is there.
	directoryPollInterval = 20 * time.Millisecond
	// directReadTime is how long an owner reads the directory itself after it got no answer.
	directReadTime = 3 * time.Second
)

// directoryRequest asks for what has changed in the directory for a shard.
type directoryRequest struct {
	Shard cluster.ShardID `json:"shard"`
	// After is the cursor of the last answer. List asks for all rows of the shard instead.
	After  directory.Cursor `json:"after"`
	List   bool             `json:"list,omitempty"`
	WaitMS int64            `json:"wait_ms,omitempty"`
}

// directoryReply holds rows of a shard and the cursor after them.
type directoryReply struct {
	Rows   []tables.Row     `json:"rows,omitempty"`
	Cursor directory.Cursor `json:"cursor"`
}

// directoryReader reads the directory for owners, from the first call on and until none has
// called for a while.
type directoryReader struct {
	mu      sync.Mutex
	mirror  *directory.Mirror
	askedAt time.Time
}

// start returns the copy of the directory, and starts to read it if nobody has asked lately.
func (r *directoryReader) start(n *Node) *directory.Mirror {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askedAt = time.Now()
	if r.mirror != nil {
		return r.mirror
	}
	m := directory.New(newIncarnation(), n.Directory.Worker)
	r.mirror = m
	n.group.Go(func() error { n.readDirectory(m); return nil })
	return m
}

// reads returns 1 while this node reads the directory for owners, and 0 otherwise.
func (r *directoryReader) reads() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mirror == nil {
		return 0
	}
	return 1
}

// stopIfIdle forgets the copy if no owner has asked for it lately.
func (r *directoryReader) stopIfIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.askedAt) < directoryIdleTime {
		return false
	}
	r.mirror = nil
	return true
}

// readDirectory follows the directory until no owner has asked for it for a while.
func (n *Node) readDirectory(m *directory.Mirror) {
	ctx, stop := context.WithCancel(n.ctx)
	defer stop()
	n.Log.Info("reading the directory for owners", events.DirectoryReading, zap.Bool("reading", true))
	f := tables.Follower{
		Service: n.store, Table: n.Directory.Table(), Parts: []string{""}, FeedWait: directoryWait, RelistAfter: directoryRelistAfter,
		OnError: n.logReadFailure(n.Directory.Table()),
		OnCurrent: func() {
			m.Confirm(time.Now())
			if n.directory.stopIfIdle() {
				stop()
			}
		},
	}
	f.Apply = func(rows []tables.Row, full bool) {
		version := f.ListedVersion()
		if full {
			f.Pause = directory.Pause(len(rows))
		}
		for _, r := range rows {
			if !full {
				version = max(version, r.Version)
			}
		}
		m.Apply(rows, full, version)
	}
	f.Run(ctx)
	n.Log.Info("no owner asks for the directory", events.DirectoryReading, zap.Bool("reading", false))
}

// handleDirectory answers an owner once there is something new for its shard.
func (n *Node) handleDirectory(ctx context.Context, req directoryRequest) (storeReply[directoryReply], error) {
	layout, ok := n.layout(req.Shard.Service)
	if !ok || n.Draining() || !n.relay.DirectAvailable() {
		return storeReplyOf(directoryReply{}, errStoreDown("directory")), nil
	}
	accept := func(p directory.Place) bool { return acceptsPlace(req.Shard, &layout, p) }
	return storeReplyOf(awaitDirectory(ctx, n.directory.start(n), accept, req)), nil
}

// acceptsPlace reports whether a shard's owner is told of an entry. That of the first shard also
// gets the entries that have never named a valid worker, so that they are reported once.
func acceptsPlace(shard cluster.ShardID, layout *cluster.Layout, p directory.Place) bool {
	if p == (directory.Place{}) {
		return shard.Index == 0
	}
	return p.Service == shard.Service && layout.ShardOf(p.Rack) == shard.Index
}

// awaitDirectory waits until a copy of the directory is current and has something new.
func awaitDirectory(ctx context.Context, m *directory.Mirror, accept func(directory.Place) bool, req directoryRequest) (directoryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond)
	defer cancel()
	for {
		changed := m.Changed()
		reply, ready, err := readMirror(m, accept, req)
		if err != nil || ready {
			return reply, err
		}
		current := reply.Cursor.Mirror != ""
		if waitForChange(ctx, changed, current) {
			continue
		}
		if !current {
			err = &tables.Error{Op: "directory", Kind: tables.KindRefused, Err: errors.New("the directory is not read yet")}
		}
		return reply, err
	}
}

// waitForChange waits for a change, and returns false if ctx ends first. A copy that isn't current is
// looked at again soon.
func waitForChange(ctx context.Context, changed <-chan struct{}, current bool) bool {
	pause := directoryPollInterval
	if current {
		pause = directoryWait
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// readMirror reads what a call asks for; ready is false while there is nothing new, or the copy
// is too old, in which case the cursor is empty.
func readMirror(m *directory.Mirror, accept func(directory.Place) bool, req directoryRequest) (reply directoryReply, ready bool, err error) {
	if age, read := m.Age(time.Now()); !read || age > maxDirectoryAge {
		return directoryReply{}, false, nil
	}
	if req.List {
		rows, cursor := m.List(accept)
		if cursor.Version < req.After.Version {
			return directoryReply{}, false, nil
		}
		return directoryReply{rows, cursor}, true, nil
	}
	rows, cursor, err := m.Changes(accept, req.After)
	if err != nil {
		return directoryReply{}, false, &tables.Error{Op: "directory", Kind: tables.KindHistoryGone, Err: err}
	}
	return directoryReply{rows, cursor}, len(rows) > 0, nil
}

// shardDirectory is the directory as the owner of one shard reads it: from the node that reads
// it for all of them, or from the store.
type shardDirectory struct {
	n     *Node
	shard cluster.ShardID
	store tables.Service

	mu sync.Mutex
	// cursor is that of the last answer of a reader, and version the one from which the owner
	// goes on after it; 0: the last answer came from the store.
	cursor  directory.Cursor
	version int64
	// directUntil is until when the owner reads the store.
	directUntil time.Time
}

// List reads all rows of the shard, or of the whole table.
func (d *shardDirectory) List(ctx context.Context, req tables.ListRequest) (tables.ListResult, error) {
	if reader, ok := d.reader(); ok && req.From == "" {
		reply, err := d.ask(ctx, reader, directoryRequest{Shard: d.shard, List: true, After: directory.Cursor{Version: d.readUpTo()}, WaitMS: proxyTimeout.Milliseconds()})
		if err == nil {
			d.remember(reply.Cursor, reply.Cursor.Version)
			return tables.ListResult{Rows: reply.Rows, Version: reply.Cursor.Version}, nil
		}
	}
	d.remember(directory.Cursor{}, 0)
	return d.store.List(ctx, req)
}

// Feed waits for changes after a version.
func (d *shardDirectory) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	reader, ok := d.reader()
	cursor, fromReader := d.cursorFor(req.After)
	if !ok {
		d.remember(directory.Cursor{}, 0)
		return d.store.Feed(ctx, req)
	}
	if !fromReader {
		return tables.FeedResult{}, &tables.Error{Op: "directory", Kind: tables.KindHistoryGone, Err: errors.New("the directory is read by another node now")}
	}
	reply, err := d.ask(ctx, reader, directoryRequest{Shard: d.shard, After: cursor, WaitMS: min(req.Wait, directoryWait).Milliseconds()})
	if err != nil && tables.KindOf(err) == tables.KindHistoryGone {
		return tables.FeedResult{}, err
	}
	if err != nil {
		// The owner's version doesn't rise while nothing changes in its shard, and the table's
		// history may not reach back to it.
		req.After = max(req.After, cursor.Version)
		d.remember(directory.Cursor{}, 0)
		return d.store.Feed(ctx, req)
	}
	next := req.After
	if len(reply.Rows) > 0 {
		next = reply.Cursor.Version
	}
	d.remember(reply.Cursor, next)
	return tables.FeedResult{Rows: reply.Rows, Version: next}, nil
}

// reader returns the node that reads the directory for the owners; ok is false if this owner
// reads it itself.
func (d *shardDirectory) reader() (m member, ok bool) {
	if layout, known := d.n.layout(d.shard.Service); !known || layout.Shards <= 1 {
		return m, false
	}
	d.mu.Lock()
	direct := time.Now().Before(d.directUntil)
	d.mu.Unlock()
	if direct {
		return m, false
	}
	return d.n.firstCandidate(d.n.Directory.Table())
}

// ask calls the reader. After a failure the owner reads the store for a while.
func (d *shardDirectory) ask(ctx context.Context, reader member, req directoryRequest) (directoryReply, error) {
	c, cancel := conns.WithStallTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond+proxyTimeout)
	defer cancel()
	reply, err := d.call(c, reader, req)
	if err == nil || tables.KindOf(err) == tables.KindHistoryGone || ctx.Err() != nil {
		return reply, err
	}
	d.n.Log.Info("owner reads the directory itself", events.DirectoryDirect, zap.Stringer("shard", d.shard), zap.String("reader", reader.Name), zap.Error(err))
	d.n.probeFailedHelper(reader.Name)
	d.mu.Lock()
	d.directUntil = time.Now().Add(directReadTime)
	d.mu.Unlock()
	return reply, err
}

// call calls the reader, which may be this node.
func (d *shardDirectory) call(ctx context.Context, reader member, req directoryRequest) (directoryReply, error) {
	if reader.Name != d.n.me.Name {
		return callRelay[directoryRequest, directoryReply](ctx, peerRelay{d.n.peers, reader.Address}, pathDirectory, req)
	}
	reply, err := d.n.handleDirectory(ctx, req)
	if err != nil {
		return directoryReply{}, err
	}
	return reply.result()
}

// remember records from where the owner goes on.
func (d *shardDirectory) remember(cursor directory.Cursor, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cursor, d.version = cursor, version
}

// cursorFor returns the reader's cursor for a version; ok is false if the version did not come
// from a reader.
func (d *shardDirectory) cursorFor(version int64) (cursor directory.Cursor, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cursor, d.cursor.Mirror != "" && d.version == version
}

// readUpTo returns the version up to which a reader has answered.
func (d *shardDirectory) readUpTo() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cursor.Version
}
