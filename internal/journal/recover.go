// SPDX-License-Identifier: Apache-2.0

package journal

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/platform"
)

// snapshotRow is the value of a row that names the newest snapshot of a shard.
type snapshotRow struct {
	// Next is the first batch that the snapshot does not cover completely.
	Next int64 `json:"next"`
	// Skip is how many records of batch Next the snapshot does cover.
	Skip   int    `json:"skip"`
	Object string `json:"object"`
}

// Recovered is a shard's stored state.
type Recovered struct {
	// Snapshot is the newest snapshot, or nil if there is none.
	Snapshot []byte
	// Records are those that come after the snapshot, in order.
	Records []json.RawMessage
}

// Open reads the journal of a shard that this node owns under epoch. The version is that
// of the shard's row.
func (c *Committer) Open(ctx context.Context, key string, epoch, version int64) (*Stream, Recovered, error) {
	var rec Recovered
	s := &Stream{key: key, epoch: epoch, version: version, next: 1, first: 1}
	row, err := c.table.Get(ctx, TableSnapshots, key)
	if err != nil {
		return nil, rec, &Error{"open", KindStore, err}
	}
	var snap snapshotRow
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &snap); err != nil {
			return nil, rec, &Error{"open", KindCorrupt, err}
		}
		if rec.Snapshot, err = c.objects.GetObject(ctx, snap.Object); err != nil {
			return nil, rec, &Error{"open", KindStore, err}
		}
		s.next, s.first, s.snapshot, s.object = snap.Next, snap.Next, row.Version, snap.Object
	}
	rows, err := c.table.List(ctx, TableJournal, key+"/")
	if err != nil {
		return nil, rec, &Error{"open", KindStore, err}
	}
	if err := s.replay(rows, snap.Skip, &rec); err != nil {
		return nil, rec, err
	}
	return s, rec, nil
}

// replay collects the records after the snapshot, without the first skip of them, which
// the snapshot covers. A gap in the batch numbers means that the journal is corrupt.
func (s *Stream) replay(rows []platform.Row, skip int, rec *Recovered) error {
	for _, row := range rows {
		seq, err := strconv.ParseInt(row.Key[strings.LastIndexByte(row.Key, '/')+1:], 10, 64)
		if err != nil {
			return &Error{"open", KindCorrupt, err}
		}
		if seq < s.next {
			continue
		}
		if seq != s.next {
			return &Error{"open", KindCorrupt, errors.Errorf("%s: batch %d is missing", s.key, s.next)}
		}
		var b Batch
		if err := json.Unmarshal(row.Value, &b); err != nil {
			return &Error{"open", KindCorrupt, err}
		}
		rec.Records = append(rec.Records, b.Records...)
		s.next++
	}
	if skip < 0 || skip > len(rec.Records) {
		return &Error{"open", KindCorrupt, errors.Errorf("%s: batch %d is shorter than its snapshot says", s.key, s.first)}
	}
	rec.Records = rec.Records[skip:]
	return nil
}

// BatchesToTrim returns how many batches the next snapshot could delete.
func (s *Stream) BatchesToTrim() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next - s.first
}

// Snapshot stores data as the shard's state up to and including the records of last, and
// deletes the batches that it covers.
func (c *Committer) Snapshot(ctx context.Context, s *Stream, data []byte, last *Pending) error {
	if err := last.Wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	first, version, old := s.first, s.snapshot, s.object
	s.mu.Unlock()
	snap := snapshotRow{Next: last.seq, Skip: last.end}
	snap.Object = fmt.Sprintf("snapshot.%s.%d.%d.%d", strings.ReplaceAll(s.key, "/", "."), s.epoch, snap.Next, snap.Skip)
	if err := c.objects.PutObject(ctx, snap.Object, data); err != nil {
		return &Error{"snapshot", KindStore, err}
	}
	value, err := json.Marshal(snap)
	if err != nil {
		return &Error{"snapshot", KindCorrupt, err}
	}
	txn := platform.Txn{
		If: []platform.Condition{
			{Table: tableShards, Key: s.key, Version: s.version},
			{Table: TableSnapshots, Key: s.key, Version: version},
		},
		Put: []platform.Put{{Table: TableSnapshots, Key: s.key, Value: value}},
	}
	for seq := first; seq < snap.Next; seq++ {
		txn.Delete = append(txn.Delete, platform.Delete{Table: TableJournal, Key: rowKey(s.key, seq)})
	}
	res, err := c.table.Commit(ctx, txn)
	if err != nil {
		return &Error{"snapshot", KindStore, err}
	}
	if !res.Committed {
		return s.resolveSnapshot(res.Mismatch)
	}
	s.setSnapshot(res.Versions[0], snap)
	if old != "" && old != snap.Object {
		// An object that is not deleted only takes up space.
		_ = c.objects.DeleteObject(ctx, old)
	}
	return nil
}

// resolveSnapshot handles a snapshot whose conditions failed. Either an earlier write of
// this stream took effect although its reply was lost, in which case the stream adopts the
// stored row, or the shard has a new owner.
func (s *Stream) resolveSnapshot(mismatch []platform.Row) error {
	for _, row := range mismatch {
		var snap snapshotRow
		if row.Table != TableSnapshots || json.Unmarshal(row.Value, &snap) != nil {
			return &Error{"snapshot", KindFenced, errors.New(s.key)}
		}
		s.setSnapshot(row.Version, snap)
	}
	return &Error{"snapshot", KindStore, errors.New("the snapshot row has changed; the next snapshot replaces it")}
}

// setSnapshot records the newest stored snapshot.
func (s *Stream) setSnapshot(version int64, snap snapshotRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot, s.first, s.object = version, snap.Next, snap.Object
}
