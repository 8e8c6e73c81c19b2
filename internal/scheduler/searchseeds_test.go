// SPDX-License-Identifier: Apache-2.0

//go:build !race

package scheduler_test

// defaultSeeds is the number of seeds of a search by default; they take some seconds.
const defaultSeeds = 400
