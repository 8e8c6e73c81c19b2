// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"bytes"
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
	// jobPause is the pause between two jobs, and pollPause between two looks at one.
	jobPause  = 100 * time.Millisecond
	pollPause = 50 * time.Millisecond
)

// siteCell is a stand-in of the users' platform in this process, and nodes as processes.
type siteCell struct {
	t     *testing.T
	site  *site.Site
	bin   string
	dir   string
	nodes []*siteNode
	store string
	seeds []string
	rest  [2]string
	// links are the relays before listeners, by the address that others use.
	links map[string]*link
	// perShard is how many workers a shard has at most.
	perShard int
}

type siteNode struct {
	name                  string
	callers, ready, peers string
	// store and peersAt are where the node finds the store, and the others the node.
	store, peersAt string
	file           string
	cmd            *exec.Cmd
	log            *os.File
}

const (
	// firstPort to lastPort lie below the ports that the system gives to outgoing
	// connections, which therefore can't take one between its choice and its use.
	firstPort = 20_000
	lastPort  = 30_000
	// portStride sets the ports of processes that run at once apart, as far as their
	// ids allow.
	portStride = 97
	// portRoom is left above the first port for those of one run.
	portRoom = 4000
)

// portsFrom returns where to look for free ports: where SWITCHBANK_PORTS says, so
// that several runs at once never take a port of a process that is down just now.
func portsFrom(t *testing.T) int {
	text := os.Getenv("SWITCHBANK_PORTS")
	if text == "" {
		return firstPort + os.Getpid()*portStride%(lastPort-firstPort-portRoom)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("SWITCHBANK_PORTS: %v", err)
	}
	return port
}

// portPool hands out each port once, so that tests which run side by side never take
// one of a process that is down just now.
var portPool struct {
	mu   sync.Mutex
	next int
}

// freePorts returns loopback addresses that nothing listens on.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	portPool.mu.Lock()
	defer portPool.mu.Unlock()
	if portPool.next == 0 {
		portPool.next = portsFrom(t)
	}
	var addresses []string
	for ; len(addresses) < n && portPool.next < lastPort; portPool.next++ {
		port := portPool.next
		l, err := listen(t.Context(), fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		addresses = append(addresses, l.Addr().String())
		if err := unlisten(l); err != nil {
			t.Fatal(err)
		}
	}
	if len(addresses) < n {
		t.Fatalf("only %d of %d ports are free", len(addresses), n)
	}
	return addresses
}

func newSiteCell(t *testing.T) *siteCell {
	ports := freePorts(t, 3+siteWorkers+3*siteNodes)
	c := &siteCell{t: t, bin: filepath.Join(os.Getenv("SWITCHBANK_BIN"), "switchbank"), dir: t.TempDir(), store: ports[0], rest: [2]string{ports[1], ports[2]}, perShard: siteWorkers}
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
	for i := range siteNodes {
		n := &siteNode{name: fmt.Sprintf("n%d", i), callers: nodes[3*i], ready: nodes[3*i+1], peers: nodes[3*i+2], store: c.store, peersAt: nodes[3*i+2]}
		c.seeds = append(c.seeds, n.peers)
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	for _, n := range c.nodes {
		c.until(n.name+" is ready", func() bool { return c.status(http.MethodGet, "http://"+n.ready+"/", nil) == http.StatusOK })
	}
	return c
}

func (c *siteCell) serve(address string, h http.Handler) func() {
	if k := c.links[address]; k != nil {
		address = k.to
	}
	l, err := listen(c.t.Context(), address)
	if err != nil {
		// Not Fatal: a worker's next life is served from a goroutine of its fault.
		c.t.Errorf("serve: %v", err)
		return func() {}
	}
	srv := httptest.NewUnstartedServer(h)
	srv.Listener = l
	srv.Start()
	return func() {
		srv.CloseClientConnections()
		if err := unlisten(l); err != nil && !errors.Is(err, net.ErrClosed) {
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
limits: {memory_mb: 200}
bounds: {stop_ms: 200, grace_ms: 6000}
workers_per_shard: %d
`

// start runs a node's process.
func (c *siteCell) start(n *siteNode) {
	c.t.Helper()
	n.file = filepath.Join(c.dir, n.name+".yaml")
	text := fmt.Sprintf(siteSettings, n.name, n.callers, n.ready, n.peers, n.peersAt, strings.Join(c.seeds, `", "`), n.store, c.rest[0], c.rest[1], c.perShard)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(logDir(c.t), n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	n.log = log
	n.cmd = exec.CommandContext(c.t.Context(), c.bin, "node", "--settings", n.file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { c.kill(n) })
}

// kill ends a node's process, if it runs, and waits for it.
func (c *siteCell) kill(n *siteNode) {
	if n.cmd.ProcessState != nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	_ = n.log.Close()
}

// owner waits until a node other than one owns the shard, and returns it.
func (c *siteCell) owner(but *siteNode) *siteNode {
	c.t.Helper()
	var owner *siteNode
	c.until("a node owns the shard", func() bool {
		for _, n := range c.nodes {
			var reply struct {
				Owns []struct {
					Shard string `json:"shard"`
				} `json:"owns"`
			}
			if n != but && c.call(http.MethodPost, "http://"+n.peers+"/peer/v2/ping", []byte("{}"), &reply) == http.StatusOK && len(reply.Owns) > 0 {
				owner = n
			}
		}
		return owner != nil
	})
	return owner
}

// until waits for a condition; the test's own limit ends it.
func (c *siteCell) until(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(pollPause) {
		if time.Now().After(end) {
			c.t.Fatalf("never: %s", what)
		}
	}
}

func (c *siteCell) status(method, url string, body []byte) int { return c.call(method, url, body, nil) }

// call returns the status of a call, or 0 if there was no answer.
func (c *siteCell) call(method, url string, body []byte, reply any) int {
	r, err := http.NewRequestWithContext(c.t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Switchbank-Deadline-Ms", "3000")
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

// submit hands a job in at one node after the other until it is accepted.
func (c *siteCell) submit(i int) string {
	id := fmt.Sprintf("%016x", i+1)
	k := i
	c.until("job "+id+" is accepted", func() bool {
		k++
		return c.status(http.MethodPost, "http://"+c.nodes[k%len(c.nodes)].callers+"/urgent/"+id, []byte(siteJob)) == http.StatusOK
	})
	return id
}

// TestSite plays real processes on a stand-in of the users' platform: the owner is
// killed and started again, its successor is stopped as planned, and one is paused.
func TestSite(t *testing.T) {
	c := newSiteCell(t)
	faults := map[int]func(){
		siteJobs / 4: func() {
			n := c.owner(nil)
			c.kill(n)
			c.start(n)
		},
		siteJobs / 2: func() { c.stop(c.owner(nil)) },
		3 * siteJobs / 4: func() {
			n := c.owner(nil)
			c.signal(n, syscall.SIGSTOP)
			t.Cleanup(func() { c.signal(n, syscall.SIGCONT) })
			c.owner(n)
			c.signal(n, syscall.SIGCONT)
		},
	}
	var ids []string
	for i := range siteJobs {
		ids = append(ids, c.submit(i))
		if strike := faults[i]; strike != nil {
			strike()
		}
		time.Sleep(jobPause)
	}
	for _, id := range ids {
		c.until("job "+id+" succeeds", func() bool {
			var s struct{ State string }
			for _, n := range c.nodes {
				if c.call(http.MethodGet, "http://"+n.callers+"/urgent/"+id, nil, &s) == http.StatusOK {
					return s.State == "succeeded"
				}
			}
			return false
		})
	}
	c.judge()
}

// judge holds what the workers saw against the promises.
func (c *siteCell) judge() {
	for _, wrong := range c.site.Violations(site.Expectations{}) {
		c.t.Error(wrong)
	}
	// No worker drains in this play.
	for _, e := range c.site.Events() {
		if e.Kind == site.EventStartWhileDraining {
			c.t.Errorf("%s: %s on %s", e.Kind, e.Task, e.Worker)
		}
	}
}

// stop ends a node as planned, and starts it again.
func (c *siteCell) stop(n *siteNode) {
	c.signal(n, syscall.SIGTERM)
	if err := n.cmd.Wait(); err != nil {
		c.t.Errorf("%s ended with %v at a planned stop", n.name, err)
	}
	c.start(n)
}

func (c *siteCell) signal(n *siteNode, sig syscall.Signal) {
	if n.cmd.ProcessState == nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// TestNodeSettings checks that a wrong settings file is told by its field, with exit code 2.
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
