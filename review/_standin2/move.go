// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// runMove: a job moves between the two shards of a service, and the store's answer to one move is lost.
func runMove(rec *record, trouble bool) (verdict, error) {
	const (
		workers  = 200
		fillTime = 8 * time.Second
	)
	// That of most hosts of the grown deployments; the service gets two shards then.
	hostCPUShare = "0.192"
	labels := make(map[string]string)
	var racks []string
	for i := range workers / workersPerRack {
		racks = append(racks, fmt.Sprintf("r%s-%d", "inkaso-core", i))
	}
	slices.Sort(racks)
	for i, rack := range racks {
		if i%2 == 1 { // the racks of shard 1
			labels[rack] = "b"
		}
	}
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: workers, rackLabels: labels})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	var once sync.Once
	d.mu.Lock()
	if trouble {
		d.losesAnswer = func(body []byte) (loses bool) {
			if isMove(body, id(2), "jobs-1", "jobs-0") {
				once.Do(func() {
					loses = true
					rec.line("store: the job's move from shard 1 to shard 0 is done, and its answer is lost")
				})
			}
			return loses
		}
	}
	d.mu.Unlock()
	labelled := 8 * (len(racks) / 2)
	ms := fillTime.Milliseconds()
	if !d.submit(prefix+id(1), job{Spec: fmt.Sprintf("%d cpu=%d", ms, workerCPUMilli), Steps: []step{{Count: 2 * labelled, Cpu: workerCPUMilli, MemMb: 1024, EstimateMs: ms, Constraints: "b"}}}) {
		return verdict{}, errors.New("the first job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { return countKind(d, id(1), site.EventStart) >= labelled }) {
		return verdict{}, fmt.Errorf("%d tasks of the first job have started", countKind(d, id(1), site.EventStart))
	}
	path := prefix + id(2)
	if !d.submit(path, job{Spec: "1000 cpu=16000", Steps: []step{{Count: 1, Cpu: workerCPUMilli, MemMb: 1024, EstimateMs: 1000, Constraints: "b"}}}) {
		return verdict{}, errors.New("the job was not accepted")
	}
	if !waitFor(4*fillTime, func() bool { return countKind(d, id(1), site.EventSuccess) >= 2*labelled }) {
		return verdict{}, errors.New("the first job has not ended")
	}
	rec.line("all tasks of the first job have ended, all workers are empty")
	time.Sleep(20 * time.Second)
	starts := countKind(d, id(2), site.EventStart)
	status, state := d.state(path)
	rec.line("client: GET %s: %d %s", path, status, state)
	rec.runs(d.site, func(job string) bool { return job == id(2) })
	return verdict{starts == 0, fmt.Sprintf("%d runs of the accepted job have started, 20 s after all other work has ended; its state is %s (LOST)", starts, state)}, nil
}

// isMove reports whether a transaction moves a job from a shard's table to that of another.
func isMove(body []byte, job, from, to string) bool {
	type row struct {
		Table string `json:"table"`
		Key   string `json:"Key"`
	}
	var txn struct {
		Put    []row `json:"put"`
		Remove []row `json:"Remove"`
	}
	if json.Unmarshal(body, &txn) != nil {
		return false
	}
	return slices.Contains(txn.Put, row{to, job}) && slices.Contains(txn.Remove, row{from, job})
}
