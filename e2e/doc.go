// SPDX-License-Identifier: Apache-2.0

// Package e2e holds end-to-end tests. They run switchbank nodes as separate processes on
// loopback addresses, with a stand-in platform and stand-in workers.
//
// # Usage
//
//	make e2e     # all tests with the build tag e2e
//	make soak    # random faults, for the seeds in SEEDS
//	make slopes  # the resource usage of a node under increasing load
package e2e
