// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/tables"
)

// Relays returns the peers through which the store can be reached, those that report a
// working store first.
func (p *peers) Relays() []tables.Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var good, other []tables.Service
	for _, q := range p.sorted {
		if !p.isUp(q, now) {
			continue
		}
		if q.reply.StoreGood {
			good = append(good, peerRelay{p, q.Address})
		} else {
			other = append(other, peerRelay{p, q.Address})
		}
	}
	if len(good) > 0 {
		p.relayCursor++
		k := p.relayCursor % len(good)
		good = append(good[k:], good[:k]...)
	}
	if len(p.byName) == 0 {
		for _, s := range p.seeds() {
			other = append(other, peerRelay{p, s})
		}
	}
	return append(good, other...)
}

// peerRelay calls the table service through a peer.
type peerRelay struct {
	p       *peers
	address string
}

// Commit commits through the peer.
func (r peerRelay) Commit(ctx context.Context, txn tables.Txn) (tables.TxnResult, error) {
	return callRelay[tables.Txn, tables.TxnResult](ctx, r, pathCommit, txn)
}

// List lists through the peer.
func (r peerRelay) List(ctx context.Context, req tables.ListRequest) (tables.ListResult, error) {
	return callRelay[tables.ListRequest, tables.ListResult](ctx, r, pathList, req)
}

// Feed waits for changes through the peer.
func (r peerRelay) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	return callRelay[tables.FeedRequest, tables.FeedResult](ctx, r, pathFeed, req)
}

// callRelay makes a call to the table service through the peer. A call that never left this
// node certainly had no effect.
func callRelay[Req, Resp any](ctx context.Context, v peerRelay, path string, req Req) (Resp, error) {
	reply, err := httpx.Call[Req, storeReply[Resp]](ctx, v.p.client, "http://"+v.address+path, req)
	if err != nil {
		kind := tables.KindUnknown
		if isRefused(err) {
			kind = tables.KindRefused
		}
		return reply.Result, &tables.Error{Op: "relay", Kind: kind, Err: err}
	}
	return reply.result()
}

// result returns what the table service has answered, or its error.
func (r storeReply[T]) result() (T, error) {
	if r.Failed != "" {
		return r.Result, &tables.Error{Op: "relay", Kind: r.Failed, Err: errors.New(r.Detail)}
	}
	return r.Result, nil
}
