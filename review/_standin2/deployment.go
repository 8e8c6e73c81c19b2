// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"context"
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
	"strings"
	"sync"
	"syscall"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// The deployment is like the small one of the pages: 7 hosts in 3 data centres, 48 workers of 16
// cores and 32 GB, 8 of them a rack.
const (
	hostCount      = 7
	workersPerRack = 8
	workerCPUMilli = 16000
	workerMemoryMB = 32768
	memoryMB       = 284
	// restartDelay is how soon the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// callDeadline is how long a client waits for an answer.
	callDeadline = 3 * time.Second
	readyTimeout = 20 * time.Second
)

var dataCentres = []string{"kosice-a", "presov-b", "kosice-c"}

// deployment is a stand-in platform in this process, with nodes as processes of their own.
type deployment struct {
	site    *site.Site
	record  *record
	dir     string
	program string
	nodes   []*node
	workers []*site.Worker
	// platformAddresses are those of the store, the advice service and the list of machines.
	platformAddresses [3]string
	client            *http.Client
	next              int
	// losesAnswer reports whether the store's answer to a transaction is lost; nil: none is.
	losesAnswer func(body []byte) bool
	// key is the client's key, where calls need one.
	key string

	mu sync.Mutex
	// unhealthy holds the addresses of the workers that refuse all starts.
	unhealthy map[string]bool
	// cutUntil is until when the workers at some addresses are cut off from all nodes.
	cutUntil map[string]time.Time
	// refusedStarts counts the starts that they have refused.
	refusedStarts int
	closed        bool
	// offUntil is until when the hosts have no power.
	offUntil time.Time
}

// node is one node and its process.
type node struct {
	name, dataCentre               string
	callers, ready, peers, metrics string
	settings                       string

	mu      sync.Mutex
	process *exec.Cmd
	// memoryKills counts how often the process was killed because of its memory.
	memoryKills int
	peakMB      int64
}

// workerPlan says how many workers a service has, and an additional label of the first of them.
type workerPlan struct {
	service string
	count   int
	// label is the additional label of the first labelled workers.
	label    string
	labelled int
	// rackLabels are additional labels of all workers of a rack, by its name.
	rackLabels map[string]string
}

// hostCPUShare is the share of a core that each host has.
var hostCPUShare = "0.4"

// startDeployment starts the platform, the workers and the nodes, and waits until all nodes are ready.
func startDeployment(program string, rec *record, routes []site.Route, plans ...workerPlan) (*deployment, error) {
	dir, err := os.MkdirTemp("", "switchbank-review-")
	if err != nil {
		return nil, err
	}
	total := 0
	for _, p := range plans {
		total += p.count
	}
	addresses, err := freeAddresses(3 + total + 4*hostCount)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: rec, dir: dir, program: program, platformAddresses: [3]string(addresses[:3]), unhealthy: make(map[string]bool), cutUntil: make(map[string]time.Time),
		client: &http.Client{Timeout: callDeadline + time.Second},
	}
	started.Store(d)
	workerAddresses, nodeAddresses := addresses[3:3+total], addresses[3+total:]
	d.site = site.New(site.Config{
		Service: plans[0].service, StoreAddress: addresses[0], AdviceAddress: addresses[1], MachinesAddress: addresses[2],
		WorkerAddress: func(n int) string { return workerAddresses[n] }, Serve: d.serve,
	})
	d.configure(1, routes)
	for _, p := range plans {
		for i := range p.count {
			cfg := site.WorkerConfig{
				Rack: fmt.Sprintf("r%s-%d", p.service, i/workersPerRack), DataCentre: dataCentres[i%len(dataCentres)],
				CPUMilli: workerCPUMilli, MemoryMB: workerMemoryMB, Service: p.service,
			}
			if i < p.labelled {
				cfg.Label = p.label
			}
			if label := p.rackLabels[cfg.Rack]; label != "" {
				cfg.Label = label
			}
			d.workers = append(d.workers, d.site.AddWorker(cfg))
		}
	}
	for i := range hostCount {
		a := nodeAddresses[4*i:]
		d.nodes = append(d.nodes, &node{name: fmt.Sprintf("edge-%d", i), dataCentre: dataCentres[i%len(dataCentres)], callers: a[0], ready: a[1], peers: a[2], metrics: a[3]})
	}
	for _, n := range d.nodes {
		if err := d.writeSettings(n); err != nil {
			return d, err
		}
		if err := d.startNode(n); err != nil {
			return d, err
		}
	}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		if len(d.readyNodes()) == hostCount {
			break
		}
		if time.Now().After(end) {
			return d, errors.New("the nodes are not ready")
		}
	}
	time.Sleep(time.Second) // the owner has taken its shard over
	rec.line("%d nodes are ready, %d workers", hostCount, total)
	return d, nil
}

// configure lets the operator write a version of the configuration; the store's answer acknowledges it.
func (d *deployment) configure(version int64, routes []site.Route) {
	d.site.Configure(version, routes...)
	for _, r := range routes {
		d.record.line("operator: version %d acknowledged: route %s %s to service %s", version, r.Name, r.PathPrefix, r.Upstream)
	}
}

// close ends all processes and servers of the deployment.
func (d *deployment) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	for _, n := range d.nodes {
		n.kill()
	}
	d.site.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Fprintln(os.Stderr, "logs are in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) isClosed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	var listeners []net.Listener
	var addresses []string
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	// Below the range from which the system takes the ports of outgoing connections.
	for port := 20000 + os.Getpid()%90*100; len(addresses) < n && port < 32000; port++ {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	if len(addresses) < n {
		return nil, errors.New("too few free ports")
	}
	return addresses, nil
}

// serve serves a handler of the platform or of a worker.
func (d *deployment) serve(address string, h http.Handler) func() {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "serve:", err)
		os.Exit(exitCannotRun)
	}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut := d.cutFor(address); cut > 0 {
			// The call never arrives, and its caller hears nothing.
			_, _ = io.Copy(io.Discard, r.Body)
			select {
			case <-r.Context().Done():
			case <-time.After(cut):
			}
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/api/run-start" && d.refusesStart(address) {
			// A 503 from an unhealthy worker, which has done nothing.
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/api/hold" {
			serveLimitedEnds(w, r, h)
			return
		}
		if r.URL.Path == "/api/rows-tx" && d.losesAnswer != nil {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			if d.losesAnswer(body) {
				// The store does what it is asked, and its answer is lost.
				h.ServeHTTP(httptest.NewRecorder(), r)
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
		h.ServeHTTP(w, r)
	}))
	_ = srv.Listener.Close()
	srv.Listener = l
	srv.Start()
	return func() {
		srv.CloseClientConnections()
		_ = l.Close()
	}
}

// cut cuts a worker off from all nodes for some time. It runs on.
func (d *deployment) cut(w *site.Worker, most time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutUntil[w.Address] = time.Now().Add(most)
}

func (d *deployment) cutFor(address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.cutUntil[address])
}

// maxEnds is how many ends a worker lists at once.
const maxEnds = 500

// serveLimitedEnds lists at most maxEnds ends, as the platform's workers do.
func serveLimitedEnds(w http.ResponseWriter, r *http.Request, h http.Handler) {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	body := rec.Body.Bytes()
	var report map[string]json.RawMessage
	var ended []json.RawMessage
	if json.Unmarshal(body, &report) == nil && json.Unmarshal(report["Ended"], &ended) == nil && len(ended) > maxEnds {
		report["Ended"], _ = json.Marshal(ended[:maxEnds])
		body, _ = json.Marshal(report)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rec.Code)
	_, _ = w.Write(body)
}

// setUnhealthy makes a worker refuse all starts, or accept them again.
func (d *deployment) setUnhealthy(w *site.Worker, unhealthy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unhealthy[w.Address] = unhealthy
}

func (d *deployment) refusesStart(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unhealthy[address] {
		d.refusedStarts++
	}
	return d.unhealthy[address]
}

// writeSettings fills the template of the deploy file for a node, as the platform does.
func (d *deployment) writeSettings(n *node) error {
	template, err := os.ReadFile("deploy/node.yaml")
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range d.nodes[:3] {
		seeds = append(seeds, s.peers)
	}
	seedsJSON, err := json.Marshal(seeds)
	if err != nil {
		return err
	}
	_, metricsPort, err := net.SplitHostPort(n.metrics)
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{Node}}", n.name, "{{Zone}}", n.dataCentre, "{{Listen.Front}}", n.callers, "{{Listen.Ready}}", n.ready, "{{Listen.Control}}", n.peers,
		"{{Ip}}", "127.0.0.1", "{{PortRange.0}}", metricsPort, "{{Seeds|json}}", string(seedsJSON),
		"{{platform.Address}}", d.platformAddresses[0], "{{advice}}", d.platformAddresses[1], "{{Cloud.Address}}", d.platformAddresses[2],
		"{{Orders}}", "invocation", "{{Limits.MemoryMb}}", fmt.Sprint(memoryMB), "{{Limits.CpuShare}}", hostCPUShare, "{{Limits.Cores}}", "1", "{{Limits.LinkMbps}}", "1000.0",
		"{{Bounds.HoldMaxMs}}", "10000", "{{Bounds.stop_ms}}", "200", "{{Bounds.GraceS}}", "6", "{{Bounds.status_s}}", "120",
		"{{#Bounds.RevokeStrict}}true{{/Bounds.RevokeStrict}}{{^Bounds.RevokeStrict}}false{{/Bounds.RevokeStrict}}", "false",
		"{{#Bounds.RevokeMs}}{{Bounds.RevokeMs}}{{/Bounds.RevokeMs}}{{^Bounds.RevokeMs}}5000{{/Bounds.RevokeMs}}", "5000",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return errors.New("a gap of the template is not filled")
	}
	n.settings = filepath.Join(d.dir, n.name+".yaml")
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// startNode starts a node's process with the command of the deploy file, and starts it again
// whenever it ends.
func (d *deployment) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), d.program, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SWITCHBANK_SETTINGS=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The processes end with this one, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.mu.Lock()
	err = cmd.Start()
	n.process = cmd
	n.mu.Unlock()
	if err != nil {
		return err
	}
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		if d.isClosed() {
			return
		}
		d.record.line("process of %s ended: %v", n.name, err)
		time.Sleep(max(restartDelay, d.powerBackIn()))
		if !d.isClosed() {
			if err := d.startNode(n); err != nil {
				d.record.line("process of %s not started: %v", n.name, err)
			}
		}
	}()
	return nil
}

// kill kills a node's process.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Kill()
	}
}

// powerOff kills all nodes at once and starts none of them again before the given time is over.
func (d *deployment) powerOff(off time.Duration) {
	d.mu.Lock()
	d.offUntil = time.Now().Add(off)
	d.mu.Unlock()
	d.record.line("all hosts lose power for %s", off)
	for _, n := range d.nodes {
		n.kill()
	}
}

func (d *deployment) powerBackIn() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.offUntil)
}

// readyNodes returns the nodes that the platform's balancer would use.
func (d *deployment) readyNodes() (ready []*node) {
	c := &http.Client{Timeout: 500 * time.Millisecond}
	for _, n := range d.nodes {
		res, err := c.Get("http://" + n.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			ready = append(ready, n)
		}
	}
	return ready
}

// call makes a client's call at the next node, and returns the status, or 0 without an answer.
func (d *deployment) call(method, path string, body []byte, reply any) (status int, node string) {
	n := d.nodes[d.next%len(d.nodes)]
	d.next++
	return d.callAt(n, method, path, body, reply), n.name
}

func (d *deployment) callAt(n *node, method, path string, body []byte, reply any) int {
	return d.callFor(n, callDeadline, method, path, body, reply)
}

// callWithin hands a job in at a node, with a deadline.
func (d *deployment) callWithin(n *node, deadline time.Duration, method, path string, job any) int {
	body, err := json.Marshal(job)
	if err != nil {
		return 0
	}
	return d.callFor(n, deadline, method, path, body, nil)
}

func (d *deployment) callFor(n *node, deadline time.Duration, method, path string, body []byte, reply any) int {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Switchbank-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if d.key != "" {
		r.Header.Set("X-Switchbank-Credential", d.key)
	}
	res, err := d.client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0
	}
	if reply != nil {
		_ = json.Unmarshal(data, reply)
	}
	return res.StatusCode
}

// host is the host name of all routes.
const host = "nony24.example"

// submit hands a job in, with up to 4 retries as the clients have, and reports whether it was accepted.
func (d *deployment) submit(path string, job any) bool { return d.submitTimes(path, job, 5) }

// submitTimes hands a job in, at most so many times, and reports whether it was accepted.
func (d *deployment) submitTimes(path string, job any, tries int) bool {
	body, err := json.Marshal(job)
	if err != nil {
		return false
	}
	for range tries {
		status, at := d.call(http.MethodPost, path, body, nil)
		d.record.line("client: POST %s at %s: %d", path, at, status)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state.
func (d *deployment) state(path string) (status int, state string) {
	var reply struct{ State string }
	status, _ = d.call(http.MethodGet, path, nil, &reply)
	return status, reply.State
}

// job and step are what a client hands in.
type job struct {
	Spec        string `json:"Spec"`
	Steps       []step `json:"Steps"`
	StartAtMs   int64  `json:"StartAtMs,omitempty"`
	RepeatCount int    `json:"RepeatCount,omitempty"`
	IntervalMs  int64  `json:"IntervalMs,omitempty"`
}

type step struct {
	Count       int    `json:"Count"`
	Cpu         int64  `json:"Cpu"`
	MemMb       int64  `json:"MemMb"`
	EstimateMs  int64  `json:"EstimateMs"`
	DependsOn   []int  `json:"DependsOn,omitempty"`
	Constraints string `json:"Constraints,omitempty"`
	LongRunning bool   `json:"LongRunning,omitempty"`
	MayMiss     int    `json:"may_miss,omitempty"`
	Gang        bool   `json:"Gang,omitempty"`
	// AntiAffinity is how many tasks of the step one worker may run.
	AntiAffinity int `json:"AntiAffinity,omitempty"`
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// runs writes what happened on the workers to the tasks of some jobs.
func (r *record) runs(s *site.Site, of func(job string) bool) {
	for _, e := range s.Events() {
		id, _, _ := strings.Cut(e.Task, ".")
		if !of(id) {
			continue
		}
		r.mu.Lock()
		_, _ = fmt.Fprintf(r.file, "%8.3f worker %s: %s %s run %d\n", e.At.Sub(r.start).Seconds(), e.Worker, e.Kind, e.Task, e.Run)
		r.mu.Unlock()
	}
}
