// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// otherService is a second service, and otherWorkers how many workers it has.
	otherService = "other"
	otherWorkers = 6
	// configuredWithin is the time within which all nodes act by a new configuration.
	configuredWithin = 4 * time.Second
)

// newTwoServicesEnv returns an environment with two services, of which the batch queue has the
// given one, and the queue "late" the second.
func newTwoServicesEnv(t *testing.T, batch string) *testEnv {
	env := newEnvWith(t, cellWorkers, cellWorkers, func(env *testEnv) { env.configureServices(1, batch, otherService) })
	for i := range otherWorkers {
		env.workers = append(env.workers, env.site.AddWorker(site.WorkerConfig{Service: otherService, Rack: fmt.Sprintf("r2-%d", i/2), CPUMilli: workerCores, MemoryMB: 32000}))
	}
	time.Sleep(4 * time.Second)
	return env
}

// configureServices makes a version of the configuration in which the queues batch and late have
// the given services; "" leaves a queue out.
func (env *testEnv) configureServices(version int64, batch, late string) {
	var list []site.Route
	for _, q := range []struct{ name, service string }{{"batch", batch}, {"late", late}} {
		if q.service != "" {
			list = append(list, site.Route{Name: q.name, Host: "h", PathPrefix: "/" + q.name + "/", Priority: 2, MaxAttempts: batchAttempts, Stretch: 2, TargetMS: 1200, Upstream: q.service})
		}
	}
	env.site.Configure(version, list...)
}

// serviceChange is a way in which the service of the batch queue changes while its jobs wait and run.
type serviceChange struct {
	name string
	// first is the service that the queue has when the jobs are accepted; "": that of the site.
	first  string
	change func(env *testEnv)
}

func serviceChanges() []serviceChange {
	after := func(env *testEnv, version int64, batch, late string) {
		env.configureServices(version, batch, late)
		time.Sleep(configuredWithin)
	}
	restartAll := func(env *testEnv) {
		names := env.killAll()
		// Nothing that a node has sent may still be on its way.
		time.Sleep(5 * time.Second)
		for _, n := range names {
			env.net.SetPartitioned(n, "*", false)
			env.startNode(n)
		}
		time.Sleep(3 * time.Second)
	}
	return []serviceChange{
		{"to another", "", func(env *testEnv) { after(env, 2, otherService, otherService) }},
		{"to another and back", "", func(env *testEnv) {
			after(env, 2, otherService, otherService)
			after(env, 3, service, otherService)
		}},
		{"swapped with another queue", "", func(env *testEnv) { after(env, 2, otherService, service) }},
		{"dropped and added again with another", "", func(env *testEnv) {
			after(env, 2, "", otherService)
			after(env, 3, otherService, otherService)
		}},
		{"to another, all nodes restart", "", func(env *testEnv) {
			after(env, 2, otherService, otherService)
			restartAll(env)
		}},
		{"all nodes restart during the change", "", func(env *testEnv) {
			env.configureServices(2, otherService, otherService)
			time.Sleep(20 * time.Millisecond)
			restartAll(env)
			time.Sleep(configuredWithin)
		}},
		{"its service is dropped, all nodes restart", otherService, func(env *testEnv) {
			after(env, 2, service, service)
			restartAll(env)
		}},
		{"in quick succession", "", func(env *testEnv) {
			for v := int64(2); v < 9; v++ {
				env.configureServices(v, []string{service, otherService}[v%2], otherService)
				time.Sleep(150 * time.Millisecond)
			}
			time.Sleep(configuredWithin)
		}},
	}
}

// TestQueueChangesService guards against accepted jobs that are lost, or run twice, because their
// queue gets another service: they were looked up in the service that the queue had last, so that
// all nodes answered that there is no such job, and accepted it again.
func TestQueueChangesService(t *testing.T) {
	for _, c := range serviceChanges() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testQueueChangesService(t, c) })
		})
	}
}

func testQueueChangesService(t *testing.T, c serviceChange) {
	env := newTwoServicesEnv(t, cmp.Or(c.first, service))
	defer env.close()
	const spec = "25000 cpu=500"
	runs := stepBody{Count: 4, CPU: 500, MemoryMB: 100, EstimateMS: 25_000}
	huge := stepBody{Count: 1, CPU: 500, MemoryMB: 64_000, EstimateMS: 1000} // fits no worker, and waits
	running := env.submit("batch", spec, runs)
	cancelled := env.submit("batch", spec, runs)
	lasting := env.submit("batch", "100 lasting cpu=500", stepBody{Count: 2, CPU: 500, MemoryMB: 100, LongRunning: true})
	waiting := env.submit("batch", spec, huge)
	timed := fmt.Sprintf("%016x", 0xdd01)
	timedBody := env.encodeTimedJob(time.Now().Add(20*time.Second), spec, runs)
	if status, _ := env.call("n0", http.MethodPost, "/batch/"+timed, timedBody); status != http.StatusOK {
		t.Fatalf("the timed job is answered %d", status)
	}
	time.Sleep(2 * time.Second)
	if n, _ := env.starts(running); n != 4 {
		t.Fatalf("%d of 4 tasks run before the change", n)
	}

	c.change(env)
	ids := []string{running, cancelled, lasting, waiting, timed}
	bodies := map[string]string{
		running: env.encodeJob(spec, runs), cancelled: env.encodeJob(spec, runs), waiting: env.encodeJob(spec, huge), timed: timedBody,
		lasting: env.encodeJob("100 lasting cpu=500", stepBody{Count: 2, CPU: 500, MemoryMB: 100, LongRunning: true}),
	}
	env.checkKnown(ids, bodies)
	if status, _ := env.call("n2", http.MethodDelete, "/batch/"+cancelled, ""); status != http.StatusOK {
		t.Errorf("the cancel of a job is answered %d", status)
	}
	for _, n := range env.nodeNames() {
		if _, body := env.call(n, http.MethodGet, "/batch/", ""); string(body) != `{"Waiting":2}` {
			t.Errorf("%s answers %s, want 2 waiting jobs", n, body)
		}
	}
	time.Sleep(2 * time.Second)
	if got := env.state("batch", cancelled); got != "cancelled" {
		t.Errorf("the cancelled job is %q", got)
	}
	env.checkKnown(ids, bodies)
	env.kill(env.site.Owner())
	time.Sleep(45 * time.Second)
	env.checkKnown(ids, bodies)
	for _, id := range []string{running, timed} {
		if got := env.state("batch", id); got != "succeeded" {
			t.Errorf("job %s is %q, want succeeded", id, got)
		}
		if n, _ := env.starts(id); n < 4 {
			t.Errorf("%d tasks of job %s were started, want 4", n, id)
		}
	}
	if got := env.state("batch", lasting); got != "running" {
		t.Errorf("the lasting job is %q", got)
	}
	env.checkOneService(ids)
}

// checkKnown checks that every node knows the jobs, and answers that they are accepted when they
// are submitted again.
func (env *testEnv) checkKnown(ids []string, bodies map[string]string) {
	env.t.Helper()
	for _, n := range env.nodeNames() {
		for _, id := range ids {
			if status, body := env.call(n, http.MethodGet, "/batch/"+id, ""); status != http.StatusOK {
				env.t.Errorf("%s answers %d %s to a GET for job %s", n, status, body, id)
			}
			if status, body := env.call(n, http.MethodPost, "/batch/"+id, bodies[id]); status != http.StatusOK {
				env.t.Errorf("%s answers %d %s when job %s comes again", n, status, body, id)
			}
		}
	}
}

// checkOneService checks that each job ran on workers of one service only.
func (env *testEnv) checkOneService(ids []string) {
	env.t.Helper()
	serviceOf := make(map[string]string)
	for i, w := range env.workers {
		serviceOf[w.ID] = service
		if i >= cellWorkers {
			serviceOf[w.ID] = otherService
		}
	}
	for _, id := range ids {
		seen := make(map[string]bool)
		for _, e := range env.site.Events() {
			if e.Kind == site.EventStart && strings.HasPrefix(e.Task, id+".") {
				seen[serviceOf[e.Worker]] = true
			}
		}
		if len(seen) > 1 {
			env.t.Errorf("job %s ran in %v", id, seen)
		}
	}
}

// TestSameJobDuringServiceChange guards against a job that is accepted in two services: callers
// send it to several nodes at once while some of them have the old configuration.
func TestSameJobDuringServiceChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTwoServicesEnv(t, service)
		defer env.close()
		const spec = "1500 cpu=500"
		step := stepBody{Count: 2, CPU: 500, MemoryMB: 100, EstimateMS: 1500}
		var ids []string
		for round := range 30 {
			env.configureServices(int64(2+round), []string{service, otherService}[round%2], otherService)
			for i := range 10 {
				id := fmt.Sprintf("%016x", 0xee0000+round*100+i)
				ids = append(ids, id)
				for _, n := range env.nodeNames() {
					go env.call(n, http.MethodPost, "/batch/"+id, env.encodeJob(spec, step))
				}
				time.Sleep(30 * time.Millisecond)
			}
		}
		time.Sleep(20 * time.Second)
		for _, id := range ids {
			if got := env.state("batch", id); got != "succeeded" {
				t.Errorf("job %s is %q", id, got)
			}
			if n, _ := env.starts(id); n != 2 {
				t.Errorf("job %s had %d starts, want 2", id, n)
			}
		}
		env.checkOneService(ids)
	})
}
