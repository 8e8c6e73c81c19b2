// SPDX-License-Identifier: Apache-2.0

// Package site holds the tests of whole nodes on a stand-in of the users'
// platform, in virtual time on an in-memory network: what workers and callers
// saw is judged against the promises, with and without faults. It has only tests.
//
// # Usage
//
//	go test ./matrix/site
package site
