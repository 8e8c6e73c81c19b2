// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/standin/site"
)

const validID = "00000000000000aa"

// TestBadInput checks the responses to invalid requests.
func TestBadInput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(2 * time.Second)
		step := `{"Count":1,"Cpu":100,"MemMb":10}`
		for _, c := range []struct {
			name, method, path, body string
			wantStatus               int
			wantBody                 string
		}{
			{"not JSON", http.MethodPost, "/batch/" + validID, "{", http.StatusBadRequest, ""},
			{"a text for a number", http.MethodPost, "/batch/" + validID, `{"Steps":[{"Count":"many"}]}`, http.StatusBadRequest, "Count"},
			{"no steps", http.MethodPost, "/batch/" + validID, `{"Spec":"x"}`, http.StatusBadRequest, "steps"},
			{"no tasks", http.MethodPost, "/batch/" + validID, `{"Steps":[{"Cpu":5}]}`, http.StatusBadRequest, "steps[0].count"},
			{"a step after itself", http.MethodPost, "/batch/" + validID, `{"Steps":[{"Count":1,"DependsOn":[0]}]}`, http.StatusBadRequest, "steps[0].after"},
			{"negative resources", http.MethodPost, "/batch/" + validID, `{"Steps":[{"Count":1,"Cpu":-1}]}`, http.StatusBadRequest, "steps[0].need"},
			{"too many tasks", http.MethodPost, "/batch/" + validID, `{"RepeatCount":2000,"Steps":[{"Count":1000}]}`, http.StatusBadRequest, "steps"},
			{"larger than a row", http.MethodPost, "/batch/" + validID, `{"Spec":"` + strings.Repeat("x", 70_000) + `","Steps":[` + step + `]}`, http.StatusBadRequest, "too large"},
			{"unknown queue", http.MethodPost, "/nowhere/" + validID, `{"Steps":[` + step + `]}`, http.StatusNotFound, ""},
			{"not an ID", http.MethodPost, "/batch/short", `{"Steps":[` + step + `]}`, http.StatusNotFound, ""},
			{"unknown job", http.MethodGet, "/batch/" + validID, "", http.StatusGone, ""},
			{"cancel of an unknown job", http.MethodDelete, "/batch/" + validID, "", http.StatusGone, ""},
			{"unknown method", http.MethodPut, "/batch/" + validID, "", http.StatusMethodNotAllowed, ""},
			{"waiting of an unknown queue", http.MethodGet, "/nowhere/", "", http.StatusNotFound, ""},
			{"waiting", http.MethodGet, "/batch/", "", http.StatusOK, `{"Waiting":0}`},
		} {
			status, body := env.call("n1", c.method, c.path, c.body)
			if status != c.wantStatus || !strings.Contains(string(body), c.wantBody) {
				t.Errorf("%s: %d %s, want %d and %q", c.name, status, body, c.wantStatus, c.wantBody)
			}
		}
	})
}

// TestNoConfiguration checks that a node refuses requests until it has read a configuration.
func TestNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnvWith(t, cellWorkers, cellWorkers, func(*testEnv) {})
		defer env.close()
		time.Sleep(2 * time.Second)
		status, _ := env.call("n0", http.MethodPost, "/batch/"+validID, "{}")
		if status != http.StatusServiceUnavailable {
			t.Errorf("status %d without a configuration", status)
		}
		if ready, _ := env.get("n0:2", "/api/ready"); ready != http.StatusServiceUnavailable {
			t.Errorf("readiness status %d without a configuration", ready)
		}
		env.site.Configure(3, routes()...)
		time.Sleep(2 * time.Second)
		if ready, _ := env.get("n0:2", "/api/ready"); ready != http.StatusOK {
			t.Errorf("readiness status %d with a configuration", ready)
		}
		if status, _ = env.call("n0", http.MethodGet, "/batch/", ""); status != http.StatusOK {
			t.Errorf("status %d with a configuration", status)
		}
	})
}

// TestOlderConfigurationIsIgnored checks that an older version of the configuration doesn't replace
// a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(time.Second)
		env.site.Configure(9, routes()[1:]...)
		time.Sleep(2 * time.Second)
		env.site.Configure(5, routes()...)
		time.Sleep(3 * time.Second)
		for _, n := range env.nodeNames() {
			if status, _ := env.call(n, http.MethodGet, "/urgent/", ""); status != http.StatusNotFound {
				t.Errorf("%s serves a queue of an older version: %d", n, status)
			}
		}
	})
}

// TestMalformedRows checks that rows which can't be parsed are skipped and don't stop the nodes.
func TestMalformedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		shard0 := cluster.ShardID{Service: service}
		for i, bad := range []string{"", "nonsense", "[]", `{"id":5}`, `{"id":"x","steps":null}`} {
			key := fmt.Sprintf("%016x", 0xbad0+i)
			env.site.Store.PutRaw("servers", "", "i-bad"+key, []byte(bad))
			env.site.Store.PutRaw("op", "", "wave/"+key, []byte(bad))
			env.site.Store.PutRaw("cell", "", "node/"+key, []byte(bad))
			env.site.Store.PutRaw("cell", "", "owner/"+key, []byte(bad))
			env.site.Store.PutRaw("cell", "", "layout/"+key, []byte(bad))
			env.site.Store.PutRaw(owner.TablePins, owner.JobPart(key), key, []byte(bad))
			env.site.Store.PutRaw(owner.TableJobs(shard0), owner.JobPart(key), owner.JobRow(shard0, key).Key, []byte(bad))
			env.site.Store.PutRaw(owner.TableProgress, owner.ProgressPart(shard0), key, []byte(bad))
		}
		time.Sleep(2 * time.Second)
		id := env.submit("urgent", urgentSpec, urgentSteps()...)
		time.Sleep(3 * time.Second)
		env.kill(env.site.Owner())
		time.Sleep(5 * time.Second)
		if got := env.state("urgent", id); got != "succeeded" {
			t.Errorf("job is %q with malformed rows", got)
		}
	})
}

// TestResubmittedJobRunsOnce checks that a job which is submitted again, to any node and even after
// its end, runs only once.
func TestResubmittedJobRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(2 * time.Second)
		body := `{"Spec":"300 cpu=500","Steps":[{"Count":2,"Cpu":500,"MemMb":10}]}`
		for _, wait := range []time.Duration{0, 0, 100 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
			time.Sleep(wait)
			for _, n := range env.nodeNames() {
				if status, _ := env.call(n, http.MethodPost, "/batch/"+validID, body); status != http.StatusOK {
					t.Errorf("%s answers %d", n, status)
				}
			}
		}
		time.Sleep(3 * time.Second)
		starts := 0
		for _, e := range env.site.Events() {
			if e.Kind == "start" {
				starts++
			}
		}
		if starts != 2 {
			t.Errorf("%d starts of a job of two tasks", starts)
		}
	})
}

// TestCancelWhileStoreBusy checks that a cancellation which the store refuses is retried at a
// bounded rate.
func TestCancelWhileStoreBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(2 * time.Second)
		id := env.submit("batch", "60000 cpu=1000", stepBody{Count: 1, CPU: 1000, MemoryMB: 500, EstimateMS: 60_000})
		time.Sleep(time.Second)
		env.site.Store.SetFaults(site.StoreFaults{Down: true, Busy: true})
		before := env.site.Store.Calls()
		status, _ := env.call("n0", http.MethodDelete, "/batch/"+id, "")
		if status == http.StatusOK {
			t.Error("a cancellation is accepted without the store")
		}
		if calls := env.site.Store.Calls() - before; calls > maxStoreCalls {
			t.Errorf("%d calls to the store within a caller's deadline of 3 s", calls)
		}
		env.site.Store.SetFaults(site.StoreFaults{})
		if status, _ = env.call("n0", http.MethodDelete, "/batch/"+id, ""); status != http.StatusOK {
			t.Errorf("status %d once the store is back", status)
		}
	})
}

// maxStoreCalls bounds the calls of three nodes to a store that refuses them for 3 s: each node has
// a few readers that poll ten times a second, and the cancellation is retried and relayed.
const maxStoreCalls = 1500
