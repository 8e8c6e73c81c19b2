// SPDX-License-Identifier: Apache-2.0

// Package matrix tests the scheduler's guarantees under faults. Each cell of the matrix
// injects one fault at one step of the protocols into a cluster of whole nodes, which run
// on an in-memory network in virtual time. The guarantees are checked from outside: from
// the events of stand-in workers and instances and from the answers to callers. The
// package holds only tests.
//
// # Usage
//
//	make matrix
package matrix
