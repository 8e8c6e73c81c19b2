// SPDX-License-Identifier: Apache-2.0

//go:build e2e || slopes

package e2e_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/client"
	"switchbank.example/switchbank/internal/httpx"
	standin "switchbank.example/switchbank/standin/platform"

	"switchbank.example/switchbank/standin/local"
	"switchbank.example/switchbank/standin/worker"
)

const testTimeout = 2 * time.Minute

// process is a process of the cell.
type process struct {
	cmd *exec.Cmd
}

// cell is a stand-in platform, nodes and stand-in workers, each a separate process.
type cell struct {
	t            *testing.T
	ctx          context.Context
	bin          string
	reviewer     local.Reviewer
	platformURL  string
	settings     string
	platformProc *process
	nodes        []*nodeProc
	workers      []*workerProc
	// relayedNode is the index of the node that reaches the platform through the relay,
	// or noRelayedNode.
	relayedNode int
	relay       *relay
}

// nodeProc is a node's process with the addresses of its listeners.
type nodeProc struct {
	process
	callers, peers, operators string
}

// workerProc is a worker's process.
type workerProc struct {
	process
	// killed is set when the worker was killed and can't report its events any more.
	killed  bool
	address string
}

// startLogLine is the log line in which a node reports the addresses it listens on.
type startLogLine struct {
	Msg       string `json:"msg"`
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// noRelayedNode connects every node directly to the platform.
const noRelayedNode = -1

// newCell starts a platform, workers and nodes, and waits until the nodes are ready.
func newCell(t *testing.T, nodes, workers, relayedNode int) *cell {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	reviewer, err := local.NewReviewer()
	if err != nil {
		t.Fatal(err)
	}
	c := &cell{t: t, ctx: ctx, settings: shortLeaseSettings, bin: filepath.Join(os.Getenv("SWITCHBANK_BIN"), "switchbank"), reviewer: reviewer, relayedNode: relayedNode}
	p, out := c.startProcess("dev", "platform", "--listen", "127.0.0.1:0")
	c.platformProc = p
	c.platformURL = "http://" + readListenAddress(t, out)
	for i := range workers {
		c.startWorker(i)
	}
	for i := range nodes {
		c.startNode(i)
	}
	return c
}

// startProcess starts a process and returns a scanner of the output in which it reports its
// address.
func (c *cell) startProcess(args ...string) (*process, *bufio.Scanner) {
	c.t.Helper()
	cmd := exec.CommandContext(c.ctx, c.bin, args...)
	// A node reports its addresses in its log on standard error, a stand-in on standard output.
	pipe := cmd.StdoutPipe
	if args[0] == "serve" {
		pipe = cmd.StderrPipe
	}
	out, err := pipe()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	p := &process{cmd: cmd}
	c.t.Cleanup(func() { p.kill() })
	return p, bufio.NewScanner(out)
}

// signal sends sig to the process.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill sends SIGKILL to the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// readListenAddress reads the address that a stand-in prints when it listens.
func readListenAddress(t *testing.T, out *bufio.Scanner) string {
	t.Helper()
	var l local.Listening
	if !out.Scan() || json.Unmarshal(out.Bytes(), &l) != nil {
		t.Fatalf("want a line with the address listened on, have %q", out.Text())
	}
	return l.Listening
}

// startWorker starts the i-th worker of the example.
func (c *cell) startWorker(i int) {
	h := local.ExampleHost(i, "kosice-1")
	p, out := c.startProcess("dev", "worker", "--platform", c.platformURL, "--id", h.ID, "--data-centre", h.DataCentre, "--rack", h.Rack)
	c.workers = append(c.workers, &workerProc{process: *p, address: readListenAddress(c.t, out)})
}

// shortLeaseSettings sets short leases, so that takeovers happen soon.
const shortLeaseSettings = `
node: entry-%d
data_centre: kosice-1
data_centres: [{name: kosice-1, worker_shards: 4}]
job_shards: 8
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0", operators: "127.0.0.1:0"}
platform: {url: "%s", timeout: 1s}
lease: {ttl: 1500ms, margin: 200ms, every: 300ms}
tasks: {lease: 6s, margin: 300ms, ask: 500ms, hosts: 300ms}
requests: {drain_delay: 500ms, load: 200ms, key_margin: 500ms}
review: {required: 1, reviewers: [{name: "%s", key: "%s"}]}
`

// startNode starts a node and waits until it is ready.
func (c *cell) startNode(i int) {
	c.t.Helper()
	platform := c.platformURL
	if i == c.relayedNode {
		c.relay = newRelay(c.t, c.platformURL)
		platform = c.relay.url
	}
	r := c.reviewer.Review.Reviewers[0]
	file := filepath.Join(c.t.TempDir(), "node.yaml")
	if err := os.WriteFile(file, fmt.Appendf(nil, c.settings, i, platform, r.Name, r.Key), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p, out := c.startProcess("serve", "--config", file)
	n := &nodeProc{process: *p}
	log, err := os.Create(filepath.Join(logDir(c.t), fmt.Sprintf("%s-node-%d.log", strings.ReplaceAll(c.t.Name(), "/", "-"), i)))
	if err != nil {
		c.t.Fatal(err)
	}
	for out.Scan() {
		var line startLogLine
		_, _ = fmt.Fprintln(log, out.Text())
		if json.Unmarshal(out.Bytes(), &line) == nil && line.Msg == "node started" {
			n.callers, n.peers, n.operators = line.Callers, line.Peers, line.Operators
			break
		}
	}
	go func() {
		for out.Scan() {
			_, _ = fmt.Fprintln(log, out.Text())
		}
		_ = log.Close()
	}()
	c.nodes = append(c.nodes, n)
	if err := local.WaitReady(c.ctx, c.client(len(c.nodes)-1, "")); err != nil {
		c.t.Fatalf("node %d is not ready: %v", i, err)
	}
}

// logDir returns the directory for the nodes' logs: one with the test's name below the
// directory SWITCHBANK_LOGS, or a temporary one if that is not set.
func logDir(t *testing.T) string {
	dir := os.Getenv("SWITCHBANK_LOGS")
	if dir == "" {
		return t.TempDir()
	}
	dir = filepath.Join(dir, t.Name())
	if err := os.MkdirAll(dir, 0o750); err != nil {
		t.Fatal(err)
	}
	return dir
}

// client returns a client of the i-th node for callers and operators.
func (c *cell) client(i int, team string) *client.Client {
	return client.New(client.Config{Callers: c.nodes[i].callers, Operators: c.nodes[i].operators, Team: team})
}

// acceptBundle accepts the example's bundle and waits until it is in force on all nodes.
func (c *cell) acceptBundle() {
	c.t.Helper()
	op := c.client(0, "")
	head, err := c.reviewer.Accept(c.ctx, op, "e2e-1")
	if err != nil {
		c.t.Fatal(err)
	}
	if err := local.WaitInForce(c.ctx, op, head.Version); err != nil {
		c.t.Fatal(err)
	}
}

// setFaults sets the faults of the stand-in platform.
func (c *cell) setFaults(f standin.Faults) {
	c.t.Helper()
	if _, err := httpx.Call[standin.Faults, httpx.Empty](c.ctx, http.DefaultClient, c.platformURL+"/standin/v1/faults", f); err != nil {
		c.t.Fatal(err)
	}
}

// workerEvents returns the events recorded by all workers that are not killed.
func (c *cell) workerEvents() []worker.Event {
	c.t.Helper()
	var all []worker.Event
	for _, w := range c.workers {
		if w.killed {
			continue
		}
		reply, err := httpx.Call[httpx.Empty, worker.EventsReply](c.ctx, http.DefaultClient, "http://"+w.address+"/standin/v1/evidence", httpx.Empty{})
		if err != nil {
			c.t.Fatal(err)
		}
		all = append(all, reply.Events...)
	}
	return all
}

// sleep waits in real time, since the tests run real processes, or until the test times out.
func sleep(c *cell, d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}
