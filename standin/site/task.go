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

// taskRun is a run of a task on the worker.
type taskRun struct {
	task string
	run  int64
	spec taskSpec
	// from is the percent at which the run began, from its checkpoint.
	from      int
	startedAt time.Time
	stuck     bool
	// doomed is set for a run that fails because of its worker.
	doomed bool
	// inGang is set for a member of a gang.
	inGang bool
}

// runEnd is the end of a run, until the owner confirms it.
type runEnd struct {
	n          int64
	task       string
	run        int64
	how        string
	checkpoint string
	at         time.Time
}

// taskSpec is what a job's Spec says of its tasks.
type taskSpec struct {
	takes time.Duration
	fails bool
	lasts bool
	// failsAfter is the mean time after which a task that lasts fails; 0: never.
	failsAfter time.Duration
	cpu        int64
	gang       gangSpec
}

// parseSpec reads a job's Spec; what it doesn't say stays as it is by default.
func parseSpec(s string) taskSpec {
	spec := taskSpec{takes: time.Second}
	for i, f := range strings.Fields(s) {
		ms, err := strconv.Atoi(f)
		switch {
		case i == 0 && err == nil:
			spec.takes = time.Duration(ms) * time.Millisecond
		case f == "failing":
			spec.fails = true
		case f == "lasting":
			spec.lasts = true
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
				spec.failsAfter = time.Duration(n) * time.Millisecond
			}
		}
	}
	return spec
}

// life returns after what time the run of a task that lasts fails; 0: never. It is drawn
// from the task and the run, so that plays repeat.
func (t *taskRun) life() time.Duration {
	if t.spec.failsAfter == 0 {
		return 0
	}
	h := fnv.New64a()
	_, err := fmt.Fprintf(h, "%s %d", t.task, t.run)
	if err != nil {
		panic("site: a hash takes all bytes: " + err.Error())
	}
	rng := rand.New(rand.NewPCG(h.Sum64(), 0)) //nolint:gosec // The same run must have the same life in each play.
	return time.Duration(rng.ExpFloat64() * float64(t.spec.failsAfter))
}

// percent returns how far the run has come.
func (w *Worker) percent(t *taskRun) int {
	if t.spec.lasts {
		return 100
	}
	if t.stuck {
		return t.from
	}
	return min(100, t.from+int(100*w.worked(t)/t.spec.takes))
}

// failsNow reports whether a run whose task fails is halfway, or would be done: one that
// goes on from a checkpoint has less than half of its time left.
func (w *Worker) failsNow(t *taskRun) bool {
	return t.spec.fails && (w.worked(t) > t.spec.takes/2 || w.percent(t) >= 100)
}

// advance ends, under mu, what has run its time, and everything once the lease is over.
func (w *Worker) advance() {
	if w.deadline > 0 && w.clock() > w.deadline {
		w.lapsedAt = time.Now()
	}
	for _, name := range sortedKeys(w.running) {
		t := w.running[name]
		switch {
		case w.deadline > 0 && w.clock() > w.deadline:
			w.end(t, "lapsed")
		case t.inGang && w.gangEnd(t) != "":
			w.end(t, w.gangEnd(t))
		case t.stuck:
		case t.doomed:
			w.end(t, "failed")
		case t.spec.lasts:
			if life := t.life(); life > 0 && time.Since(t.startedAt) > life {
				w.end(t, "failed")
			}
		case w.faults.FailAll || w.failsNow(t):
			w.end(t, "failed")
		case w.percent(t) >= 100:
			w.end(t, "done")
		}
	}
}

// end notes that a run has ended and wakes the holds that wait for an end.
func (w *Worker) end(t *taskRun, how string) {
	w.ends++
	checkpoint := ""
	if how == "stopped" {
		checkpoint = t.task + "@" + strconv.Itoa(w.percent(t))
	}
	w.ended = append(w.ended, runEnd{w.ends, t.task, t.run, how, checkpoint, time.Now()})
	w.over[t.task] = max(w.over[t.task], t.run)
	delete(w.running, t.task)
	if t.inGang {
		w.site.leaveGang(t, how == "done")
	}
	saw := EventEnd
	switch how {
	case "done":
		saw = EventSuccess
	case "alone":
		saw = EventGangTimeout
	}
	w.site.note(Event{Worker: w.ID, Task: t.task, Run: t.run, Kind: saw, Fence: w.fence, Failed: how == "failed"})
	close(w.changed)
	w.changed = make(chan struct{})
}

// used returns the processor that the running tasks take, as their Spec says.
func (w *Worker) used() int64 {
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
