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

// snapshotRow names the newest snapshot of a shard.
type snapshotRow struct {
	// Next is the first batch that the snapshot does not hold in whole.
	Next int64 `json:"next"`
	// Skip is how many records of batch Next it does hold.
	Skip   int    `json:"skip"`
	Object string `json:"object"`
}

// Recovered is a shard's state as the store has it.
type Recovered struct {
	// Snapshot is nil when there is none.
	Snapshot []byte
	Records  []json.RawMessage
}

// Open reads the journal of a shard that this node has taken under epoch;
// version is that of the shard's row.
func (c *Committer) Open(ctx context.Context, key string, epoch, version int64) (*Stream, Recovered, error) {
	var rec Recovered
	s := &Stream{key: key, epoch: epoch, version: version, next: 1, first: 1}
	row, err := c.table.Get(ctx, TableSnapshots, key)
	if err != nil {
		return nil, rec, &Error{"open", KindStore, err}
	}
	var sr snapshotRow
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &sr); err != nil {
			return nil, rec, &Error{"open", KindCorrupt, err}
		}
		if rec.Snapshot, err = c.objects.GetObject(ctx, sr.Object); err != nil {
			return nil, rec, &Error{"open", KindStore, err}
		}
		s.next, s.first, s.snapshot, s.object = sr.Next, sr.Next, row.Version, sr.Object
	}
	rows, err := c.table.List(ctx, TableJournal, key+"/")
	if err != nil {
		return nil, rec, &Error{"open", KindStore, err}
	}
	if err := s.replay(rows, sr.Skip, &rec); err != nil {
		return nil, rec, err
	}
	return s, rec, nil
}

// replay gathers the records behind the snapshot, leaving out the first skip of
// them; the batch numbers must have no gap.
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

// BatchesToTrim returns how many batches a snapshot would let go.
func (s *Stream) BatchesToTrim() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next - s.first
}

// Snapshot stores data as the state up to and with the records of last, and
// trims the batches that it covers.
func (c *Committer) Snapshot(ctx context.Context, s *Stream, data []byte, last *Pending) error {
	if err := last.Wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	first, version, old := s.first, s.snapshot, s.object
	s.mu.Unlock()
	sr := snapshotRow{Next: last.seq, Skip: last.end}
	sr.Object = fmt.Sprintf("snapshot.%s.%d.%d.%d", strings.ReplaceAll(s.key, "/", "."), s.epoch, sr.Next, sr.Skip)
	if err := c.objects.PutObject(ctx, sr.Object, data); err != nil {
		return &Error{"snapshot", KindStore, err}
	}
	value, err := json.Marshal(sr)
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
	for seq := first; seq < sr.Next; seq++ {
		txn.Delete = append(txn.Delete, platform.Delete{Table: TableJournal, Key: rowKey(s.key, seq)})
	}
	res, err := c.table.Commit(ctx, txn)
	if err != nil {
		return &Error{"snapshot", KindStore, err}
	}
	if !res.Committed {
		return s.settleSnapshot(res.Mismatch)
	}
	s.setSnapshot(res.Versions[0], sr)
	if old != "" && old != sr.Object {
		// An object that stays behind costs room only.
		_ = c.objects.DeleteObject(ctx, old)
	}
	return nil
}

// settleSnapshot handles a snapshot whose row has moved: by a lost reply of our
// own, or because the shard has a new owner.
func (s *Stream) settleSnapshot(mismatch []platform.Row) error {
	for _, row := range mismatch {
		var sr snapshotRow
		if row.Table != TableSnapshots || json.Unmarshal(row.Value, &sr) != nil {
			return &Error{"snapshot", KindFenced, errors.New(s.key)}
		}
		s.setSnapshot(row.Version, sr)
	}
	return &Error{"snapshot", KindStore, errors.New("the snapshot row has moved; the next one follows it")}
}

func (s *Stream) setSnapshot(version int64, sr snapshotRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot, s.first, s.object = version, sr.Next, sr.Object
}
