// SPDX-License-Identifier: Apache-2.0

// Package examples holds a bundle, workloads and settings to start from; the
// local run and the tests use them too.
//
// # Usage
//
//	sub, _ := fs.Sub(examples.Bundle, "bundle")
//	b, err := bundle.LoadFS(sub)
package examples

import "embed"

// Bundle is a directory "bundle" of YAML files.
//
//go:embed bundle/*.yaml
var Bundle embed.FS

// Workloads is a directory "workloads" of JSON files.
//
//go:embed workloads/*.json
var Workloads embed.FS

// Node is a node's settings.
//
//go:embed node.yaml
var Node []byte
