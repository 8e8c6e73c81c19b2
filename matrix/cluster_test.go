// SPDX-License-Identifier: Apache-2.0

package matrix_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/examples"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/client"
	"switchbank.example/switchbank/internal/config"
	"switchbank.example/switchbank/internal/journal"
	"switchbank.example/switchbank/internal/lease"
	"switchbank.example/switchbank/internal/node"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/platform"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/shard"
	"switchbank.example/switchbank/internal/worker"
	"switchbank.example/switchbank/standin/network"
	standin "switchbank.example/switchbank/standin/platform"
	standinworker "switchbank.example/switchbank/standin/worker"
)

const (
	dataCentre      = "dc"
	platformHost    = "platform"
	platformTimeout = time.Second
	initialWorkers  = 4
	initialNodes    = 3

	jobShardCount    = 4
	workerShardCount = 2
)

// cluster is a stand-in platform, nodes and stand-in workers on an in-memory network.
type cluster struct {
	t            *testing.T
	ctx          context.Context
	net          *network.Network
	plat         *standin.Platform
	guards       node.Guards
	workerConfig standinworker.Config
	steps        *stepTracker
	// copyTransport sends copies of messages. It is not the sender's own transport, since a
	// message already on the network arrives even if its sender has died or was cut off.
	copyTransport *http.Transport
	// unhealed counts the lasting faults that have not been healed yet.
	unhealed atomic.Int64
	nameSeq  atomic.Int64
	mu       sync.Mutex
	nodes    map[string]*clusterNode
	workers  map[string]*clusterWorker
	// started are all nodes ever started. It includes those that nodes no longer holds
	// because another node was started under their name.
	started []*clusterNode
	// replacedEvents are the events of workers that were replaced.
	replacedEvents []standinworker.Event
}

type clusterNode struct {
	name   string
	n      *node.Node
	stop   context.CancelFunc
	done   chan struct{}
	client *client.Client
	http   *http.Transport
	// killed is set once the node is killed, and drained is when its planned stop began.
	killed  bool
	drained time.Time
}

type clusterWorker struct {
	host platform.Host
	w    *standinworker.Worker
	stop context.CancelFunc
	dead bool
}

func newCluster(t *testing.T, guards node.Guards, workerConfig standinworker.Config) *cluster {
	c := &cluster{
		t: t, ctx: t.Context(), net: network.New(), plat: standin.New(), guards: guards, workerConfig: workerConfig,
		steps: newStepTracker(), nodes: make(map[string]*clusterNode), workers: make(map[string]*clusterWorker),
	}
	c.copyTransport = &http.Transport{DialContext: c.net.Dial("wire")}
	for i := range initialWorkers {
		c.startWorker(fmt.Sprintf("w%d", i), rackIn(i%workerShardCount))
	}
	for i := range initialNodes {
		c.startNode(fmt.Sprintf("n%d", i))
	}
	return c
}

// rackIn returns the name of a rack whose workers belong to the i-th worker shard.
func rackIn(i int) string {
	dc := shard.DataCentre{Name: dataCentre, WorkerShards: workerShardCount}
	key := shard.Layout(0, []shard.DataCentre{dc})[i]
	for n := 0; ; n++ {
		if rack := fmt.Sprintf("rack%d", n); shard.WorkerKey(dc, rack) == key {
			return rack
		}
	}
}

func (c *cluster) config(name string) config.Config {
	cfg := config.Default()
	cfg.Node, cfg.DataCentre = name, dataCentre
	cfg.DataCentres = []shard.DataCentre{{Name: dataCentre, WorkerShards: workerShardCount}}
	cfg.JobShards = jobShardCount
	cfg.Lease = config.Lease{TTL: 2500 * time.Millisecond, Margin: 500 * time.Millisecond, RenewInterval: 500 * time.Millisecond}
	cfg.Tasks.Lease, cfg.Tasks.Grace, cfg.Tasks.Reservation = 6*time.Second, 20*time.Second, 4*time.Second
	cfg.Tasks.Quarantine = 2 * time.Second
	cfg.Requests.DrainDelay, cfg.Requests.DrainTimeout = time.Second, 8*time.Second
	cfg.Requests.KeyMargin = time.Second
	cfg.Requests.AbandonedTimeout = time.Second
	cfg.Platform.Timeout = platformTimeout
	cfg.Journal.SnapshotEvery = 8
	return cfg
}

func (c *cluster) startNode(name string) *clusterNode {
	ctx, stop := context.WithCancel(context.Background())
	cn := &clusterNode{name: name, stop: stop, done: make(chan struct{})}
	cn.n = node.New(c.config(name), node.Deps{
		Platform: &nodePlatform{c: c, node: name},
		Callers:  c.net.Listen(name + ":1"), Peers: c.net.Listen(name + ":2"), Operators: c.net.Listen(name + ":3"),
		Dial: c.net.Dial(name), Log: testLogger(), Guards: c.guards,
		Wrap: func(rt http.RoundTripper) http.RoundTripper { return &interceptor{c: c, node: name, next: rt} },
	})
	cn.http = &http.Transport{DialContext: c.net.Dial("caller"), MaxIdleConnsPerHost: 64}
	cn.client = client.New(client.Config{Callers: name + ":1", Operators: name + ":3", Team: "inkasoft", Transport: cn.http})
	c.mu.Lock()
	c.nodes[name] = cn
	c.started = append(c.started, cn)
	c.mu.Unlock()
	go func() {
		defer close(cn.done)
		_ = cn.n.Run(ctx)
	}()
	return cn
}

// testLogger returns the nodes' logger. It discards everything unless MATRIX_LOG is set.
func testLogger() *zap.Logger {
	if os.Getenv("MATRIX_LOG") == "" {
		return zap.NewNop()
	}
	log, _ := zap.NewDevelopment()
	return log
}

// unusedName returns a name that no node of the cluster has had. The name of a killed node
// cannot be used again, since the network keeps it cut off.
func (c *cluster) unusedName(prefix string) string {
	return fmt.Sprintf("%s-%d", prefix, c.nameSeq.Add(1))
}

// live returns the nodes that were neither killed nor drained.
func (c *cluster) live() []*clusterNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*clusterNode
	for _, n := range c.nodes {
		if !n.killed && n.drained.IsZero() {
			live = append(live, n)
		}
	}
	return live
}

// kill cuts a node off from everyone for good. From outside that looks like the end of its
// process.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	n := c.nodes[name]
	gone := n == nil || n.killed
	if !gone {
		n.killed = true
	}
	c.mu.Unlock()
	if gone {
		return
	}
	c.net.SetPartitioned(name, "*", true)
	c.net.ResetConnections(name)
}

// drain begins a planned stop of a node.
func (c *cluster) drain(n *clusterNode) {
	c.mu.Lock()
	n.drained = time.Now()
	c.mu.Unlock()
	n.stop()
}

func (c *cluster) startWorker(id, rack string) {
	ctx, stop := context.WithCancel(context.Background())
	h := platform.Host{
		ID: id, DataCentre: dataCentre, Rack: rack, Address: id + ":4", State: platform.HostLive,
		Capacity: resource.Amount{CPUMilli: 4000, MemoryMB: 4000},
	}
	cfg := c.workerConfig
	cfg.ID, cfg.Capacity = id, h.Capacity
	var next int
	cfg.Listen = func() (net.Listener, error) {
		next++
		return c.net.Listen(fmt.Sprintf("%s:%d", id, 10+next)), nil
	}
	w := standinworker.New(cfg)
	c.mu.Lock()
	if old := c.workers[id]; old != nil {
		old.stop()
		c.replacedEvents = append(c.replacedEvents, old.w.Events()...)
	}
	c.workers[id] = &clusterWorker{host: h, w: w, stop: stop}
	c.mu.Unlock()
	c.plat.SetHost(h)
	l := c.net.Listen(h.Address)
	go func() { _ = w.Serve(ctx, l) }()
}

// killWorker ends a worker and its tasks. The host list reports it as live until listDelay
// is over.
func (c *cluster) killWorker(id string, listDelay time.Duration) {
	c.mu.Lock()
	w := c.workers[id]
	gone := w == nil || w.dead
	if !gone {
		w.dead = true
	}
	c.mu.Unlock()
	if gone {
		return
	}
	c.net.SetPartitioned(id, "*", true)
	w.stop()
	go func() {
		sleep(c.ctx, listDelay)
		c.plat.RemoveHost(id)
	}()
}

// events returns the events of all workers, including replaced ones.
func (c *cluster) events() []standinworker.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]standinworker.Event(nil), c.replacedEvents...)
	for _, w := range c.workers {
		all = append(all, w.w.Events()...)
	}
	return all
}

// close stops the nodes and workers. A goroutine left behind would make synctest fail.
func (c *cluster) close() {
	c.plat.SetFaults(standin.Faults{})
	c.steps.disarm()
	c.mu.Lock()
	nodes, workers := slices.Clone(c.started), slices.Collect(maps.Values(c.workers))
	c.mu.Unlock()
	for _, n := range nodes {
		c.net.Resume(n.name)
		n.stop()
	}
	for _, n := range nodes {
		<-n.done
		n.http.CloseIdleConnections()
		c.net.ResetConnections(n.name)
	}
	for _, w := range workers {
		w.stop()
	}
	c.copyTransport.CloseIdleConnections()
	c.net.ResetConnections("wire")
	c.net.ResetConnections("caller")
}

// testBundle returns the example's bundle with a timeout that differs by variant, so that
// the variants have different digests.
func testBundle(variant int) *bundle.Bundle {
	sub, err := fs.Sub(examples.Bundle, "bundle")
	if err != nil {
		panic(err)
	}
	b, err := bundle.LoadFS(sub)
	if err != nil {
		panic(err)
	}
	b.Limits.TimeoutMS += int64(variant)
	return b
}

// accept proposes and accepts a bundle through a node, and tries again after failures. It
// returns the bundle's version and when it was accepted.
func (c *cluster) accept(ctx context.Context, cl *client.Client, change string, variant int) (int64, time.Time, error) {
	var err error
	for attempt := 0; attempt < 200 && ctx.Err() == nil; attempt++ {
		var st node.BundleStatus
		st, err = cl.Bundle(ctx)
		if err == nil && st.Head.Change == change {
			return st.Head.Version, time.Now(), nil
		}
		if err == nil {
			p := bundle.Proposal{Base: st.Head.Version, Change: change, Operator: change, Proposed: time.Now()}
			_, err = cl.Propose(ctx, testBundle(variant), p)
		}
		if err == nil {
			var head bundle.Head
			if head, err = cl.Accept(ctx, change); err == nil {
				return head.Version, time.Now(), nil
			}
		}
		if p, ok := client.ProblemOf(err); ok && p.Reason == "bundle_conflict" && st.Head.Version > 1 {
			return 0, time.Time{}, err
		}
		sleep(ctx, 300*time.Millisecond)
	}
	return 0, time.Time{}, err
}

// nodePlatform is a node's client of the stand-in platform. It applies the network's
// faults and reports the steps that the calls belong to.
type nodePlatform struct {
	c    *cluster
	node string
}

var errNoReply = errors.New("no reply in time")

// waitReachable waits while the node is paused. If the node is cut off from the platform,
// it returns an error after the platform's timeout, as a call over the network does.
func (p *nodePlatform) waitReachable(ctx context.Context) error {
	if err := p.c.net.WaitWhilePaused(p.node, ctx.Done()); err != nil {
		return err
	}
	if p.c.net.IsPartitioned(p.node, platformHost) {
		sleep(ctx, platformTimeout)
		return errNoReply
	}
	return nil
}

// platformCall makes one call. It reports the step before and after the call takes effect,
// so that a fault can lose the call or only its reply.
func platformCall[T any](ctx context.Context, p *nodePlatform, step string, fn func(context.Context) (T, error)) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	p.c.steps.onStep(step, before, p.node, "")
	if err := p.waitReachable(ctx); err != nil {
		return zero, err
	}
	v, err := fn(ctx)
	p.c.steps.onStep(step, after, p.node, "")
	if replyErr := p.waitReachable(context.WithoutCancel(ctx)); replyErr != nil {
		return zero, replyErr
	}
	if ctx.Err() != nil {
		return zero, ctx.Err()
	}
	return v, err
}

func (p *nodePlatform) Commit(ctx context.Context, t platform.Txn) (platform.TxnResult, error) {
	return platformCall(ctx, p, stepOfTxn(t), func(ctx context.Context) (platform.TxnResult, error) { return p.c.plat.Commit(ctx, t) })
}

func (p *nodePlatform) Get(ctx context.Context, table, key string) (platform.Row, error) {
	step := stepNone
	if table == bundle.TableBundles && key == "head" {
		step = stepApply
	}
	return platformCall(ctx, p, step, func(ctx context.Context) (platform.Row, error) { return p.c.plat.Get(ctx, table, key) })
}

func (p *nodePlatform) List(ctx context.Context, table, prefix string) ([]platform.Row, error) {
	step := stepNone
	if table == journal.TableJournal {
		step = stepOpen
	}
	return platformCall(ctx, p, step, func(ctx context.Context) ([]platform.Row, error) { return p.c.plat.List(ctx, table, prefix) })
}

func (p *nodePlatform) Hosts(ctx context.Context, dc string) ([]platform.Host, error) {
	return platformCall(ctx, p, stepNone, func(ctx context.Context) ([]platform.Host, error) { return p.c.plat.Hosts(ctx, dc) })
}

func (p *nodePlatform) PutObject(ctx context.Context, key string, data []byte) error {
	step := stepNone
	if strings.HasPrefix(key, "snapshot") {
		step = stepSnapshot
	}
	_, err := platformCall(ctx, p, step, func(ctx context.Context) (bool, error) { return true, p.c.plat.PutObject(ctx, key, data) })
	return err
}

func (p *nodePlatform) GetObject(ctx context.Context, key string) ([]byte, error) {
	step := stepNone
	if strings.HasPrefix(key, "bundle") {
		step = stepStage
	}
	return platformCall(ctx, p, step, func(ctx context.Context) ([]byte, error) { return p.c.plat.GetObject(ctx, key) })
}

func (p *nodePlatform) DeleteObject(ctx context.Context, key string) error {
	_, err := platformCall(ctx, p, stepNone, func(ctx context.Context) (bool, error) { return true, p.c.plat.DeleteObject(ctx, key) })
	return err
}

// stepOfTxn returns the step that a write belongs to.
func stepOfTxn(t platform.Txn) string {
	for _, put := range t.Put {
		value := string(put.Value)
		switch put.Table {
		case lease.TableNodes:
			return stepLease
		case shard.TableShards:
			var row shard.Row
			if json.Unmarshal(put.Value, &row) == nil && row.Owner == "" {
				return stepHandOver
			}
			return stepTake
		case bundle.TableBundles:
			if put.Key == "proposal" {
				return stepPropose
			}
			return stepAccept
		case journal.TableJournal:
			return stepOfRecords(value)
		}
	}
	return stepNone
}

// stepOfRecords returns the step that an entry of the journal belongs to.
func stepOfRecords(value string) string {
	for _, c := range []struct{ pattern, step string }{
		{`{"intent"`, stepKeyBegin}, {`{"finish"`, stepKeyFinish}, {`{"place"`, stepPlace}, {`{"admit"`, stepAdmit},
		{`{"cancel"`, stepCancel}, {`"kind":"ended"`, stepEnded}, {`"kind":"started"`, stepStarted},
	} {
		if strings.Contains(value, c.pattern) {
			return c.step
		}
	}
	return stepNone
}

// interceptor wraps the transport of a node's HTTP clients. It reports the step of each
// message, and delays the message, sends it twice or loses its reply if a fault asks for it.
type interceptor struct {
	c    *cluster
	node string
	next http.RoundTripper
}

func (ic *interceptor) RoundTrip(r *http.Request) (*http.Response, error) {
	body := []byte(nil)
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
		_ = r.Body.Close()
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	step, to, jobs := stepOfMessage(r, body), network.HostOf(r.URL.Host), jobsStarted(body)
	effect := ic.c.steps.onStep(step, before, ic.node, to, jobs...)
	if effect.delay > 0 {
		sleep(r.Context(), effect.delay)
	}
	if effect.copyDelay > 0 {
		ic.sendCopy(r, body, effect.copyDelay)
	}
	if effect.sendTwice {
		ic.sendCopy(r, body, 0)
	}
	resp, err := ic.next.RoundTrip(r)
	effect = ic.c.steps.onStep(step, after, ic.node, to, jobs...)
	if effect.loseReply && err == nil {
		_ = resp.Body.Close()
		return nil, errNoReply
	}
	return resp, err
}

// sendCopy sends a copy of a message after a delay, and ignores the reply.
func (ic *interceptor) sendCopy(r *http.Request, body []byte, delay time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), delay+5*time.Second)
	dup := r.Clone(ctx)
	dup.Body = io.NopCloser(bytes.NewReader(body))
	go func() {
		defer cancel()
		sleep(ctx, delay)
		if resp, err := ic.c.copyTransport.RoundTrip(dup); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}()
}

// stepOfMessage returns the step that a message belongs to.
func stepOfMessage(r *http.Request, body []byte) string {
	switch r.URL.Path {
	case peer.PathReserve:
		return stepReserve
	case peer.PathConfirm:
		return stepConfirm
	case peer.PathEvents:
		return stepEvents
	case peer.PathRequest:
		return stepForward
	case peer.PathKeyBegin:
		return stepKeyBeginCall
	case "/":
		return stepDispatch
	case "/worker/v1/contact":
		return stepOfContact(body)
	}
	return stepNone
}

// jobsStarted returns the jobs whose tasks a message to a worker starts.
func jobsStarted(body []byte) []string {
	var c worker.Contact
	if json.Unmarshal(body, &c) != nil {
		return nil
	}
	var jobs []string
	for _, spec := range c.Start {
		jobs = append(jobs, spec.Attempt.Job)
	}
	return jobs
}

// stepOfContact returns the step that a message to a worker belongs to.
func stepOfContact(body []byte) string {
	var c worker.Contact
	if json.Unmarshal(body, &c) != nil {
		return stepNone
	}
	switch {
	case len(c.Start) > 0:
		return stepStart
	case len(c.Stop) > 0:
		return stepStop
	case len(c.Ack) > 0:
		return stepAck
	case c.Inventory:
		return stepInventory
	}
	return stepRenew
}
