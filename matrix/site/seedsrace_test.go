// SPDX-License-Identifier: Apache-2.0

//go:build race

package site_test

// sampleSeeds is how many seeds each search runs by default. It is lower under the race detector,
// where a seed takes several times as long on one processor.
const sampleSeeds = 4

// inAllEnvs is not set under the race detector: a test of many cases runs each of them in one of the
// environments, in turn.
const inAllEnvs = false
