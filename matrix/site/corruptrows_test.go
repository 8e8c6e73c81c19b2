// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
)

// corruptRow is a stored row that is overwritten with invalid content, and the expected effect.
type corruptRow struct {
	name             string
	table, part, key string
	// wantState is the expected state of the job that was submitted before, once its run time has
	// passed after the loss of the owner. A job whose own row is corrupt can't end.
	wantState string
}

// corruptJobID is the job to which the rows belong.
const corruptJobID = "00000000000000ab"

// corruptRows returns the rows that a node reads, except for the directory's.
func corruptRows() []corruptRow {
	shard := cluster.ShardID{Service: service}
	part := owner.JobPart(corruptJobID)
	return []corruptRow{
		{"the configuration", "op", "", "config", "succeeded"},
		{"a member's row", "cell", "", "node/n0", "succeeded"},
		{"the owner's row", "cell", "", "owner/" + shard.String(), "succeeded"},
		{"the layout", "cell", "", "layout/" + service, "succeeded"},
		{"the fence", owner.TableProgress, owner.ProgressPart(shard), owner.FenceRow(shard).Key, "succeeded"},
		{"the list of workers", owner.TableProgress, owner.ProgressPart(shard), "!workers", "succeeded"},
		{"the parts of limits that were given", owner.TableProgress, owner.ProgressPart(shard), "!teams", "succeeded"},
		{"the job's pin", owner.TablePins, part, corruptJobID, "succeeded"},
		{"the job's progress", owner.TableProgress, owner.ProgressPart(shard), corruptJobID, "succeeded"},
		{"the job's row", owner.TableJobs(shard), part, owner.JobRow(shard, corruptJobID).Key, "running"},
	}
}

// TestCorruptRows corrupts each kind of row that nodes read, while a job runs, and then kills the
// owner. The shard must be taken over, the job must end unless its own row is the corrupt one, and
// new jobs must be accepted and end.
//
// It guards against a corrupt owner row that keeps the shard from being taken over: the row was
// skipped, version included, so that each attempt failed on the version.
func TestCorruptRows(t *testing.T) {
	for _, c := range corruptRows() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testCorruptRow(t, c) })
		})
	}
}

func testCorruptRow(t *testing.T, c corruptRow) {
	env := newEnv(t)
	defer env.close()
	time.Sleep(4 * time.Second)
	step := stepBody{Count: 2, CPU: 500, MemoryMB: 100, EstimateMS: 3000, Checkpoints: true}
	env.submitTo("n1", "batch", corruptJobID, "3000 cpu=500", step)
	time.Sleep(time.Second)
	env.site.Store.PutRaw(c.table, c.part, c.key, []byte(`{"owner":5,"shards":"x"`))
	time.Sleep(time.Second)
	env.kill(env.site.Owner())
	time.Sleep(12 * time.Second)
	if got := env.state("batch", corruptJobID); got != c.wantState {
		t.Errorf("the job is %q, want %q", got, c.wantState)
	}
	id := env.submit("batch", "400 cpu=500", stepBody{Count: 1, CPU: 500, MemoryMB: 100, EstimateMS: 400})
	time.Sleep(3 * time.Second)
	if got := env.state("batch", id); got != "succeeded" {
		t.Errorf("a new job is %q", got)
	}
	env.site.Configure(2, routes()[:1]...)
	time.Sleep(2 * time.Second)
	for _, n := range env.nodeNames() {
		if status, _ := env.call(n, http.MethodGet, "/batch/", ""); status != http.StatusNotFound {
			t.Errorf("%s serves a queue that version 2 has removed: %d", n, status)
		}
	}
	env.checkNoViolations()
}

// TestCorruptFallbackRows corrupts all fallback rows, which hold progress while its own part is
// unavailable, and then kills the owner. The next owner must continue from the jobs' own rows and
// the reports of the workers, each accepted job must end, and the corrupt rows must be removed.
func TestCorruptFallbackRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		load := env.startLoad(2*unavailableFor, unavailableFor/2)
		env.site.Store.SetUnavailableParts(env.progressParts()...)
		time.Sleep(unavailableFor / 2)
		fallbackRows := env.site.Store.Keys("spill")
		if len(fallbackRows) == 0 {
			t.Fatal("no fallback row was written")
		}
		for _, key := range fallbackRows {
			env.site.Store.PutRaw("spill", "", key, []byte("nonsense"))
		}
		restart := env.killOwner()
		time.Sleep(time.Second)
		env.site.Store.SetUnavailableParts()
		restart()
		load.Wait()
		env.checkJobsSettled()
		if left := env.site.Store.Keys("spill"); len(left) > 0 {
			t.Errorf("%d fallback rows are left, such as %s", len(left), left[0])
		}
	})
}
