// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// runFlap: the only worker with a label crashes and comes back, five times in a row.
func runFlap(rec *record, trouble bool) (verdict, error) {
	const (
		crashes = 5
		// upTime is how long the worker is up before each crash, and downTime how long it is down.
		upTime, downTime = 2500 * time.Millisecond, time.Second
		// soundTime is how long it is sound after that.
		soundTime = 12 * time.Second
	)
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: 48, label: "b", labelled: 1})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	path := prefix + id(1)
	if !d.submit(path, job{Spec: "4800 cpu=2700", Steps: []step{{Count: 1, Cpu: 2700, MemMb: 3900, EstimateMs: 4800, Constraints: "b"}}}) {
		return verdict{}, errors.New("the job was not accepted")
	}
	w := d.workers[0]
	if trouble {
		for range crashes {
			time.Sleep(upTime)
			w.Crash()
			rec.line("worker %s crashes", w.ID)
			time.Sleep(downTime)
			w = d.site.Restart(w)
			rec.line("the same machine is up again, with worker %s", w.ID)
		}
	}
	time.Sleep(soundTime)
	failed := 0
	for _, n := range d.nodes {
		var reply struct{ State string }
		status := d.callAt(n, "GET", path, nil, &reply)
		rec.line("client: GET %s at %s: %d %s", path, n.name, status, reply.State)
		if reply.State == "failed" {
			failed++
		}
	}
	rec.runs(d.site, func(string) bool { return true })
	ends := failedRuns(d, id(1))
	return verdict{failed > 0 && ends == 0, fmt.Sprintf("%d of %d nodes show the job as failed after %d of its runs have ended `failed` (LOST); its worker has been sound for %s since", failed, hostCount, ends, soundTime)}, nil
}

// failedRuns returns how many runs of a job have ended `failed`.
func failedRuns(d *deployment, id string) (n int) {
	for _, e := range d.site.Events() {
		if job, _, _ := strings.Cut(e.Task, "."); job == id && e.Failed {
			n++
		}
	}
	return n
}
