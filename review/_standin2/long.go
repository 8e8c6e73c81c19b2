// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// runLong: a job of long tasks runs, and small jobs of others are handed in beside it.
func runLong(rec *record, trouble bool) (verdict, error) {
	const (
		workers       = 48
		width         = 96
		cpuMilli      = 3500
		perWorker     = 2
		smallJobs     = 24
		smallInterval = 1500 * time.Millisecond
		// leadTime is how long the job of long tasks runs alone.
		leadTime = 20 * time.Second
	)
	taskTime := 200 * time.Second
	if !trouble {
		taskTime = 60 * time.Second
	}
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: workers})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	ms := taskTime.Milliseconds()
	if !d.submit(prefix+id(1), job{Spec: fmt.Sprintf("%d cpu=%d", ms, cpuMilli), Steps: []step{{Count: width, Cpu: cpuMilli, MemMb: 1024, EstimateMs: ms, AntiAffinity: perWorker}}}) {
		return verdict{}, errors.New("the job of long tasks was not accepted")
	}
	time.Sleep(leadTime)
	acceptedAt := make(map[string]time.Time)
	for i := range smallJobs {
		check := id(100 + i)
		if d.submit(prefix+check, job{Spec: "800 cpu=1300", Steps: []step{{Count: 2, Cpu: 1300, MemMb: 2300, EstimateMs: 800}}}) {
			acceptedAt[check] = time.Now()
		}
		time.Sleep(smallInterval)
	}
	time.Sleep(finish)
	waits := waitsForStart(d, acceptedAt)
	inUse := mostInUse(d)
	starts := countKind(d, id(1), site.EventStart)
	gap := longestGap(d, id(1))
	rec.line("at most %.1f of %d cores were in use", float64(inUse)/1000, workers*workerCPUMilli/1000)
	rec.runs(d.site, func(string) bool { return true })
	if 2*inUse >= workers*workerCPUMilli {
		return verdict{false, "half of the service's capacity was in use"}, nil
	}
	return verdict{waits.over > 0 || gap > stallBound, fmt.Sprintf("nothing of %d of %d accepted small jobs ran for over 3 s, for up to %.1f s, beside %d sound workers of which at most %.0f%% of the cores were in use (LOST); the %d long tasks were started %d times, and nothing of them ran for up to %.1f s (LOST)",
		waits.over, len(acceptedAt), waits.longest.Seconds(), workers, 100*float64(inUse)/(workers*workerCPUMilli), width, starts, gap.Seconds())}, nil
}

// longestGap returns for how long on end nothing of a job ran between two of its runs.
func longestGap(d *deployment, id string) (longest time.Duration) {
	running, idleSince := 0, time.Time{}
	for _, e := range d.site.Events() {
		if job, _, _ := strings.Cut(e.Task, "."); job != id {
			continue
		}
		switch e.Kind {
		case site.EventStart:
			if running == 0 && !idleSince.IsZero() {
				longest = max(longest, e.At.Sub(idleSince))
			}
			running++
		case site.EventEnd, site.EventSuccess:
			if running--; running == 0 {
				idleSince = e.At
			}
		}
	}
	return longest
}
