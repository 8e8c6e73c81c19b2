// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	nodeCount = 3
	// The figures of the deployment inkaso-vychod that concern a node.
	memoryMB   = "284"
	cpuShare   = "0.4"
	linkMbps   = "1000.0"
	holdMaxMS  = "10000"
	stopMS     = "200"
	graceS     = "6"
	statusS    = "120"
	deadlineMS = "3000"
	// workerCPU and workerMemoryMB are the size of a worker there.
	workerCPU      = 16000
	workerMemoryMB = 32768
	// entryLifetime is how long an entry of the directory outlasts the last announcement: three
	// heartbeats of 1.5 s.
	entryLifetime = 4500 * time.Millisecond
)

// The program and its settings, as the deploy file names them.
const (
	nodeProgram      = "target/switchbank"
	nodeArgument     = "node"
	settingsVariable = "SWITCHBANK_SETTINGS"
	settingsTemplate = "deploy/node.yaml"
)

// The names of the platform's listeners.
const (
	storeName    = "store"
	machinesName = "machines"
)

// cell is a deployment: stand-ins of the platform and the workers, and nodes as processes.
type cell struct {
	*record
	// trouble is false if the disruption is to be left out.
	trouble bool
	dir     string
	net     *network
	site    *site.Site
	workers []*site.Worker
	nodes   []*node
	http    *http.Client

	mu     sync.Mutex
	serves map[string]string
}

// node is a node's addresses and process.
type node struct {
	name                                            string
	callers, ready, peers, advertisedPeers, metrics string
	cmd                                             *exec.Cmd
	logFile                                         string
}

func newCell(rec *record, trouble bool) *cell {
	return &cell{record: rec, trouble: trouble, net: newNetwork(), http: &http.Client{Timeout: 5 * time.Second}, serves: make(map[string]string)}
}

// The ports from firstPort to lastPort are below the range that the system assigns to outgoing
// connections, so that no connection takes a port between its choice and its use.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

// freeAddresses returns loopback addresses with unused ports.
func freeAddresses(n int) []string {
	var addresses []string
	first := os.Getpid() * 97 % (lastPort - firstPort)
	for i := 0; i < lastPort-firstPort && len(addresses) < n; i++ {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(first+i)%(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, address)
	}
	if len(addresses) < n {
		panic(notRun("there are not enough free ports"))
	}
	return addresses
}

// start starts the platform, the given number of workers and the nodes, and waits until the nodes are
// ready.
func (c *cell) start(workerCount int, routes ...site.Route) {
	var err error
	if c.dir, err = os.MkdirTemp("", "switchbank-review-"); err != nil {
		panic(notRun(err.Error()))
	}
	addresses := freeAddresses(3 + workerCount + 5*nodeCount)
	platform, workers, nodes := addresses[:3], addresses[3:3+workerCount], addresses[3+workerCount:]
	c.serves[platform[0]], c.serves[platform[1]], c.serves[platform[2]] = storeName, "advice", machinesName
	for i, a := range workers {
		c.serves[a] = workerName(i)
	}
	c.site = site.New(site.Config{
		Service: "inkaso-core", StoreAddress: platform[0], AdviceAddress: platform[1], MachinesAddress: platform[2],
		WorkerAddress: func(n int) string { return workers[n] }, Serve: c.serve,
	})
	c.site.Configure(1, routes...)
	for i := range workerCount {
		w := c.site.AddWorker(site.WorkerConfig{Rack: fmt.Sprintf("r1-%d", i/2), CPUMilli: workerCPU, MemoryMB: workerMemoryMB})
		c.workers = append(c.workers, w)
		c.printf("worker %s is %s", workerName(i), w.ID)
	}
	for i := range nodeCount {
		a := nodes[5*i:]
		c.nodes = append(c.nodes, &node{name: fmt.Sprintf("n%d", i), callers: a[0], ready: a[1], peers: a[2], advertisedPeers: a[3], metrics: a[4]})
	}
	for _, n := range c.nodes {
		c.net.proxy(n.name, n.advertisedPeers, n.peers)
	}
	for _, n := range c.nodes {
		c.startNode(n, platform)
	}
	for _, n := range c.nodes {
		c.waitUntil(n.name+" is ready", 20*time.Second, func() bool {
			status, _ := c.call(http.MethodGet, "http://"+n.ready+"/api/ready", nil)
			return status == http.StatusOK
		})
	}
	c.printf("all nodes are ready")
}

func workerName(i int) string { return fmt.Sprintf("w%d", i) }

// serve serves a handler of the platform or of a worker behind a proxy.
func (c *cell) serve(address string, h http.Handler) func() {
	srv := httptest.NewServer(h)
	c.mu.Lock()
	name := c.serves[address]
	c.mu.Unlock()
	stop := c.net.proxy(name, address, srv.Listener.Addr().String())
	return func() {
		stop()
		srv.CloseClientConnections()
	}
}

// startNode fills in the template of the settings and starts a node with the command of the deploy
// file. Other nodes reach it through a proxy, which its settings name.
func (c *cell) startNode(n *node, platform []string) {
	var seeds []string
	for _, o := range c.nodes {
		seeds = append(seeds, `"`+o.advertisedPeers+`"`)
	}
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		panic(notRun(err.Error()))
	}
	host, port, _ := net.SplitHostPort(n.metrics)
	text := string(template)
	for gap, value := range map[string]string{
		"{{Node}}": n.name, "{{Zone}}": "kosice-a", "{{Listen.Front}}": n.callers, "{{Listen.Ready}}": n.ready, "{{Listen.Control}}": n.peers,
		"{{Ip}}": host, "{{PortRange.0}}": port, "{{Seeds|json}}": "[" + strings.Join(seeds, ",") + "]",
		"{{platform.Address}}": platform[0], "{{advice}}": platform[1], "{{Cloud.Address}}": platform[2], "{{Orders}}": "invocation",
		"{{Limits.MemoryMb}}": memoryMB, "{{Limits.CpuShare}}": cpuShare, "{{Limits.Cores}}": "1", "{{Limits.LinkMbps}}": linkMbps,
		"{{Bounds.HoldMaxMs}}": holdMaxMS, "{{Bounds.stop_ms}}": stopMS, "{{Bounds.GraceS}}": graceS, "{{Bounds.status_s}}": statusS,
		"{{#Bounds.RevokeStrict}}true{{/Bounds.RevokeStrict}}{{^Bounds.RevokeStrict}}false{{/Bounds.RevokeStrict}}": "false",
		"{{#Bounds.RevokeMs}}{{Bounds.RevokeMs}}{{/Bounds.RevokeMs}}{{^Bounds.RevokeMs}}5000{{/Bounds.RevokeMs}}":   "5000",
	} {
		text = strings.ReplaceAll(text, gap, value)
	}
	peers := `  peers: "` + n.peers + "\"\n"
	text = strings.Replace(text, peers, peers+`  peers_at: "`+n.advertisedPeers+"\"\n", 1)
	if strings.Contains(text, "{{") || !strings.Contains(text, "peers_at") {
		panic(notRun("the template of the settings has gaps that this stand-in doesn't know:\n" + text))
	}
	file := filepath.Join(c.dir, n.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		panic(notRun(err.Error()))
	}
	n.logFile = filepath.Join(c.dir, n.name+".log")
	log, err := os.Create(n.logFile)
	if err != nil {
		panic(notRun(err.Error()))
	}
	defer func() { _ = log.Close() }()
	n.cmd = exec.Command(nodeProgram, nodeArgument)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), settingsVariable + "=" + file}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		n.cmd = nil
		panic(notRun(err.Error()))
	}
	c.net.addProcess(n.cmd.Process.Pid, n.name)
	c.printf("node %s started", n.name)
}

// close ends the nodes and stops the stand-ins.
func (c *cell) close() {
	for _, n := range c.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
	c.net.close()
	if keep := os.Getenv("KEEP_LOGS"); keep == "" && c.dir != "" {
		_ = os.RemoveAll(c.dir)
	}
}

// pollPause is the pause between two checks of a condition.
const pollPause = 200 * time.Microsecond

// waitUntil waits until ok returns true. The case can't run if that takes longer than limit.
func (c *cell) waitUntil(condition string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); !ok(); time.Sleep(pollPause) {
		if time.Now().After(end) {
			panic(notRun("it took too long until " + condition))
		}
	}
}

// call makes a call and returns the status and the body of the answer; 0 means that there was none.
func (c *cell) call(method, url string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		panic(notRun(err.Error()))
	}
	r.Host = callersHost
	r.Header.Set("X-Switchbank-Deadline-Ms", deadlineMS)
	res, err := c.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, data
}

// callersHost is the host of all routes.
const callersHost = "inkaso.example"

// submit hands in a job, at one node after the other until one accepts it, and records the calls
// and their answers.
func (c *cell) submit(prefix, id, job string) {
	k := 0
	c.waitUntil("job "+id+" is accepted", 10*time.Second, func() bool {
		n := c.nodes[k%len(c.nodes)]
		k++
		status, _ := c.call(http.MethodPost, "http://"+n.callers+prefix+id, []byte(job))
		c.printf("client -> %s: POST %s%s %s -> %d", n.name, prefix, id, job, status)
		if status != http.StatusOK {
			time.Sleep(submitPause)
		}
		return status == http.StatusOK
	})
}

// submitPause is the pause before a job that was not accepted is handed in again.
const submitPause = time.Second

// state asks a node for the state of a job, and records the call and its answer.
func (c *cell) state(n *node, prefix, id string) string {
	var s struct{ State string }
	status, body := c.call(http.MethodGet, "http://"+n.callers+prefix+id, nil)
	if status == http.StatusOK {
		_ = json.Unmarshal(body, &s)
	}
	c.printf("client -> %s: GET %s%s -> %d %s", n.name, prefix, id, status, strings.TrimSpace(string(body)))
	return s.State
}

// owner returns the node that runs the shard, by its own account; nil: there is none.
func (c *cell) owner(except *node) *node {
	for _, n := range c.nodes {
		var reply struct {
			Owns []struct {
				Shard string `json:"shard"`
			} `json:"owns"`
		}
		status, body := c.call(http.MethodPost, "http://"+n.peers+"/peer/v2/ping", []byte("{}"))
		if n != except && status == http.StatusOK && json.Unmarshal(body, &reply) == nil && len(reply.Owns) > 0 {
			return n
		}
	}
	return nil
}
