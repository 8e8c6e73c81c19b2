// SPDX-License-Identifier: Apache-2.0

package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"switchbank.example/switchbank/internal/policy"
)

func TestVictims(t *testing.T) {
	low := policy.RunningTask{Priority: 1, Size: amount(1000, 1000, 0), Attempt: 1, Preemptible: true}
	mid, nonPreemptible, preemptedOften, large := low, low, low, low
	mid.Priority = 5
	nonPreemptible.Preemptible = false
	preemptedOften.Attempt = policy.MaxPreemptions + 1
	large.Size = amount(3000, 3000, 0)
	tests := []struct {
		name     string
		priority int
		tasks    []policy.RunningTask
		want     string
		ok       bool
	}{
		{"lowest priority is preempted", 9, []policy.RunningTask{mid, low}, "[1]", true},
		{"equal priority is kept", 5, []policy.RunningTask{mid, nonPreemptible}, "[]", false},
		{"non-preemptible task is kept", 9, []policy.RunningTask{nonPreemptible}, "[]", false},
		{"often preempted task is kept", 9, []policy.RunningTask{preemptedOften}, "[]", false},
		{"unneeded task is kept", 9, []policy.RunningTask{low, large}, "[1]", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			need := int64(1000)
			if tt.name == "unneeded task is kept" {
				need = 3000
			}
			got, ok := policy.Victims(amount(need, need, 0), amount(0, 0, 0), tt.priority, tt.tasks)
			if fmt.Sprint(got) != tt.want || ok != tt.ok {
				t.Errorf("got %v, %t; want %s, %t", got, ok, tt.want, tt.ok)
			}
		})
	}
}

// TestVictimsAreSufficientAndMinimal checks random workers.
func TestVictimsAreSufficientAndMinimal(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(13))
	props.Property("victims are sufficient and minimal", prop.ForAll(func(seed int64) bool {
		r := rand.New(rand.NewPCG(uint64(seed), 2))
		tasks := make([]policy.RunningTask, r.IntN(12))
		for i := range tasks {
			tasks[i] = policy.RunningTask{
				Priority: r.IntN(5), Size: amount(1+r.Int64N(2000), 1+r.Int64N(2000), r.Int64N(2)),
				Attempt: 1 + r.IntN(4), Preemptible: r.IntN(3) > 0,
			}
		}
		size, free := amount(1+r.Int64N(4000), 1+r.Int64N(4000), r.Int64N(2)), amount(r.Int64N(2000), r.Int64N(2000), 0)
		chosen, ok := policy.Victims(size, free, 3, tasks)
		if !ok {
			return true
		}
		freed := free
		for _, i := range chosen {
			if t := tasks[i]; !t.Preemptible || t.Priority >= 3 || t.Attempt > policy.MaxPreemptions {
				return false
			}
			freed = freed.Add(tasks[i].Size)
		}
		for _, i := range chosen {
			if freed.Sub(tasks[i].Size).Fits(size) {
				return false
			}
		}
		return freed.Fits(size)
	}, gen.Int64()))
	props.TestingRun(t)
}
