// SPDX-License-Identifier: Apache-2.0

package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"switchbank.example/switchbank/internal/policy"
	"switchbank.example/switchbank/internal/resource"
)

var (
	packing = policy.Weights{Packing: 1}
	waiting = policy.Weights{Waiting: 1}
)

func amount(cpu, mem, acc int64) resource.Amount {
	return resource.Amount{CPUMilli: cpu, MemoryMB: mem, Accelerators: acc}
}

func TestPlace(t *testing.T) {
	full := policy.Candidate{Free: amount(1000, 1000, 0), Capacity: amount(4000, 4000, 0)}
	empty := policy.Candidate{Free: amount(4000, 4000, 0), Capacity: amount(4000, 4000, 0)}
	withAccelerators := policy.Candidate{Free: amount(4000, 4000, 2), Capacity: amount(4000, 4000, 2)}
	unschedulable := empty
	unschedulable.Unschedulable = true
	sameRack := empty
	sameRack.RackTasks = 1
	tests := []struct {
		name        string
		size        resource.Amount
		candidates  []policy.Candidate
		constraints policy.Constraints
		weights     policy.Weights
		want        int
		ok          bool
	}{
		{"packing prefers the fuller worker", amount(500, 500, 0), []policy.Candidate{empty, full}, policy.Constraints{}, packing, 1, true},
		{"waiting prefers the emptier worker", amount(500, 500, 0), []policy.Candidate{full, empty}, policy.Constraints{}, waiting, 1, true},
		{"no room", amount(5000, 500, 0), []policy.Candidate{full, empty}, policy.Constraints{}, packing, -1, false},
		{"unschedulable worker", amount(500, 500, 0), []policy.Candidate{unschedulable}, policy.Constraints{}, packing, -1, false},
		{"accelerators are kept free", amount(500, 500, 0), []policy.Candidate{withAccelerators, empty}, policy.Constraints{}, packing, 1, true},
		{"accelerators where requested", amount(500, 500, 1), []policy.Candidate{empty, withAccelerators}, policy.Constraints{}, packing, 1, true},
		{"another rack", amount(500, 500, 0), []policy.Candidate{sameRack, full}, policy.Constraints{Spread: true}, waiting, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := policy.Place(tt.size, tt.candidates, tt.constraints, tt.weights)
			if got != tt.want || ok != tt.ok {
				t.Errorf("got %d, %t", got, ok)
			}
		})
	}
}

// TestPlaceNeverOverfills places random tasks until nothing fits, and checks that no worker is
// given more than its capacity in any resource.
func TestPlaceNeverOverfills(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	props.Property("free never goes below zero", prop.ForAll(func(seed int64, packing float64) bool {
		r := rand.New(rand.NewPCG(uint64(seed), 1))
		candidates := make([]policy.Candidate, 16)
		for i := range candidates {
			candidates[i].Capacity = amount(1000+r.Int64N(8000), 1000+r.Int64N(8000), r.Int64N(4))
			candidates[i].Free = candidates[i].Capacity
		}
		for range 400 {
			size := amount(1+r.Int64N(3000), 1+r.Int64N(3000), r.Int64N(2))
			i, ok := policy.Place(size, candidates, policy.Constraints{Spread: r.IntN(2) == 0}, policy.Weights{Packing: packing, Waiting: 1 - packing})
			if !ok {
				continue
			}
			candidates[i].Free = candidates[i].Free.Sub(size)
			if !candidates[i].Free.Fits(amount(0, 0, 0)) {
				return false
			}
		}
		return true
	}, gen.Int64(), gen.Float64Range(0, 1)))
	props.TestingRun(t)
}

func TestOrder(t *testing.T) {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	total := amount(100_000, 100_000, 10)
	teams := []policy.Team{
		{Name: "a", Weight: 1, Used: amount(50_000, 0, 0)},
		{Name: "b", Weight: 1, Used: amount(10_000, 0, 0)},
		{Name: "c", Weight: 10, Used: amount(50_000, 0, 0)},
	}
	demand := amount(1000, 1000, 0)
	jobs := []policy.WaitingJob{
		{TeamIndex: 0, Priority: 1, Demand: demand},
		{TeamIndex: 1, Priority: 1, Demand: demand},
		{TeamIndex: 0, Priority: 9, Demand: demand},
		{TeamIndex: 1, Priority: 1, Demand: demand, Deadline: now.Add(time.Minute), RunTime: 30 * time.Second},
		{TeamIndex: 1, Priority: 1, Demand: demand, Deadline: now.Add(50 * time.Second), RunTime: time.Second},
		{TeamIndex: 2, Priority: 1, Demand: demand},
	}
	got := policy.Order(now, jobs, teams, total)
	// The urgent job; team c has the lowest share for its weight; then b by slack, then a.
	want := []int{2, 5, 3, 4, 1, 0}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestOrderLargestOfSimilarUrgency checks that a large task goes first among jobs whose
// deadlines are similarly far off, but not before a job that is due, and not among jobs without
// a deadline.
func TestOrderLargestOfSimilarUrgency(t *testing.T) {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	job := func(size int64, due time.Duration, submitted int) policy.WaitingJob {
		i := policy.WaitingJob{TaskSize: amount(size, size, 0), RunTime: time.Minute, Submitted: now.Add(time.Duration(submitted) * time.Second)}
		if due > 0 {
			i.Deadline = now.Add(due)
		}
		return i
	}
	jobs := []policy.WaitingJob{
		job(1000, 40*time.Minute, 0), job(9000, 41*time.Minute, 1), job(500, 3*time.Minute, 2), job(100, 0, 3), job(8000, 0, 4),
	}
	got := policy.Order(now, jobs, []policy.Team{{Name: "a", Weight: 1}}, amount(100_000, 100_000, 0))
	if want := "[2 1 0 3 4]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %s", got, want)
	}
}

func TestOrderQuotaGoesBeforeBorrowing(t *testing.T) {
	total := amount(100_000, 100_000, 0)
	teams := []policy.Team{
		{Name: "borrows", Weight: 1, Used: amount(1000, 1000, 0)},
		{Name: "owns", Weight: 1, Used: amount(20_000, 20_000, 0), Quota: amount(40_000, 40_000, 0)},
	}
	jobs := []policy.WaitingJob{{TeamIndex: 0, Demand: amount(1000, 1000, 0)}, {TeamIndex: 1, Demand: amount(1000, 1000, 0)}}
	if got := policy.Order(time.Time{}, jobs, teams, total); got[0] != 1 {
		t.Errorf("got %v: the team within its quota must go first", got)
	}
}

func benchmarkPlace(b *testing.B, workers int) {
	r := rand.New(rand.NewPCG(1, 2))
	candidates := make([]policy.Candidate, workers)
	for i := range candidates {
		candidates[i].Capacity = amount(32_000, 64_000, 0)
		candidates[i].Free = amount(r.Int64N(32_000), r.Int64N(64_000), 0)
	}
	w := policy.Weights{Waiting: 0.4, Packing: 0.6}
	b.ReportAllocs()
	for b.Loop() {
		policy.Place(amount(2000, 2000, 0), candidates, policy.Constraints{}, w)
	}
}

func BenchmarkPlace64(b *testing.B)   { benchmarkPlace(b, 64) }
func BenchmarkPlace1024(b *testing.B) { benchmarkPlace(b, 1024) }
