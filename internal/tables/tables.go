// SPDX-License-Identifier: Apache-2.0

// Package tables defines the interface of the transactional table service, in which everything
// durable lives, and the means to keep using it when it fails: a Relay, which calls it through
// peers while it is unavailable to this node, and a Follower, which keeps a copy of a table
// current from its feed and from lists.
//
// A table is divided into parts. Rows of one part are committed together, and each part may be
// unavailable on its own.
//
// # Usage
//
//	res, err := svc.Commit(ctx, tables.Txn{If: …, Put: …})
//	if tables.IsUnknown(err) { … } // the write may or may not have taken effect
//	if !res.Committed { … }        // res.Current holds the rows that differ
package tables

import (
	"context"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Row is one row of a table. Only rows of the same part can be committed together.
type Row struct {
	Table string `json:"table"`
	Part  string `json:"part,omitempty"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is the version of the transaction that wrote the row; 0 means that there is no
	// row.
	Version int64 `json:"version,omitempty"`
	// Deleted is set in a feed for a deleted row.
	Deleted bool `json:"gone,omitempty"`
}

// Txn is a transaction: it takes effect as a whole, and only if each row in If has the version
// given there. All its rows lie in one part, since not every table service commits several
// together.
type Txn struct {
	If     []Row `json:"if,omitempty"`
	Put    []Row `json:"put,omitempty"`
	Remove []Row `json:"remove,omitempty"`
}

// size returns the approximate size of the encoded Txn in bytes; values are encoded in base64.
func (t Txn) size() int {
	n := 0
	for _, rows := range [][]Row{t.If, t.Put, t.Remove} {
		for _, r := range rows {
			n += len(r.Table) + len(r.Part) + len(r.Key) + base64.StdEncoding.EncodedLen(len(r.Value))
		}
	}
	return n
}

// Part returns the part in which the rows of the Txn lie, or "" if it has none.
func (t Txn) Part() string {
	for _, rows := range [][]Row{t.If, t.Put, t.Remove} {
		if len(rows) > 0 {
			return rows[0].Part
		}
	}
	return ""
}

// MaxTxnRows is the most rows that a Txn may name (the table service's limit).
const MaxTxnRows = 100

// TxnResult is the answer to a Txn.
type TxnResult struct {
	Committed bool `json:"committed"`
	// Version is the new version of the rows in Put.
	Version int64 `json:"version"`
	// Current holds the current rows of If, if the Txn was not committed.
	Current []Row `json:"current,omitempty"`
}

// ListRequest asks for the rows of a part, in the order of their keys.
type ListRequest struct {
	Table string `json:"table"`
	Part  string `json:"part,omitempty"`
	// From is the first key, and To the first key after the range; "" means no bound.
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
	Limit int    `json:"limit,omitempty"`
}

// ListResult is one page of rows.
type ListResult struct {
	Rows    []Row `json:"rows"`
	More    bool  `json:"more"`
	Version int64 `json:"version"`
}

// FeedRequest asks for the changes of a table since a version.
type FeedRequest struct {
	Table string        `json:"table"`
	After int64         `json:"after"`
	Wait  time.Duration `json:"wait"`
}

// FeedResult holds the changes in order; the next request continues from Version.
type FeedResult struct {
	Rows    []Row `json:"rows"`
	Version int64 `json:"version"`
}

// Service is the table service.
type Service interface {
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	List(ctx context.Context, req ListRequest) (ListResult, error)
	Feed(ctx context.Context, req FeedRequest) (FeedResult, error)
}

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindRefused: the service answered that it did nothing.
	KindRefused Kind = "refused"
	// KindUnknown: there was no answer; a write may take effect now or seconds later.
	KindUnknown Kind = "unknown"
	// KindHistoryGone: the feed can't continue from the version, since its history has expired.
	KindHistoryGone Kind = "history_gone"
	// KindInvalid: the service can't accept the request as it is.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("tables: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of err; an error of another package counts as unknown.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

// IsUnknown reports whether a write that returned err may still take effect.
func IsUnknown(err error) bool { return err != nil && KindOf(err) == KindUnknown }

// invalidRetryDelay is the pause after a request that the service can't accept: it is refused
// again until the sender is fixed.
const invalidRetryDelay = time.Second

// RetryPause returns the pause before a failed request is sent again, which is delay for most
// errors.
func RetryPause(err error, delay time.Duration) time.Duration {
	if KindOf(err) == KindInvalid {
		return max(delay, invalidRetryDelay)
	}
	return delay
}

// IsFinal reports whether err is the service's answer to the request itself, which would be the
// same through a peer.
func IsFinal(err error) bool {
	k := KindOf(err)
	return k == KindHistoryGone || k == KindInvalid
}

// ListAll reads all rows that a request asks for, page by page. It returns the version of the
// first page: a feed from there repeats changes that later pages may already show.
func ListAll(ctx context.Context, svc Service, req ListRequest) ([]Row, int64, error) {
	var rows []Row
	version := int64(-1)
	for {
		res, err := svc.List(ctx, req)
		if err != nil {
			return nil, 0, err
		}
		if version < 0 {
			version = res.Version
		}
		rows = append(rows, res.Rows...)
		if !res.More || len(res.Rows) == 0 {
			return rows, version, nil
		}
		req.From = res.Rows[len(res.Rows)-1].Key + "\x00"
	}
}

// Get reads one row; ok is false if there is none.
func Get(ctx context.Context, svc Service, table, part, key string) (row Row, ok bool, err error) {
	res, err := svc.List(ctx, ListRequest{Table: table, Part: part, From: key, To: key + "\x00", Limit: 1})
	if err != nil || len(res.Rows) == 0 || res.Rows[0].Key != key {
		return Row{}, false, err
	}
	return res.Rows[0], true, nil
}
