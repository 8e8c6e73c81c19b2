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

// strike begins one fault, drawn at random.
func (s *soak) strike() {
	kinds := []func(){s.strikeProcess, s.strikeProcess, s.strikeLink, s.strikeLink, s.strikeStore, s.strikeWorker, s.configure}
	kinds[s.rng.IntN(len(kinds))]()
}

func (s *soak) strikeProcess() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(4) {
	case 0:
		s.during(n.name, "killed", func() { s.kill(n) }, func() { s.start(n) })
	case 1:
		s.during(n.name, "paused", func() { s.signal(n, syscall.SIGSTOP) }, func() { s.signal(n, syscall.SIGCONT) })
	case 2:
		s.during(n.name, "stopped as planned", func() { s.signal(n, syscall.SIGTERM) }, func() {
			_ = n.cmd.Wait()
			s.start(n)
		})
	default:
		s.during(n.name, "hung up", func() { s.signal(n, syscall.SIGHUP) }, func() {})
	}
}

func (s *soak) strikeLink() {
	var at, what string
	switch k := s.rng.IntN(soakNodes*2 + soakWorkers); {
	case k < soakNodes:
		at, what = s.nodes[k].store, s.nodes[k].name+" to the store"
	case k < soakNodes*2:
		at, what = s.nodes[k-soakNodes].peersAt, "others to "+s.nodes[k-soakNodes].name
	default:
		s.mu.Lock()
		at = s.workers[k-soakNodes*2].Address
		s.mu.Unlock()
		what = fmt.Sprintf("to worker %d", k-soakNodes*2)
	}
	states := []linkState{{delay: 50 * time.Millisecond}, {holdIn: true}, {holdOut: true}, {holdIn: true, holdOut: true}, {reset: true}}
	state := states[s.rng.IntN(len(states))]
	k := s.links[at]
	var from time.Time
	s.during(what, fmt.Sprintf("%+v", state), func() {
		from = time.Now()
		k.set(state)
	}, func() {
		k.set(linkState{})
		s.mu.Lock()
		s.held[at] = append(s.held[at], heldTime{from, time.Now()})
		s.mu.Unlock()
	})
}

// The pause between two silences, which have random numbers of their own: so the
// seeds that are kept go on playing what they played when they failed.
const silenceLeast, silenceMost = 2 * time.Second, 9 * time.Second

// draw returns one in so many of a list, on average.
func draw(rng *rand.Rand, list []string, oneIn int) []string {
	var drawn []string
	for _, x := range list {
		if rng.IntN(oneIn) == 0 {
			drawn = append(drawn, x)
		}
	}
	return drawn
}

// silences lets the open connections of some or all links go silent now and then.
func (s *soak) silences() {
	rng := rand.New(rand.NewPCG(s.seed, ^s.seed)) //nolint:gosec // A seed must give the same play.
	addresses := slices.Sorted(maps.Keys(s.links))
	for {
		time.Sleep(between(rng, silenceLeast, silenceMost))
		// All links, or one in two or three.
		oneIn := rng.IntN(3) + 1
		if time.Since(s.began) > soakTime {
			return
		}
		silenced := draw(rng, addresses, oneIn)
		for _, at := range silenced {
			s.links[at].silence()
		}
		s.t.Logf("%6.2f s: the open connections of %d of %d links go silent", time.Since(s.began).Seconds(), len(silenced), len(addresses))
	}
}

// How long parts of the store are away, and the pause between two such times, which
// have random numbers of their own as well.
const (
	awayLeast, awayMost           = time.Second, 4 * time.Second
	awayPauseLeast, awayPauseMost = 3 * time.Second, 10 * time.Second
)

// storeParts returns the parts of the jobs, of the owners' rows and of the shards' progress.
func storeParts() []string {
	parts := append(owner.JobParts("billing"), "")
	for i := range soakWorkers / soakShard {
		parts = append(parts, owner.ProgressPart(cluster.ShardID{Service: "billing", Index: i}))
	}
	return parts
}

// partsAway takes a random share of the store's parts away now and then: of those of
// the jobs, of the shards' progress, and at times the one of the owners' rows.
func (s *soak) partsAway() {
	rng := rand.New(rand.NewPCG(^s.seed, s.seed)) //nolint:gosec // A seed must give the same play.
	parts := storeParts()
	for {
		time.Sleep(between(rng, awayPauseLeast, awayPauseMost))
		oneIn := rng.IntN(3) + 2
		away := draw(rng, parts, oneIn)
		d := between(rng, awayLeast, awayMost)
		if time.Since(s.began)+d > soakTime {
			return
		}
		s.t.Logf("%6.2f s: %d of %d parts of the store are away for %s, that of the owners' rows: %v",
			time.Since(s.began).Seconds(), len(away), len(parts), d, slices.Contains(away, ""))
		s.site.Store.SetUnavailableParts(away...)
		time.Sleep(d)
		s.site.Store.SetUnavailableParts()
	}
}

func (s *soak) strikeStore() {
	faults := []site.StoreFaults{
		{Down: true}, {Down: true, Busy: true}, {Delay: 200 * time.Millisecond}, {LoseReplies: 8}, {Late: 8, LateBy: 3 * time.Second}, {NoHistory: true},
	}
	f := faults[s.rng.IntN(len(faults))]
	s.during("store", fmt.Sprintf("%+v", f), func() { s.site.Store.SetFaults(f) }, func() { s.site.Store.SetFaults(site.StoreFaults{}) })
}

func (s *soak) strikeWorker() {
	i := s.rng.IntN(soakWorkers)
	s.mu.Lock()
	w := s.workers[i]
	s.mu.Unlock()
	thing := fmt.Sprintf("worker %d", i)
	restart := func() {
		w.Crash()
		next := s.site.Restart(w)
		s.mu.Lock()
		s.workers[i], s.addresses[next.ID] = next, next.Address
		s.mu.Unlock()
	}
	calm := func() { w.SetFaults(site.WorkerFaults{}) }
	switch s.rng.IntN(4) {
	case 0:
		if w.ReportsStartTime() {
			s.during(thing, "starts again in series", func() { s.startAgain(i) }, func() {})
			return
		}
		s.during(thing, "crashes", w.Crash, restart)
	case 1:
		s.during(thing, "drains and leaves", w.Drain, restart)
	case 2:
		s.during(thing, "stands still", func() { w.SetFaults(site.WorkerFaults{Stuck: true}) }, calm)
	default:
		s.during(thing, "carries out late", func() { w.SetFaults(site.WorkerFaults{Late: 3, LateBy: 3 * time.Second}) }, calm)
	}
}

// startAgain lets a worker crash and start again under its ID within milliseconds, a few
// times in a row; its host's clock steps meanwhile.
func (s *soak) startAgain(i int) {
	const most = 30 // milliseconds
	for range 1 + s.rng.IntN(3) {
		s.mu.Lock()
		w := s.workers[i]
		s.mu.Unlock()
		pause, clockSet := time.Duration(s.rng.IntN(most))*time.Millisecond, time.Duration(s.rng.IntN(7)-3)*time.Second
		s.t.Logf("%6.2f s: worker %d starts again after %s, its clock set by %s", time.Since(s.began).Seconds(), i, pause, clockSet)
		w.Crash()
		time.Sleep(pause)
		next := s.site.RestartSameID(w, clockSet)
		s.mu.Lock()
		s.workers[i] = next
		s.mu.Unlock()
	}
}

// configure puts the next version of the configuration in force.
func (s *soak) configure() {
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
	for i := range s.more {
		routes = append(routes, site.Route{Name: fmt.Sprintf("more%d", i), Host: "another", PathPrefix: fmt.Sprintf("/more%d/", i), MaxAttempts: 3, Stretch: 2, Upstream: "billing", Advice: urgent.Advice})
	}
	s.site.Configure(s.version, routes...)
}

// The pause between two times at which the configuration grows, and by how many routes.
const (
	growLeast, growMost = 2 * time.Second, 6 * time.Second
	growBy              = 700
)

// growConfig lets the configuration grow by many routes now and then.
func (s *soak) growConfig() {
	rng := rand.New(rand.NewPCG(^s.seed, ^s.seed)) //nolint:gosec // A seed must give the same play.
	for {
		time.Sleep(between(rng, growLeast, growMost))
		if time.Since(s.began) > soakTime {
			return
		}
		s.mu.Lock()
		s.more += growBy
		s.mu.Unlock()
		s.configure()
	}
}

// The pause between two times at which another writer spoils entries of the directory.
const spoilLeast, spoilMost = 500 * time.Millisecond, 4 * time.Second

// spoilEntries is another writer of the directory.
func (s *soak) spoilEntries() {
	rng := rand.New(rand.NewPCG(s.seed, s.seed+1)) //nolint:gosec // A seed must give the same play.
	for {
		time.Sleep(between(rng, spoilLeast, spoilMost))
		if time.Since(s.began) > soakTime {
			return
		}
		s.site.CorruptSomeEntries(rng)
	}
}

// checkConfig checks that the last configuration comes into force on each node, and that
// none goes back to an earlier one.
func (s *soak) checkConfig() {
	s.configure()
	path := func(version int64) string { return fmt.Sprintf("/extra%d/", version) }
	for _, n := range s.nodes {
		s.until(n.name+" has the last configuration", func() bool {
			return s.status(http.MethodGet, "http://"+n.callers+path(s.version), nil) == http.StatusOK
		})
		if status := s.status(http.MethodGet, "http://"+n.callers+path(s.version-1), nil); status != http.StatusNotFound {
			s.t.Errorf("%s answers %d for a route that was removed, want %d", n.name, status, http.StatusNotFound)
		}
	}
}

// during lets a fault last for a while, unless the thing has one already.
func (s *soak) during(thing, what string, begin, end func()) {
	d := s.between(faultLeast, faultMost)
	s.mu.Lock()
	taken := s.busy[thing]
	s.busy[thing] = true
	s.mu.Unlock()
	if taken {
		return
	}
	s.t.Logf("%6.2f s: %s: %s for %s", time.Since(s.began).Seconds(), thing, what, d.Round(time.Millisecond))
	begin()
	s.faults.Go(func() {
		time.Sleep(d)
		end()
		s.mu.Lock()
		s.busy[thing] = false
		s.mu.Unlock()
	})
}

// heldTime is a time in which a link was held up.
type heldTime struct{ from, to time.Time }

// heldSlack is how long after its link is mended a worker may still read old orders.
const heldSlack = time.Second

// heldUp reports whether orders that a worker read at a time may have been held up.
func (s *soak) heldUp(worker string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.held[s.addresses[worker]] {
		if at.After(h.from) && at.Before(h.to.Add(heldSlack)) {
			return true
		}
	}
	return false
}
