// SPDX-License-Identifier: Apache-2.0

package matrix_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/client"
	"switchbank.example/switchbank/internal/lease"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/shard"
	standinworker "switchbank.example/switchbank/standin/worker"
)

const (
	callInterval = 250 * time.Millisecond
	callTimeout  = 2 * time.Second
	// Every keyStride-th call has a key.
	keyStride       = 4
	scenarioTimeout = 150 * time.Second
)

// call is one request of a caller and its result.
type call struct {
	body, key string
	node      *clusterNode
	// outcome is the outcome that the node reported, or "cut" if it reported none.
	outcome string
	// wrongAnswer is set if the answer belongs to another request.
	wrongAnswer        bool
	sentAt, answeredAt time.Time
}

// scenario is what happens in a cell besides its faults: workloads run and one is cancelled,
// callers send requests, a bundle is rolled out, and a node joins and stops again.
type scenario struct {
	c    *cluster
	done chan struct{}
	// skipJoin leaves out the node that joins and stops.
	skipJoin bool
	wg       sync.WaitGroup

	mu    sync.Mutex
	calls []call
	// cancelled, leaving and accepted are the times at which a workload was cancelled, a
	// worker began to leave, and a bundle version was accepted.
	cancelled          map[string]time.Time
	leaving            map[string]time.Time
	accepted           map[int64]time.Time
	versions           []versionSample
	failuresAllowed    bool
	stuck              []string
	impossibleAccepted bool
	bursts             int
}

// versionSample is the bundle version that a node applied at a time.
type versionSample struct {
	node    *clusterNode
	ready   bool
	version int64
	at      time.Time
}

func newScenario(c *cluster) *scenario {
	return &scenario{
		c: c, done: make(chan struct{}), cancelled: make(map[string]time.Time),
		leaving: make(map[string]time.Time), accepted: make(map[int64]time.Time),
	}
}

func (s *scenario) allowFailures() { s.mu.Lock(); s.failuresAllowed = true; s.mu.Unlock() }

func (s *scenario) recordLeaving(w string, at time.Time) {
	s.mu.Lock()
	s.leaving[w] = at
	s.mu.Unlock()
}

// liveNode returns a live node, another one for each i in turn.
func (s *scenario) liveNode(i int) *clusterNode {
	live := s.c.live()
	for len(live) == 0 {
		// All nodes are down; one comes back after the outage.
		sleep(s.c.ctx, 500*time.Millisecond)
		live = s.c.live()
	}
	slices.SortFunc(live, func(a, b *clusterNode) int { return len(a.name) - len(b.name) })
	return live[i%len(live)]
}

// workloads returns the workloads of the scenario: a service, a batch that must run at most
// once, one that may run again, an all-at-once job, and a batch that runs until cancelled.
func workloads() []api.Workload {
	small := resource.Amount{CPUMilli: 500, MemoryMB: 500}
	base := api.Workload{Team: "inkasoft", Class: "notice", Size: small, Command: []string{"sleep", "2s"}, MaxAttempts: 20}
	service, once, retryable, gang, longRunning := base, base, base, base, base
	service.ID, service.Kind, service.Tasks, service.Class = "svc", api.KindService, 2, "counter"
	service.Service, service.Slots, service.Command = "svc", 4, []string{"serve"}
	once.ID, once.Kind, once.Tasks, once.AtMostOnce, once.MaxAttempts = "once", api.KindBatch, 4, true, 0
	retryable.ID, retryable.Kind, retryable.Tasks = "again", api.KindBatch, 4
	retryable.Command = []string{"sleep", "12s"}
	gang.ID, gang.Kind, gang.Tasks = "whole", api.KindAllAtOnce, 3
	longRunning.ID, longRunning.Kind, longRunning.Tasks, longRunning.Command = "standing", api.KindBatch, 2, []string{"sleep", "1h"}
	return []api.Workload{service, once, retryable, gang, longRunning}
}

// run runs the scenario until the cluster has converged, or until scenarioTimeout is over.
func (s *scenario) run() {
	began := time.Now()
	s.wg.Go(s.sendRequests)
	s.wg.Go(s.sampleVersions)
	for i, w := range workloads() {
		s.wg.Go(func() { s.submit(i, w) })
	}
	sleep(s.c.ctx, 3*time.Second)
	s.wg.Go(func() { s.cancel("standing") })
	sleep(s.c.ctx, time.Second)
	s.wg.Go(func() { s.rollOut("second", 2) })
	sleep(s.c.ctx, 2*time.Second)
	if !s.skipJoin {
		joined := s.c.startNode(joiningNode())
		sleep(s.c.ctx, 6*time.Second)
		s.c.drain(joined)
	}
	for time.Since(began) < outage+12*time.Second || (!s.converged() && time.Since(began) < scenarioTimeout) {
		sleep(s.c.ctx, 500*time.Millisecond)
	}
	// A fault that was injected late has to be healed, and the cluster has to recover from
	// it, before the final state is checked.
	s.c.steps.disarm()
	for healStart := time.Now(); s.c.unhealed.Load() > 0 || (!s.staysConverged() && time.Since(healStart) < scenarioTimeout); {
		sleep(s.c.ctx, 500*time.Millisecond)
	}
	close(s.done)
	s.wg.Wait()
	s.recordStuck()
}

// initialNodeList returns the nodes that a cluster starts with.
func initialNodeList() []lease.Node {
	var nodes []lease.Node
	for i := range initialNodes {
		nodes = append(nodes, lease.Node{ID: fmt.Sprintf("n%d", i), DataCentre: dataCentre})
	}
	return nodes
}

// initialOwner returns the node that owns a job's shard once the cluster has started, or ""
// for no job.
func initialOwner(job string) string {
	if job == "" {
		return ""
	}
	owner, _ := shard.PreferredOwner(shard.JobKey(job, jobShardCount), initialNodeList())
	return owner.ID
}

// joiningNode returns the name of a node that takes over shards of both kinds when it joins.
func joiningNode() string {
	nodes := initialNodeList()
	for i := 0; ; i++ {
		id := fmt.Sprintf("joiner%d", i)
		taken := make(map[shard.Kind]int)
		for _, key := range shard.Layout(jobShardCount, []shard.DataCentre{{Name: dataCentre, WorkerShards: workerShardCount}}) {
			if owner, _ := shard.PreferredOwner(key, append(nodes, lease.Node{ID: id, DataCentre: dataCentre})); owner.ID == id {
				taken[key.Kind()]++
			}
		}
		if taken[shard.KindJob] > 0 && taken[shard.KindWorker] > 0 {
			return id
		}
	}
}

// submit tries to create a workload until a node accepts it.
func (s *scenario) submit(i int, w api.Workload) {
	for n := 0; s.running(); n++ {
		ctx, cancel := timeout(s.c, 5*time.Second)
		_, err := s.liveNode(i+n).client.Create(ctx, w)
		cancel()
		if err == nil {
			return
		}
		sleep(s.c.ctx, 300*time.Millisecond)
	}
}

func (s *scenario) running() bool {
	select {
	case <-s.done:
		return false
	default:
		return s.c.ctx.Err() == nil
	}
}

// cancel tries to cancel a workload until a node accepts it, and records when it did.
func (s *scenario) cancel(id string) {
	for n := 0; s.running(); n++ {
		ctx, cancel := timeout(s.c, 8*time.Second)
		_, err := s.liveNode(n).client.Cancel(ctx, id)
		cancel()
		if err == nil {
			s.mu.Lock()
			s.cancelled[id] = time.Now()
			s.mu.Unlock()
			return
		}
		sleep(s.c.ctx, 300*time.Millisecond)
	}
}

func (s *scenario) cancelSeveral() {
	for _, id := range []string{"again", "whole"} {
		s.cancel(id)
	}
}

// rollOut tries to get a bundle accepted through one node after the other. It gives up if
// another operator's bundle was accepted first.
func (s *scenario) rollOut(change string, variant int) {
	ctx, cancel := timeout(s.c, scenarioTimeout)
	defer cancel()
	for n := 0; s.running() && ctx.Err() == nil; n++ {
		attemptCtx, stop := timeout(s.c, 3*time.Second)
		version, at, err := s.c.accept(attemptCtx, s.liveNode(n).client, change, variant)
		stop()
		if err == nil {
			s.mu.Lock()
			s.accepted[version] = at
			s.mu.Unlock()
			return
		}
		if p, ok := client.ProblemOf(err); ok && p.Reason == "bundle_conflict" {
			return
		}
	}
}

func (s *scenario) rollOutConcurrently() { s.rollOut("rival", 3) }

// submitImpossible tries to create a job whose tasks fit no worker. If a node accepts the
// job, it must end as failed.
func (s *scenario) submitImpossible() {
	w := workloads()[2]
	w.ID, w.Size.CPUMilli = "impossible", 1_000_000
	ctx, cancel := timeout(s.c, 5*time.Second)
	defer cancel()
	if _, err := s.liveNode(0).client.Create(ctx, w); err == nil {
		s.mu.Lock()
		s.impossibleAccepted = true
		s.mu.Unlock()
	}
}

// sendRequests sends requests until the scenario ends, to one node after the other. Those
// with a key are sent twice, through two nodes.
func (s *scenario) sendRequests() {
	var wg sync.WaitGroup
	for i := 0; s.running(); i++ {
		sleep(s.c.ctx, callInterval)
		cl := call{body: fmt.Sprintf("sleep 20ms #%d", i)}
		if i%keyStride == 0 {
			cl.key = fmt.Sprintf("key-%d", i)
		}
		created := time.Now()
		wg.Go(func() { s.call(cl, i, created) })
		if cl.key != "" {
			wg.Go(func() {
				sleep(s.c.ctx, 50*time.Millisecond)
				s.call(cl, i+1, created)
			})
		}
	}
	wg.Wait()
}

func (s *scenario) call(cl call, i int, created time.Time) {
	cl.node, cl.sentAt = s.liveNode(i), time.Now()
	ctx, cancel := timeout(s.c, callTimeout+time.Second)
	defer cancel()
	ans, err := cl.node.client.Request(ctx, client.Request{
		Service: "svc", Body: []byte(cl.body), Timeout: callTimeout, Key: cl.key, KeyCreated: created,
	})
	cl.answeredAt = time.Now()
	cl.outcome = string(api.OutcomeDone)
	if err != nil {
		cl.outcome = "cut"
		if p, ok := client.ProblemOf(err); ok && p.Outcome != "" {
			cl.outcome = p.Outcome
		}
	} else {
		var a standinworker.Answer
		cl.wrongAnswer = json.Unmarshal(ans.Body, &a) != nil || a.Echo != cl.body
	}
	s.mu.Lock()
	s.calls = append(s.calls, cl)
	s.mu.Unlock()
}

// sendBurst sends more requests at once than there are slots.
func (s *scenario) sendBurst() {
	const n = 60
	s.mu.Lock()
	s.bursts++
	burst := s.bursts
	s.mu.Unlock()
	for i := range n {
		s.wg.Go(func() { s.call(call{body: fmt.Sprintf("sleep 100ms rush %d #%d", burst, i)}, i, time.Now()) })
	}
}

// sampleVersions records periodically which bundle version each live node applies.
func (s *scenario) sampleVersions() {
	for s.running() {
		for _, n := range s.c.live() {
			ctx, cancel := timeout(s.c, time.Second)
			st, err := n.client.Status(ctx)
			cancel()
			if err == nil {
				s.mu.Lock()
				s.versions = append(s.versions, versionSample{n, st.Ready, st.Bundle.Version, time.Now()})
				s.mu.Unlock()
			}
		}
		sleep(s.c.ctx, 500*time.Millisecond)
	}
}

// converged reports whether all workloads are in their expected state and all live nodes
// answer requests.
func (s *scenario) converged() bool { return len(s.notConverged()) == 0 }

// stableFor is how long the cluster must stay converged before the final state is checked.
// A task lost in a fault is noticed only when its worker's report reaches the next owner,
// which takes a few attempts of two seconds each.
const stableFor = 8 * time.Second

// staysConverged reports whether the cluster is converged throughout stableFor.
func (s *scenario) staysConverged() bool {
	for began := time.Now(); time.Since(began) < stableFor; {
		if !s.converged() {
			return false
		}
		sleep(s.c.ctx, 500*time.Millisecond)
	}
	return true
}

// notConverged describes the workloads and nodes that are not in their expected state.
func (s *scenario) notConverged() []string {
	var problems []string
	cl := s.liveNode(0).client
	for _, w := range workloads() {
		ctx, cancel := timeout(s.c, 2*time.Second)
		st, err := cl.Get(ctx, w.ID, 0, false)
		cancel()
		if err != nil {
			problems = append(problems, fmt.Sprintf("%s: %v", w.ID, err))
			continue
		}
		ok := st.State.Final()
		if w.Kind == api.KindService {
			ok = st.Counts.Running == w.Tasks
		}
		if !ok {
			problems = append(problems, fmt.Sprintf("%s: %s %+v %s", w.ID, st.State, st.Counts, st.WaitReason))
		}
	}
	return append(problems, s.nodesNotAnswering()...)
}

// nodesNotAnswering describes the live nodes through which a request fails.
func (s *scenario) nodesNotAnswering() []string {
	var failed []string
	for _, n := range s.c.live() {
		ctx, cancel := timeout(s.c, 3*time.Second)
		_, err := n.client.Request(ctx, client.Request{Service: "svc", Body: []byte("last"), Timeout: callTimeout})
		cancel()
		if err != nil {
			failed = append(failed, n.name+": "+err.Error())
		}
	}
	return failed
}

// recordStuck records what has not converged at the end, and a job that can never run if it
// was accepted and has not failed.
func (s *scenario) recordStuck() {
	s.stuck = s.notConverged()
	if !s.impossibleAccepted {
		return
	}
	ctx, cancel := timeout(s.c, 3*time.Second)
	defer cancel()
	st, err := s.liveNode(0).client.Get(ctx, "impossible", 0, false)
	if err != nil || st.State != api.JobFailed {
		s.stuck = append(s.stuck, fmt.Sprintf("a job that can never run: %s, %v", st.State, err))
	}
}
