// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// The nodes, of which the first ones are on larger hosts, and the workers of two shards.
	siteSoakNodes, siteSoakLargeNodes = 34, 8
	siteSoakWorkers                   = 350
	siteSoakWorkerCPUMilli            = 8000
	siteSoakSmallLimits               = "memory_mb: 184, cpu_share: 0.192, link_mbps: 10"
	siteSoakLargeLimits               = "memory_mb: 284, cpu_share: 0.8, link_mbps: 100"
	// siteSoakRounds is how often a calm phase and a series of disturbances follow each other, before
	// a last calm phase.
	siteSoakRounds             = 3
	minCalmPhase, maxCalmPhase = 12 * time.Second, 16 * time.Second
	// siteSoakSettle is how long the load runs before it is checked.
	siteSoakSettle = 6 * time.Second
	// The pause between two changes of limits, and between two hangup signals.
	minLimitPause, maxLimitPause   = 4 * time.Second, 10 * time.Second
	minHangupPause, maxHangupPause = 300 * time.Millisecond, 6 * time.Second
	// The time for which a node is down.
	minNodeDown, maxNodeDown = 300 * time.Millisecond, 1500 * time.Millisecond
)

// TestSiteSoak runs a cell of the size of a site, with many teams at their limits, as real processes:
// limits fall and rise, teams send several times their usual work, nodes get hangup signals, and
// owners are killed or stopped in series. No accepted job may wait for 3 s beside room on workers and
// within its team's limit once the cell has been undisturbed for 4 s. It is run by hand, for the seeds
// in SITE_SOAK_SEEDS.
func TestSiteSoak(t *testing.T) {
	runSiteSoak(t, false)
}

// TestSiteSoakWaitsForAdvice is TestSiteSoak with an advice service as slow as that of a site, which all
// jobs need, and guards against jobs whose calls of it wait beside room.
func TestSiteSoakWaitsForAdvice(t *testing.T) {
	runSiteSoak(t, true)
}

// runSiteSoak runs the soak for the seeds in SITE_SOAK_SEEDS.
func runSiteSoak(t *testing.T, slowAdvice bool) {
	t.Helper()
	text := os.Getenv("SITE_SOAK_SEEDS")
	if text == "" {
		t.Skip("SITE_SOAK_SEEDS is not set")
	}
	for _, seed := range parseSeeds(t, text) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newSiteSoak(t, seed, slowAdvice).run() })
	}
}

// siteSoak is the run of one seed.
type siteSoak struct {
	*siteCell
	seed uint64
	// slowAdvice is set if all jobs need advice, which is slow.
	slowAdvice bool
	rng        *rand.Rand
	started    time.Time
	// stop is closed at the end of the load.
	stop chan struct{}

	mu      sync.Mutex
	version int64
	teams   []*soakTeam
	// stallJobs describe the accepted jobs.
	stallJobs    []site.StallJob
	disturbances []faultInterval
}

func newSiteSoak(t *testing.T, seed uint64, slowAdvice bool) *siteSoak {
	ports := freePorts(t, 3+siteSoakWorkers+3*siteSoakNodes)
	next := func() string {
		address := ports[0]
		ports = ports[1:]
		return address
	}
	s := &siteSoak{
		siteCell: &siteCell{t: t, bin: filepath.Join(os.Getenv("SWITCHBANK_BIN"), "switchbank"), dir: t.TempDir(), storeAddress: next(), serviceAddresses: [2]string{next(), next()}, workersPerShard: siteSoakWorkers / 2},
		seed:     seed, slowAdvice: slowAdvice, rng: newSeededRand(seed, 0), stop: make(chan struct{}), teams: newSoakTeams(newSeededRand(seed, 1)),
	}
	var workers []string
	for range siteSoakWorkers {
		workers = append(workers, next())
	}
	s.site = site.New(site.Config{
		Service: "billing", StoreAddress: s.storeAddress, AdviceAddress: s.serviceAddresses[0], MachinesAddress: s.serviceAddresses[1],
		WorkerAddress: func(n int) string { return workers[n] }, Serve: s.serve,
	})
	t.Cleanup(s.site.Close)
	if slowAdvice {
		s.site.SetAdviceModel(siteAdvice())
	}
	s.publishLimits()
	for i := range siteSoakWorkers {
		s.site.AddWorker(site.WorkerConfig{Rack: fmt.Sprintf("r1-%d", i/10), CPUMilli: siteSoakWorkerCPUMilli, MemoryMB: 32_000})
	}
	for i := range siteSoakNodes {
		n := &siteNode{name: fmt.Sprintf("n%d", i), callers: next(), ready: next(), peers: next(), storeAddress: s.storeAddress, limits: siteSoakSmallLimits}
		if i < siteSoakLargeNodes {
			n.limits = siteSoakLargeLimits
		}
		n.advertisedPeers = n.peers
		s.seeds, s.nodes = append(s.seeds, n.peers), append(s.nodes, n)
	}
	for _, n := range s.nodes {
		s.startNode(n)
	}
	for _, n := range s.nodes {
		s.waitUntilReady(n)
	}
	s.waitUntil("both shards have an owner", func() bool { return len(s.owners()) >= 2 })
	return s
}

// newSeededRand returns one of a seed's sequences of random numbers.
func newSeededRand(seed, sequence uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, sequence)) //nolint:gosec // A seed must give the same load and faults.
}

func (s *siteSoak) waitUntilReady(n *siteNode) {
	s.waitUntil(n.name+" is ready", func() bool { return s.status(http.MethodGet, "http://"+n.ready+"/", nil) == http.StatusOK })
}

// logf logs what the test does, with the time since the start of the load.
func (s *siteSoak) logf(format string, args ...any) {
	s.t.Logf("%s %6.2f s: %s", time.Now().UTC().Format("15:04:05.000"), time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// run disturbs the cell under load and checks the results.
func (s *siteSoak) run() {
	s.started = time.Now()
	var load sync.WaitGroup
	for i, team := range s.teams {
		load.Go(func() { s.submitFor(team, newSeededRand(s.seed, uint64(100+i))) })
	}
	load.Go(s.changeLimits)
	load.Go(s.makeTeamsHot)
	for range siteSoakRounds {
		s.hangUpDuring(randomDuration(s.rng, minCalmPhase, maxCalmPhase))
		s.disturb()
	}
	s.hangUpDuring(maxCalmPhase)
	close(s.stop)
	load.Wait()
	s.check()
}

// hangUpDuring sends hangup signals to owners and other nodes for a time. These disturb nothing.
func (s *siteSoak) hangUpDuring(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(time.Until(end), randomDuration(s.rng, minHangupPause, maxHangupPause)))
		s.signal(s.pickNode(), syscall.SIGHUP)
	}
}

// pickNode returns an owner or, as often, any node.
func (s *siteSoak) pickNode() *siteNode {
	if owners := s.owners(); s.rng.IntN(2) == 0 && len(owners) > 0 {
		return owners[s.rng.IntN(len(owners))]
	}
	return s.nodes[s.rng.IntN(len(s.nodes))]
}

// disturb kills, or stops as planned, two or three nodes one after the other, the first of which is an
// owner, and starts them again.
func (s *siteSoak) disturb() {
	from := time.Now()
	for i := range 2 + s.rng.IntN(2) {
		n := s.pickNode()
		if owners := s.owners(); i == 0 && len(owners) > 0 {
			n = owners[s.rng.IntN(len(owners))]
		}
		if s.rng.IntN(3) == 0 {
			s.logf("%s is stopped as planned", n.name)
			s.restartGracefully(n)
			continue
		}
		down := randomDuration(s.rng, minNodeDown, maxNodeDown)
		s.logf("%s is killed, and is down for %s", n.name, down.Round(time.Millisecond))
		s.killNode(n)
		time.Sleep(down)
		s.startNode(n)
	}
	for _, n := range s.nodes {
		s.waitUntilReady(n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, faultInterval{from, time.Now()})
	s.logf("all nodes are ready")
}

// owners returns the nodes that own a shard.
func (s *siteSoak) owners() (owners []*siteNode) {
	for _, n := range s.nodes {
		var reply struct {
			Owns []struct {
				Shard string `json:"shard"`
			} `json:"owns"`
		}
		if s.call(http.MethodPost, "http://"+n.peers+"/peer/v2/ping", []byte("{}"), &reply) == http.StatusOK && len(reply.Owns) > 0 {
			owners = append(owners, n)
		}
	}
	return owners
}

// disturbedBetween reports whether nodes were killed or stopped, or not ready, between two times.
func (s *siteSoak) disturbedBetween(from, until time.Time) bool {
	for _, d := range s.disturbances {
		if d.from.Before(until) && d.to.After(from) {
			return true
		}
	}
	return false
}

// check reports jobs that stalled, with what the nodes' logs say about them, and violations.
func (s *siteSoak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var teams []site.TeamExpectation
	for _, team := range s.teams {
		teams = append(teams, team.expectation)
	}
	began := time.Now()
	stalls := s.site.Stalls(site.StallCheck{Jobs: s.stallJobs, From: s.started.Add(siteSoakSettle), Until: time.Now(), Disturbed: s.disturbedBetween, Teams: teams})
	s.logf("%d of %d jobs stalled; the check took %s", len(stalls), len(s.stallJobs), time.Since(began).Round(time.Millisecond))
	for _, stall := range stalls {
		s.t.Errorf("%s; the nodes' causes: %s", stall, s.loggedCauses(stalledJob(stall)))
	}
	for _, violation := range s.site.Violations(site.Expectations{Teams: teams}) {
		s.t.Error(violation)
	}
	if len(stalls) > 0 {
		s.logLateAdvice()
	}
	for _, n := range s.nodes {
		if _, foreign := logLines(s.t, n.log.Name(), "no such line"); len(foreign) > 0 {
			s.t.Errorf("%s: %s", n.name, strings.Join(foreign, "\n"))
		}
	}
}

// logLateAdvice logs what the owners say of calls for advice that are late.
func (s *siteSoak) logLateAdvice() {
	for _, n := range s.nodes {
		lines, _ := logLines(s.t, n.log.Name(), "SB1648")
		for _, line := range lines {
			s.t.Logf("%s: %s", n.name, line)
		}
	}
}

// loggedCauses returns why a job waits according to the nodes, in the order of their logs.
func (s *siteSoak) loggedCauses(job string) string {
	var causes []string
	for _, n := range s.nodes {
		about, _ := logLines(s.t, n.log.Name(), job)
		for _, line := range about {
			var entry struct {
				Event, Job, Stalled, Cause string
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Event == "SB1647" && entry.Job == job {
				causes = append(causes, fmt.Sprintf("%s after %s at %s", entry.Cause, entry.Stalled, n.name))
			}
		}
	}
	return cmp.Or(strings.Join(causes, ", "), "none logged")
}
