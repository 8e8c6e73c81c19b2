// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/quota"
	"switchbank.example/switchbank/internal/resource"
)

const (
	// searchedLimit is the limit of the team in the searches, in thousandths of a core.
	searchedLimit = 100_000
	// limitSeeds is the number of seeds of a search for stalls at a limit by default, and
	// fullLimitSeeds that with MODEL=full.
	limitSeeds     = defaultSeeds / 8
	fullLimitSeeds = 400
)

// oneCore returns a step of tasks of one core.
func oneCore(n int) cluster.Step {
	return cluster.Step{Count: n, Need: resource.Amount{CPUMilli: 1000, MemoryMB: 100}}
}

// oneCoreGang returns a gang of members of one core.
func oneCoreGang(n int) cluster.Step {
	st := oneCore(n)
	st.Gang = true
	return st
}

// TestGangAboveLimitStallsTeam guards against jobs that a gang of their team holds back for good: the
// limit was lowered below what the gang needs.
func TestGangAboveLimitStallsTeam(t *testing.T) {
	s := newLimitSim(t, 0, 1, 6000, zap.NewNop())
	s.add(0, 2, 3*time.Second, nil, oneCore(2))
	s.run(500 * time.Millisecond)
	s.add(0, 2, time.Second, nil, oneCoreGang(5))
	s.run(1500 * time.Millisecond)
	s.setLimit(4000)
	s.run(2 * time.Second)
	s.add(0, 2, time.Second, nil, oneCore(1))
	s.run(5 * time.Second)
	s.checkNoStalls()
}

// TestGangBesideLongRunningTasksStallsTeam guards against jobs that a gang of their team holds back
// for good: long-running tasks leave less of the limit than the gang needs.
func TestGangBesideLongRunningTasksStallsTeam(t *testing.T) {
	s := newLimitSim(t, 0, 1, 6000, zap.NewNop())
	lasting := oneCore(3)
	lasting.LongRunning = true
	s.add(0, 1, time.Second, nil, lasting)
	s.run(500 * time.Millisecond)
	s.add(0, 2, time.Second, nil, oneCoreGang(4))
	s.run(3 * time.Second)
	for range 3 {
		s.add(0, 2, time.Second, nil, oneCore(1))
		s.run(4 * time.Second)
	}
	s.checkNoStalls()
}

// TestGangBesideLongTasksStallsTeam guards against jobs that a gang of their team holds back for as
// long as the gang waits for long tasks.
func TestGangBesideLongTasksStallsTeam(t *testing.T) {
	for name, shard := range map[string]int{"in the gang's shard": 0, "in another shard": 1} {
		t.Run(name, func(t *testing.T) {
			s := newLimitSim(t, 0, 2, 20_000, zap.NewNop())
			s.add(0, 2, 12*time.Second, nil, oneCore(12))
			s.run(time.Second)
			s.add(0, 2, time.Second, nil, oneCoreGang(10))
			s.run(3 * time.Second)
			s.add(shard, 2, time.Second, nil, oneCore(2))
			s.run(6 * time.Second)
			s.checkNoStalls()
		})
	}
}

// TestGangStarvesBesideStalledJobs guards against a gang that never gets its team's limit since less
// urgent jobs, which are held back no longer than three seconds, keep coming.
func TestGangStarvesBesideStalledJobs(t *testing.T) {
	const jobs, interval = 30, time.Second
	s := newLimitSim(t, 0, 2, 20_000, zap.NewNop())
	s.add(0, 2, 4*time.Second, nil, oneCore(20))
	s.run(time.Second)
	gang := s.add(0, 2, time.Second, nil, oneCoreGang(12))
	for i := range jobs {
		s.add(i%2, 2, 4*time.Second, nil, oneCore(5))
		s.run(interval)
	}
	if !gang.ended {
		t.Errorf("a gang that needs %d of a limit of %d has not run for %v", gang.need(), s.limit, jobs*interval)
	}
	s.checkNoStalls()
}

// TestGangStarvesBesideSmallJobs guards against a gang that never gets its team's limit, since jobs of
// one task each keep coming that are held back for some time each and then all start.
func TestGangStarvesBesideSmallJobs(t *testing.T) {
	for name, c := range map[string]struct{ shards, priority int }{
		"one shard":                    {1, 2},
		"two shards":                   {2, 2},
		"two shards, less urgent jobs": {2, 4},
	} {
		t.Run(name, func(t *testing.T) {
			const interval, before, after = 250 * time.Millisecond, 40, 80
			s := newLimitSim(t, 0, c.shards, 20_000, zap.NewNop())
			submit := func(n int) {
				for i := range n {
					s.add(i%c.shards, c.priority, 4*time.Second, nil, oneCore(1))
					s.run(interval)
				}
			}
			submit(before)
			gang := s.add(0, 2, time.Second, nil, oneCoreGang(12))
			submit(after)
			if !gang.ended && s.runningOf(gang) == 0 {
				t.Errorf("a gang that needs %d of a limit of %d has not run for %v", gang.need(), s.limit, after*interval)
			}
			s.checkNoStalls()
		})
	}
}

// TestPartOfLimitGoesToLessUrgentJob guards against a shard that gives a part of a team's limit away
// while its own more urgent tasks wait for advice before they can use it.
func TestPartOfLimitGoesToLessUrgentJob(t *testing.T) {
	const tasks = 16
	s := newLimitSim(t, 0, 2, 20_000, zap.NewNop())
	first := s.add(0, 2, 2*time.Second, slowAdvice, oneCore(tasks))
	s.run(300 * time.Millisecond)
	s.add(1, 2, 8*time.Second, nil, oneCore(tasks))
	s.run(2 * time.Second)
	if n := s.runningOf(first) + len(first.done); n < tasks {
		t.Errorf("%d of %d tasks have started beside a limit that holds them, since a less urgent job of another shard got the rest", n, tasks)
	}
}

// TestPartKeptForAdviceStallsOtherShard guards against a part of a team's limit that a shard keeps for
// urgent jobs which come one after the other and wait for advice, while a job of another shard stands.
func TestPartKeptForAdviceStallsOtherShard(t *testing.T) {
	for _, adviceMS := range []float64{700, 2000, 3500} {
		t.Run(fmt.Sprintf("advice of %v ms", adviceMS), func(t *testing.T) {
			const interval, before, after = 200 * time.Millisecond, 15, 40
			s := newLimitSim(t, 0, 2, 20_000, zap.NewNop())
			urgent := func() {
				s.add(0, 0, 300*time.Millisecond, &cluster.AdviceCost{BaseMS: adviceMS, ValidMS: 2500}, oneCore(4))
				s.run(interval)
			}
			s.add(0, 2, 3*time.Second, nil, oneCore(20))
			s.run(2 * time.Second)
			for range before {
				urgent()
			}
			large := oneCore(1)
			large.Need.CPUMilli = 5000
			late := s.add(1, 2, time.Second, nil, large)
			for range after {
				urgent()
			}
			if !late.ended && s.runningOf(late) == 0 {
				t.Errorf("a job has not run for %v beside parts of the limit that nobody uses", after*interval)
			}
		})
	}
}

// TestGangGetsPartTwice guards against a shard that gives the part which a stalled gang lacks twice in
// one answer, once for all that waits there and once for the gang.
func TestGangGetsPartTwice(t *testing.T) {
	const limit, members, lacking = 40_000, 10, quota.Whole / 4
	s := newLimitSim(t, 0, 2, limit, zap.NewNop())
	s.add(0, 2, 4*time.Second, nil, oneCore(20))
	s.add(1, 2, 20*time.Second, nil, oneCore(20))
	s.run(time.Second)
	gang := s.add(1, 2, 2*time.Second, nil, oneCoreGang(members))
	for range 80 {
		if s.run(limitTick); s.runningOf(gang) > 0 {
			break
		}
	}
	given := s.shards[0].shard.GivenTo(1)
	if s.runningOf(gang) < members || len(given.Parts) != 1 || given.Parts[0].Part > lacking {
		t.Errorf("%d members run, and the other shard has given %v, want %d at most", s.runningOf(gang), given.Parts, lacking)
	}
}

// TestPartStaysWithNewOwner guards against a new owner that gives nothing of its part of a team's limit
// while one of its workers doesn't answer, although it has no job of the team.
func TestPartStaysWithNewOwner(t *testing.T) {
	s := newLimitSim(t, 0, 2, 20_000, zap.NewNop())
	s.shards[0].workers["w0"].silent = true
	s.add(1, 2, 25*time.Second, nil, oneCore(10))
	s.run(time.Second)
	s.add(1, 2, time.Second, nil, oneCore(2))
	s.run(15 * time.Second)
	s.checkNoStalls()
}

// TestUnknownTeamStallsJob guards against an owner that knows no configuration with the team of a job,
// and lets it wait for longer than a job may stand.
func TestUnknownTeamStallsJob(t *testing.T) {
	s := newLimitSim(t, 0, 1, 20_000, zap.NewNop())
	j := s.addOf("blue", 0, 2, time.Second, nil, oneCore(1))
	s.run(maxLimitStall)
	if s.runningOf(j) == 0 && !j.ended {
		t.Errorf("a job of an unknown team has not run for %v", maxLimitStall)
	}
}

// TestLastingGangStallsLongRunningTask guards against a long-running gang that holds back a
// long-running task for longer than such a task may be away, while another task of its job runs.
func TestLastingGangStallsLongRunningTask(t *testing.T) {
	const maxAway, step = 6 * time.Second, 500 * time.Millisecond
	s := newLimitSim(t, 0, 1, 20_000, zap.NewNop())
	s.add(0, 2, 30*time.Second, nil, oneCore(12))
	s.run(time.Second)
	gang := oneCoreGang(10)
	gang.LongRunning = true
	s.add(0, 2, time.Second, nil, gang)
	s.run(3 * time.Second)
	lasting := oneCore(2)
	lasting.LongRunning = true
	j := s.add(0, 2, time.Second, nil, lasting)
	away := time.Duration(0)
	for range 60 {
		if s.run(step); s.runningOf(j) < lasting.Count {
			away += step
		}
	}
	if away > maxAway {
		t.Errorf("a long-running task was away for %v beside room within the limit", away)
	}
}

// searchLimitStalls plays random jobs of one team at its limit, and returns the stalls.
func searchLimitStalls(t *testing.T, seed uint64, shards int, log *zap.Logger) []string {
	const submitTime, settleTime = 30 * time.Second, 20 * time.Second
	s := newLimitSim(t, seed, shards, searchedLimit, log)
	interval := s.randomDuration(300*time.Millisecond, 1500*time.Millisecond)
	for range int(submitTime / interval) {
		s.submitRandomly()
		s.run(interval)
	}
	s.run(settleTime)
	return s.stalls
}

// runLimitSearch searches for stalls with a number of seeds, or with that of SEARCH_SEED, whose log it
// prints.
func runLimitSearch(t *testing.T, shards int) {
	if value := os.Getenv("SEARCH_SEED"); value != "" {
		seed, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		for _, stall := range searchLimitStalls(t, seed, shards, zap.NewExample()) {
			t.Error(stall)
		}
		return
	}
	seeds := limitSeeds
	if os.Getenv("MODEL") == "full" {
		seeds = fullLimitSeeds
	}
	failed := 0
	for seed := range uint64(seeds) {
		if stalls := searchLimitStalls(t, seed, shards, zap.NewNop()); len(stalls) > 0 {
			failed++
			t.Errorf("SEARCH_SEED=%d: %d stalls, the first: %s", seed, len(stalls), stalls[0])
		}
	}
	t.Logf("%d of %d seeds failed", failed, seeds)
}

// TestSearchLimitStalls searches for jobs of a team at its limit of which nothing runs for three
// seconds, although the limit has room for them twice over. MODEL=full runs 400 seeds.
func TestSearchLimitStalls(t *testing.T) { runLimitSearch(t, 2) }

// TestSearchLimitStallsInManyShards is TestSearchLimitStalls with five shards, whose parts of the
// limit hold few tasks each.
func TestSearchLimitStallsInManyShards(t *testing.T) { runLimitSearch(t, 5) }
