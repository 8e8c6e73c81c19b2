// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"

	"switchbank.example/switchbank/internal/tables"
)

// directStore is the store as it answers this node itself, without a way through peers. A
// configuration that came through one would pass that peer's link twice, while peers
// have it already and hand it on packed. A failure says nothing of the store as others
// reach it, and is not noted.
type directStore struct {
	*watchedStore
	relay *tables.Relay
}

// List reads rows.
func (s directStore) List(ctx context.Context, req tables.ListRequest) (tables.ListResult, error) {
	return readAndRecord(ctx, s.watchedStore, "list", req, s.relay.ListDirect)
}

// Feed waits for changes.
func (s directStore) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	return readAndRecord(ctx, s.watchedStore, "feed", req, s.relay.FeedDirect)
}
