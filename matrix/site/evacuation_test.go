// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	evacuated = "east"
	// evacuatedEarly is how long before a fault the order to evacuate is given: the nodes are
	// just learning of it.
	evacuatedEarly = 20 * time.Millisecond
	// evacuatedFor outlasts the fault by more than the bound for the last start.
	evacuatedFor = faultDuration + 7*time.Second
)

// newEvacuatedEnv returns an environment with as many workers in the data centre to evacuate as
// in the other one, in each shard.
func newEvacuatedEnv(t *testing.T) *testEnv {
	env := newEnvWith(t, 0, shardedWorkers, func(env *testEnv) { env.site.Configure(1, routes()...) })
	for i := range shardedWorkers {
		dc := []string{evacuated, "dc"}[i/2%2]
		env.workers = append(env.workers, env.site.AddWorker(site.WorkerConfig{
			Rack: []string{"r1-0", "r1-1", "r2-0", "r2-1"}[i/2], DataCentre: dc, CPUMilli: workerCores, MemoryMB: 32000,
		}))
	}
	return env
}

// TestEvacuatedDataCentre evacuates a data centre under load just before each fault, and opens
// it again afterwards.
func TestEvacuatedDataCentre(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newEvacuatedEnv(t)
				defer env.close()
				time.Sleep(2 * time.Second)
				var wg sync.WaitGroup
				wg.Go(func() { env.load(faultStart + evacuatedFor) })
				wg.Go(func() { env.injectFault(f, faultStart) })
				wg.Go(func() {
					time.Sleep(faultStart - evacuatedEarly)
					env.site.Evacuate(evacuated)
					time.Sleep(evacuatedFor)
					env.site.EndEvacuation(evacuated)
				})
				wg.Wait()
				env.checkJobsSettled()
				env.checkNoViolations()
			})
		})
	}
}

// TestEvacuatedDataCentreOpensAgain checks that the workers of a data centre are used again once
// the order is withdrawn, and that jobs wait for it if there are no other workers.
func TestEvacuatedDataCentreOpensAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newEvacuatedEnv(t)
		defer env.close()
		time.Sleep(2 * time.Second)
		env.site.Evacuate(evacuated)
		env.site.Evacuate("dc")
		time.Sleep(100 * time.Millisecond)
		id := env.submit("batch", batchSpec, stepBody{Count: 1, CPU: 1000, MemoryMB: 500, EstimateMS: 1500})
		time.Sleep(10 * time.Second)
		if state := env.state("batch", id); state != "pending" {
			t.Errorf("with all data centres evacuated the job is %q, want pending", state)
		}
		env.site.EndEvacuation(evacuated)
		time.Sleep(2500 * time.Millisecond)
		if state := env.state("batch", id); state != "succeeded" {
			t.Errorf("2.5 s after a data centre was opened again the job is %q, want succeeded", state)
		}
		env.checkNoViolations()
	})
}
