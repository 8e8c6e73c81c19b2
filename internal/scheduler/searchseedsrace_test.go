// SPDX-License-Identifier: Apache-2.0

//go:build race

package scheduler_test

// defaultSeeds are fewer under the race detector: each takes ten times as long, and is one
// goroutine's, in which there are no races to find.
const defaultSeeds = 40
