// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// runReserve: a gang with one member a worker waits for the last worker, and jobs of others are handed
// in meanwhile. Without the trouble the same step is no gang.
func runReserve(rec *record, trouble bool) (verdict, error) {
	const (
		workers   = 48
		longTask  = 12 * time.Second
		laterJobs = 5
	)
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: workers})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	ms := longTask.Milliseconds()
	one := job{Spec: fmt.Sprintf("%d cpu=8000", ms), Steps: []step{{Count: 1, Cpu: 8000, MemMb: 1000, EstimateMs: ms}}}
	wide := job{Spec: fmt.Sprintf("2000 cpu=8200 gang=0:%d", workers), Steps: []step{{Count: workers, Cpu: 8200, MemMb: 1000, EstimateMs: 2000, Gang: trouble, AntiAffinity: 1}}}
	if !d.submit(prefix+id(1), one) {
		return verdict{}, errors.New("the first job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if !d.submit(prefix+id(2), wide) {
		return verdict{}, errors.New("the wide job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	acceptedAt := make(map[string]time.Time)
	for i := range laterJobs {
		if d.submit(prefix+id(100+i), one) {
			acceptedAt[id(100+i)] = time.Now()
		}
	}
	time.Sleep(longTask + 4*time.Second)
	waits := waitsForStart(d, acceptedAt)
	rec.runs(d.site, func(string) bool { return true })
	return verdict{waits.over > 0, fmt.Sprintf("nothing of %d of %d jobs ran for over 3 s, the longest wait was %.1f s, while 8 of %d cores were in use (LOST)",
		waits.over, len(acceptedAt), waits.longest.Seconds(), workers*workerCPUMilli/1000)}, nil
}
