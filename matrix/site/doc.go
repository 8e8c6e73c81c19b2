// SPDX-License-Identifier: Apache-2.0

// Package site tests whole scheduler nodes against a simulated platform, in virtual time and on an
// in-memory network. Each test compares what the simulated workers and callers observed with the
// guarantees of the scheduler, with and without injected faults. The package holds only tests.
//
// # Usage
//
//	go test ./matrix/site
package site
