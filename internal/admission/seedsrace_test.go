// SPDX-License-Identifier: Apache-2.0

//go:build race

package admission_test

// overloadSeeds is the number of seeds of TestOverload: with the race detector a run takes ten times
// as long.
const overloadSeeds = 1
