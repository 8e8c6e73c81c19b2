// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/settings"
	"switchbank.example/switchbank/standin/site"
)

const (
	keyedJob  = "00000000000000a1"
	publicJob = "00000000000000a2"
	// configTime is the time within which a configuration is in force on all nodes.
	configTime = 3 * time.Second
)

// keyedRoutes returns the queues of the tests and a public one.
func keyedRoutes() []site.Route {
	return append(routes(), site.Route{Name: "open", Host: "h", PathPrefix: "/open/", Stretch: 2, TargetMS: 1200, Upstream: service, Public: true})
}

// twoTeams returns two teams without limits.
func twoTeams() []site.Team {
	return []site.Team{{Name: "red", Keys: []string{"red-1", "red-2"}, Weight: 2}, {Name: "blue", Keys: []string{"blue-1"}, Weight: 1}}
}

// newTeamEnv returns an environment with two teams.
func newTeamEnv(t *testing.T) *testEnv {
	return newTeamEnvWith(t, settings.Tokens{}, twoTeams())
}

func newTeamEnvWith(t *testing.T, tokens settings.Tokens, teams []site.Team) *testEnv {
	env := newEnvWith(t, cellWorkers, cellWorkers, func(env *testEnv) {
		env.tokens = tokens
		env.site.ConfigureTeams(1, teams, keyedRoutes()...)
	})
	time.Sleep(5 * time.Second)
	return env
}

// wantStatus makes a call with a key on each node and checks the status of the answers.
func (env *testEnv) wantStatus(want int, key, method, path, body string) {
	env.t.Helper()
	for _, node := range env.nodeNames() {
		if got, _ := env.callAs(key, node, method, path, body); got != want {
			env.t.Errorf("%s %s on %s with key %q is answered with %d, want %d", method, path, node, key, got, want)
		}
	}
}

// replaceRedKeys replaces the keys of the first team, and waits until that is in force.
func (env *testEnv) replaceRedKeys(keys ...string) {
	teams := twoTeams()
	teams[0].Keys = keys
	env.site.ConfigureTeams(2, teams, keyedRoutes()...)
	time.Sleep(configTime)
}

// cutOff partitions a node from the store and from all other nodes.
func (env *testEnv) cutOff(node string) {
	for _, other := range append(otherNodes(env, node), storeHost) {
		env.net.SetPartitioned(node, other, true)
	}
}

// TestUnknownKeyServed guards against calls that are served without a key in force.
func TestUnknownKeyServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTeamEnv(t)
		defer env.close()
		body := env.encodeJob("x", stepBody{Count: 2, CPU: 100, EstimateMS: 300})
		for _, key := range []string{"", "green", "red-3", "red-"} {
			env.wantStatus(http.StatusUnauthorized, key, http.MethodPost, "/batch/"+keyedJob, body)
			env.wantStatus(http.StatusUnauthorized, key, http.MethodGet, "/batch/", "")
		}
		env.wantStatus(http.StatusOK, "red-2", http.MethodPost, "/batch/"+keyedJob, body)
		env.wantStatus(http.StatusOK, "", http.MethodPost, "/open/"+publicJob, body)
		for _, key := range []string{"", "green"} {
			env.wantStatus(http.StatusUnauthorized, key, http.MethodGet, "/batch/"+keyedJob, "")
			env.wantStatus(http.StatusUnauthorized, key, http.MethodDelete, "/batch/"+keyedJob, "")
		}
		time.Sleep(5 * time.Second)
		env.checkNoViolations()
	})
}

// TestOtherTeamSeesJob guards against jobs that another team can read, cancel or take over, while
// they run, after they have ended and after all nodes were replaced.
func TestOtherTeamSeesJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTeamEnv(t)
		defer env.close()
		body := env.encodeJob("x", stepBody{Count: 2, CPU: 100, EstimateMS: 4000})
		env.wantStatus(http.StatusOK, "red-1", http.MethodPost, "/batch/"+keyedJob, body)
		check := func() {
			t.Helper()
			env.wantStatus(http.StatusGone, "blue-1", http.MethodGet, "/batch/"+keyedJob, "")
			env.wantStatus(http.StatusGone, "blue-1", http.MethodDelete, "/batch/"+keyedJob, "")
			env.wantStatus(http.StatusConflict, "blue-1", http.MethodPost, "/batch/"+keyedJob, body)
			env.wantStatus(http.StatusGone, "", http.MethodGet, "/open/"+keyedJob, "")
			env.wantStatus(http.StatusOK, "red-2", http.MethodGet, "/batch/"+keyedJob, "")
			env.wantStatus(http.StatusOK, "red-2", http.MethodPost, "/batch/"+keyedJob, body)
		}
		check()
		for _, name := range env.killAll() {
			env.startNode(name + "b")
		}
		time.Sleep(12 * time.Second)
		check()
		if _, data := env.callAs("red-1", env.nodeNames()[0], http.MethodGet, "/batch/"+keyedJob, ""); string(data) != `{"State":"succeeded"}` {
			t.Errorf("the job's state is %s", data)
		}
		for _, name := range env.killAll() {
			env.startNode(name + "c")
		}
		time.Sleep(5 * time.Second)
		check()
	})
}

// TestWithdrawnKeyServed guards against keys that stay in force after a configuration without them,
// and against jobs that are lost with the key of their submission.
func TestWithdrawnKeyServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTeamEnv(t)
		defer env.close()
		body := env.encodeJob("x", stepBody{Count: 2, CPU: 100, EstimateMS: 6000})
		env.wantStatus(http.StatusOK, "red-1", http.MethodPost, "/batch/"+keyedJob, body)
		env.replaceRedKeys("red-2", "red-3")
		env.wantStatus(http.StatusUnauthorized, "red-1", http.MethodGet, "/batch/"+keyedJob, "")
		env.wantStatus(http.StatusOK, "red-3", http.MethodGet, "/batch/"+keyedJob, "")
		time.Sleep(10 * time.Second)
		if _, data := env.callAs("red-2", "n0", http.MethodGet, "/batch/"+keyedJob, ""); string(data) != `{"State":"succeeded"}` {
			t.Errorf("the job's state is %s", data)
		}
	})
}

// TestNewKeyRefusedForGood guards against a final refusal of a new key by a node that can't know it
// yet, since it reaches neither the store nor its peers, or has just started.
func TestNewKeyRefusedForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTeamEnv(t)
		defer env.close()
		env.cutOff("n0")
		time.Sleep(configTime)
		env.replaceRedKeys("red-3")
		for key, want := range map[string]int{"red-3": http.StatusServiceUnavailable, "": http.StatusUnauthorized} {
			if got, _ := env.callAs(key, "n0", http.MethodGet, "/batch/", ""); got != want {
				t.Errorf("key %q is answered with %d by a node that is cut off, want %d", key, got, want)
			}
		}
		if got, _ := env.callAs("red-3", "n1", http.MethodGet, "/batch/", ""); got != http.StatusOK {
			t.Errorf("a new key is answered with %d", got)
		}
	})
}

// TestWithdrawnKeyServedByStrictNode guards against a node that goes on serving keys although it
// may not know that they were withdrawn, where the operators want it to be strict.
func TestWithdrawnKeyServedByStrictNode(t *testing.T) {
	for _, strict := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			env := newTeamEnvWith(t, settings.Tokens{Strict: strict, MaxAgeMS: 5000}, twoTeams())
			defer env.close()
			env.cutOff("n0")
			time.Sleep(6 * time.Second)
			// The count needs the owners of the shards, which the node may not reach.
			got, data := env.callAs("red-1", "n0", http.MethodGet, "/batch/", "")
			refused := got == http.StatusServiceUnavailable && string(data) == `{"Error":"the node may not know the newest keys"}`
			if refused != strict {
				t.Errorf("strict %v: a key is answered with %d %s", strict, got, data)
			}
		})
	}
}

// TestStoreTurnsNodeAway guards against a node that is behind for as long as the store turns it
// away, although its peers know the newest keys.
func TestStoreTurnsNodeAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTeamEnv(t)
		defer env.close()
		env.net.SetPartitioned("n0", storeHost, true)
		time.Sleep(configTime)
		env.replaceRedKeys("red-3")
		env.wantStatus(http.StatusOK, "red-3", http.MethodGet, "/batch/", "")
		env.wantStatus(http.StatusUnauthorized, "red-1", http.MethodGet, "/batch/", "")
	})
}
