// SPDX-License-Identifier: Apache-2.0

// Package measure compares the placement policy with two baselines: waiting times,
// packing, missed deadlines and redone work. A simulation in virtual time runs seeded
// workloads with the decision functions of package policy. The package holds only tests.
//
// # Usage
//
//	make measure
package measure
