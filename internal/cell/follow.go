// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

const (
	// configFeedWait is how long one call of the configuration's feed waits for a
	// change: half of the least time in which a version must be in force, so that a
	// call whose answer is lost is found in time. The table isn't listed again while its
	// feed answers: a configuration of 1,446 routes listed each second was 380 kB a
	// second on each node, and the cell's rows of 147 nodes each 9 s were 3.5. Owners show by
	// pings too, so that their rows may wait longer.
	configFeedWait = time.Second
	cellFeedWait   = 3 * time.Second
	// cellFeedPause is the least time between two calls of the feed of the cell's rows.
	cellFeedPause = 20 * time.Millisecond
)

// logReadFailure returns what logs that a table could not be read.
func (n *Node) logReadFailure(table string) func(error) {
	return func(err error) {
		n.Log.Info("table not read", events.StoreFailed, zap.String("table", table), zap.Error(err))
	}
}
