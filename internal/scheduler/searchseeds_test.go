// SPDX-License-Identifier: Apache-2.0

//go:build !race

package scheduler_test

// defaultSeeds take some seconds.
const defaultSeeds = 400
