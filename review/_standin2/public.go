// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// runPublic: the configuration makes a route public while a job of the route runs that was handed in
// with a tenant's key. From then on the client sends no key.
func runPublic(rec *record, trouble bool) (verdict, error) {
	const (
		width = 8
		// cancelMax is cancel_ms.
		cancelMax = 4 * time.Second
	)
	r := route("inkaso-core", 250)
	d, err := startDeployment(program, rec, []site.Route{r}, workerPlan{service: "inkaso-core", count: 48})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	d.key = "key-red-1"
	teams := []site.Team{{Name: "red", Keys: []string{d.key}, Weight: 1, Limit: site.TeamLimit{CPUMilli: 400_000}}}
	d.site.ConfigureTeams(2, teams, r)
	time.Sleep(configApply)
	path := prefix + id(1)
	if !d.submit(path, job{Spec: "400 lasting cpu=2000", Steps: []step{{Count: width, Cpu: 2000, MemMb: 256, EstimateMs: 400, LongRunning: true}}}) {
		return verdict{}, errors.New("the job was not accepted")
	}
	if trouble {
		r.Public, d.key = true, ""
	}
	d.site.ConfigureTeams(3, teams, r)
	rec.line("operator: version 3 acknowledged: route %s, public: %v", r.Name, r.Public)
	time.Sleep(visible + configApply)
	gone := 0
	for _, n := range d.nodes {
		status := d.callAt(n, http.MethodGet, path, nil, nil)
		rec.line("client: GET %s at %s: %d", path, n.name, status)
		if status == http.StatusGone {
			gone++
		}
	}
	status, at := d.call(http.MethodDelete, path, nil, nil)
	rec.line("client: DELETE %s at %s: %d", path, at, status)
	time.Sleep(cancelMax)
	running := 0
	for _, w := range d.workers {
		running += w.RunningTasks()
	}
	rec.runs(d.site, func(string) bool { return true })
	return verdict{gone > 0 || running > 0, fmt.Sprintf("%d of %d nodes answer 410 to a GET for the accepted job (LOST); %d of its %d tasks run %s after the cancel was answered %d (UNASKED)", gone, hostCount, running, width, cancelMax, status)}, nil
}
