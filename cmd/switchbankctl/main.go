// SPDX-License-Identifier: Apache-2.0

// Command switchbankctl is the operators' tool.
package main

import (
	"os"

	"switchbank.example/switchbank/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
