// SPDX-License-Identifier: Apache-2.0

// Command switchbank is a switchbank node.
package main

import (
	"os"

	"switchbank.example/switchbank/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
