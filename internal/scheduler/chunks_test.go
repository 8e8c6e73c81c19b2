// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

const (
	// storeRowBytes, storeTxnBytes and storeTxnRows are the most that the platform's store takes in a
	// row and in a write, the latter without the condition on the fence.
	storeRowBytes = 64 << 10
	storeTxnBytes = 1 << 20
	storeTxnRows  = 99
	// writeBytes is the size of a batch in these tests.
	writeBytes = 600 << 10
)

// checkSize checks that the store takes a batch, and returns its bytes.
func checkSize(t *testing.T, b scheduler.Batch) (bytes int) {
	t.Helper()
	rows := 0
	for _, rec := range b.Records {
		rows += 2 + len(rec.Chunks)
		bytes += len(rec.Value)
		for _, c := range rec.Chunks {
			bytes += len(c.Value)
			if len(c.Value) > storeRowBytes {
				t.Errorf("the row %s has %d bytes", c.Key, len(c.Value))
			}
		}
		if len(rec.Value) > storeRowBytes {
			t.Errorf("the row of job %s has %d bytes", rec.Job, len(rec.Value))
		}
	}
	if rows > storeTxnRows || bytes*4/3 > storeTxnBytes {
		t.Errorf("a write has %d rows and %d bytes", rows, bytes)
	}
	return bytes
}

// TestProgressOutgrowsRow guards against progress of a job that the store doesn't take, since a row has a
// bound and the job has none: nothing of its shard was persisted any more. The state is also restored
// whole by the next owners.
func TestProgressOutgrowsRow(t *testing.T) {
	const workers = 60
	checkpointing := tasks(1600, 100)
	checkpointing.Checkpoints = true
	for name, c := range map[string]struct {
		job cluster.Job
		// end says how the i-th run ends that is ended; "": it runs on.
		end func(rng *rand.Rand, id cluster.TaskID) cluster.Outcome
		// checkpoint is that of stopped runs.
		checkpoint string
	}{
		"stopped with checkpoints": {batch("j", checkpointing), func(rng *rand.Rand, _ cluster.TaskID) cluster.Outcome {
			return []cluster.Outcome{cluster.OutcomeStopped, cluster.OutcomeStopped, cluster.OutcomeDone}[rng.IntN(3)]
		}, "00000bb87a21d94b"},
		"long checkpoints": {batch("j", checkpointing), func(rng *rand.Rand, _ cluster.TaskID) cluster.Outcome {
			return []cluster.Outcome{cluster.OutcomeStopped, cluster.OutcomeDone}[rng.IntN(2)]
		}, string(make([]byte, 4000))},
		"failing once": {batch("j", tasks(8000, 20)), nil, ""},
		"in any order": {batch("j", tasks(8000, 20)), func(rng *rand.Rand, _ cluster.TaskID) cluster.Outcome {
			return []cluster.Outcome{"", cluster.OutcomeDone}[rng.IntN(2)]
		}, ""},
		"many repeats of many steps": {periodic("j", time.Unix(1_000, 0), 400, 10*time.Millisecond, chainOfSteps(10, 1, 100)...), func(rng *rand.Rand, _ cluster.TaskID) cluster.Outcome {
			return []cluster.Outcome{"", cluster.OutcomeDone}[rng.IntN(2)]
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 0))
			r := newRig(t, workers)
			r.upsertWorkers()
			c.job.Policy.MaxAttempts = 3
			r.shard.AddJob(r.now, c.job, nil, false)
			rows, done, failed := make(map[string]scheduler.Record), make(map[cluster.TaskID]int), make(map[cluster.TaskID]bool)
			end := c.end
			if end == nil {
				end = func(_ *rand.Rand, id cluster.TaskID) cluster.Outcome {
					if failed[id] {
						return cluster.OutcomeDone
					}
					failed[id] = true
					return cluster.OutcomeFailed
				}
			}
			for i := range 600 {
				r.runFor(100 * time.Millisecond)
				for _, id := range r.workerIDs() {
					for _, s := range slices.Clone(r.workers[id].running) {
						how := end(rng, s.Task)
						if how == "" {
							continue
						}
						r.endRun(id, s.Task, s.Run, how)
						if f := r.workers[id]; how == cluster.OutcomeStopped {
							f.ended[len(f.ended)-1].Checkpoint = c.checkpoint
						}
						if how == cluster.OutcomeDone {
							done[s.Task]++
						}
					}
				}
				r.reportAll()
				for range 3 {
					b := r.shard.NextBatch(r.now, 49, writeBytes)
					checkSize(t, b)
					r.store(b, rows)
					r.shard.Persisted(r.now, b, 1)
				}
				if i%20 == 19 {
					r.takeOver()
					r.upsertWorkers()
					r.loadJob(c.job, rows)
				}
				if state, _ := r.shard.Job("j"); state.Finished() {
					break
				}
			}
			r.wantState(cluster.StateSucceeded)
			for task, n := range done {
				if n != 1 {
					t.Errorf("%v has ended as done %d times, want once", task, n)
				}
			}
		})
	}
}

// TestChunksAfterUnknownWrites guards against ends that were confirmed to their workers and are lost with
// the owner, or tasks that run again, where writes of a large job's rows get no answer and are done late
// or never.
func TestChunksAfterUnknownWrites(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			r := newRig(t, 20)
			r.upsertWorkers()
			step := tasks(800, 100)
			step.Checkpoints = true
			j := batch("j", step)
			r.shard.AddJob(r.now, j, nil, false)
			rows, done := make(map[string]scheduler.Record), make(map[cluster.TaskID]int)
			version := int64(0)
			var late []scheduler.Batch
			// write stores a batch if its condition on the version holds.
			write := func(b scheduler.Batch) bool {
				if len(b.Records) > 0 && b.Records[0].Version != version {
					return false
				}
				r.store(b, rows)
				version++
				return true
			}
			for i := range 400 {
				r.runFor(100 * time.Millisecond)
				for _, id := range r.workerIDs() {
					for _, s := range slices.Clone(r.workers[id].running) {
						switch rng.IntN(4) {
						case 0:
							r.endRun(id, s.Task, s.Run, cluster.OutcomeDone)
							done[s.Task]++
						case 1:
							r.endRun(id, s.Task, s.Run, cluster.OutcomeStopped)
							f := r.workers[id]
							f.ended[len(f.ended)-1].Checkpoint = fmt.Sprintf("%016x", rng.Int64N(3))
						}
					}
				}
				r.reportAll()
				for range 4 {
					b := r.shard.NextBatch(r.now, 1+rng.IntN(3), 2000+rng.IntN(8000))
					switch rng.IntN(6) {
					case 0: // never done
					case 1:
						late = append(late, b)
					case 2: // done, without an answer
						write(b)
					default:
						if write(b) {
							r.shard.Persisted(r.now, b, version)
						} else {
							r.shard.SetVersion("j", version)
						}
					}
					if len(late) > 0 && rng.IntN(3) == 0 {
						write(late[0])
						late = late[1:]
					}
				}
				if i%25 == 24 {
					late = nil
					r.takeOver()
					r.upsertWorkers()
					r.loadJob(j, rows)
					r.shard.SetVersion("j", version)
				}
				if state, _ := r.shard.Job("j"); state.Finished() {
					break
				}
			}
			r.wantState(cluster.StateSucceeded)
			for task, n := range done {
				if n != 1 {
					t.Errorf("%v has ended as done %d times, want once", task, n)
				}
			}
		})
	}
}

// TestFullBatchAfterChunks guards against progress that is lost where a job with several rows goes to a
// fallback row, which holds all of it.
func TestFullBatchAfterChunks(t *testing.T) {
	r := newRig(t, 20)
	r.upsertWorkers()
	step := tasks(500, 100)
	step.Checkpoints = true
	j := batch("j", step)
	r.shard.AddJob(r.now, j, nil, false)
	rows, done := make(map[string]scheduler.Record), make(map[cluster.TaskID]int)
	endSome := func() {
		r.runFor(300 * time.Millisecond)
		for _, id := range r.workerIDs() {
			for i, s := range slices.Clone(r.workers[id].running) {
				if i%2 == 0 {
					r.endRun(id, s.Task, s.Run, cluster.OutcomeDone)
					done[s.Task]++
					continue
				}
				r.endRun(id, s.Task, s.Run, cluster.OutcomeStopped)
				f := r.workers[id]
				f.ended[len(f.ended)-1].Checkpoint = "00000bb87a21d94b"
			}
		}
		r.reportAll()
	}
	endSome()
	r.persist(rows)
	if len(r.chunks) == 0 {
		t.Fatal("the job has one row")
	}
	endSome()
	b := r.shard.NextFullBatch(r.now, 49, writeBytes)
	if len(b.Records) != 1 || len(b.Records[0].Chunks) > 0 {
		t.Fatalf("%d records", len(b.Records))
	}
	rows["j"] = b.Records[0]
	r.shard.PersistedInFallback(r.now, b)
	r.reportAll()
	for range 3 {
		r.takeOver()
		r.upsertWorkers()
		r.loadJob(j, rows)
		for range 20 {
			endSome()
			r.persist(rows)
		}
	}
	r.wantState(cluster.StateSucceeded)
	for task, n := range done {
		if n != 1 {
			t.Errorf("%v has ended as done %d times, want once", task, n)
		}
	}
}

// BenchmarkPersistEnds measures the bytes that are written for each end of a task, by the tasks of its
// job, of which a tenth have ended with a checkpoint before.
func BenchmarkPersistEnds(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("tasks=%d", count), func(b *testing.B) {
			now := time.Unix(1_000, 0)
			s := scheduler.New(scheduler.Params{Epoch: 1, Lease: testLease}, now, zap.NewNop())
			s.ExpectWorkers(nil)
			info := cluster.Worker{ID: "w", Address: "a", Service: "svc", ClockMS: 1}
			s.UpsertWorker(now, info)
			s.AddJob(now, batch("j", tasks(count, 100)), nil, false)
			ends, bytes := int64(0), 0
			end := func(index int, how cluster.Outcome, checkpoint string) {
				ends++
				seq, _, _, _ := s.BeginHold(now, "w")
				task := cluster.TaskID{Job: "j", Index: index}
				s.Observe(now, "w", seq, cluster.Report{ClockMS: 1, Ended: []cluster.RunEnd{{N: ends, Task: task, Run: 100_001, Outcome: how, Checkpoint: checkpoint}}})
			}
			write := func() {
				for {
					batch := s.NextBatch(now, 49, writeBytes)
					if batch.Empty() {
						return
					}
					for _, rec := range batch.Records {
						bytes += len(rec.Value)
						for _, c := range rec.Chunks {
							bytes += len(c.Value)
						}
					}
					s.Persisted(now, batch, 1)
				}
			}
			for i := 0; i < count; i += 10 {
				end(i, cluster.OutcomeStopped, "00000bb87a21d94b")
			}
			write()
			bytes = 0
			n := 0
			for b.Loop() {
				end(1+n%(count-1), cluster.OutcomeDone, "")
				write()
				n++
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/end")
		})
	}
}
