// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"encoding/json"
	"net/http"
	"strconv"
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
func (env *testEnv) submitDelayedAndKillAll() {
	env.t.Helper()
	body := env.encodeTimedJob(time.Now().Add(startDelay), urgentSpec, stepBody{Count: 2, CPU: 500, MemoryMB: 10, EstimateMS: 200})
	if status, answer := env.call("n0", http.MethodPost, "/batch/"+movingID, body); status != http.StatusOK {
		env.t.Fatalf("submission answered with status %d %s", status, answer)
	}
	env.killAll()
	// Wait until nothing that a node has sent is still in transit.
	time.Sleep(5 * time.Second)
}

// encodeTimedJob returns the request body that submits a job which starts at a certain time.
func (env *testEnv) encodeTimedJob(due time.Time, spec string, steps ...stepBody) string {
	body := env.encodeJob(spec, steps...)
	return strings.TrimSuffix(body, "}") + `,"RepeatCount":1,"StartAtMs":` + strconv.FormatInt(due.UnixMilli(), 10) + "}"
}

// pinnedShard returns the shard that the job's pin names.
func (env *testEnv) pinnedShard() cluster.ShardID {
	env.t.Helper()
	value := env.site.Store.Value(owner.TablePins, owner.JobPart(movingID), movingID)
	pin, err := owner.ParsePin(tables.Row{Key: movingID, Value: value})
	if err != nil || len(pin.Shards) != 1 {
		env.t.Fatalf("the pin holds %s: %v", value, err)
	}
	return pin.Shards[0]
}

// markMoving marks the job as moving in the progress of a shard.
func (env *testEnv) markMoving(shard cluster.ShardID) {
	env.site.Store.PutRaw(owner.TableProgress, owner.ProgressPart(shard), movingID, []byte(movingProgress))
}

// restartNodes starts all nodes, and waits until the job should have ended.
func (env *testEnv) restartNodes() {
	for _, n := range []string{"n0", "n1", "n2"} {
		env.net.SetPartitioned(n, "*", false)
		env.startNode(n)
	}
	time.Sleep(startDelay + 5*time.Second)
}

// checkRunOnce checks that the job succeeded, with one start of each of its two tasks.
func (env *testEnv) checkRunOnce() {
	env.t.Helper()
	if n, _ := env.starts(movingID); n != 2 || env.state("batch", movingID) != "succeeded" {
		env.t.Errorf("the job is %q after %d starts, want 2", env.state("batch", movingID), n)
	}
}

// TestInterruptedMoveIsUndone checks that a job runs in its old shard if its owner was lost after
// marking it as moving, but before moving it, and that the move can't take effect later.
func TestInterruptedMoveIsUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newShardedEnv(t)
		defer env.close()
		time.Sleep(2 * time.Second)
		env.submitDelayedAndKillAll()
		shard, part := env.pinnedShard(), owner.JobPart(movingID)
		before := env.site.Store.Version(owner.TablePins, part, movingID)
		env.markMoving(shard)
		env.restartNodes()
		if env.site.Store.Version(owner.TablePins, part, movingID) == before {
			t.Error("the pin has its old version: the move could still take effect")
		}
		if now := env.pinnedShard(); now != shard {
			t.Errorf("the job is in %s, want %s", now, shard)
		}
		env.checkRunOnce()
	})
}

// TestCompletedMoveWithMarkLeft checks that a job which has moved, but whose mark is still stored,
// runs in its new shard only.
func TestCompletedMoveWithMarkLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newShardedEnv(t)
		defer env.close()
		time.Sleep(2 * time.Second)
		env.submitDelayedAndKillAll()
		from := env.pinnedShard()
		env.markMoving(from)
		env.completeMove(from, cluster.ShardID{Service: service, Index: 1 - from.Index})
		env.restartNodes()
		if now := env.pinnedShard(); now == from {
			t.Errorf("the job is back in %s", now)
		}
		env.checkRunOnce()
	})
}

// completeMove rewrites the job's rows as the second write of a move does.
func (env *testEnv) completeMove(from, to cluster.ShardID) {
	env.t.Helper()
	row := owner.JobRow(from, movingID)
	var job cluster.Job
	if err := json.Unmarshal(env.site.Store.Value(row.Table, row.Part, row.Key), &job); err != nil {
		env.t.Fatal(err)
	}
	job.Shard, job.Moves = to.Index, job.Moves+1
	txn, err := owner.AcceptJobTxn([]cluster.Job{job})
	if err != nil {
		env.t.Fatal(err)
	}
	for _, row := range txn.Put {
		env.site.Store.PutRaw(row.Table, row.Part, row.Key, row.Value)
	}
	env.site.Store.RemoveIn(row.Table, row.Part, row.Key)
}
