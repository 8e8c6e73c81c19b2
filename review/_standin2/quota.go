// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// runQuota: a tenant's limit is lowered below what its lasting tasks use.
func runQuota(rec *record, trouble bool) (verdict, error) {
	const (
		width, mayMiss = 20, 2
		cpuMilli       = 4000
		limit, lowered = 200_000, 40_000
		notice         = 5500 * time.Millisecond
	)
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: 48})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	d.key = "key-red-1"
	configure := func(version, cpu int64) {
		red := site.Team{Name: "red", Keys: []string{d.key}, Weight: 1, Limit: site.TeamLimit{CPUMilli: cpu}}
		d.site.ConfigureTeams(version, []site.Team{red}, route("inkaso-core", 250))
		rec.line("operator: version %d acknowledged: tenant red may have %d cores", version, cpu/1000)
	}
	configure(2, limit)
	time.Sleep(configApply)
	watch := step{Count: width, Cpu: cpuMilli, MemMb: 1024, EstimateMs: 400, LongRunning: true, MayMiss: mayMiss}
	if !d.submit(prefix+id(1), job{Spec: fmt.Sprintf("400 lasting cpu=%d", cpuMilli), Steps: []step{watch}}) {
		return verdict{}, errors.New("the job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { return countKind(d, id(1), site.EventStart) == width }) {
		return verdict{}, errors.New("the job's tasks did not start")
	}
	time.Sleep(notice)
	if trouble {
		configure(3, lowered)
	} else {
		configure(3, width*cpuMilli)
	}
	time.Sleep(notice)
	stopped := countKind(d, id(1), site.EventEnd)
	rec.runs(d.site, func(string) bool { return true })
	return verdict{stopped > mayMiss, fmt.Sprintf("%d of %d lasting tasks at work were stopped at once where the step has may_miss %d (AVAIL)", stopped, width, mayMiss)}, nil
}
