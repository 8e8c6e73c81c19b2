// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// soakKey is the key that the callers' team has all the time.
const soakKey = "red-0"

// soakLimits are the limits of the callers' team, in turn, in thousandths of a core: half and five
// eighths of what the workers have.
var soakLimits = []int64{16_000, 20_000}

// hasTeams reports whether calls need a key in this run. The failed seeds run as they did when they
// failed.
func (s *soak) hasTeams() bool { return !slices.Contains(failedSeeds, s.seed) }

// teams returns the teams of the present version of the configuration. Each version has a key that
// the others don't have.
func (s *soak) teams() []site.Team {
	if !s.hasTeams() {
		return nil
	}
	limit := site.TeamLimit{CPUMilli: soakLimits[s.version%int64(len(soakLimits))]}
	return []site.Team{
		{Name: "red", Keys: []string{soakKey, versionKey(s.version)}, Weight: 8, Limit: limit},
		{Name: "blue", Keys: []string{"blue-0"}, Weight: 1},
	}
}

func versionKey(version int64) string { return fmt.Sprintf("red-v%d", version) }

// teamExpectations returns what is expected of the callers' team, which has sent all jobs. Nodes may
// be paused, or cut off, for longer than a configuration takes, so that the highest limit counts.
func (s *soak) teamExpectations() []site.TeamExpectation {
	if !s.hasTeams() {
		return nil
	}
	jobs := make(map[string]bool)
	for _, e := range s.site.Events() {
		job, _, _ := strings.Cut(e.Task, ".")
		jobs[job] = true
	}
	return []site.TeamExpectation{{Name: "red", Jobs: jobs, Limits: []site.LimitChange{{At: time.Time{}, CPUMilli: slices.Max(soakLimits)}}}}
}

// checkKeys checks that each node serves the key that the last configuration brought, and refuses
// the one that it withdrew and a key that nobody ever had.
func (s *soak) checkKeys() {
	if !s.hasTeams() {
		return
	}
	defer func() { s.key = soakKey }()
	for _, n := range s.nodes {
		path := "http://" + n.callers + "/batch/"
		s.key = versionKey(s.version)
		s.waitUntil(n.name+" serves a new key", func() bool { return s.status(http.MethodGet, path, nil) == http.StatusOK })
		for _, key := range []string{versionKey(s.version - 1), "green"} {
			s.key = key
			if status := s.status(http.MethodGet, path, nil); status != http.StatusUnauthorized {
				s.t.Errorf("%s answers %d for key %s, want %d", n.name, status, key, http.StatusUnauthorized)
			}
		}
	}
}
