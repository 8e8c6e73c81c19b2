// SPDX-License-Identifier: Apache-2.0

package measure_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"switchbank.example/switchbank/internal/policy"
	"switchbank.example/switchbank/internal/resource"
)

const seed = 20261202

// workload is a seeded sequence of jobs on a number of equal workers.
type workload struct {
	name     string
	workers  int
	capacity resource.Amount
	weights  policy.Weights
	teams    []policy.Team
	jobs     []job
	// protectedClass is the key, in result.waits, of the class and team that must not wait
	// longer because of another team's peak.
	protectedClass string
}

func amount(cores, gb int64) resource.Amount {
	return resource.Amount{CPUMilli: cores * 1000, MemoryMB: gb * 1000}
}

// The placement weights of two kinds of cells: one fills workers up first, the other
// prefers emptier workers, on which a task is disturbed least.
var (
	mostlyPacking = policy.Weights{Waiting: 0.2, Packing: 0.8}
	mostlyWaiting = policy.Weights{Waiting: 0.8, Packing: 0.2}
)

func team(name string, quota resource.Amount) policy.Team {
	return policy.Team{Name: name, Weight: 1, Quota: quota}
}

// addUrgent adds urgent jobs of one short task, on average rate of them per second.
func addUrgent(r *rand.Rand, jobs []job, team int, from, to time.Duration, rate float64) []job {
	for at := from; at < to; at += time.Duration(r.ExpFloat64() / rate * float64(time.Second)) {
		run := time.Duration(1+r.ExpFloat64()*4) * time.Second
		jobs = append(jobs, job{submitted: at, team: team, class: "counter", priority: 900, tasks: 1, size: amount(1, 2), runTime: run, declaredRunTime: run})
	}
	return jobs
}

// addBatch adds a batch whose declared run time is too long or too short by a factor of up
// to maxError.
func addBatch(r *rand.Rand, jobs []job, team int, at time.Duration, tasks int, size resource.Amount, run, deadline time.Duration, maxError float64) []job {
	factor := 1 + r.Float64()*(maxError-1)
	if r.IntN(2) == 0 {
		factor = 1 / factor
	}
	return append(jobs, job{
		submitted: at, team: team, class: "notice", priority: 400, preemptible: true, tasks: tasks, size: size,
		runTime: run, declaredRunTime: time.Duration(float64(run) * factor), deadline: deadline,
	})
}

func sortedByArrival(w workload) workload {
	slices.SortStableFunc(w.jobs, func(a, b job) int { return cmp.Compare(a.submitted, b.submitted) })
	return w
}

// morningPeak returns a workload of batches left from the night and a peak of urgent jobs.
func morningPeak() workload {
	r := rand.New(rand.NewPCG(seed, 1))
	w := workload{name: "morning counter rush (Inkasoft, 50 workers)", workers: 50, capacity: amount(16, 32), weights: mostlyPacking,
		teams: []policy.Team{team("billing", amount(500, 1000)), team("watch", amount(300, 600))}}
	for i := range 40 {
		w.jobs = addBatch(r, w.jobs, i%2, time.Duration(i)*5*time.Second, 20+r.IntN(80), amount(1+r.Int64N(4), 2+r.Int64N(8)),
			time.Duration(30+r.IntN(120))*time.Second, 40*time.Minute, 5)
	}
	w.jobs = addUrgent(r, w.jobs, 0, 2*time.Minute, 6*time.Minute, 40)
	return sortedByArrival(w)
}

// batchSurge returns a workload of many large batches within a few minutes, and some urgent
// jobs.
func batchSurge() workload {
	r := rand.New(rand.NewPCG(seed, 2))
	w := workload{name: "notice-date batch surge (Inkasoft, 50 workers)", workers: 50, capacity: amount(16, 32), weights: mostlyPacking,
		teams: []policy.Team{team("north", amount(400, 800)), team("south", amount(400, 800))}}
	for i := range 60 {
		size := amount(1+r.Int64N(3), 2+r.Int64N(5))
		if i%6 == 0 {
			size = amount(12, 20)
		}
		w.jobs = addBatch(r, w.jobs, i%2, time.Duration(r.IntN(300))*time.Second, 10+r.IntN(60), size,
			time.Duration(20+r.IntN(100))*time.Second, 60*time.Minute, 2)
	}
	w.jobs = addUrgent(r, w.jobs, 0, 0, 8*time.Minute, 5)
	return sortedByArrival(w)
}

// peakOfOtherTeam returns a workload of two teams with urgent jobs. If peak is set, one of
// them submits many more than the other.
func peakOfOtherTeam(peak bool) workload {
	r := rand.New(rand.NewPCG(seed, 3))
	w := workload{name: "one carrier's rush against a rival (Accra, 50 workers)", workers: 50, capacity: amount(32, 64), weights: mostlyWaiting,
		protectedClass: "counter of quiet",
		teams:          []policy.Team{team("quiet", amount(800, 1600)), team("rushing", amount(800, 1600))}}
	w.jobs = addUrgent(r, w.jobs, 0, 0, 5*time.Minute, 20)
	if peak {
		r = rand.New(rand.NewPCG(seed, 4))
		w.jobs = addUrgent(r, w.jobs, 1, time.Minute, 2*time.Minute, 400)
	} else {
		w.name = "the same without the rush"
	}
	return sortedByArrival(w)
}

// largeCellSlice returns a workload for 64 workers of a large cell, with a 219th of the
// cell's task starts.
func largeCellSlice() workload {
	r := rand.New(rand.NewPCG(seed, 5))
	w := workload{name: "slice of a large cell (64 workers, 3.5 starts/s)", workers: 64, capacity: amount(16, 64), weights: mostlyPacking}
	for i := range 12 {
		w.teams = append(w.teams, team(string(rune('a'+i)), amount(80, 320)))
	}
	for at := time.Duration(0); at < 20*time.Minute; at += time.Duration(r.ExpFloat64() * 6 * float64(time.Second)) {
		w.jobs = addBatch(r, w.jobs, r.IntN(12), at, 1+r.IntN(38), amount(1+r.Int64N(4), 2+r.Int64N(16)),
			time.Duration(20+r.IntN(200))*time.Second, at+time.Hour, 5)
	}
	w.jobs = addUrgent(r, w.jobs, 0, 0, 20*time.Minute, 0.3)
	return sortedByArrival(w)
}
