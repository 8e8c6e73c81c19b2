// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/standin/site"
)

const (
	// movingJobs is how many jobs move to and fro while their shard is full, for fillTime.
	movingJobs = 6
	fillTime   = 4 * time.Second
	// fullTable is the table of the jobs of the shard whose workers have the label.
	fullTable = "jobs-1"
	// movesSettledWithin is the time after the shard is empty within which all of the jobs have
	// run: two attempts to find out how a write ended, of 2.5 s each, and the leases of an owner
	// that was killed.
	movesSettledWithin = 20 * time.Second
)

// newMovingEnv returns an environment with two shards, of which all workers of one have the label
// "b". It is full for fillTime, with as many tasks as it can hold, and jobs that need the label
// wait: they move to the other shard, which is less loaded but can't run them, and back.
func newMovingEnv(t *testing.T, fault func(m site.RowMove) site.WriteFault) (env *testEnv, ids []string) {
	env = newEnvWith(t, 0, workersPerShard, func(env *testEnv) { env.site.Configure(1, routes()...) })
	for i := range shardedWorkers {
		cfg := site.WorkerConfig{Rack: fmt.Sprintf("r1-%d", i/2), CPUMilli: workerCores, MemoryMB: 32000}
		if i/2%2 == 1 {
			cfg.Label = "b"
		}
		env.workers = append(env.workers, env.site.AddWorker(cfg))
	}
	time.Sleep(4 * time.Second)
	env.site.Store.SetMoveFault(fault)
	full := stepBody{Count: 2 * shardedWorkers / 2, CPU: workerCores, MemoryMB: 10, EstimateMS: fillTime.Milliseconds(), Label: "b"}
	env.submit("batch", fmt.Sprintf("%d cpu=%d", fillTime.Milliseconds(), workerCores), full)
	time.Sleep(500 * time.Millisecond)
	for range movingJobs {
		ids = append(ids, env.submit("batch", "500 cpu=4000", stepBody{Count: 1, CPU: workerCores, MemoryMB: 10, EstimateMS: 500, Label: "b"}))
	}
	return env, ids
}

// moveFaults are the faults of the store's answers to moves.
func moveFaults(rng *rand.Rand) map[string]func(m site.RowMove) site.WriteFault {
	seen := make(map[site.RowMove]int)
	lostOnce := func(m site.RowMove) site.WriteFault {
		seen[m]++
		return site.WriteFault{LoseAnswer: seen[m] == 1}
	}
	return map[string]func(m site.RowMove) site.WriteFault{
		"none":              func(site.RowMove) site.WriteFault { return site.WriteFault{} },
		"first answer lost": lostOnce,
		"first answer of the full shard's move lost": func(m site.RowMove) site.WriteFault {
			if m.From != fullTable {
				return site.WriteFault{}
			}
			return lostOnce(m)
		},
		"all answers lost":  func(site.RowMove) site.WriteFault { return site.WriteFault{LoseAnswer: true} },
		"some answers lost": func(site.RowMove) site.WriteFault { return site.WriteFault{LoseAnswer: rng.IntN(3) == 0} },
		"some are late": func(site.RowMove) site.WriteFault {
			if rng.IntN(3) > 0 {
				return site.WriteFault{}
			}
			return site.WriteFault{LateBy: time.Duration(1+rng.IntN(4000)) * time.Millisecond}
		},
		"answers are slow": func(site.RowMove) site.WriteFault {
			return site.WriteFault{AnswerDelay: time.Duration(rng.IntN(1500)) * time.Millisecond}
		},
		"all of it": func(site.RowMove) site.WriteFault {
			switch rng.IntN(4) {
			case 0:
				return site.WriteFault{LoseAnswer: true}
			case 1:
				return site.WriteFault{LateBy: time.Duration(1+rng.IntN(4000)) * time.Millisecond}
			case 2:
				return site.WriteFault{AnswerDelay: time.Duration(rng.IntN(1500)) * time.Millisecond}
			}
			return site.WriteFault{}
		},
	}
}

// TestJobThatCameBackIsLost guards against an accepted job that no owner has: the answer to a move
// was lost, the job came back before its outcome was looked up, and the first owner took it for
// never moved, so that the other one ignored its next move as an old one.
func TestJobThatCameBackIsLost(t *testing.T) {
	meanwhile := map[string]func(env *testEnv, ids []string){
		"nothing else": func(*testEnv, []string) {},
		"an owner is lost": func(env *testEnv, _ []string) {
			time.Sleep(1500 * time.Millisecond)
			env.kill(env.site.Owner())
		},
		"cancels": func(env *testEnv, ids []string) {
			time.Sleep(1200 * time.Millisecond)
			for i := 0; i < len(ids); i += 2 {
				env.cancelSoon(ids[i])
			}
		},
	}
	for name := range moveFaults(nil) {
		for what, then := range meanwhile {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("%s, %s, %d", name, what, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						env, ids := newMovingEnv(t, moveFaults(rand.New(rand.NewPCG(seed, 0)))[name])
						defer env.close()
						then(env, ids)
						time.Sleep(2*fillTime + movesSettledWithin)
						env.checkRanOnce(ids)
						env.checkNoViolations()
					})
				})
			}
		}
	}
}

// cancelSoon cancels a job, and repeats the call until it is answered.
func (env *testEnv) cancelSoon(id string) {
	for range 10 {
		names := env.nodeNames()
		if status, _ := env.call(names[0], http.MethodDelete, "/batch/"+id, ""); status == http.StatusOK {
			env.mu.Lock()
			env.cancelled[id] = time.Now()
			env.mu.Unlock()
			return
		}
	}
	env.t.Errorf("the cancel of job %s is not answered", id)
}

// checkRanOnce checks that each job has succeeded after one start, or was cancelled.
func (env *testEnv) checkRanOnce(ids []string) {
	env.t.Helper()
	for _, id := range ids {
		n, _ := env.starts(id)
		state := env.state("batch", id)
		if !env.cancelled[id].IsZero() {
			if state != "cancelled" && state != "succeeded" {
				env.t.Errorf("job %s is %q, want cancelled", id, state)
			}
			continue
		}
		if state != "succeeded" || n != 1 {
			pin := env.site.Store.Value(owner.TablePins, owner.JobPart(id), id)
			env.t.Errorf("job %s is %q after %d starts; its pin is %s", id, state, n, strings.TrimSpace(string(pin)))
		}
	}
}
