// SPDX-License-Identifier: Apache-2.0

//go:build !race

package site_test

// sampleSeeds is how many seeds each search runs by default.
const sampleSeeds = 16
