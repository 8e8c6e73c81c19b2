// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

const (
	// configFeedWait bounds the wait of one call of the configuration's feed: half of the
	// minimum time for which a version is in force, so that a call whose answer is lost is
	// noticed in time. The table isn't listed again while its feed answers. Listing a
	// configuration of 1,446 routes each second cost each node 380 kB/s; listing the cell's
	// rows of 147 nodes every 9 s cost 3.5 kB/s. The feed of the cell's rows may wait longer,
	// since pings report owners too.
	configFeedWait = time.Second
	cellFeedWait   = 3 * time.Second
	// cellFeedPause is the minimum time between two calls of the feed of the cell's rows.
	cellFeedPause = 20 * time.Millisecond
)

// logReadFailure returns a function that logs a failed read of a table.
func (n *Node) logReadFailure(table string) func(error) {
	return func(err error) {
		n.Log.Info("failed to read table", events.StoreFailed, zap.String("table", table), zap.Error(err))
	}
}
