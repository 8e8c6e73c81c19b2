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
	// markedID is a job that begins only some time after all nodes were lost.
	markedID    = "00000000000000ee"
	markedAfter = 20 * time.Second
	// mark is the progress of a job that may be on its way to another shard.
	mark = `{"state":"pending","m":true,"e":1,"c":1}`
)

// handInForLater hands in a job that is due after a while, and loses all nodes.
func (w *world) handInForLater() {
	w.t.Helper()
	body := w.encodeJob(urgentSpec, stepBody{Count: 2, CPU: 500, MemoryMB: 10, EstimateMS: 200})
	due, err := json.Marshal(time.Now().Add(markedAfter).UnixMilli())
	if err != nil {
		w.t.Fatal(err)
	}
	body = strings.TrimSuffix(body, "}") + `,"RepeatCount":1,"StartAtMs":` + string(due) + "}"
	if status, answer := w.call("n0", http.MethodPost, "/batch/"+markedID, body); status != http.StatusOK {
		w.t.Fatalf("the job was answered %d %s", status, answer)
	}
	w.killAll()
	// Nothing that a node has sent is on its way any more.
	time.Sleep(5 * time.Second)
}

// pinned returns the shard that the job's pin names.
func (w *world) pinned() cluster.ShardID {
	w.t.Helper()
	value := w.site.Store.Value(owner.TablePins, owner.JobPart(service, markedID), markedID)
	at, err := owner.ParsePin(service, tables.Row{Key: markedID, Value: value})
	if err != nil || len(at) != 1 {
		w.t.Fatalf("the pin holds %s: %v", value, err)
	}
	return at[0]
}

// markIn writes the job's mark into the progress of a shard.
func (w *world) markIn(shard cluster.ShardID) {
	w.site.Store.PutRaw(owner.TableProgress, owner.ProgressPart(shard), markedID, []byte(mark))
}

// startAgain starts all nodes, and waits until the job should have ended.
func (w *world) startAgain() {
	for _, n := range []string{"n0", "n1", "n2"} {
		w.net.SetPartitioned(n, "*", false)
		w.startNode(n)
	}
	time.Sleep(markedAfter + 5*time.Second)
}

// wantRunOnce checks that the job succeeded, with one start a task.
func (w *world) wantRunOnce() {
	w.t.Helper()
	if n, _ := w.starts(markedID); n != 2 || w.state("batch", markedID) != "succeeded" {
		w.t.Errorf("the job is %q after %d starts, want 2", w.state("batch", markedID), n)
	}
}

// TestMarkedJobStays checks that a job which an owner had marked as moving, and not
// moved before it was lost, runs where it was, and that the move can't take effect late.
func TestMarkedJobStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShardedWorld(t)
		defer w.close()
		time.Sleep(2 * time.Second)
		w.handInForLater()
		shard, part := w.pinned(), owner.JobPart(service, markedID)
		before := w.site.Store.Version(owner.TablePins, part, markedID)
		w.markIn(shard)
		w.startAgain()
		if w.site.Store.Version(owner.TablePins, part, markedID) == before {
			t.Error("the pin has its old version: the move could still take effect")
		}
		if now := w.pinned(); now != shard {
			t.Errorf("the job is in %s, want %s", now, shard)
		}
		w.wantRunOnce()
	})
}

// TestMarkedJobHasMoved checks that a job which has moved, but whose mark is still there,
// runs in its new shard only.
func TestMarkedJobHasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShardedWorld(t)
		defer w.close()
		time.Sleep(2 * time.Second)
		w.handInForLater()
		from := w.pinned()
		w.markIn(from)
		w.moveByHand(from, cluster.ShardID{Service: service, Index: 1 - from.Index})
		w.startAgain()
		if now := w.pinned(); now == from {
			t.Errorf("the job is back in %s", now)
		}
		w.wantRunOnce()
	})
}

// moveByHand rewrites the job's rows as the second write of a move does.
func (w *world) moveByHand(from, to cluster.ShardID) {
	w.t.Helper()
	part := owner.JobPart(service, markedID)
	var job cluster.Job
	if err := json.Unmarshal(w.site.Store.Value(owner.TableJobs(from), part, markedID), &job); err != nil {
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
	w.site.Store.RemoveIn(owner.TableJobs(from), part, markedID)
}
