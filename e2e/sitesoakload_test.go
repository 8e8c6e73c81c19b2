// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// The teams, of which the first ones have large limits, in thousandths of a core. All limits
	// together are half of what the workers have.
	siteSoakTeams, siteSoakLargeTeams = 20, 3
	largeTeamLimit, smallTeamLimit    = 300_000, 30_000
	// loweredLimit is the percentage of its limit that a team has while it is lowered.
	loweredLimit = 60
	// usualLoad is what a team's batches and gangs take of its limit, adviceLoad the same while they need
	// slow advice, and hotLoad how many times that much it sends while it is hot; hotDuration is for how
	// long.
	usualLoad   = 0.7
	adviceLoad  = 0.35
	hotLoad     = 4
	hotDuration = 7 * time.Second
	// teamsHotAtOnce is how many teams become hot at the same time.
	teamsHotAtOnce             = 3
	minHotPause, maxHotPause   = 8 * time.Second, 14 * time.Second
	urgentJobsPerSecond        = 5.0
	minTaskTime, maxTaskTime   = time.Second, 4 * time.Second
	minTaskMilli, maxTaskMilli = 1000, 4000
	// urgentBase is the number of a team's first urgent job.
	urgentBase = 0x10000
)

// What a call for advice costs at a site of this size, for urgent jobs and for others, and the share of the
// workers that it allows.
var (
	quickSiteAdvice = site.AdviceCost{DecideMS: 40, EachMS: 0.57, ValidMS: 2500}
	slowSiteAdvice  = site.AdviceCost{DecideMS: 494, EachMS: 7.15, ValidMS: 2500}
)

const quickSiteShare, slowSiteShare = 0.7, 0.35

// siteAdvice is the advice service of a site. The numbers of urgent jobs begin at urgentBase.
func siteAdvice() site.AdviceModel {
	isUrgent := func(job string) bool { return job[8:] >= fmt.Sprintf("%08x", urgentBase) }
	return site.AdviceModel{
		PerConnection: true,
		Cost: func(job string) site.AdviceCost {
			if isUrgent(job) {
				return quickSiteAdvice
			}
			return slowSiteAdvice
		},
		AllowedShare: func(job string) float64 {
			if isUrgent(job) {
				return quickSiteShare
			}
			return slowSiteShare
		},
	}
}

// soakTeam is a team with a limit, and the load that it sends.
type soakTeam struct {
	// number is the place of the team in the list.
	number int
	name   string
	limit  int64
	// lowered is set while the limit is lowered, and hotUntil is when the team's load is usual again.
	lowered     bool
	hotUntil    time.Time
	expectation site.TeamExpectation
}

func newSoakTeams(rng *rand.Rand) (teams []*soakTeam) {
	for i := range siteSoakTeams {
		limit := int64(smallTeamLimit)
		if i < siteSoakLargeTeams {
			limit = largeTeamLimit
		}
		limit = limit*3/4 + rng.Int64N(limit/2)
		name := fmt.Sprintf("team-%d", i)
		teams = append(teams, &soakTeam{number: i, name: name, limit: limit, expectation: site.TeamExpectation{Name: name, Jobs: make(map[string]bool)}})
	}
	return teams
}

// currentLimit returns the limit that is configured.
func (t *soakTeam) currentLimit() int64 {
	if t.lowered {
		return t.limit * loweredLimit / 100
	}
	return t.limit
}

// publishLimits publishes a version of the configuration with the limits as they are.
func (s *siteSoak) publishLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	batch := site.Route{Name: "batch", Host: "h", PathPrefix: "/batch/", Priority: 2, MaxAttempts: maxAttempts, Stretch: 2, TargetMS: 1200, Upstream: "billing"}
	urgent := batch
	urgent.Name, urgent.PathPrefix, urgent.Priority = "urgent", "/urgent/", 0
	urgent.Advice = &site.AdviceCost{DecideMS: 20, EachMS: 0.1, ValidMS: 2500}
	if s.slowAdvice {
		urgent.Advice, batch.Advice = &quickSiteAdvice, &slowSiteAdvice
	}
	var teams []site.Team
	for _, t := range s.teams {
		teams = append(teams, site.Team{Name: t.name, Keys: []string{t.name}, Weight: float64(t.limit), Limit: site.TeamLimit{CPUMilli: t.currentLimit()}})
	}
	sent := time.Now()
	s.site.ConfigureTeams(s.version, teams, urgent, batch)
	acknowledged := time.Now()
	for _, t := range s.teams {
		t.addLimitChange(sent, acknowledged)
	}
}

// addLimitChange records the limit that was configured, if it is another one. A node may use a higher
// limit as soon as it is sent, and has time for a lower one from its acknowledgement on.
func (t *soakTeam) addLimitChange(sent, acknowledged time.Time) {
	x, limit, at := &t.expectation, t.currentLimit(), acknowledged
	if n := len(x.Limits); n > 0 {
		if x.Limits[n-1].CPUMilli == limit {
			return
		}
		if limit > x.Limits[n-1].CPUMilli {
			at = sent
		}
	}
	x.Limits = append(x.Limits, site.LimitChange{At: at, CPUMilli: limit})
}

// pause waits, and reports whether the load goes on.
func (s *siteSoak) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// changeLimits repeatedly lowers the limits of some teams and raises those that were lowered.
func (s *siteSoak) changeLimits() {
	rng := newSeededRand(s.seed, 2)
	for s.pause(randomDuration(rng, minLimitPause, maxLimitPause)) {
		s.mu.Lock()
		for _, t := range s.teams {
			if rng.IntN(6) == 0 {
				t.lowered = !t.lowered
				s.logf("the limit of %s is %d", t.name, t.currentLimit())
			}
		}
		s.mu.Unlock()
		s.publishLimits()
	}
}

// makeTeamsHot repeatedly makes some teams send several times their usual load.
func (s *siteSoak) makeTeamsHot() {
	rng := newSeededRand(s.seed, 3)
	for s.pause(randomDuration(rng, minHotPause, maxHotPause)) {
		s.mu.Lock()
		for _, i := range rng.Perm(len(s.teams))[:teamsHotAtOnce] {
			s.teams[i].hotUntil = time.Now().Add(hotDuration)
			s.logf("%s sends %d times its usual load for %s", s.teams[i].name, hotLoad, hotDuration)
		}
		s.mu.Unlock()
	}
}

// teamJob is a job that a team submits.
type teamJob struct {
	queue, body string
	// load is what the job takes, in thousandths of a core times seconds.
	load float64
}

// submitFor submits the jobs of a team until the load ends: long-running tasks that take a fifth of its
// limit, and then batches, gangs and urgent jobs, at a rate that follows from what they take.
func (s *siteSoak) submitFor(t *soakTeam, rng *rand.Rand) {
	var calls sync.WaitGroup
	defer calls.Wait()
	count := max(1, int(t.limit/5/2000))
	calls.Go(func() {
		s.submitTeamJob(t, 0, teamJob{queue: "batch", body: fmt.Sprintf(`{"Spec":"100 lasting cpu=2000","Steps":[{"Count":%d,"Cpu":2000,"MemMb":100,"LongRunning":true}]}`, count)})
	})
	calls.Go(func() { s.submitUrgentFor(t, newSeededRand(rng.Uint64(), 0)) })
	for i := 1; ; i++ {
		j := drawJob(t, rng)
		calls.Go(func() { s.submitTeamJob(t, i, j) })
		s.mu.Lock()
		rate := usualLoad * float64(t.limit)
		if s.slowAdvice {
			rate = adviceLoad * float64(t.limit)
		}
		if time.Now().Before(t.hotUntil) {
			rate *= hotLoad
		}
		s.mu.Unlock()
		if !s.pause(time.Duration(rng.ExpFloat64() * j.load / rate * float64(time.Second))) {
			return
		}
	}
}

// submitUrgentFor submits the urgent jobs of a team, two steps each that need advice.
func (s *siteSoak) submitUrgentFor(t *soakTeam, rng *rand.Rand) {
	body := `{"Spec":"400 cpu=1000","Steps":[{"Count":3,"Cpu":1000,"MemMb":100,"EstimateMs":400},{"Count":3,"Cpu":1000,"MemMb":100,"EstimateMs":400,"DependsOn":[0]}]}`
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; s.pause(time.Duration(rng.ExpFloat64() * siteSoakTeams / urgentJobsPerSecond * float64(time.Second))); i++ {
		calls.Go(func() { s.submitTeamJob(t, urgentBase+i, teamJob{queue: "urgent", body: body}) })
	}
}

// drawJob draws a batch, or a gang that takes up to half of the team's limit.
func drawJob(t *soakTeam, rng *rand.Rand) teamJob {
	d := randomDuration(rng, minTaskTime, maxTaskTime)
	cpu := minTaskMilli + rng.Int64N(maxTaskMilli-minTaskMilli)
	count, gang := 2+rng.Int64N(6), rng.IntN(6) == 0
	if gang {
		count = 2 + rng.Int64N(max(1, min(24, t.limit/2/cpu)-1))
	}
	return teamJob{
		queue: "batch", load: d.Seconds() * float64(cpu*count),
		body: fmt.Sprintf(`{"Spec":"%d cpu=%d","Steps":[{"Count":%d,"Cpu":%d,"MemMb":200,"EstimateMs":%d,"Gang":%t}]}`, d.Milliseconds(), cpu, count, cpu, d.Milliseconds(), gang),
	}
}

// submitTeamJob submits the i-th job of a team to one node after the other until one accepts it, at
// most five times.
func (s *siteSoak) submitTeamJob(t *soakTeam, i int, j teamJob) {
	caller := *s.siteCell
	caller.key = t.name
	s.mu.Lock()
	id := fmt.Sprintf("%08x%08x", t.number+1, i)
	t.expectation.Jobs[id] = true
	s.mu.Unlock()
	for k := range 5 {
		n := s.nodes[(i*7+k*11+t.number)%len(s.nodes)]
		if caller.status(http.MethodPost, "http://"+n.callers+"/"+j.queue+"/"+id, []byte(j.body)) == http.StatusOK {
			described, err := site.ParseStallJob(id, j.body, j.queue == "urgent" || s.slowAdvice, maxAttempts)
			if err != nil {
				s.t.Error(err)
				return
			}
			s.mu.Lock()
			s.stallJobs = append(s.stallJobs, described)
			s.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
