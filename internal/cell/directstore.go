// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"

	"switchbank.example/switchbank/internal/tables"
)

// directStore calls the store without relaying through peers. The configuration is read this
// way: relayed, it would pass the peer's link twice, while peers already have it and send it
// compressed. A failure tells nothing about the store as other nodes reach it, and isn't
// recorded.
type directStore struct {
	*watchedStore
	relay *tables.Relay
}

// List reads rows.
func (s directStore) List(ctx context.Context, req tables.ListRequest) (tables.ListResult, error) {
	return readAndRecord(ctx, s.watchedStore, "list", req, s.relay.ListDirect)
}

// Feed waits for changes of rows.
func (s directStore) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	return readAndRecord(ctx, s.watchedStore, "feed", req, s.relay.FeedDirect)
}
