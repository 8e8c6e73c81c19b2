// SPDX-License-Identifier: Apache-2.0

package site

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// taskRun is a run of a task on a worker.
type taskRun struct {
	task string
	run  int64
	spec taskSpec
	// startPercent is the progress in percent at which the run started, from its checkpoint.
	startPercent int
	startedAt    time.Time
	stuck        bool
	// failsOnWorker is set for a run that fails because its worker fails all new runs.
	failsOnWorker bool
	// inGang is set for a member of a gang.
	inGang bool
}

// runEnd is the end of a run that the owner hasn't confirmed yet.
type runEnd struct {
	number     int64
	task       string
	run        int64
	outcome    string
	checkpoint string
	at         time.Time
}

// taskSpec says how the tasks of a job behave.
type taskSpec struct {
	duration    time.Duration
	fails       bool
	longRunning bool
	// meanTimeToFailure is the mean time after which a long-running task fails; 0: never.
	meanTimeToFailure time.Duration
	cpu               int64
	gang              gangSpec
	// crashes is set if tasks crash their workers, crashesAfter the time from the start of a
	// run to the crash, and crashingIndex the only task of each step that does; -1: all do.
	crashes       bool
	crashesAfter  time.Duration
	crashingIndex int
}

// parseSpec parses a job's Spec. A task takes a second unless the Spec says otherwise.
func parseSpec(s string) taskSpec {
	spec := taskSpec{duration: time.Second, crashingIndex: -1}
	for i, f := range strings.Fields(s) {
		ms, err := strconv.Atoi(f)
		switch {
		case i == 0 && err == nil:
			spec.duration = time.Duration(ms) * time.Millisecond
		case f == "failing":
			spec.fails = true
		case f == "lasting":
			spec.longRunning = true
		case strings.HasPrefix(f, "gang="):
			spec.gang = parseGang(f[len("gang="):])
		case strings.HasPrefix(f, "cpu="):
			n, err := strconv.ParseInt(f[len("cpu="):], 10, 64)
			if err == nil {
				spec.cpu = n
			}
		case strings.HasPrefix(f, "fails_after="):
			n, err := strconv.Atoi(f[len("fails_after="):])
			if err == nil {
				spec.meanTimeToFailure = time.Duration(n) * time.Millisecond
			}
		case strings.HasPrefix(f, "crashes_after="):
			n, err := strconv.Atoi(f[len("crashes_after="):])
			if err == nil {
				spec.crashes, spec.crashesAfter = true, time.Duration(n)*time.Millisecond
			}
		case strings.HasPrefix(f, "crashing="):
			n, err := strconv.Atoi(f[len("crashing="):])
			if err == nil {
				spec.crashingIndex = n
			}
		}
	}
	return spec
}

// timeToFailure returns the time after which the run of a long-running task fails; 0: never.
// It is random, but derived from the task and the run, so that a test can be repeated.
func (t *taskRun) timeToFailure() time.Duration {
	if t.spec.meanTimeToFailure == 0 {
		return 0
	}
	h := fnv.New64a()
	_, err := fmt.Fprintf(h, "%s %d", t.task, t.run)
	if err != nil {
		// A hash accepts any bytes.
		panic("site: hash can't be written: " + err.Error())
	}
	rng := rand.New(rand.NewPCG(h.Sum64(), 0)) //nolint:gosec // The same run must fail after the same time whenever a test is repeated.
	return time.Duration(rng.ExpFloat64() * float64(t.spec.meanTimeToFailure))
}

// crashesWorker reports whether the run crashes its worker.
func (t *taskRun) crashesWorker() bool {
	index := t.task[strings.LastIndexByte(t.task, '.')+1:]
	return t.spec.crashes && (t.spec.crashingIndex < 0 || index == strconv.Itoa(t.spec.crashingIndex))
}

// percent returns the progress of a run.
func (w *Worker) percent(t *taskRun) int {
	if t.spec.longRunning {
		return 100
	}
	if t.stuck {
		return t.startPercent
	}
	return min(100, t.startPercent+int(100*w.workedFor(t)/t.spec.duration))
}

// mustFailNow reports whether a run of a failing task has worked for half of its duration or
// would be done. A run from a checkpoint may be done before the former, since less than half
// of its work may be left.
func (w *Worker) mustFailNow(t *taskRun) bool {
	return t.spec.fails && (w.workedFor(t) > t.spec.duration/2 || w.percent(t) >= 100)
}

// endDueRuns ends the runs that are done or have to fail, and all runs once the lease has
// expired. The caller holds mu.
func (w *Worker) endDueRuns() {
	if w.deadline > 0 && w.clock() > w.deadline {
		w.expiredAt = time.Now()
	}
	for _, name := range sortedKeys(w.running) {
		t := w.running[name]
		switch {
		case w.deadline > 0 && w.clock() > w.deadline:
			w.endRun(t, "lapsed")
		case t.inGang && w.gangOutcome(t) != "":
			w.endRun(t, w.gangOutcome(t))
		case t.stuck:
		case t.failsOnWorker:
			w.endRun(t, "failed")
		case t.spec.longRunning:
			if timeToFailure := t.timeToFailure(); timeToFailure > 0 && time.Since(t.startedAt) > timeToFailure {
				w.endRun(t, "failed")
			}
		case w.faults.FailAll || w.mustFailNow(t):
			w.endRun(t, "failed")
		case w.percent(t) >= 100:
			w.endRun(t, "done")
		}
	}
}

// endRun records that a run has ended and wakes the holds that wait for an end. The caller
// holds mu.
func (w *Worker) endRun(t *taskRun, outcome string) {
	w.lastEnd++
	checkpoint := ""
	if outcome == "stopped" {
		checkpoint = t.task + strings.Repeat("-", w.faults.CheckpointBytes) + "@" + strconv.Itoa(w.percent(t))
	}
	w.ended = append(w.ended, runEnd{w.lastEnd, t.task, t.run, outcome, checkpoint, time.Now()})
	w.finishedRuns[t.task] = max(w.finishedRuns[t.task], t.run)
	delete(w.running, t.task)
	if t.inGang {
		w.site.leaveGang(t, outcome == "done")
	}
	kind := EventEnd
	switch outcome {
	case "done":
		kind = EventSuccess
	case "alone":
		kind = EventGangTimeout
	}
	w.site.addEvent(Event{Worker: w.ID, Task: t.task, Run: t.run, Kind: kind, Fence: w.fence, Failed: outcome == "failed"})
	close(w.changed)
	w.changed = make(chan struct{})
}

// usedCPU returns the processor capacity that the running tasks take according to their Spec.
// The caller holds mu.
func (w *Worker) usedCPU() int64 {
	sum := int64(0)
	for _, t := range w.running {
		sum += t.spec.cpu
	}
	return sum
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
