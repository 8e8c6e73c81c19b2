// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/standin/site"
)

// partsAway is how long parts of the store don't answer.
const partsAway = 6 * time.Second

// progressParts returns the parts of the progress of a world's shards.
func (w *world) progressParts() []string {
	var parts []string
	for i := range len(w.workers) / w.perShard {
		parts = append(parts, owner.ProgressPart(cluster.ShardID{Service: service, Index: i}))
	}
	return parts
}

// TestProgressPartAway takes the parts of the shards' progress away: jobs go on, and
// their ends are shown, since they are written elsewhere meanwhile.
func TestProgressPartAway(t *testing.T) {
	playInWorlds(t, playProgressAway)
}

func playProgressAway(t *testing.T, w *world) {
	defer w.close()
	load := w.beginLoad(2*partsAway, partsAway/2)
	w.site.Store.SetUnavailableParts(w.progressParts()...)
	var jobs sync.WaitGroup
	for i, node := range w.names() {
		jobs.Go(func() { w.checkServed(node, fmt.Sprintf("%016x", 0xb000+i)) })
	}
	time.Sleep(partsAway)
	jobs.Wait()
	w.site.Store.SetUnavailableParts()
	load.Wait()
	w.checkSettled()
	if left := w.site.Store.Keys("spill"); len(left) > 0 {
		t.Errorf("%d rows of spilled progress are left, such as %s", len(left), left[0])
	}
	w.checkJudged()
}

// TestSpilledProgressOutlivesOwner kills the owner while progress is spilled: the next
// one goes on from it, and what was shown as ended stays ended.
func TestSpilledProgressOutlivesOwner(t *testing.T) {
	playInWorlds(t, playOwnerLostSpilling)
}

func playOwnerLostSpilling(t *testing.T, w *world) {
	defer w.close()
	load := w.beginLoad(3*partsAway, partsAway/2)
	w.site.Store.SetUnavailableParts(w.progressParts()...)
	time.Sleep(partsAway)
	ended := w.endedJobs()
	restart := w.killOwner()
	w.site.Store.SetUnavailableParts()
	for range 10 {
		w.checkStayEnded(ended)
		time.Sleep(partsAway / 20)
	}
	restart()
	load.Wait()
	w.checkSettled()
	w.checkStayEnded(ended)
	w.checkJudged()
}

// endedJob is a job that was shown as ended, and how often its tasks had been started.
type endedJob struct {
	id, state string
	starts    int
}

// endedJobs returns the jobs that are shown as ended.
func (w *world) endedJobs() []endedJob {
	w.mu.Lock()
	accepted := slices.Clone(w.accepted)
	w.mu.Unlock()
	var ended []endedJob
	for _, id := range accepted {
		if state := w.state("batch", id); state == "succeeded" || state == "cancelled" {
			n, _ := w.starts(id)
			ended = append(ended, endedJob{id, state, n})
		}
	}
	return ended
}

// checkStayEnded checks that jobs are shown as before, if they are shown at all, and
// that nothing of them was started again.
func (w *world) checkStayEnded(jobs []endedJob) {
	w.t.Helper()
	for _, j := range jobs {
		if got := w.state("batch", j.id); got != j.state && got != "no answer" {
			w.t.Errorf("job %s had %s and is %q after the takeover", j.id, j.state, got)
		}
		if n, _ := w.starts(j.id); n != j.starts {
			w.t.Errorf("job %s had %s, and was started %d times after that", j.id, j.state, n-j.starts)
		}
	}
}

// TestTakeoverWithPartsAway loses the owner, or all nodes, while a part of the store's
// parts is away: the next owner goes on with what it can read, and leaves alone what
// runs of the jobs that it can't read.
func TestTakeoverWithPartsAway(t *testing.T) {
	for name, build := range worlds {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playTakeoverPartsAway(t, build(t), (*world).killOwner) })
		})
		t.Run(name+", all nodes lost", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playTakeoverPartsAway(t, build(t), (*world).restartAll) })
		})
	}
}

func playTakeoverPartsAway(t *testing.T, w *world, lose func(*world) func()) {
	defer w.close()
	time.Sleep(2 * time.Second)
	var load sync.WaitGroup
	load.Go(func() { w.load(4 * partsAway) })
	away := thirdOfParts()
	chain := idsWith(func(part string) bool { return slices.Contains(away, part) }, 1)[0]
	w.submitChain(chain)
	time.Sleep(partsAway / 2)
	away = append(away, owner.JobPart(service, w.lastingJob()))
	w.site.Store.SetUnavailableParts(away...)
	restart := lose(w)
	time.Sleep(partsAway / 3)
	var jobs sync.WaitGroup
	readable := func(part string) bool { return !slices.Contains(away, part) }
	for i, id := range idsWith(readable, len(w.names())) {
		jobs.Go(func() { w.checkServed(w.names()[i], id) })
	}
	time.Sleep(partsAway)
	jobs.Wait()
	w.site.Store.SetUnavailableParts()
	restart()
	load.Wait()
	w.checkSettled()
	if n, _ := w.starts(w.lasting); n != 2 {
		t.Errorf("the lasting job's tasks were started %d times, want 2", n)
	}
	if n := w.done(chain); n != chainSteps {
		t.Errorf("the tasks of a chain of %d steps were done %d times", chainSteps, n)
	}
	w.checkJudged()
}

const (
	// chainSteps is how many steps of chainStepMS milliseconds a job has that runs on
	// while its part of the store is away.
	chainSteps  = 8
	chainStepMS = 1200
)

// submitChain hands in a job whose steps follow each other.
func (w *world) submitChain(id string) {
	steps := make([]stepBody, chainSteps)
	for i := range steps {
		steps[i] = stepBody{Count: 1, CPU: 500, MemoryMB: 100, EstimateMS: chainStepMS}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	w.handIn(w.names()[0], "batch", id, fmt.Sprintf("%d cpu=500", chainStepMS), steps...)
	w.mu.Lock()
	w.accepted = append(w.accepted, id)
	w.mu.Unlock()
}

// done returns how often tasks of a job were done.
func (w *world) done(job string) int {
	n := 0
	for _, e := range w.site.Events() {
		if e.Kind == site.EventSuccess && strings.HasPrefix(e.Task, job) {
			n++
		}
	}
	return n
}

// lastingJob returns the job that lasts, which the load has handed in.
func (w *world) lastingJob() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lasting
}

// restartAll kills all nodes and starts others in their places.
func (w *world) restartAll() func() {
	for _, n := range w.names() {
		w.kill(n)
		w.startNode(n + "x")
	}
	return func() {}
}

// idsWith returns IDs of jobs whose parts are as wanted.
func idsWith(wanted func(part string) bool, n int) []string {
	var ids []string
	for i := 0xc000; len(ids) < n; i++ {
		if id := fmt.Sprintf("%016x", i); wanted(owner.JobPart(service, id)) {
			ids = append(ids, id)
		}
	}
	return ids
}
