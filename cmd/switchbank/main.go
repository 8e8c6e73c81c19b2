// SPDX-License-Identifier: Apache-2.0

// Command switchbank runs a node of the cluster scheduler, checks settings files, and runs
// stand-ins of the platform and its workers for development.
//
// # Usage
//
//	switchbank node --settings node.yaml  # a node on the users' platform
//	switchbank serve --config node.yaml   # a node on the stand-in platform
//	switchbank check-config node.yaml     # report errors in a settings file
//	switchbank dev run                    # run the example with in-memory stand-ins
package main

import (
	"os"

	"switchbank.example/switchbank/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
