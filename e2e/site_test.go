// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	siteNodes   = 3
	siteWorkers = 6
	siteJobs    = 24
	// siteMemoryMB is the limit of memory in the nodes' settings.
	siteMemoryMB = 200
	// jobInterval is the time between two submitted jobs, and pollInterval that between two
	// checks of an awaited condition.
	jobInterval  = 100 * time.Millisecond
	pollInterval = 50 * time.Millisecond
)

// siteCell is a stand-in of the users' platform in the test's process, and nodes that run as
// processes of their own.
type siteCell struct {
	t            *testing.T
	site         *site.Site
	bin          string
	dir          string
	nodes        []*siteNode
	storeAddress string
	seeds        []string
	// serviceAddresses are those of the advice service and of the service of machines.
	serviceAddresses [2]string
	// links maps the address that clients connect to to the link that listens there.
	links map[string]*link
	// workersPerShard is the maximum number of workers of a shard.
	workersPerShard int
	// key is the key of the callers' team; empty if calls need none.
	key string
	// memoryMB is the nodes' limit of memory in their settings, and maxFiles the limit of open
	// descriptors that their processes are started with; 0 keeps that of the test's process.
	memoryMB, maxFiles int
}

// siteNode is a node's settings and process.
type siteNode struct {
	name                  string
	callers, ready, peers string
	// storeAddress is where the node reaches the store, and advertisedPeers where other nodes
	// reach the node.
	storeAddress, advertisedPeers string
	// limits are the resource limits of the node's settings; "": the cell's memoryMB.
	limits string
	file   string
	cmd    *exec.Cmd
	log    *os.File
}

const (
	// The ports from firstPort to lastPort are below the range that the system assigns to
	// outgoing connections, so that no connection takes a port between its choice and its use.
	firstPort = 20_000
	lastPort  = 30_000
	// portStride is the distance between the first ports of test processes with successive
	// process IDs, so that concurrent runs rarely choose the same ports.
	portStride = 97
	// portsPerRun is the number of ports reserved for one run above its first port.
	portsPerRun = 4000
)

// firstPortToTry returns the port from which to look for free ports. SWITCHBANK_PORTS sets
// it, so that concurrent runs never take the port of a process that is just being restarted.
func firstPortToTry(t *testing.T) int {
	text := os.Getenv("SWITCHBANK_PORTS")
	if text == "" {
		return firstPort + os.Getpid()*portStride%(lastPort-firstPort-portsPerRun)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("SWITCHBANK_PORTS: %v", err)
	}
	return port
}

// portPool hands out each port once, so that parallel tests never take the port of a process
// that is just being restarted.
var portPool struct {
	mu   sync.Mutex
	next int
}

// freePorts returns n loopback addresses with unused ports.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	portPool.mu.Lock()
	defer portPool.mu.Unlock()
	if portPool.next == 0 {
		portPool.next = firstPortToTry(t)
	}
	var addresses []string
	for ; len(addresses) < n && portPool.next < lastPort; portPool.next++ {
		port := portPool.next
		l, err := listen(t.Context(), fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		addresses = append(addresses, l.Addr().String())
		if err := closeListener(l); err != nil {
			t.Fatal(err)
		}
	}
	if len(addresses) < n {
		t.Fatalf("only %d of %d ports are free", len(addresses), n)
	}
	return addresses
}

// newSiteCell starts a platform, workers and nodes, and waits until the nodes are ready.
func newSiteCell(t *testing.T) *siteCell { return newLimitedSiteCell(t, siteNodes, siteMemoryMB, 0) }

// newLimitedSiteCell is newSiteCell for a number of nodes with limits of their memory, in MB, and
// of their open descriptors; see siteCell.
func newLimitedSiteCell(t *testing.T, nodeCount, memoryMB, maxFiles int) *siteCell {
	ports := freePorts(t, 3+siteWorkers+3*nodeCount)
	c := &siteCell{t: t, bin: filepath.Join(os.Getenv("SWITCHBANK_BIN"), "switchbank"), dir: t.TempDir(), storeAddress: ports[0], serviceAddresses: [2]string{ports[1], ports[2]}, workersPerShard: siteWorkers, memoryMB: memoryMB, maxFiles: maxFiles}
	workers, nodes := ports[3:3+siteWorkers], ports[3+siteWorkers:]
	c.site = site.New(site.Config{
		Service: "billing", StoreAddress: ports[0], AdviceAddress: ports[1], MachinesAddress: ports[2],
		WorkerAddress: func(n int) string { return workers[n] }, Serve: c.serve,
	})
	t.Cleanup(c.site.Close)
	c.site.Configure(1, site.Route{
		Name: "urgent", Host: "h", PathPrefix: "/urgent/", MaxAttempts: 3, Stretch: 1.5, TargetMS: 250, Upstream: "billing",
		Advice: &site.AdviceCost{DecideMS: 20, EachMS: 0.1, ValidMS: 2500},
	})
	for i := range siteWorkers {
		c.site.AddWorker(site.WorkerConfig{Rack: fmt.Sprintf("r1-%d", i/2), CPUMilli: 4000, MemoryMB: 32000})
	}
	for i := range nodeCount {
		n := &siteNode{name: fmt.Sprintf("n%d", i), callers: nodes[3*i], ready: nodes[3*i+1], peers: nodes[3*i+2], storeAddress: c.storeAddress, advertisedPeers: nodes[3*i+2]}
		c.seeds = append(c.seeds, n.peers)
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		c.startNode(n)
	}
	for _, n := range c.nodes {
		c.waitUntil(n.name+" is ready", func() bool { return c.status(http.MethodGet, "http://"+n.ready+"/", nil) == http.StatusOK })
	}
	return c
}

// serve serves h at an address, or behind the address's link if there is one. It returns a
// function that stops serving.
func (c *siteCell) serve(address string, h http.Handler) func() {
	if k := c.links[address]; k != nil {
		address = k.targetAddress
	}
	l, err := listen(c.t.Context(), address)
	if err != nil {
		// Fatal is not allowed here, because a fault restarts its worker in a goroutine.
		c.t.Errorf("serve: %v", err)
		return func() {}
	}
	srv := httptest.NewUnstartedServer(h)
	srv.Listener = l
	srv.Start()
	return func() {
		srv.CloseClientConnections()
		if err := closeListener(l); err != nil && !errors.Is(err, net.ErrClosed) {
			c.t.Error(err)
		}
	}
}

const siteSettings = `
node: %s
data_centre: dc
listen: {callers: "%s", ready: "%s", peers: "%s", peers_at: "%s"}
seeds: ["%s"]
store: "%s"
advice: "%s"
machines: "%s"
limits: {%s}
bounds: {stop_ms: 200, grace_ms: 6000}
workers_per_shard: %d
`

// startNode writes a node's settings and starts its process.
func (c *siteCell) startNode(n *siteNode) {
	c.t.Helper()
	n.file = filepath.Join(c.dir, n.name+".yaml")
	text := fmt.Sprintf(siteSettings, n.name, n.callers, n.ready, n.peers, n.advertisedPeers, strings.Join(c.seeds, `", "`), n.storeAddress, c.serviceAddresses[0], c.serviceAddresses[1], cmp.Or(n.limits, fmt.Sprintf("memory_mb: %d", c.memoryMB)), c.workersPerShard)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(logDir(c.t), n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	n.log = log
	n.cmd = c.nodeCommand(n)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { c.killNode(n) })
}

// nodeCommand returns the command that runs a node. A shell that sets the limit of descriptors
// replaces itself with the node, so that the process is the node's.
func (c *siteCell) nodeCommand(n *siteNode) *exec.Cmd {
	if c.maxFiles == 0 {
		return exec.CommandContext(c.t.Context(), c.bin, "node", "--settings", n.file)
	}
	return exec.CommandContext(c.t.Context(), "sh", "-c", `ulimit -n "$1" && exec "$2" node --settings "$3"`, "sh", strconv.Itoa(c.maxFiles), c.bin, n.file)
}

// killNode kills a node's process, unless it has ended, and waits for it.
func (c *siteCell) killNode(n *siteNode) {
	if n.cmd.ProcessState != nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	_ = n.log.Close()
}

// waitForOwner waits until a node other than except owns the shard, and returns that node.
func (c *siteCell) waitForOwner(except *siteNode) *siteNode {
	c.t.Helper()
	var owner *siteNode
	c.waitUntil("a node owns the shard", func() bool {
		for _, n := range c.nodes {
			var reply struct {
				Owns []struct {
					Shard string `json:"shard"`
				} `json:"owns"`
			}
			if n != except && c.call(http.MethodPost, "http://"+n.peers+"/peer/v2/ping", []byte("{}"), &reply) == http.StatusOK && len(reply.Owns) > 0 {
				owner = n
			}
		}
		return owner != nil
	})
	return owner
}

// waitUntil waits until ok returns true, and fails the test after testTimeout.
func (c *siteCell) waitUntil(condition string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			c.t.Fatalf("timed out waiting for: %s", condition)
		}
	}
}

// status returns the HTTP status of a call, or 0 if there was no complete answer.
func (c *siteCell) status(method, url string, body []byte) int { return c.call(method, url, body, nil) }

// call makes a call, decodes the answer into reply unless that is nil, and returns the HTTP
// status, or 0 if there was no complete answer.
func (c *siteCell) call(method, url string, body []byte, reply any) int {
	r, err := http.NewRequestWithContext(c.t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Switchbank-Deadline-Ms", "3000")
	if c.key != "" {
		r.Header.Set("X-Switchbank-Credential", c.key)
	}
	res, err := (&http.Client{Timeout: 5 * time.Second}).Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err == nil && reply != nil {
		err = json.Unmarshal(data, reply)
	}
	if err != nil {
		return 0
	}
	return res.StatusCode
}

const siteJob = `{"Spec":"300 cpu=500","Steps":[{"Count":3,"Cpu":500,"MemMb":100,"EstimateMs":300},` +
	`{"Count":3,"Cpu":500,"MemMb":100,"EstimateMs":300,"DependsOn":[0]}]}`

// submit sends the i-th job to one node after the other until one accepts it.
func (c *siteCell) submit(i int) string {
	id := fmt.Sprintf("%016x", i+1)
	k := i
	c.waitUntil("job "+id+" is accepted", func() bool {
		k++
		return c.status(http.MethodPost, "http://"+c.nodes[k%len(c.nodes)].callers+"/urgent/"+id, []byte(siteJob)) == http.StatusOK
	})
	return id
}

// TestSite runs nodes as processes on a stand-in of the users' platform and submits jobs. In
// the meantime, the shard's owner is killed and restarted, its successor is stopped as
// planned, and the next owner is paused until another node has taken the shard over. All
// jobs must succeed without a violation.
func TestSite(t *testing.T) {
	c := newSiteCell(t)
	faults := map[int]func(){
		siteJobs / 4: func() {
			n := c.waitForOwner(nil)
			c.killNode(n)
			c.startNode(n)
		},
		siteJobs / 2: func() { c.restartGracefully(c.waitForOwner(nil)) },
		3 * siteJobs / 4: func() {
			n := c.waitForOwner(nil)
			c.signal(n, syscall.SIGSTOP)
			t.Cleanup(func() { c.signal(n, syscall.SIGCONT) })
			c.waitForOwner(n)
			c.signal(n, syscall.SIGCONT)
		},
	}
	var ids []string
	for i := range siteJobs {
		ids = append(ids, c.submit(i))
		if inject := faults[i]; inject != nil {
			inject()
		}
		time.Sleep(jobInterval)
	}
	for _, id := range ids {
		c.waitUntil("job "+id+" succeeds", func() bool {
			var s struct{ State string }
			for _, n := range c.nodes {
				if c.call(http.MethodGet, "http://"+n.callers+"/urgent/"+id, nil, &s) == http.StatusOK {
					return s.State == "succeeded"
				}
			}
			return false
		})
	}
	c.checkViolations()
}

// checkViolations reports violations of guarantees according to the workers' events.
func (c *siteCell) checkViolations() {
	for _, violation := range c.site.Violations(site.Expectations{}) {
		c.t.Error(violation)
	}
	// No worker drains in this test.
	for _, e := range c.site.Events() {
		if e.Kind == site.EventStartWhileDraining {
			c.t.Errorf("%s: %s on %s", e.Kind, e.Task, e.Worker)
		}
	}
}

// restartGracefully stops a node with SIGTERM and starts it again.
func (c *siteCell) restartGracefully(n *siteNode) {
	c.signal(n, syscall.SIGTERM)
	if err := n.cmd.Wait(); err != nil {
		c.t.Errorf("planned stop of %s: %v", n.name, err)
	}
	c.startNode(n)
}

// signal sends sig to a node's process, unless it has ended.
func (c *siteCell) signal(n *siteNode, sig syscall.Signal) {
	if n.cmd.ProcessState == nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// TestNodeSettings checks that an invalid settings file is reported with the name of the
// field and exit code 2.
func TestNodeSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(file, []byte("node: n1\nlisten: {callers: \"x\", ready: \"127.0.0.1:1\", peers: \"127.0.0.1:2\"}\nstore: \"127.0.0.1:3\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.CommandContext(t.Context(), filepath.Join(os.Getenv("SWITCHBANK_BIN"), "switchbank"), "node", "--settings", file).CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 2 || !strings.Contains(string(out), "listen.callers") {
		t.Errorf("%v: %s", err, out)
	}
}
