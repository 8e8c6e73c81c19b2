// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestGangAtLimitStallsTeam guards against a gang that waits for its team's limit and holds back all
// less urgent work of the team for as long: the limit holds the gang only once the team's long-running
// tasks have ended, and its other jobs fit into what they leave.
func TestGangAtLimitStallsTeam(t *testing.T) {
	const smallJobs, between = 20, 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		env := newLimitedEnv(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		began := time.Now()
		env.submit("batch", "100 lasting cpu=1000", stepBody{Count: 4, CPU: 1000, MemoryMB: 500, LongRunning: true})
		time.Sleep(time.Second)
		env.submit("batch", batchSpec, stepBody{Count: 6, CPU: 1000, MemoryMB: 500, EstimateMS: 1500, Gang: true})
		for range smallJobs {
			time.Sleep(between)
			env.submit("batch", "400 cpu=500", stepBody{Count: 1, CPU: 500, MemoryMB: 100, EstimateMS: 400})
		}
		time.Sleep(10 * time.Second)
		env.checkNoStallsWithinLimit(began)
		env.checkTeamLimit()
	})
}

// TestLoadBelowLimitStallsJobs guards against parts of a team's limit that lie where they aren't used:
// the load takes about the limit, and nothing disturbs it.
func TestLoadBelowLimitStallsJobs(t *testing.T) { runLoadAtLimit(t, teamLimit) }

// TestLoadAboveLimitStallsJobs is TestLoadBelowLimitStallsJobs with a load that exceeds the limit at
// times, so that gangs wait for it.
func TestLoadAboveLimitStallsJobs(t *testing.T) { runLoadAtLimit(t, teamLimit*2/3) }

func runLoadAtLimit(t *testing.T, limit int64) {
	synctest.Test(t, func(t *testing.T) {
		env := newLimitedEnvWith(t, limit)
		defer env.close()
		load := env.startLoad(3*loadDuration, 0)
		began := time.Now()
		load.Wait()
		env.waitUntilSettled()
		env.checkNoStallsWithinLimit(began)
		env.checkTeamLimit()
	})
}
