// SPDX-License-Identifier: Apache-2.0

// Package examples embeds a bundle, workloads and settings to start from. The local run
// and the tests use them as well.
//
// # Usage
//
//	sub, _ := fs.Sub(examples.Bundle, "bundle")
//	b, err := bundle.LoadFS(sub)
package examples

import "embed"

// Bundle holds the directory "bundle" of YAML files.
//
//go:embed bundle/*.yaml
var Bundle embed.FS

// Workloads holds the directory "workloads" of JSON files, one for each workload.
//
//go:embed workloads/*.json
var Workloads embed.FS

// Node is the content of a node's settings file.
//
//go:embed node.yaml
var Node []byte
