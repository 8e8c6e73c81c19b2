// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/standin/site"
)

// The tests of this file cancel jobs that are not there, or not yet.

const (
	// absentJob is the job that is cancelled, and leaveAfter the time after which its caller leaves
	// without an answer.
	absentJob  = "00000000000000ab"
	leaveAfter = 125 * time.Millisecond
	// tombstoneRetention is for how long a cancelled ID can't be used, and removedAfter when its rows
	// are gone, also if the owner was replaced meanwhile.
	tombstoneRetention = 120 * time.Second
	removedAfter       = tombstoneRetention + 40*time.Second
)

func absentStep() stepBody { return stepBody{Count: 2, CPU: 100, MemoryMB: 10, EstimateMS: 400} }

// submitAndLeave submits a job to a node, and gives up after d.
func (env *testEnv) submitAndLeave(node, id string, d time.Duration) {
	ctx, cancel := context.WithTimeout(env.t.Context(), d)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+":1/batch/"+id, bytes.NewReader([]byte(env.encodeJob(wideSpec, absentStep()))))
	if err != nil {
		env.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Switchbank-Deadline-Ms", "3000")
	env.send(r)
}

// cancelUntilAnswered cancels the absent job at a node, again until that is acknowledged.
func (env *testEnv) cancelUntilAnswered(node string) {
	env.t.Helper()
	for range 10 {
		if status, _ := env.call(node, http.MethodDelete, "/batch/"+absentJob, ""); status == http.StatusOK || status == http.StatusGone {
			return
		}
	}
	env.t.Errorf("the cancel of job %s is not acknowledged", absentJob)
}

// startsOf returns how many runs of a job have started.
func (env *testEnv) startsOf(id string) (n int) {
	for _, e := range env.site.Events() {
		if e.Kind == site.EventStart && strings.HasPrefix(e.Task, id+".") {
			n++
		}
	}
	return n
}

// rowsOf returns how many rows of a job are in the store.
func (env *testEnv) rowsOf(id string) (n int) {
	tables := []string{owner.TablePins, owner.TableProgress}
	for i := range 2 {
		tables = append(tables, owner.TableJobs(cluster.ShardID{Service: service, Index: i}))
	}
	for _, table := range tables {
		for _, key := range env.site.Store.Keys(table) {
			if strings.HasPrefix(key, id) {
				n++
			}
		}
	}
	return n
}

// lateAcceptance makes the first write that accepts a job late.
func lateAcceptance(by time.Duration) func([]string) site.WriteFault {
	first := true
	return func(keys []string) site.WriteFault {
		for _, key := range keys {
			if key == absentJob && first {
				first = false
				return site.WriteFault{LateBy: by}
			}
		}
		return site.WriteFault{}
	}
}

// TestJobCancelledBeforeAcceptanceRuns guards against a job that runs though its cancel was answered
// with 410: its acceptance was under way, and the store did it seconds later.
func TestJobCancelledBeforeAcceptanceRuns(t *testing.T) {
	forEachCase(t, map[string]func(env *testEnv){
		"at the same node": func(env *testEnv) { env.cancelUntilAnswered("n0") },
		"at another node":  func(env *testEnv) { env.cancelUntilAnswered("n1") },
		"at two nodes": func(env *testEnv) {
			env.cancelUntilAnswered("n1")
			env.cancelUntilAnswered("n2")
		},
		"the submission's node is killed": func(env *testEnv) {
			env.kill("n0")
			env.cancelUntilAnswered("n1")
		},
		"all nodes are killed then": func(env *testEnv) {
			env.cancelUntilAnswered("n1")
			for _, name := range env.killAll() {
				env.startNode(name + "b")
			}
		},
		"the submission comes again at once": func(env *testEnv) {
			env.cancelUntilAnswered("n1")
			env.checkRefusedAsCancelled("n2")
		},
	}, func(t *testing.T, build func(*testing.T) *testEnv, meanwhile func(env *testEnv)) {
		env := build(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		env.site.Store.SetWriteFault(owner.TablePins, lateAcceptance(5*time.Second))
		env.submitAndLeave("n0", absentJob, leaveAfter)
		meanwhile(env)
		time.Sleep(15 * time.Second)
		if n := env.startsOf(absentJob); n > 0 {
			t.Errorf("%d runs of the cancelled job have started", n)
		}
		if state := env.state("batch", absentJob); state != "unknown" {
			t.Errorf("the cancelled job is %s", state)
		}
	})
}

// checkRefusedAsCancelled submits the cancelled job again, and checks that the caller is told when its
// ID can be used again.
func (env *testEnv) checkRefusedAsCancelled(node string) {
	env.t.Helper()
	r := env.submitOnce(node, absentJob, absentStep())
	if after, err := strconv.Atoi(r.retryAfter); r.status != http.StatusServiceUnavailable || err != nil || after != int(tombstoneRetention.Seconds()) {
		env.t.Errorf("the cancelled job is answered with %+v", r)
	}
}

// TestTombstonesAreRemoved guards against cancels that leave rows in the store, or that keep an ID from
// being used for good: of a job that never was, whichever owners its shard has meanwhile.
func TestTombstonesAreRemoved(t *testing.T) {
	forEachCase(t, map[string]func(env *testEnv){
		"nothing else":          func(*testEnv) {},
		"the owner is replaced": func(env *testEnv) { env.kill(env.site.Owner()) },
	}, func(t *testing.T, build func(*testing.T) *testEnv, meanwhile func(env *testEnv)) {
		env := build(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		env.cancelUntilAnswered("n1")
		env.checkRefusedAsCancelled("n2")
		time.Sleep(time.Minute)
		meanwhile(env)
		time.Sleep(removedAfter)
		if n := env.rowsOf(absentJob); n > 0 {
			t.Errorf("%d rows of the cancelled job are in the store", n)
		}
		env.submitTo(env.nodeNames()[0], "batch", absentJob, "400 cpu=100", absentStep())
		time.Sleep(5 * time.Second)
		if state := env.state("batch", absentJob); state != "succeeded" {
			t.Errorf("the job that came under the same ID later is %s", state)
		}
	})
}

// TestLateCancelHarmsAcceptedJob guards against a job that is lost since a cancel, to which its caller
// got no answer, is done after the job was accepted.
func TestLateCancelHarmsAcceptedJob(t *testing.T) {
	runInEnvs(t, func(t *testing.T, env *testEnv) {
		defer env.close()
		time.Sleep(4 * time.Second)
		env.site.Store.SetWriteFault(owner.TablePins, func([]string) site.WriteFault { return site.WriteFault{LateBy: 4 * time.Second} })
		if status, _ := env.call("n1", http.MethodDelete, "/batch/"+absentJob, ""); status == http.StatusOK || status == http.StatusGone {
			t.Fatalf("the cancel is answered with %d although the store has not answered", status)
		}
		env.site.Store.SetWriteFault(owner.TablePins, nil)
		env.submitTo("n0", "batch", absentJob, "400 cpu=100", absentStep())
		time.Sleep(10 * time.Second)
		if state := env.state("batch", absentJob); state != "succeeded" {
			t.Errorf("the accepted job is %s", state)
		}
	})
}

// TestTombstonesFillStore guards against callers that fill the store by cancels of jobs that never were.
func TestTombstonesFillStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// maxTombstones is that of all nodes together.
		const calls, maxTombstones = 4000, 10_000
		env := newEnv(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		var last int
		for i := range calls {
			last, _ = env.call("n1", http.MethodDelete, fmt.Sprintf("/batch/%016x", 0xabc000+i), "")
		}
		if last != http.StatusServiceUnavailable {
			t.Errorf("the last cancel is answered with %d", last)
		}
		if n := len(env.site.Store.Keys(owner.TablePins)); n == 0 || n > maxTombstones/cellNodes {
			t.Errorf("%d tombstones of one node, at most %d are allowed", n, maxTombstones/cellNodes)
		}
	})
}
