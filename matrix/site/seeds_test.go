// SPDX-License-Identifier: Apache-2.0

//go:build !race

package site_test

// sampleSeeds is how many seeds each search runs by default.
const sampleSeeds = 16

// inAllEnvs is set if a test of many cases runs each of them in all environments.
const inAllEnvs = true
