// SPDX-License-Identifier: Apache-2.0

//go:build race

package scheduler_test

// defaultSeeds is lower under the race detector: each seed takes ten times as long there and
// runs in one goroutine, in which there are no races to find.
const defaultSeeds = 40
