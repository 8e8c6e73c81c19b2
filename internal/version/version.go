// SPDX-License-Identifier: Apache-2.0

// Package version holds the version of the program.
//
// # Usage
//
//	fmt.Println(version.String())
package version

// number is the version; release builds set it with a linker flag.
var number = "0.1.0-dev"

// String returns the version.
func String() string { return number }
