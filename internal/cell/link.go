// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"switchbank.example/switchbank/internal/tables"
)

// What the owner of a shard reads and writes is given out so that a slow link stays open
// to signs of life.

const (
	// maxWriteTime is how long a write may keep a host's link busy: what waits behind it, such
	// as signs of life, is that late. 49 jobs after an outage of the store were 150 kB,
	// 0.6 s of a link of 2 Mbit/s, and the owner was taken for silent.
	maxWriteTime = 60 * time.Millisecond
	// minWriteBytes and writeLimit bound a write: some jobs at least, and the store's limit.
	minWriteBytes = 8 << 10
	maxWriteBytes = 512 << 10
)

// minParallelReads is how many parts of the jobs a takeover reads at once at least, on a link that
// two of them, of some 10 kB, keep busy for 80 ms; signs of life have to pass between them.
const minParallelReads = 2

// parallelReads returns how many parts of the jobs a takeover should read at once: one for
// each Mbit/s of the link.
func (n *Node) parallelReads() int {
	if n.cfg.Limits.LinkMbps <= 0 {
		return tables.MaxParallelLists
	}
	return min(max(int(n.cfg.Limits.LinkMbps), minParallelReads), tables.MaxParallelLists)
}

// writeBytes returns how many bytes of progress one write should have at most.
func (n *Node) writeBytes() int {
	if n.cfg.Limits.LinkMbps <= 0 {
		return maxWriteBytes
	}
	bytes := n.cfg.Limits.LinkMbps * 1e6 / 8 * maxWriteTime.Seconds()
	return min(max(int(bytes), minWriteBytes), maxWriteBytes)
}
