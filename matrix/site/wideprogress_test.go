// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/standin/site"
)

const (
	// wideTasks is the number of tasks of a job whose progress is larger than a row of the store once
	// wideDrained of its workers have drained, each of which runs a sixth of them.
	wideTasks   = 2400
	wideDrained = 4
	// shownWithin is the time within which a job of one short task is shown as succeeded.
	shownWithin = 4 * time.Second
)

// checkShownSoon submits small urgent jobs one after the other, and checks that each is soon shown as succeeded.
func (env *testEnv) checkShownSoon(n int) {
	env.t.Helper()
	for range n {
		id := env.submit(urgentQueue, "300 cpu=100", stepBody{Count: 1, CPU: 100, MemoryMB: 10, EstimateMS: 300})
		state := ""
		for began := time.Now(); time.Since(began) < shownWithin && state != "succeeded"; time.Sleep(100 * time.Millisecond) {
			state = env.state(urgentQueue, id)
		}
		if state != "succeeded" {
			env.t.Errorf("job %s is %s after %v", id, state, shownWithin)
		}
	}
}

// TestWideJobStopsPersistence guards against a job whose progress outgrows a row of the store: its write
// was refused, and with it those of all other jobs, none of which was shown as succeeded any more.
func TestWideJobStopsPersistence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		wide := env.submit("batch", "15000 cpu=8", stepBody{Count: wideTasks, CPU: 8, MemoryMB: 1, EstimateMS: 15_000})
		time.Sleep(4 * time.Second)
		for i := range wideDrained {
			env.worker(i).Drain()
		}
		time.Sleep(time.Second)
		env.checkShownSoon(2)
		env.killOwner()
		time.Sleep(2 * time.Second)
		env.checkShownSoon(2)
		time.Sleep(60 * time.Second)
		if state := env.state("batch", wide); state != "succeeded" {
			t.Errorf("the wide job is %s", state)
		}
		env.checkNoViolations()
		for _, key := range env.site.Store.Keys(owner.TableProgress) {
			if strings.HasPrefix(key, wide+"/") {
				t.Errorf("row %s of the job that has ended is left", key)
			}
		}
	})
}

// TestRefusedProgressStopsOthers guards against a job whose progress the store refuses for good, whatever the
// cause, and with which that of all other jobs was written again and again.
func TestRefusedProgressStopsOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		const id = "00000000000000ee"
		env.site.Store.SetRefusedRow(owner.TableProgress, id)
		env.submitTo("n0", "batch", id, "1000 cpu=100", stepBody{Count: 4, CPU: 100, MemoryMB: 10, EstimateMS: 1000})
		env.checkShownSoon(10)
		refused := 0.0
		for _, n := range env.nodeNames() {
			refused += env.metric(n, "switchbank_progress_refused")
		}
		if refused == 0 {
			t.Error("no refused write is counted")
		}
		env.site.Store.SetRefusedRow(owner.TableProgress, "")
		time.Sleep(40 * time.Second)
		if state := env.state("batch", id); state != "succeeded" {
			t.Errorf("the job is %s after the store takes its progress again", state)
		}
	})
}

// TestLongCheckpoints guards against checkpoints of any length that keep progress from being written.
func TestLongCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		for i := range cellWorkers {
			env.worker(i).SetFaults(site.WorkerFaults{CheckpointBytes: 200_000})
		}
		wide := env.submit("batch", "20000 cpu=100", stepBody{Count: 200, CPU: 100, MemoryMB: 1, EstimateMS: 20_000})
		time.Sleep(2 * time.Second)
		env.worker(0).Drain()
		env.worker(1).Drain()
		time.Sleep(time.Second)
		env.checkShownSoon(5)
		time.Sleep(60 * time.Second)
		if state := env.state("batch", wide); state != "succeeded" {
			t.Errorf("the job with long checkpoints is %s", state)
		}
	})
}
