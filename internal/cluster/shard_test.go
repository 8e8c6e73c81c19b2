// SPDX-License-Identifier: Apache-2.0

package cluster_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"switchbank.example/switchbank/internal/cluster"
)

func newMachines(racks, perRack int) []cluster.Machine {
	list := []cluster.Machine{{ID: "other", Service: "another", Rack: "r0-0"}}
	for i := range racks * perRack {
		list = append(list, cluster.Machine{ID: fmt.Sprintf("m%d", i), Service: "s", Rack: fmt.Sprintf("r1-%d", i/perRack)})
	}
	return list
}

// TestPlanLayout checks that every rack is assigned to one shard, that shards differ by at
// most one rack, and that the order of the machines doesn't matter.
func TestPlanLayout(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	p.Property("layout", prop.ForAll(func(racks, perRack, most int) bool {
		list := newMachines(racks, perRack)
		l := cluster.PlanLayout("s", list, most)
		slices.Reverse(list)
		if !slices.Equal(cluster.PlanLayout("s", list, most).Racks, l.Racks) || l.Shards < 1 || l.Shards > max(1, racks) {
			return false
		}
		sizes := make([]int, l.Shards)
		for i := range racks {
			sizes[l.ShardOf(fmt.Sprintf("r1-%d", i))]++
		}
		unknown := l.ShardOf("r9-9")
		return slices.Max(sizes)-slices.Min(sizes) <= 1 && unknown >= 0 && unknown < l.Shards
	}, gen.IntRange(0, 40), gen.IntRange(1, 15), gen.IntRange(1, 120)))
	p.TestingRun(t)
}

// TestCandidateShards checks that a job's two candidates are different shards, and that each
// shard is the first candidate of some job.
func TestCandidateShards(t *testing.T) {
	l := cluster.PlanLayout("s", newMachines(30, 12), 90)
	seen := make(map[int]bool)
	for i := range 1000 {
		c := l.CandidateShards(fmt.Sprintf("%016x", i))
		if len(c) != 2 || c[0] == c[1] || c[0] < 0 || c[0] >= l.Shards || c[1] < 0 || c[1] >= l.Shards {
			t.Fatalf("candidates %v of %d shards", c, l.Shards)
		}
		seen[c[0]] = true
	}
	if len(seen) != l.Shards {
		t.Errorf("only %d of %d shards are first candidates", len(seen), l.Shards)
	}
}

// TestSplit checks that the parts of a job contain each task once, on different shards.
func TestSplit(t *testing.T) {
	l := cluster.PlanLayout("s", newMachines(30, 12), 90)
	for _, count := range []int{1, 2, 3, 4, 31} {
		job := cluster.Job{ID: "a", Service: "s", Steps: []cluster.Step{{Count: count, LongRunning: true}}}
		if !job.Splittable() {
			t.Fatal("a job of long-running tasks is not splittable")
		}
		holders := make(map[int]int)
		shards := make(map[int]bool)
		for _, part := range job.Split(3, &l) {
			shards[part.Shard] = true
			own := 0
			for task := range count {
				if part.Share.Has(task) {
					holders[task]++
					own++
				}
			}
			if own == 0 {
				t.Errorf("%d tasks: a part has no task", count)
			}
		}
		if len(shards) != min(count, l.Shards) || len(holders) != count {
			t.Errorf("%d tasks: parts on %d shards hold %d tasks", count, len(shards), len(holders))
		}
		for task, n := range holders {
			if n != 1 {
				t.Errorf("%d tasks: task %d is in %d parts", count, task, n)
			}
		}
	}
	for _, step := range []cluster.Step{{Count: 2}, {Count: 2, LongRunning: true, Gang: true}, {Count: 2, LongRunning: true, MaxUnavailable: 1}, {Count: 2, LongRunning: true, DataRack: "r1-1"}} {
		if job := (cluster.Job{Steps: []cluster.Step{step}}); job.Splittable() {
			t.Errorf("job is splittable with step %+v", step)
		}
	}
}

// TestShardNames checks that shard names are parsed, and that invalid ones are rejected.
func TestShardNames(t *testing.T) {
	id := cluster.ShardID{Service: "a/b", Index: 12}
	if got, err := cluster.ParseShardID(id.String()); err != nil || got != id {
		t.Errorf("parsed shard name: %v, %v", got, err)
	}
	for _, bad := range []string{"", "a", "a/", "a/x", "a/-1"} {
		if _, err := cluster.ParseShardID(bad); err == nil {
			t.Errorf("ParseShardID accepts %q", bad)
		}
	}
}
