// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
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
	// Among many nodes the wait and the pause grow with their number, so that all of them
	// together make no more calls than some hundred nodes. A lost answer matters less then: the
	// answers to pings, of which a node gets four a second, tell of a newer configuration. The
	// first change after a pause still arrives at once.
	configFeedWaitPerNode = 6 * time.Millisecond
	maxConfigFeedWait     = 3 * time.Second
	cellFeedPausePerNode  = time.Millisecond
	maxCellFeedPause      = time.Second
)

// scaleConfigFeed sets how long one call of the configuration's feed waits.
func (n *Node) scaleConfigFeed(f *tables.Follower) {
	f.FeedWait = scaled(n.peers.count(), configFeedWaitPerNode, configFeedWait, maxConfigFeedWait)
}

// scaleCellFeed sets the pause between two calls of the feed of the cell's rows.
func (n *Node) scaleCellFeed(f *tables.Follower) {
	f.Pause = scaled(n.peers.count(), cellFeedPausePerNode, cellFeedPause, maxCellFeedPause)
}

// scaled returns a time for each of n nodes, within bounds.
func scaled(n int, each, least, most time.Duration) time.Duration {
	return min(max(time.Duration(n)*each, least), most)
}

// logReadFailure returns a function that logs a failed read of a table.
func (n *Node) logReadFailure(table string) func(error) {
	return func(err error) {
		n.Log.Info("failed to read table", events.StoreFailed, zap.String("table", table), zap.Error(err))
	}
}
