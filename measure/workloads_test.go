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

// workload is a seeded run of jobs on a set of like workers.
type workload struct {
	name     string
	workers  int
	capacity resource.Amount
	weights  policy.Weights
	teams    []policy.Team
	jobs     []job
	// rival is the class and team whose wait must not suffer from another's rush.
	protectedClass string
}

func amount(cores, gb int64) resource.Amount {
	return resource.Amount{CPUMilli: cores * 1000, MemoryMB: gb * 1000}
}

var (
	mostlyPacking = policy.Weights{Waiting: 0.2, Packing: 0.8}
	mostlyWaiting = policy.Weights{Waiting: 0.8, Packing: 0.2}
)

func team(name string, quota resource.Amount) policy.Team {
	return policy.Team{Name: name, Weight: 1, Quota: quota}
}

// urgent adds counter work: one short task, now and then, at a rate a second.
func addUrgent(r *rand.Rand, jobs []job, team int, from, to time.Duration, rate float64) []job {
	for at := from; at < to; at += time.Duration(r.ExpFloat64() / rate * float64(time.Second)) {
		run := time.Duration(1+r.ExpFloat64()*4) * time.Second
		jobs = append(jobs, job{submitted: at, team: team, class: "counter", priority: 900, tasks: 1, size: amount(1, 2), runTime: run, declaredRunTime: run})
	}
	return jobs
}

// batch adds one batch whose declared run time is off by up to wrong times.
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

// morningRush is the counters' opening over a night's batches, at Inkasoft's size.
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

// noticeSurge is a surge of large batches before a notice date.
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

// rivalRush has one carrier's rush against another's counters; rush 0 leaves it out.
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

// slice is a slice of the letter's size: 64 workers, a 219th of the starts.
func largeCellSlice() workload {
	r := rand.New(rand.NewPCG(seed, 5))
	w := workload{name: "slice of the letter's size (64 workers, 3.5 starts/s)", workers: 64, capacity: amount(16, 64), weights: mostlyPacking}
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
