// SPDX-License-Identifier: Apache-2.0

//go:build race

package site_test

// sampleSeeds is how many seeds each search plays by default: under the race detector on
// one processor each takes several times as long.
const sampleSeeds = 4
