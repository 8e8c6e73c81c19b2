// SPDX-License-Identifier: Apache-2.0

// Package measure holds the measurement of the policy: seeded workloads drive
// the real decision functions in virtual time, beside two baselines. It has only
// tests.
//
// # Usage
//
//	make measure
package measure
