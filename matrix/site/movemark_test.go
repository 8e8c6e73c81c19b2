// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// movingID is a job that is due startDelay after its submission, when all nodes have been lost.
	movingID   = "00000000000000ee"
	startDelay = 20 * time.Second
	// movingProgress is the stored progress of a job that is marked as moving to another shard.
	movingProgress = `{"state":"pending","m":true,"e":1,"c":1}`
)

// submitDelayedAndKillAll submits a job with a start time and kills all nodes.
func (w *testEnv) submitDelayedAndKillAll() {
	w.t.Helper()
	body := w.encodeJob(urgentSpec, stepBody{Count: 2, CPU: 500, MemoryMB: 10, EstimateMS: 200})
	due, err := json.Marshal(time.Now().Add(startDelay).UnixMilli())
	if err != nil {
		w.t.Fatal(err)
	}
	body = strings.TrimSuffix(body, "}") + `,"RepeatCount":1,"StartAtMs":` + string(due) + "}"
	if status, answer := w.call("n0", http.MethodPost, "/batch/"+movingID, body); status != http.StatusOK {
		w.t.Fatalf("submission answered with status %d %s", status, answer)
	}
	w.killAll()
	// Wait until nothing that a node has sent is still in transit.
	time.Sleep(5 * time.Second)
}

// pinnedShard returns the shard that the job's pin names.
func (w *testEnv) pinnedShard() cluster.ShardID {
	w.t.Helper()
	value := w.site.Store.Value(owner.TablePins, owner.JobPart(service, movingID), movingID)
	shards, err := owner.ParsePin(service, tables.Row{Key: movingID, Value: value})
	if err != nil || len(shards) != 1 {
		w.t.Fatalf("the pin holds %s: %v", value, err)
	}
	return shards[0]
}

// markMoving marks the job as moving in the progress of a shard.
func (w *testEnv) markMoving(shard cluster.ShardID) {
	w.site.Store.PutRaw(owner.TableProgress, owner.ProgressPart(shard), movingID, []byte(movingProgress))
}

// restartNodes starts all nodes, and waits until the job should have ended.
func (w *testEnv) restartNodes() {
	for _, n := range []string{"n0", "n1", "n2"} {
		w.net.SetPartitioned(n, "*", false)
		w.startNode(n)
	}
	time.Sleep(startDelay + 5*time.Second)
}

// checkRunOnce checks that the job succeeded, with one start of each of its two tasks.
func (w *testEnv) checkRunOnce() {
	w.t.Helper()
	if n, _ := w.starts(movingID); n != 2 || w.state("batch", movingID) != "succeeded" {
		w.t.Errorf("the job is %q after %d starts, want 2", w.state("batch", movingID), n)
	}
}

// TestInterruptedMoveIsUndone checks that a job runs in its old shard if its owner was lost after
// marking it as moving, but before moving it, and that the move can't take effect later.
func TestInterruptedMoveIsUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShardedEnv(t)
		defer w.close()
		time.Sleep(2 * time.Second)
		w.submitDelayedAndKillAll()
		shard, part := w.pinnedShard(), owner.JobPart(service, movingID)
		before := w.site.Store.Version(owner.TablePins, part, movingID)
		w.markMoving(shard)
		w.restartNodes()
		if w.site.Store.Version(owner.TablePins, part, movingID) == before {
			t.Error("the pin has its old version: the move could still take effect")
		}
		if now := w.pinnedShard(); now != shard {
			t.Errorf("the job is in %s, want %s", now, shard)
		}
		w.checkRunOnce()
	})
}

// TestCompletedMoveWithMarkLeft checks that a job which has moved, but whose mark is still stored,
// runs in its new shard only.
func TestCompletedMoveWithMarkLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShardedEnv(t)
		defer w.close()
		time.Sleep(2 * time.Second)
		w.submitDelayedAndKillAll()
		from := w.pinnedShard()
		w.markMoving(from)
		w.completeMove(from, cluster.ShardID{Service: service, Index: 1 - from.Index})
		w.restartNodes()
		if now := w.pinnedShard(); now == from {
			t.Errorf("the job is back in %s", now)
		}
		w.checkRunOnce()
	})
}

// completeMove rewrites the job's rows as the second write of a move does.
func (w *testEnv) completeMove(from, to cluster.ShardID) {
	w.t.Helper()
	part := owner.JobPart(service, movingID)
	var job cluster.Job
	if err := json.Unmarshal(w.site.Store.Value(owner.TableJobs(from), part, movingID), &job); err != nil {
		w.t.Fatal(err)
	}
	job.Shard, job.Moves = to.Index, job.Moves+1
	txn, err := owner.AcceptJobTxn([]cluster.Job{job})
	if err != nil {
		w.t.Fatal(err)
	}
	for _, row := range txn.Put {
		w.site.Store.PutRaw(row.Table, row.Part, row.Key, row.Value)
	}
	w.site.Store.RemoveIn(owner.TableJobs(from), part, movingID)
}
