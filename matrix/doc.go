// SPDX-License-Identifier: Apache-2.0

// Package matrix holds the fault matrix: every fault at every step, judged from
// what stand-in workers, instances and callers saw. It has only tests; they run
// whole nodes on an in-memory network in virtual time.
//
// # Usage
//
//	make matrix
package matrix
