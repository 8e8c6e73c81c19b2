// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// stallBound is for how long nothing of a job may run beside room for it.
const stallBound = 3 * time.Second

// runLoop: the tasks of two lasting jobs fail soon after each start, by their own fault, and small
// jobs of others are handed in beside them.
func runLoop(rec *record, trouble bool) (verdict, error) {
	const (
		workers       = 48
		lasting       = 2
		width         = 16
		failsAfterMS  = 50
		smallJobs     = 20
		smallInterval = 500 * time.Millisecond
		// leadTime is how long the lasting jobs run alone.
		leadTime = 5 * time.Second
	)
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: workers})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	spec := "400 lasting cpu=3400"
	if trouble {
		spec += fmt.Sprintf(" fails_after=%d", failsAfterMS)
	}
	for i := range lasting {
		watch := step{Count: width, Cpu: 3400, MemMb: 6200, EstimateMs: 400, LongRunning: true}
		if !d.submit(prefix+id(1+i), job{Spec: spec, Steps: []step{watch}}) {
			return verdict{}, errors.New("a lasting job was not accepted")
		}
	}
	time.Sleep(leadTime)
	acceptedAt := make(map[string]time.Time)
	for i := range smallJobs {
		check := id(100 + i)
		if d.submit(prefix+check, job{Spec: "800 cpu=1300", Steps: []step{{Count: 6, Cpu: 1300, MemMb: 2300, EstimateMs: 800}}}) {
			acceptedAt[check] = time.Now()
		}
		time.Sleep(smallInterval)
	}
	time.Sleep(finish)
	states := make(map[string]int)
	for check := range acceptedAt {
		status, state := d.state(prefix + check)
		rec.line("client: GET %s: %d %s", prefix+check, status, state)
		states[state]++
	}
	waits := waitsForStart(d, acceptedAt)
	inUse := mostInUse(d)
	rec.line("at most %.1f of %d cores were in use", float64(inUse)/1000, workers*workerCPUMilli/1000)
	rec.runs(d.site, func(string) bool { return true })
	if 2*inUse >= workers*workerCPUMilli {
		return verdict{false, "half of the service's capacity was in use"}, nil
	}
	return verdict{waits.over > 0, fmt.Sprintf("nothing of %d of %d accepted small jobs ran for over 3 s beside %d sound workers of which at most %.0f%% of the cores were in use (LOST); %d of them never started, the longest wait was %.1f s, and %d are shown as succeeded 14 s after the last was handed in",
		waits.over, len(acceptedAt), workers, 100*float64(inUse)/(workers*workerCPUMilli), waits.never, waits.longest.Seconds(), states["succeeded"])}, nil
}

// startWaits says how long jobs have waited for their first start.
type startWaits struct {
	// over counts the jobs that waited for longer than stallBound, and never those of them that
	// have not started at all.
	over, never int
	longest     time.Duration
}

// waitsForStart returns how long jobs have waited for their first start since they were accepted.
func waitsForStart(d *deployment, acceptedAt map[string]time.Time) (w startWaits) {
	now := time.Now()
	first := make(map[string]time.Time)
	for _, e := range d.site.Events() {
		job, _, _ := strings.Cut(e.Task, ".")
		if e.Kind == site.EventStart && first[job].IsZero() {
			first[job] = e.At
		}
	}
	for job, at := range acceptedAt {
		started := first[job]
		if started.IsZero() {
			started = now
			w.never++
		}
		wait := started.Sub(at)
		w.longest = max(w.longest, wait)
		if wait > stallBound {
			w.over++
		}
	}
	return w
}

// mostInUse returns how much processor capacity was in use on all workers at most.
func mostInUse(d *deployment) (most int64) {
	type run struct {
		task string
		n    int64
	}
	running := make(map[run]int64)
	sum := int64(0)
	for _, e := range d.site.Events() {
		key := run{e.Task, e.Run}
		switch e.Kind {
		case site.EventStart:
			running[key] = e.CPUMilli
			sum += e.CPUMilli
		case site.EventEnd, site.EventSuccess, site.EventGangTimeout:
			sum -= running[key]
			delete(running, key)
		}
		most = max(most, sum)
	}
	return most
}
