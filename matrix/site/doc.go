// SPDX-License-Identifier: Apache-2.0

// Package site tests whole scheduler nodes against a stand-in of the users' platform, in virtual
// time and on an in-memory network. Each test compares what the stand-in's workers and the callers
// observed with the guarantees of the scheduler, with and without injected faults. The package
// holds only tests.
//
// # Usage
//
//	go test ./matrix/site
package site
