// SPDX-License-Identifier: Apache-2.0

package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"switchbank.example/switchbank/internal/cli"
)

// TestNodeRejectsUnsupportedWorkerOrders checks that a node does not start if its settings name
// a way of giving orders to workers that is not implemented: it would accept jobs and could not
// start any of their tasks.
func TestNodeRejectsUnsupportedWorkerOrders(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.yaml")
	const settings = `
node: n1
listen: {callers: "127.0.0.1:1", ready: "127.0.0.1:2", peers: "127.0.0.1:3"}
store: "127.0.0.1:4"
worker_orders: heartbeat
`
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	if code := cli.Main([]string{"node", "--settings", file}, &out, &errOut); code != cli.ExitUsage {
		t.Errorf("exit code %d, want %d", code, cli.ExitUsage)
	}
	if !strings.Contains(errOut.String(), "worker_orders") {
		t.Errorf("the field is not named: %s", errOut.String())
	}
}
