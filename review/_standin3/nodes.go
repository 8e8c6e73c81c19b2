// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

const settings = `node: %q
data_centre: zone-a
listen:
  callers: %q
  ready: %q
  peers: %q
  peers_at: %q
  metrics: %q
seeds: [%s]
store: %q
advice: ""
machines: %q
worker_orders: invocation
limits:
  memory_mb: 284
  cpu_share: 0.4
  core_speed: 1
  link_mbps: 1000
bounds:
  lease_most_ms: 10000
  stop_ms: 200
  grace_ms: 6000
  keep_state_ms: 120000
tokens:
  strict: false
  max_age_ms: 5000
`

// node is a machine of the system and its process.
type node struct {
	name, callers, ready, peers, metrics string
	// peersAt is where the others reach the node: a link to peers, or peers itself.
	peersAt, store, machines string
	file                     string
	cmd                      *exec.Cmd
	exited                   chan struct{}
	err                      error
}

// cell is the whole: the platform, and the nodes as processes of their own.
type cell struct {
	*site
	root, dir       string
	nodes           []*node
	storeAddress    string
	machinesAddress string
	links           []*link
	began           time.Time
	lines           []string
	client          *http.Client
	next            int
}

func newCell(nodes, workers int, cpu, mem int64) *cell {
	return newLinkedCell(nodes, workers, cpu, mem, false)
}

// newLinkedCell is newCell. With linked, each node reaches the platform and the other nodes through
// links that can be cut.
func newLinkedCell(nodes, workers int, cpu, mem int64, linked bool) *cell {
	root, err := filepath.Abs(os.Getenv("ROOT"))
	must(err)
	dir, err := os.MkdirTemp("", "review-3-")
	must(err)
	c := &cell{site: newSite(), root: root, dir: dir, began: time.Now(), client: &http.Client{Timeout: 4 * time.Second}}
	running = c
	c.storeAddress, _ = c.listen("127.0.0.1:0", c.store.handler())
	c.machinesAddress, _ = c.listen("127.0.0.1:0", http.HandlerFunc(c.serveMachines))
	for i := range workers {
		c.addWorker(i, fmt.Sprintf("r1-%d", i/8), cpu, mem)
	}
	var seeds []string
	for i := range nodes {
		p := freePorts(4)
		n := &node{name: fmt.Sprintf("edge-zone-a-%d", i+1), callers: p[0], ready: p[1], peers: p[2], metrics: p[3]}
		n.peersAt, n.store, n.machines = n.peers, c.storeAddress, c.machinesAddress
		if linked {
			n.peersAt, n.store, n.machines = c.link(n, toNode, n.peers), c.link(n, toPlatform, c.storeAddress), c.link(n, toPlatform, c.machinesAddress)
		}
		c.nodes = append(c.nodes, n)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", n.peersAt))
		}
	}
	for _, n := range c.nodes {
		n.file = filepath.Join(dir, n.name+".yaml")
		text := fmt.Sprintf(settings, n.name, n.callers, n.ready, n.peers, n.peersAt, n.metrics, strings.Join(seeds, ", "), n.store, n.machines)
		must(os.WriteFile(n.file, []byte(text), 0o600))
	}
	return c
}

// The ports of nodes are below those that the system gives to outgoing connections, so that none of
// these takes one before its node listens there.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

var nextPort = firstPort + os.Getpid()*97%(lastPort-firstPort-1000)

// freePorts returns addresses with ports that nobody uses.
func freePorts(n int) []string {
	var list []string
	for ; len(list) < n; nextPort++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		list = append(list, l.Addr().String())
		_ = l.Close()
	}
	return list
}

// start starts a node as the deploy file does.
func (c *cell) start(n *node) {
	log, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	n.cmd = exec.Command(filepath.Join(c.root, "target", "switchbank"), "node", "--max-files=4100")
	n.cmd.Dir = c.root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SWITCHBANK_SETTINGS=" + n.file}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	must(n.cmd.Start())
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		n.err = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(n.cmd, n.exited)
	c.logf("process %s started", n.name)
}

func (c *cell) startAll() bool {
	for _, n := range c.nodes {
		c.start(n)
	}
	return c.awaitReady(20 * time.Second)
}

func (c *cell) awaitReady(d time.Duration) bool {
	return c.await(d, func() bool {
		for _, n := range c.nodes {
			res, err := c.client.Get("http://" + n.ready + "/api/ready")
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			if res.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (c *cell) await(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// hasExited reports whether the process of a node has ended.
func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

func (c *cell) stopAll() {
	for _, n := range c.nodes {
		if n.cmd != nil && !n.hasExited() {
			n.signal(syscall.SIGCONT)
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// logf writes a line of the record.
func (c *cell) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(c.began).Seconds()) + fmt.Sprintf(format, args...)
	c.mu.Lock()
	c.lines = append(c.lines, line)
	c.mu.Unlock()
	fmt.Println(line)
}

// writeRecord writes what was sent, answered and run.
func (c *cell) writeRecord(file string, withEvents bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := slices.Clone(c.lines)
	if withEvents {
		for _, e := range c.events {
			lines = append(lines, fmt.Sprintf("%8.3f  %s %s run %d on %s %s", e.at.Sub(c.began).Seconds(), e.what, e.task, e.run, e.worker, e.note))
		}
		slices.Sort(lines)
	}
	must(os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o644))
}

// call makes a call of a client at a node and returns the status; 0: no complete answer.
func (c *cell) call(n *node, method, path string, body any, reply any) int {
	return c.callFor(c.client.Timeout, n, method, path, body, reply)
}

// callFor makes a call whose client leaves after d.
func (c *cell) callFor(d time.Duration, n *node, method, path string, body any, reply any) int {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var payload []byte
	if body != nil {
		var err error
		payload, err = json.Marshal(body)
		must(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, bytes.NewReader(payload))
	must(err)
	r.Host = "nony24.example"
	r.Header.Set("X-Switchbank-Deadline-Ms", "3000")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	res, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0
	}
	if reply != nil {
		_ = json.Unmarshal(data, reply)
	}
	return res.StatusCode
}

// submit hands a job in, up to five times.
func (c *cell) submit(prefix, id string, j job) bool {
	c.mu.Lock()
	c.jobs[id] = j
	c.mu.Unlock()
	for range 5 {
		c.next++
		n := c.nodes[c.next%len(c.nodes)]
		status := c.call(n, http.MethodPost, prefix+id, j, nil)
		c.logf("client: POST %s%s at %s -> %d", prefix, id, n.name, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks nodes for the state of a job until one answers.
func (c *cell) state(prefix, id string) (string, int) {
	status := 0
	for i := range c.nodes {
		var reply struct{ State string }
		c.next++
		n := c.nodes[(c.next+i)%len(c.nodes)]
		if n.cmd == nil || n.hasExited() {
			continue
		}
		if status = c.call(n, http.MethodGet, prefix+id, nil, &reply); status == http.StatusOK || status == http.StatusGone {
			return reply.State, status
		}
	}
	return "", status
}

func configuration(version int64, routes ...map[string]any) map[string]any {
	return map[string]any{"Version": version, "Routes": routes,
		"Upstreams": []map[string]any{{"Name": "core", "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": false, "Spare": false}},
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
}

func route(name, prefix string, priority, attempts int, targetMS int64) map[string]any {
	return map[string]any{"Name": name, "Host": "nony24.example", "PathPrefix": prefix, "Type": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": targetMS, "Priority": priority, "Upstream": "core", "MaxAttempts": attempts, "Stretch": 2.2}
}

func stringsReader(s string) io.Reader { return strings.NewReader(s) }
