// SPDX-License-Identifier: Apache-2.0

//go:build !race

package admission_test

// overloadSeeds is the number of seeds of TestOverload.
const overloadSeeds = 2
