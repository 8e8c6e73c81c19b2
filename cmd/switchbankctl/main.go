// SPDX-License-Identifier: Apache-2.0

// Command switchbankctl is the command line tool of operators. It shows the state of nodes
// and workloads, submits and cancels workloads, drains nodes, and rolls out bundles.
//
// # Usage
//
//	switchbankctl status
//	switchbankctl explain WORKLOAD
//	switchbankctl bundle propose --help
package main

import (
	"os"

	"switchbank.example/switchbank/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
