// SPDX-License-Identifier: Apache-2.0

package bundle

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/platform"
)

const (
	// TableBundles holds the head, the proposal that waits, and the history.
	TableBundles = "bundles"
	headKey      = "head"
	proposalKey  = "proposal"
	historyKey   = "history/"
	// MaxHistory is how many accepted bundles the history names.
	MaxHistory = 1000
)

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
}

// Head is the bundle that is accepted.
type Head struct {
	// Version rises with every accepted bundle; 0 means none.
	Version int64  `json:"version"`
	Digest  string `json:"digest,omitempty"`
	// Change is the operator's id of the change, by which a lost reply is settled.
	Change   string    `json:"change,omitempty"`
	Operator string    `json:"operator,omitempty"`
	Accepted time.Time `json:"accepted,omitzero"`
}

// Proposal is a bundle that waits to be accepted.
type Proposal struct {
	// Base is the version that the bundle replaces.
	Base       int64       `json:"base"`
	Digest     string      `json:"digest"`
	Change     string      `json:"change"`
	Operator   string      `json:"operator"`
	Signatures []Signature `json:"signatures"`
	Proposed   time.Time   `json:"proposed"`
}

// Version is the version that the proposal would have.
func (p Proposal) Version() int64 { return p.Base + 1 }

// Store keeps bundles on the platform.
type Store struct {
	table   Table
	objects Objects
	// root is the review asked of the first bundle.
	root Review
}

// NewStore returns a store; root says who signs off the first bundle.
func NewStore(table Table, objects Objects, root Review) *Store {
	return &Store{table: table, objects: objects, root: root}
}

// Head returns the accepted bundle's head; version 0 means that there is none.
func (s *Store) Head(ctx context.Context) (Head, error) {
	var h Head
	_, err := s.read(ctx, headKey, &h)
	return h, err
}

// PendingProposal returns the proposal that waits, if there is one.
func (s *Store) PendingProposal(ctx context.Context) (Proposal, bool, error) {
	var p Proposal
	row, err := s.read(ctx, proposalKey, &p)
	return p, row.Version != 0, err
}

func (s *Store) read(ctx context.Context, key string, v any) (platform.Row, error) {
	row, err := s.table.Get(ctx, TableBundles, key)
	if err != nil {
		return row, &Error{"read " + key, KindStore, err}
	}
	if row.Version == 0 {
		return row, nil
	}
	if err := json.Unmarshal(row.Value, v); err != nil {
		return row, &Error{"read " + key, KindInvalid, err}
	}
	return row, nil
}

// Fetch returns the bundle with a digest.
func (s *Store) Fetch(ctx context.Context, digest string) (*Bundle, error) {
	data, err := s.objects.GetObject(ctx, objectKey(digest))
	if err != nil {
		return nil, &Error{"fetch", KindStore, err}
	}
	var b Bundle
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, &Error{"fetch", KindInvalid, err}
	}
	if b.Digest() != digest {
		return nil, &Error{"fetch", KindInvalid, errors.Errorf("object %s holds something else", digest)}
	}
	return &b, nil
}

// present returns the review that the accepted bundle asks of the next one.
func (s *Store) present(ctx context.Context, h Head) (Review, error) {
	if h.Version == 0 {
		return s.root, nil
	}
	b, err := s.Fetch(ctx, h.Digest)
	if err != nil {
		return Review{}, err
	}
	if len(b.Review.Reviewers) == 0 {
		return s.root, nil
	}
	return b.Review, nil
}

// Propose stores a bundle and puts it up for the nodes to stage. Proposing the
// same change again changes nothing; another proposal on the same base replaces
// the one that waits.
func (s *Store) Propose(ctx context.Context, b *Bundle, p Proposal) (Proposal, error) {
	h, err := s.Head(ctx)
	if err != nil {
		return p, err
	}
	if h.Change == p.Change {
		return p, nil
	}
	if h.Version != p.Base {
		return p, conflict("propose", h)
	}
	review, err := s.present(ctx, h)
	if err != nil {
		return p, err
	}
	p.Digest = b.Digest()
	if err := Verify(p.Digest, p.Signatures, review); err != nil {
		return p, err
	}
	if err := s.objects.PutObject(ctx, objectKey(p.Digest), b.canonical()); err != nil {
		return p, &Error{"propose", KindStore, err}
	}
	return p, s.putProposal(ctx, p)
}

func (s *Store) putProposal(ctx context.Context, p Proposal) error {
	var old Proposal
	row, err := s.read(ctx, proposalKey, &old)
	if err != nil {
		return err
	}
	if row.Version != 0 && old.Change == p.Change {
		return nil
	}
	value, err := json.Marshal(p)
	if err != nil {
		return &Error{"propose", KindInvalid, err}
	}
	res, err := s.table.Commit(ctx, platform.Txn{
		If:  []platform.Condition{{Table: TableBundles, Key: proposalKey, Version: row.Version}},
		Put: []platform.Put{{Table: TableBundles, Key: proposalKey, Value: value}},
	})
	if err != nil {
		return &Error{"propose", KindStore, err}
	}
	if !res.Committed {
		return &Error{"propose", KindConflict, errors.New("another proposal was made at the same time")}
	}
	return nil
}

// Accept moves the head to the proposal with a change id. The caller has
// checked that every live node has staged it. Accepting a change that is the
// head already changes nothing; a lost reply is settled that way.
func (s *Store) Accept(ctx context.Context, change string) (Head, error) {
	var h Head
	headRow, err := s.read(ctx, headKey, &h)
	if err != nil || h.Change == change {
		return h, err
	}
	var p Proposal
	propRow, err := s.read(ctx, proposalKey, &p)
	if err != nil {
		return h, err
	}
	if propRow.Version == 0 || p.Change != change {
		return h, conflict("accept", h)
	}
	if p.Base != h.Version {
		return h, conflict("accept", h)
	}
	review, err := s.present(ctx, h)
	if err != nil {
		return h, err
	}
	if err := Verify(p.Digest, p.Signatures, review); err != nil {
		return h, err
	}
	next := Head{Version: p.Version(), Digest: p.Digest, Change: p.Change, Operator: p.Operator, Accepted: time.Now().UTC()}
	return s.moveHead(ctx, headRow, propRow, h, next)
}

func (s *Store) moveHead(ctx context.Context, headRow, propRow platform.Row, old, next Head) (Head, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return old, &Error{"accept", KindInvalid, err}
	}
	res, err := s.table.Commit(ctx, platform.Txn{
		If: []platform.Condition{
			{Table: TableBundles, Key: headKey, Version: headRow.Version},
			{Table: TableBundles, Key: proposalKey, Version: propRow.Version},
		},
		Put: []platform.Put{
			{Table: TableBundles, Key: headKey, Value: value},
			{Table: TableBundles, Key: historyRow(next.Version), Value: value},
		},
		Delete: []platform.Delete{
			{Table: TableBundles, Key: proposalKey}, {Table: TableBundles, Key: historyRow(next.Version - MaxHistory)},
		},
	})
	if err != nil {
		return old, &Error{"accept", KindStore, err}
	}
	if res.Committed {
		return next, nil
	}
	now, err := s.Head(ctx)
	if err != nil {
		return old, err
	}
	if now.Change == next.Change {
		return now, nil
	}
	return now, conflict("accept", now)
}

func historyRow(version int64) string { return fmt.Sprintf("%s%012d", historyKey, version) }

// History returns the newest accepted bundles, oldest first.
func (s *Store) History(ctx context.Context) ([]Head, error) {
	rows, err := s.table.List(ctx, TableBundles, historyKey)
	if err != nil {
		return nil, &Error{"history", KindStore, err}
	}
	heads := make([]Head, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &heads[i]); err != nil {
			return nil, &Error{"history", KindInvalid, err}
		}
	}
	return heads, nil
}

// conflict names the winner of a race.
func conflict(op string, h Head) error {
	return &Error{op, KindConflict, errors.Errorf("version %d is in force: change %s by %s", h.Version, h.Change, h.Operator)}
}

func objectKey(digest string) string { return "bundle." + digest }
