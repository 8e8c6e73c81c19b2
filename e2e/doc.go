// SPDX-License-Identifier: Apache-2.0

// Package e2e holds tests that run switchbank as separate processes on
// loopback, with a stand-in platform and stand-in workers.
//
// # Usage
//
//	make e2e
package e2e
