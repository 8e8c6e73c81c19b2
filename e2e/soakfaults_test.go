// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/standin/site"
)

// injectFault starts a random fault.
func (s *soak) injectFault() {
	kinds := []func(){s.injectProcessFault, s.injectProcessFault, s.injectLinkFault, s.injectLinkFault, s.injectStoreFault, s.injectWorkerFault, s.publishConfig}
	kinds[s.rng.IntN(len(kinds))]()
}

// injectProcessFault kills, pauses or stops a random node, or sends it a hangup signal.
func (s *soak) injectProcessFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(4) {
	case 0:
		s.runFault(n.name, "killed", func() { s.killNode(n) }, func() { s.startNode(n) })
	case 1:
		s.runFault(n.name, "paused", func() { s.signal(n, syscall.SIGSTOP) }, func() { s.signal(n, syscall.SIGCONT) })
	case 2:
		s.runFault(n.name, "stopped as planned", func() { s.signal(n, syscall.SIGTERM) }, func() {
			_ = n.cmd.Wait()
			s.startNode(n)
		})
	default:
		s.runFault(n.name, "gets SIGHUP", func() { s.signal(n, syscall.SIGHUP) }, func() {})
	}
}

// injectLinkFault delays, holds back or resets the connections of a random link.
func (s *soak) injectLinkFault() {
	var address, target string
	switch k := s.rng.IntN(soakNodes*2 + soakWorkers); {
	case k < soakNodes:
		address, target = s.nodes[k].storeAddress, s.nodes[k].name+" to the store"
	case k < soakNodes*2:
		address, target = s.nodes[k-soakNodes].advertisedPeers, "others to "+s.nodes[k-soakNodes].name
	default:
		s.mu.Lock()
		address = s.workers[k-soakNodes*2].Address
		s.mu.Unlock()
		target = fmt.Sprintf("to worker %d", k-soakNodes*2)
	}
	states := []linkState{{delay: 50 * time.Millisecond}, {holdIn: true}, {holdOut: true}, {holdIn: true, holdOut: true}, {reset: true}}
	state := states[s.rng.IntN(len(states))]
	k := s.links[address]
	var from time.Time
	s.runFault(target, fmt.Sprintf("%+v", state), func() {
		from = time.Now()
		k.setState(state)
	}, func() {
		k.setState(linkState{})
		s.mu.Lock()
		s.linkFaults[address] = append(s.linkFaults[address], faultInterval{from, time.Now()})
		s.mu.Unlock()
	})
}

// The pause between two silences. Silences and the other repeated faults each have their own
// sequence of random numbers, so that failed seeds inject the same faults as when they failed.
const minSilencePause, maxSilencePause = 2 * time.Second, 9 * time.Second

// sample returns each element of a list with a chance of one in oneIn.
func sample(rng *rand.Rand, list []string, oneIn int) []string {
	var sampled []string
	for _, x := range list {
		if rng.IntN(oneIn) == 0 {
			sampled = append(sampled, x)
		}
	}
	return sampled
}

// silenceLinks repeatedly silences the open connections of some or all links.
func (s *soak) silenceLinks() {
	rng := rand.New(rand.NewPCG(s.seed, ^s.seed)) //nolint:gosec // A seed must give the same faults.
	addresses := slices.Sorted(maps.Keys(s.links))
	for {
		time.Sleep(randomDuration(rng, minSilencePause, maxSilencePause))
		// All links, or on average every second or third.
		oneIn := rng.IntN(3) + 1
		if time.Since(s.started) > soakDuration {
			return
		}
		silenced := sample(rng, addresses, oneIn)
		for _, address := range silenced {
			s.links[address].silence()
		}
		s.t.Logf("%6.2f s: the open connections of %d of %d links go silent", time.Since(s.started).Seconds(), len(silenced), len(addresses))
	}
}

// The duration of an outage of parts of the store, and the pause between two outages.
const (
	minPartOutage, maxPartOutage           = time.Second, 4 * time.Second
	minPartOutagePause, maxPartOutagePause = 3 * time.Second, 10 * time.Second
)

// storeParts returns the parts of the store: those of the jobs, that of the owners' rows
// (""), and those of the shards' progress.
func storeParts() []string {
	parts := append(owner.JobParts(), "")
	for i := range soakWorkers / soakWorkersPerShard {
		parts = append(parts, owner.ProgressPart(cluster.ShardID{Service: "billing", Index: i}))
	}
	return parts
}

// interruptStoreParts repeatedly makes a random selection of the store's parts unavailable.
func (s *soak) interruptStoreParts() {
	rng := rand.New(rand.NewPCG(^s.seed, s.seed)) //nolint:gosec // A seed must give the same faults.
	parts := storeParts()
	for {
		time.Sleep(randomDuration(rng, minPartOutagePause, maxPartOutagePause))
		oneIn := rng.IntN(3) + 2
		unavailable := sample(rng, parts, oneIn)
		d := randomDuration(rng, minPartOutage, maxPartOutage)
		if time.Since(s.started)+d > soakDuration {
			return
		}
		s.t.Logf("%6.2f s: %d of %d parts of the store unavailable for %s, that of the owners' rows: %v",
			time.Since(s.started).Seconds(), len(unavailable), len(parts), d, slices.Contains(unavailable, ""))
		s.site.Store.SetUnavailableParts(unavailable...)
		time.Sleep(d)
		s.site.Store.SetUnavailableParts()
	}
}

// injectStoreFault makes the store fail in a random way.
func (s *soak) injectStoreFault() {
	faults := []site.StoreFaults{
		{Down: true}, {Down: true, Busy: true}, {Delay: 200 * time.Millisecond}, {LoseReplies: 8}, {Late: 8, LateBy: 3 * time.Second}, {NoHistory: true},
	}
	f := faults[s.rng.IntN(len(faults))]
	s.runFault("store", fmt.Sprintf("%+v", f), func() { s.site.Store.SetFaults(f) }, func() { s.site.Store.SetFaults(site.StoreFaults{}) })
}

// injectWorkerFault restarts, drains, stalls or delays a random worker.
func (s *soak) injectWorkerFault() {
	i := s.rng.IntN(soakWorkers)
	s.mu.Lock()
	w := s.workers[i]
	s.mu.Unlock()
	target := fmt.Sprintf("worker %d", i)
	restart := func() {
		w.Crash()
		next := s.site.Restart(w)
		s.mu.Lock()
		s.workers[i], s.workerAddresses[next.ID] = next, next.Address
		s.mu.Unlock()
	}
	clearFaults := func() { w.SetFaults(site.WorkerFaults{}) }
	switch s.rng.IntN(4) {
	case 0:
		if w.ReportsStartTime() {
			s.runFault(target, "restarts repeatedly", func() { s.restartRepeatedly(i) }, func() {})
			return
		}
		s.runFault(target, "crashes", w.Crash, restart)
	case 1:
		s.runFault(target, "drains and leaves", w.Drain, restart)
	case 2:
		s.runFault(target, "is stuck", func() { w.SetFaults(site.WorkerFaults{Stuck: true}) }, clearFaults)
	default:
		s.runFault(target, "carries out orders late", func() { w.SetFaults(site.WorkerFaults{Late: 3, LateBy: 3 * time.Second}) }, clearFaults)
	}
}

// restartRepeatedly crashes a worker and restarts it under its ID within milliseconds, up to
// three times in a row. Each time, the clock of its host jumps by up to 3 s.
func (s *soak) restartRepeatedly(i int) {
	const maxPauseMS = 30
	for range 1 + s.rng.IntN(3) {
		s.mu.Lock()
		w := s.workers[i]
		s.mu.Unlock()
		pause, clockStep := time.Duration(s.rng.IntN(maxPauseMS))*time.Millisecond, time.Duration(s.rng.IntN(7)-3)*time.Second
		s.t.Logf("%6.2f s: worker %d restarts after %s, its clock changed by %s", time.Since(s.started).Seconds(), i, pause, clockStep)
		w.Crash()
		time.Sleep(pause)
		next := s.site.RestartSameID(w, clockStep)
		s.mu.Lock()
		s.workers[i] = next
		s.mu.Unlock()
	}
}

// publishConfig publishes the next version of the configuration.
func (s *soak) publishConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	route := site.Route{Name: "batch", Host: "h", PathPrefix: "/batch/", Priority: 2, MaxAttempts: 3, Stretch: 2, TargetMS: 1200, Upstream: "billing"}
	urgent := route
	urgent.Name, urgent.PathPrefix, urgent.Priority = "urgent", "/urgent/", 0
	urgent.Advice = &site.AdviceCost{DecideMS: 20, EachMS: 0.1, ValidMS: 2500}
	extra := route
	extra.Name, extra.PathPrefix = fmt.Sprintf("extra%d", s.version), fmt.Sprintf("/extra%d/", s.version)
	routes := []site.Route{urgent, route, extra}
	for i := range s.extraRoutes {
		routes = append(routes, site.Route{Name: fmt.Sprintf("more%d", i), Host: "another", PathPrefix: fmt.Sprintf("/more%d/", i), MaxAttempts: 3, Stretch: 2, Upstream: "billing", Advice: urgent.Advice})
	}
	teams := s.teams()
	s.site.ConfigureTeams(s.version, teams, routes...)
	if len(teams) > 0 {
		s.limitChanges = append(s.limitChanges, site.LimitChange{At: time.Now(), CPUMilli: teams[0].Limit.CPUMilli})
	}
}

// The pause between two extensions of the configuration, and the routes that each one adds.
const (
	minGrowPause, maxGrowPause = 2 * time.Second, 6 * time.Second
	routesPerGrowth            = 700
)

// growConfig repeatedly adds many routes to the configuration.
func (s *soak) growConfig() {
	rng := rand.New(rand.NewPCG(^s.seed, ^s.seed)) //nolint:gosec // A seed must give the same faults.
	for {
		time.Sleep(randomDuration(rng, minGrowPause, maxGrowPause))
		if time.Since(s.started) > soakDuration {
			return
		}
		s.mu.Lock()
		s.extraRoutes += routesPerGrowth
		s.mu.Unlock()
		s.publishConfig()
	}
}

// The pause between two times at which another writer corrupts entries of the directory.
const minCorruptPause, maxCorruptPause = 500 * time.Millisecond, 4 * time.Second

// corruptEntries simulates another writer that corrupts entries of the directory.
func (s *soak) corruptEntries() {
	rng := rand.New(rand.NewPCG(s.seed, s.seed+1)) //nolint:gosec // A seed must give the same faults.
	for {
		time.Sleep(randomDuration(rng, minCorruptPause, maxCorruptPause))
		if time.Since(s.started) > soakDuration {
			return
		}
		s.site.CorruptSomeEntries(rng)
	}
}

// checkConfig checks that the last configuration comes into force on each node, and that no
// node still serves a route that it removed.
func (s *soak) checkConfig() {
	s.publishConfig()
	s.checkKeys()
	path := func(version int64) string { return fmt.Sprintf("/extra%d/", version) }
	for _, n := range s.nodes {
		s.waitUntil(n.name+" has the last configuration", func() bool {
			return s.status(http.MethodGet, "http://"+n.callers+path(s.version), nil) == http.StatusOK
		})
		if status := s.status(http.MethodGet, "http://"+n.callers+path(s.version-1), nil); status != http.StatusNotFound {
			s.t.Errorf("%s answers %d for a route that was removed, want %d", n.name, status, http.StatusNotFound)
		}
	}
}

// runFault starts a fault and ends it after a random duration. It does nothing if a fault is
// already active on the target.
func (s *soak) runFault(target, fault string, begin, end func()) {
	d := s.randomDuration(minFaultDuration, maxFaultDuration)
	s.mu.Lock()
	active := s.faultActive[target]
	s.faultActive[target] = true
	s.mu.Unlock()
	if active {
		return
	}
	s.t.Logf("%6.2f s: %s: %s for %s", time.Since(s.started).Seconds(), target, fault, d.Round(time.Millisecond))
	begin()
	s.faults.Go(func() {
		time.Sleep(d)
		end()
		s.mu.Lock()
		s.faultActive[target] = false
		s.mu.Unlock()
	})
}

// faultInterval is an interval in which a link had a fault.
type faultInterval struct{ from, to time.Time }

// linkFaultSlack is how long after the end of a link's fault a worker may still read old orders.
const linkFaultSlack = time.Second

// ordersDelayed reports whether a link's fault may have delayed the orders that a worker read
// at the given time.
func (s *soak) ordersDelayed(worker string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.linkFaults[s.workerAddresses[worker]] {
		if at.After(h.from) && at.Before(h.to.Add(linkFaultSlack)) {
			return true
		}
	}
	return false
}
