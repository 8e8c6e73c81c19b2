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
	// TableBundles is the table with the head, the pending proposal and the history.
	TableBundles  = "bundles"
	headKey       = "head"
	proposalKey   = "proposal"
	historyPrefix = "history/"
	// MaxHistory is how many accepted bundles the history keeps.
	MaxHistory = 1000
)

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
}

// Head describes the accepted bundle.
type Head struct {
	// Version increases with every accepted bundle; 0 means that there is none yet.
	Version int64  `json:"version"`
	Digest  string `json:"digest,omitempty"`
	// Change is the operator's ID of the change. After a lost reply, it tells whether the
	// change took effect.
	Change   string    `json:"change,omitempty"`
	Operator string    `json:"operator,omitempty"`
	Accepted time.Time `json:"accepted,omitzero"`
}

// Proposal describes a bundle that is staged for acceptance.
type Proposal struct {
	// Base is the version that the bundle replaces.
	Base       int64       `json:"base"`
	Digest     string      `json:"digest"`
	Change     string      `json:"change"`
	Operator   string      `json:"operator"`
	Signatures []Signature `json:"signatures"`
	Proposed   time.Time   `json:"proposed"`
}

// Version returns the version that the bundle gets when it is accepted.
func (p Proposal) Version() int64 { return p.Base + 1 }

// Store keeps bundles on the platform: their contents in the object store, and the head,
// the proposal and the history in the table.
type Store struct {
	table   Table
	objects Objects
	// root is the review that applies while no accepted bundle names reviewers.
	root Review
}

// NewStore returns a store. The review root applies while no accepted bundle names
// reviewers, as for the first bundle.
func NewStore(table Table, objects Objects, root Review) *Store {
	return &Store{table: table, objects: objects, root: root}
}

// Head returns the head; its version is 0 if no bundle was accepted yet.
func (s *Store) Head(ctx context.Context) (Head, error) {
	var h Head
	_, err := s.readRow(ctx, headKey, &h)
	return h, err
}

// PendingProposal returns the proposal that is not accepted yet, if there is one.
func (s *Store) PendingProposal(ctx context.Context) (Proposal, bool, error) {
	var p Proposal
	row, err := s.readRow(ctx, proposalKey, &p)
	return p, row.Version != 0, err
}

// readRow decodes a row of the table into v. A row that does not exist has version 0.
func (s *Store) readRow(ctx context.Context, key string, v any) (platform.Row, error) {
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

// Fetch returns the bundle with the given digest.
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

// currentReview returns the review that the next bundle must pass.
func (s *Store) currentReview(ctx context.Context, h Head) (Review, error) {
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

// Propose stores a bundle and makes it the pending proposal, which the nodes then stage.
// Proposing the same change again has no effect. A proposal with another change ID replaces
// the pending one.
func (s *Store) Propose(ctx context.Context, b *Bundle, p Proposal) (Proposal, error) {
	h, err := s.Head(ctx)
	if err != nil {
		return p, err
	}
	if h.Change == p.Change {
		return p, nil
	}
	if h.Version != p.Base {
		return p, conflictError("propose", h)
	}
	review, err := s.currentReview(ctx, h)
	if err != nil {
		return p, err
	}
	p.Digest = b.Digest()
	if err := Verify(p.Digest, p.Signatures, review); err != nil {
		return p, err
	}
	if err := s.objects.PutObject(ctx, objectKey(p.Digest), b.canonicalJSON()); err != nil {
		return p, &Error{"propose", KindStore, err}
	}
	return p, s.putProposal(ctx, p)
}

// putProposal writes the proposal's row, unless the row holds the same change already.
func (s *Store) putProposal(ctx context.Context, p Proposal) error {
	var old Proposal
	row, err := s.readRow(ctx, proposalKey, &old)
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

// Accept makes the proposal with the given change ID the head. The caller must have
// checked that every live node has staged it. Accepting a change that is already the head
// has no effect, so that a caller can repeat the call after a lost reply.
func (s *Store) Accept(ctx context.Context, change string) (Head, error) {
	var h Head
	headRow, err := s.readRow(ctx, headKey, &h)
	if err != nil || h.Change == change {
		return h, err
	}
	var p Proposal
	proposalRow, err := s.readRow(ctx, proposalKey, &p)
	if err != nil {
		return h, err
	}
	if proposalRow.Version == 0 || p.Change != change {
		return h, conflictError("accept", h)
	}
	if p.Base != h.Version {
		return h, conflictError("accept", h)
	}
	review, err := s.currentReview(ctx, h)
	if err != nil {
		return h, err
	}
	if err := Verify(p.Digest, p.Signatures, review); err != nil {
		return h, err
	}
	next := Head{Version: p.Version(), Digest: p.Digest, Change: p.Change, Operator: p.Operator, Accepted: time.Now().UTC()}
	return s.moveHead(ctx, headRow, proposalRow, h, next)
}

// moveHead replaces the head by next, adds it to the history and deletes the proposal. If
// a condition fails, it reads the head again: an earlier call for the same change may have
// taken effect although its reply was lost.
func (s *Store) moveHead(ctx context.Context, headRow, proposalRow platform.Row, old, next Head) (Head, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return old, &Error{"accept", KindInvalid, err}
	}
	res, err := s.table.Commit(ctx, platform.Txn{
		If: []platform.Condition{
			{Table: TableBundles, Key: headKey, Version: headRow.Version},
			{Table: TableBundles, Key: proposalKey, Version: proposalRow.Version},
		},
		Put: []platform.Put{
			{Table: TableBundles, Key: headKey, Value: value},
			{Table: TableBundles, Key: historyKey(next.Version), Value: value},
		},
		Delete: []platform.Delete{
			{Table: TableBundles, Key: proposalKey}, {Table: TableBundles, Key: historyKey(next.Version - MaxHistory)},
		},
	})
	if err != nil {
		return old, &Error{"accept", KindStore, err}
	}
	if res.Committed {
		return next, nil
	}
	current, err := s.Head(ctx)
	if err != nil {
		return old, err
	}
	if current.Change == next.Change {
		return current, nil
	}
	return current, conflictError("accept", current)
}

// historyKey returns the key of a version's row. The zero padding makes keys sort by version.
func historyKey(version int64) string { return fmt.Sprintf("%s%012d", historyPrefix, version) }

// History returns the last MaxHistory accepted bundles, oldest first.
func (s *Store) History(ctx context.Context) ([]Head, error) {
	rows, err := s.table.List(ctx, TableBundles, historyPrefix)
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

// conflictError returns an error that names the change in force, which was made first.
func conflictError(op string, h Head) error {
	return &Error{op, KindConflict, errors.Errorf("version %d is in force: change %s by %s", h.Version, h.Change, h.Operator)}
}

func objectKey(digest string) string { return "bundle." + digest }
