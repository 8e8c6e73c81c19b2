// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"time"

	"switchbank.example/switchbank/internal/tables"
)

// Reads and writes of a shard's owner are split up, so that pings still get through a slow
// link.

const (
	// maxWriteTime bounds how long one write occupies a host's link, since it delays the
	// pings behind it. After an outage of the store, a write of 49 jobs with 150 kB took
	// 0.6 s on a link of 2 Mbit/s, and peers took the owner for lost.
	maxWriteTime = 60 * time.Millisecond
	// minWriteBytes and maxWriteBytes bound the size of a write: it holds at least a few
	// jobs, and the store has a limit.
	minWriteBytes = 8 << 10
	maxWriteBytes = 512 << 10
)

// minParallelReads is the minimum number of parts of the jobs that a takeover reads at once.
// Two parts of about 10 kB occupy a link of 2 Mbit/s for 80 ms; pings have to get through
// between them.
const minParallelReads = 2

// parallelReads returns how many parts of the jobs a takeover reads at once: one for each
// Mbit/s of the link.
func (n *Node) parallelReads() int {
	if n.cfg.Limits.LinkMbps <= 0 {
		return tables.MaxParallelLists
	}
	return min(max(int(n.cfg.Limits.LinkMbps), minParallelReads), tables.MaxParallelLists)
}

// writeBytes returns the maximum size of one write of progress.
func (n *Node) writeBytes() int {
	if n.cfg.Limits.LinkMbps <= 0 {
		return maxWriteBytes
	}
	bytes := n.cfg.Limits.LinkMbps * 1e6 / 8 * maxWriteTime.Seconds()
	return min(max(int(bytes), minWriteBytes), maxWriteBytes)
}
