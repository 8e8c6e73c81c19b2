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

// proc is a process of the cell.
type proc struct {
	cmd *exec.Cmd
}

// cell is a platform, nodes and workers, each a process.
type cell struct {
	t        *testing.T
	ctx      context.Context
	bin      string
	reviewer local.Reviewer
	platform string
	settings string
	store    *proc
	nodes    []*nodeProc
	workers  []*workerProc
	// relayed is the node that reaches the platform by the relay; none is -1.
	relayed int
	relay   *relay
}

type nodeProc struct {
	proc
	callers, peers, operators string
}

type workerProc struct {
	proc
	// dead workers have taken their evidence along.
	dead    bool
	address string
}

// nodeStarted is the log line by which a node tells where it listens.
type nodeStarted struct {
	Msg       string `json:"msg"`
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// relayNone leaves every node with its own way to the platform.
const relayNone = -1

func newCell(t *testing.T, nodes, workers, relayed int) *cell {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	reviewer, err := local.NewReviewer()
	if err != nil {
		t.Fatal(err)
	}
	c := &cell{t: t, ctx: ctx, settings: fastSettings, bin: filepath.Join(os.Getenv("SWITCHBANK_BIN"), "switchbank"), reviewer: reviewer, relayed: relayed}
	p, out := c.start("dev", "platform", "--listen", "127.0.0.1:0")
	c.store = p
	c.platform = "http://" + readListening(t, out)
	for i := range workers {
		c.startWorker(i)
	}
	for i := range nodes {
		c.startNode(i)
	}
	return c
}

// start runs a process and returns its standard output line by line.
func (c *cell) start(args ...string) (*proc, *bufio.Scanner) {
	c.t.Helper()
	cmd := exec.CommandContext(c.ctx, c.bin, args...)
	// A node tells by its log where it listens, a stand-in by its output.
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
	p := &proc{cmd: cmd}
	c.t.Cleanup(func() { p.kill() })
	return p, bufio.NewScanner(out)
}

// signal sends sig to the process by its id.
func (p *proc) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill ends the process and waits for it.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

func readListening(t *testing.T, out *bufio.Scanner) string {
	t.Helper()
	var l local.Listening
	if !out.Scan() || json.Unmarshal(out.Bytes(), &l) != nil {
		t.Fatalf("no listening line, but %q", out.Text())
	}
	return l.Listening
}

func (c *cell) startWorker(i int) {
	h := local.ExampleHost(i, "kosice-1")
	p, out := c.start("dev", "worker", "--platform", c.platform, "--id", h.ID, "--data-centre", h.DataCentre, "--rack", h.Rack)
	c.workers = append(c.workers, &workerProc{proc: *p, address: readListening(c.t, out)})
}

// fastSettings has short leases, so that takeovers are seen soon.
const fastSettings = `
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

func (c *cell) startNode(i int) {
	c.t.Helper()
	platform := c.platform
	if i == c.relayed {
		c.relay = newRelay(c.t, c.platform)
		platform = c.relay.url
	}
	r := c.reviewer.Review.Reviewers[0]
	file := filepath.Join(c.t.TempDir(), "node.yaml")
	if err := os.WriteFile(file, fmt.Appendf(nil, c.settings, i, platform, r.Name, r.Key), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p, out := c.start("serve", "--config", file)
	n := &nodeProc{proc: *p}
	log, err := os.Create(filepath.Join(logDir(c.t), fmt.Sprintf("%s-node-%d.log", strings.ReplaceAll(c.t.Name(), "/", "-"), i)))
	if err != nil {
		c.t.Fatal(err)
	}
	for out.Scan() {
		var line nodeStarted
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

// logDir is where the nodes' logs are kept: under the test's name, when
// SWITCHBANK_LOGS names a directory.
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

// client returns a caller's and operator's client of the i-th node.
func (c *cell) client(i int, team string) *client.Client {
	return client.New(client.Config{Callers: c.nodes[i].callers, Operators: c.nodes[i].operators, Team: team})
}

// acceptBundle puts the example's bundle in force on all nodes.
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
	if _, err := httpx.Call[standin.Faults, httpx.Empty](c.ctx, http.DefaultClient, c.platform+"/standin/v1/faults", f); err != nil {
		c.t.Fatal(err)
	}
}

// evidence returns what all workers saw.
func (c *cell) evidence() []worker.Event {
	c.t.Helper()
	var all []worker.Event
	for _, w := range c.workers {
		if w.dead {
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

// wait lets real time pass: the faults here are those of real processes.
func wait(c *cell, d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}
