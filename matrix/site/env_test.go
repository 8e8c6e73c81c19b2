// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cell"
	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/internal/settings"
	"switchbank.example/switchbank/internal/telemetry"
	"switchbank.example/switchbank/platform"
	"switchbank.example/switchbank/standin/network"
	"switchbank.example/switchbank/standin/site"
)

const (
	service      = "billing"
	storeHost    = "store"
	callerHost   = "caller"
	cellNodes    = 3
	cellWorkers  = 6
	workerCores  = 4000
	callDeadline = 3 * time.Second
	// batchAttempts is how often a task of the batch queue may fail, and urgentAttempts one of the
	// urgent queue, whose steps need tickets.
	batchAttempts  = 3
	urgentAttempts = 2
	urgentQueue    = "urgent"
	// shardedWorkers is the number of workers of an environment with two shards, and
	// workersPerShard that of each shard: two more than the gangs of the load need.
	shardedWorkers  = 8
	workersPerShard = 4
)

// testEnv is a stand-in platform with scheduler nodes and a caller on an in-memory network.
type testEnv struct {
	t      *testing.T
	net    *network.Network
	site   *site.Site
	client *http.Client
	log    *zap.Logger

	// workersPerShard is the maximum number of workers of a shard, and limits are the resource
	// limits of a node.
	workersPerShard int
	limits          settings.Limits
	// useHelpers is set if owners send orders to workers through other nodes, their helpers.
	useHelpers bool
	tokens     settings.Tokens
	// admission holds the nodes' settings of admission control, by default those of the product.
	admission settings.Admission
	// key is the key with which the caller makes its calls, and teams are what is expected of
	// teams at their limits.
	key   string
	teams []site.TeamExpectation

	mu      sync.Mutex
	nodes   map[string]*runningNode
	workers []*site.Worker
	jobs    int
	// accepted holds the jobs that a node acknowledged, and cancelled the time at which a node
	// acknowledged a job's cancellation.
	accepted  []string
	cancelled map[string]time.Time
	// refused holds the jobs of which every submission was refused.
	refused map[string]bool
	// succeeded holds the jobs that a node has reported as succeeded.
	succeeded map[string]bool
	// stalls are the periods in which orders to a worker were held back in the network.
	stalls []stall
	// longRunning is the job of the load whose tasks run until the end of the test.
	longRunning string
	// stallJobs describe the accepted jobs for the check of stalls.
	stallJobs []site.StallJob
	// crashing holds the jobs with a task that crashes its workers.
	crashing map[string]bool
	// closed is set once the environment is being closed: no worker restarts any more.
	closed bool
}

type runningNode struct {
	name string
	cell *cell.Node
	stop context.CancelFunc
	done chan struct{}
}

// newEnv returns an environment whose service has one shard.
func newEnv(t *testing.T) *testEnv {
	return newEnvWith(t, cellWorkers, cellWorkers, func(env *testEnv) { env.site.Configure(1, routes()...) })
}

// newShardedEnv returns an environment whose service has two shards.
func newShardedEnv(t *testing.T) *testEnv {
	return newEnvWith(t, shardedWorkers, workersPerShard, func(env *testEnv) { env.site.Configure(1, routes()...) })
}

// envBuilders holds constructors of an environment whose service has one shard, of one with two
// shards, and of one in which owners make their calls through other nodes.
var envBuilders = map[string]func(*testing.T) *testEnv{"one shard": newEnv, "two shards": newShardedEnv, "with helpers": newHelperEnv}

// forEachCase runs a test in virtual time for each of the cases, in all environments or, if inAllEnvs
// is not set, in one of them in turn.
func forEachCase[C any](t *testing.T, cases map[string]C, run func(t *testing.T, build func(*testing.T) *testEnv, c C)) {
	for i, name := range slices.Sorted(maps.Keys(cases)) {
		for k, env := range slices.Sorted(maps.Keys(envBuilders)) {
			if !inAllEnvs && k != i%len(envBuilders) {
				continue
			}
			t.Run(env+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { run(t, envBuilders[env], cases[name]) })
			})
		}
	}
}

// newHelperEnv returns an environment of nodes so small that their owners call workers, and read
// from the store, through other nodes.
func newHelperEnv(t *testing.T) *testEnv {
	return newEnvWith(t, cellWorkers, cellWorkers, func(env *testEnv) {
		env.limits, env.useHelpers = settings.Limits{CPUShare: 0.02, CoreSpeed: 1, LinkMbps: 10}, true
		env.site.Configure(1, routes()...)
	})
}

// runInEnvs runs a test in virtual time in each of the environments.
func runInEnvs(t *testing.T, run func(t *testing.T, env *testEnv)) {
	for name, build := range envBuilders {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { run(t, build(t)) }) })
	}
}

// newEnvWith returns an environment in which configure is the only action of the operators.
func newEnvWith(t *testing.T, workers, workersPerShard int, configure func(env *testEnv)) *testEnv {
	log := zap.NewNop()
	if os.Getenv("SITE_LOG") != "" {
		var err error
		if log, err = telemetry.NewLogger("info", os.Stderr); err != nil {
			t.Fatal(err)
		}
	}
	env := &testEnv{
		t: t, workersPerShard: workersPerShard, admission: settings.DefaultAdmission(), limits: settings.Limits{CPUShare: 0.4, CoreSpeed: 1}, net: network.New(), nodes: make(map[string]*runningNode), log: log,
		cancelled: make(map[string]time.Time), refused: make(map[string]bool), succeeded: make(map[string]bool), crashing: make(map[string]bool),
	}
	env.site = site.New(site.Config{
		Service: service, Serve: env.serve, StoreAddress: storeHost + ":1", AdviceAddress: "advice:1", MachinesAddress: "machines:1",
		WorkerAddress: func(n int) string { return fmt.Sprintf("w%d:1", n) }, CrashedByTask: env.restartCrashed,
	})
	env.client = &http.Client{Transport: &http.Transport{DialContext: env.net.Dial(callerHost)}}
	configure(env)
	for i := range workers {
		env.workers = append(env.workers, env.site.AddWorker(site.WorkerConfig{Rack: fmt.Sprintf("r1-%d", i/2), CPUMilli: workerCores, MemoryMB: 32000}))
	}
	for i := range cellNodes {
		env.startNode(fmt.Sprintf("n%d", i))
	}
	return env
}

// routes returns an urgent queue, whose steps need tickets, and a batch queue.
func routes() []site.Route {
	return []site.Route{
		{Name: urgentQueue, Host: "h", PathPrefix: "/urgent/", MaxAttempts: urgentAttempts, Stretch: 1.5, TargetMS: 250, Upstream: service,
			Advice: &site.AdviceCost{DecideMS: 20, EachMS: 0.1, ValidMS: 2500}},
		{Name: "batch", Host: "h", PathPrefix: "/batch/", Priority: 2, MaxAttempts: batchAttempts, Stretch: 2, TargetMS: 1200, Upstream: service},
	}
}

func (env *testEnv) serve(address string, h http.Handler) func() {
	l := env.net.Listen(address)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return func() {
		_ = s.Close()
		env.net.ResetConnections(network.HostOf(address))
	}
}

func (env *testEnv) startNode(name string) {
	cfg := settings.Settings{
		Node: name, DataCentre: "dc", Store: storeHost + ":1", Advice: "advice:1", Machines: "machines:1",
		Listen: settings.Listen{Callers: name + ":1", Ready: name + ":2", Peers: name + ":3", AdvertisePeers: name + ":3", Metrics: name + ":4"},
		Seeds:  []string{"n0:3", "n1:3"},
		Bounds: settings.Bounds{MaxLeaseMS: 10_000, StopMS: 200, GraceMS: 6000, FinishedRetentionMS: 120_000},
		Limits: env.limits, WorkersPerShard: env.workersPerShard, Tokens: env.tokens, Admission: env.admission,
	}
	dial := env.net.Dial(name)
	transport := conns.Network{Dial: dial, Log: env.log.Named(name)}
	n := cell.New(cfg, cell.Deps{
		Store: platform.NewStore(cfg.Store, transport), Workers: platform.NewWorkers(transport), Advice: platform.NewAdvice(cfg.Advice, transport),
		Machines: platform.NewMachines(cfg.Machines, transport), Directory: platform.Directory{}, Configs: platform.NewConfigs(env.log.Named(name)),
		Callers: platform.NewCallerHandler, Log: env.log.Named(name), Dial: dial,
		Listen: func(_ context.Context, _, address string) (net.Listener, error) { return env.net.Listen(address), nil },
	})
	ctx, stop := context.WithCancel(env.t.Context())
	node := &runningNode{name: name, cell: n, stop: stop, done: make(chan struct{})}
	env.mu.Lock()
	env.nodes[name] = node
	env.mu.Unlock()
	go func() {
		defer close(node.done)
		if err := n.Run(ctx); err != nil && ctx.Err() == nil {
			env.t.Errorf("node %s ended: %v", name, err)
		}
	}()
}

// kill ends a node as a crash of its process does: it is partitioned from all hosts first, so that
// nothing that it sends from now on arrives.
func (env *testEnv) kill(name string) {
	env.mu.Lock()
	node := env.nodes[name]
	delete(env.nodes, name)
	env.mu.Unlock()
	env.net.SetPartitioned(name, "*", true)
	env.net.ResetConnections(name)
	node.stop()
}

// drain shuts a node down gracefully and waits until it has ended.
func (env *testEnv) drain(name string) {
	env.mu.Lock()
	node := env.nodes[name]
	delete(env.nodes, name)
	env.mu.Unlock()
	node.stop()
	<-node.done
}

// nodeNames returns the names of the running nodes in order.
func (env *testEnv) nodeNames() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	var names []string
	for n := range env.nodes {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// get sends a GET request to any listener of a node.
func (env *testEnv) get(address, path string) (int, []byte) {
	r, err := http.NewRequestWithContext(env.t.Context(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		env.t.Fatal(err)
	}
	return env.send(r)
}

// metric returns the value of one of a node's metrics.
func (env *testEnv) metric(node, name string) float64 {
	env.t.Helper()
	_, page := env.get(node+":4", "/metrics")
	for line := range strings.Lines(string(page)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			f, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil {
				env.t.Fatal(err)
			}
			return f
		}
	}
	env.t.Fatalf("%s has no metric %s", node, name)
	return 0
}

func (env *testEnv) send(r *http.Request) (int, []byte) {
	res, err := env.client.Do(r)
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

// call sends a caller's request to a node; status 0 means that there was no response.
func (env *testEnv) call(node, method, path, body string) (int, []byte) {
	return env.callAs(env.key, node, method, path, body)
}

// callAs is call with the key of a team, or without one if it is "".
func (env *testEnv) callAs(key, node, method, path, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(env.t.Context(), callDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node+":1"+path, bytes.NewReader([]byte(body)))
	if err != nil {
		env.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Switchbank-Deadline-Ms", "3000")
	if key != "" {
		r.Header.Set("X-Switchbank-Credential", key)
	}
	return env.send(r)
}

type jobBody struct {
	Spec  string     `json:"Spec"`
	Steps []stepBody `json:"Steps"`
}

// encodeJob returns the request body that submits a job.
func (env *testEnv) encodeJob(spec string, steps ...stepBody) string {
	body, err := json.Marshal(jobBody{spec, steps})
	if err != nil {
		env.t.Fatal(err)
	}
	return string(body)
}

// submitTo submits a job to a node, once, and checks that it is accepted.
func (env *testEnv) submitTo(node, queue, id, spec string, steps ...stepBody) {
	env.t.Helper()
	body := env.encodeJob(spec, steps...)
	if status, _ := env.call(node, http.MethodPost, "/"+queue+"/"+id, body); status != http.StatusOK {
		env.t.Fatalf("submission answered with status %d", status)
	}
	env.addStallJob(queue, id, body)
}

type stepBody struct {
	Count       int    `json:"Count"`
	CPU         int64  `json:"Cpu"`
	MemoryMB    int64  `json:"MemMb"`
	EstimateMS  int64  `json:"EstimateMs"`
	DependsOn   []int  `json:"DependsOn,omitempty"`
	Checkpoints bool   `json:"Checkpointing,omitempty"`
	Gang        bool   `json:"Gang,omitempty"`
	LongRunning bool   `json:"LongRunning,omitempty"`
	Label       string `json:"Constraints,omitempty"`
	// MaxPerWorker is the maximum number of tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:"AntiAffinity,omitempty"`
}

// submit submits a job until it is accepted or the attempts are used up.
func (env *testEnv) submit(queue, spec string, steps ...stepBody) string {
	env.mu.Lock()
	env.jobs++
	id := fmt.Sprintf("%016x", env.jobs)
	env.mu.Unlock()
	body := env.encodeJob(spec, steps...)
	const tries = 5
	rejected := true
	for i := range tries {
		names := env.nodeNames()
		if len(names) == 0 {
			time.Sleep(time.Second)
			continue
		}
		status, _ := env.call(names[(len(id)+i)%len(names)], http.MethodPost, "/"+queue+"/"+id, body)
		if status == http.StatusOK {
			env.mu.Lock()
			env.accepted = append(env.accepted, id)
			env.mu.Unlock()
			env.addStallJob(queue, id, body)
			return id
		}
		rejected = rejected && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		time.Sleep(time.Second)
	}
	if rejected {
		env.mu.Lock()
		env.refused[id] = true
		env.mu.Unlock()
	}
	return id
}

// state returns a job's state as the first node that responds reports it.
func (env *testEnv) state(queue, id string) string {
	for _, n := range env.nodeNames() {
		status, data := env.call(n, http.MethodGet, "/"+queue+"/"+id, "")
		if status == http.StatusGone {
			return "unknown"
		}
		var s struct{ State string }
		if status == http.StatusOK && json.Unmarshal(data, &s) == nil {
			return s.State
		}
	}
	return "no answer"
}

// killAll kills all nodes and returns their names.
func (env *testEnv) killAll() []string {
	names := env.nodeNames()
	for _, n := range names {
		env.kill(n)
	}
	return names
}

// close ends all nodes and workers, so that the synctest bubble can end.
func (env *testEnv) close() {
	env.mu.Lock()
	env.closed = true
	env.mu.Unlock()
	env.killAll()
	env.client.CloseIdleConnections()
	env.site.Close()
	time.Sleep(closeTime)
}

// closeTime is longer than any call or timer that is open when an environment is closed.
const closeTime = 35 * time.Second
