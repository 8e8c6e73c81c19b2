// SPDX-License-Identifier: Apache-2.0

// Package version holds the version of the program.
//
// # Usage
//
//	fmt.Println(version.String())
package version

// number is set by the linker for a release.
var number = "0.1.0-dev"

// String returns the version.
func String() string { return number }
