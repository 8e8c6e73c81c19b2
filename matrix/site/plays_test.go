// SPDX-License-Identifier: Apache-2.0

//go:build !race

package site_test

// samplePlays is how many seeds each search plays by default.
const samplePlays = 16
