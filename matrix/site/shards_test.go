// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/standin/site"
)

// starts returns how many tasks of a job were started, and the worker of the last start.
func (env *testEnv) starts(job string) (n int, worker string) {
	for _, e := range env.site.Events() {
		if e.Kind == site.EventStart && len(e.Task) > len(job) && e.Task[:len(job)] == job {
			n, worker = n+1, e.Worker
		}
	}
	return n, worker
}

// newLabelledEnv returns an environment with two shards in which only one worker has a label.
func newLabelledEnv(t *testing.T) (env *testEnv, labelled *site.Worker) {
	env = newShardedEnv(t)
	// The layout of two shards must be stored first: with this worker there would be three.
	time.Sleep(2 * time.Second)
	labelled = env.site.AddWorker(site.WorkerConfig{Rack: "r1-0", Label: "rare", CPUMilli: workerCores, MemoryMB: 32000})
	time.Sleep(4 * time.Second)
	return env, labelled
}

// labelledJobs is how many jobs submitLabelled submits.
const labelledJobs = 6

// submitLabelled submits jobs that only a worker with the label can run, and returns their IDs.
func (env *testEnv) submitLabelled() []string {
	var ids []string
	for range labelledJobs {
		ids = append(ids, env.submit("batch", urgentSpec, stepBody{Count: 1, CPU: 500, MemoryMB: 10, Label: "rare"}))
	}
	return ids
}

// TestJobMovesToWorkersThatFit checks that a job whose shard has no worker with the required label
// moves to the shard that has one, wherever it was accepted.
func TestJobMovesToWorkersThatFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, labelled := newLabelledEnv(t)
		defer env.close()
		ids := env.submitLabelled()
		time.Sleep(10 * time.Second)
		for _, id := range ids {
			n, worker := env.starts(id)
			if state := env.state("batch", id); state != "succeeded" || n != 1 || worker != labelled.ID {
				t.Errorf("job %s is %q after %d starts, the last on %s", id, state, n, worker)
			}
		}
	})
}

// TestLateAcceptanceMessage checks that a job which has moved to another shard and ended there
// isn't run again by the shard that had it first, if the message about its acceptance reaches that
// shard's owner only then, or after a takeover.
func TestLateAcceptanceMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, _ := newLabelledEnv(t)
		defer env.close()
		ids := env.submitLabelled()
		time.Sleep(10 * time.Second)
		env.sendLateAcceptance(ids)
		env.kill(env.site.Owner())
		time.Sleep(5 * time.Second)
		env.sendLateAcceptance(ids)
		time.Sleep(5 * time.Second)
		for _, id := range ids {
			if n, _ := env.starts(id); n != 1 {
				t.Errorf("job %s: %d starts, want 1", id, n)
			}
		}
	})
}

// sendLateAcceptance sends the jobs, without a label and with the version of their acceptance, to
// the owners of both shards.
func (env *testEnv) sendLateAcceptance(ids []string) {
	for _, id := range ids {
		version := env.site.Store.Version(owner.TablePins, owner.JobPart(id), id)
		for shard := range 2 {
			body, err := json.Marshal(struct {
				Job     cluster.Job `json:"job"`
				Version int64       `json:"version"`
			}{cluster.Job{
				ID: id, Queue: "batch", Service: service, Shard: shard, Spec: urgentSpec,
				Steps: []cluster.Step{{Count: 1, Need: resource.Amount{CPUMilli: 500, MemoryMB: 10}}},
			}, version})
			if err != nil {
				env.t.Fatal(err)
			}
			env.sendAcceptanceToAll(body)
		}
	}
}

// sendAcceptanceToAll sends a message about an accepted job to every node.
func (env *testEnv) sendAcceptanceToAll(body []byte) {
	for _, n := range env.nodeNames() {
		r, err := http.NewRequestWithContext(env.t.Context(), http.MethodPost, fmt.Sprintf("http://%s:3/peer/v2/job", n), bytes.NewReader(body))
		if err != nil {
			env.t.Fatal(err)
		}
		env.send(r)
	}
}

// TestPartitionedNodeTakesNoShard checks that a node which reaches the store but no other node
// doesn't take the shard from its owner, which still serves the other nodes.
func TestPartitionedNodeTakesNoShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		env.submit("urgent", urgentSpec, urgentSteps()...)
		time.Sleep(time.Second)
		owner := env.site.Owner()
		others := otherNodes(env, owner)
		isolated := others[0]
		env.net.SetPartitioned(isolated, owner, true)
		env.net.SetPartitioned(isolated, others[1], true)
		for range 10 {
			env.submit("urgent", urgentSpec, urgentSteps()...)
			if now := env.site.Owner(); now == isolated {
				t.Fatalf("%s was partitioned and took the shard of %s", isolated, owner)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}
