// SPDX-License-Identifier: Apache-2.0

//go:build !race

package scheduler_test

// fewPlays take some seconds.
const fewPlays = 400
