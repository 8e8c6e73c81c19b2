// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/standin/site"
)

const (
	// slowLinkRate is the bandwidth of a 10 Mbit/s link in bytes a second, and slowNodes is the
	// number of nodes that have one, beside cellNodes nodes with fast links.
	slowLinkRate = 1_250_000
	slowNodes    = 9
	// extraRoutes is the number of routes by which a large change extends the configuration; a
	// route takes some 250 bytes on the wire.
	extraRoutes = 1400
	// maxPeerBytes is how many bytes a node may receive for four versions of up to 4,203 routes
	// from its peers: twice what it needs.
	maxPeerBytes = 600_000
	// appliedWithin is the time in which a confirmed configuration must be in force on all nodes.
	appliedWithin = 3 * time.Second
)

// newSlowLinkEnv returns an environment in which most nodes have slow links.
func newSlowLinkEnv(t *testing.T) *testEnv {
	env := newEnv(t)
	for i := range slowNodes {
		name := fmt.Sprintf("s%d", i)
		env.net.SetBandwidth(name, slowLinkRate)
		env.startNode(name)
	}
	return env
}

// manyRoutes returns the usual routes, n more, and one with a prefix that only this version has.
func manyRoutes(version int64, n int) []site.Route {
	list := append(routes(), site.Route{Name: fmt.Sprint("only-", version), Host: "h", PathPrefix: fmt.Sprintf("/only-%d/", version), Upstream: service})
	for i := range n {
		list = append(list, site.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: "another.example", PathPrefix: fmt.Sprintf("/%07x/", i*7919), Priority: 2,
			MaxAttempts: 3, Stretch: 1.5, TargetMS: 1200, Upstream: service, Advice: &site.AdviceCost{DecideMS: 20.125, EachMS: 0.15, ValidMS: 2500},
		})
	}
	return list
}

// configure writes a version with n additional routes, waits for appliedWithin, and checks that
// each node serves the version's own route but not that of the version before.
func (env *testEnv) configure(version int64, n int) {
	env.t.Helper()
	env.site.Configure(version, manyRoutes(version, n)...)
	time.Sleep(appliedWithin)
	for _, node := range env.nodeNames() {
		if status, _ := env.call(node, http.MethodGet, fmt.Sprintf("/only-%d/", version), ""); status != http.StatusOK {
			env.t.Errorf("%s after version %d was written, %s answers %d for its new route, want %d", appliedWithin, version, node, status, http.StatusOK)
		}
		if status, _ := env.call(node, http.MethodGet, fmt.Sprintf("/only-%d/", version-1), ""); status != http.StatusNotFound {
			env.t.Errorf("%s after version %d was written, %s answers %d for a removed route, want %d", appliedWithin, version, node, status, http.StatusNotFound)
		}
	}
}

// TestLargeConfigurationsOnSlowLinks extends the configuration from 3 to 2,803 routes on nodes most
// of which have links of 10 Mbit/s, and checks that each version is in force on all nodes within 3
// s.
//
// It guards against transfers that are abandoned and retried until they fill the link. A version of
// 2,845 routes takes 0.6 s on an idle link of 10 Mbit/s, but a fetch from a peer was abandoned
// after 0.3 s, and a read of the store after 0.2 s if another call got its response meanwhile.
// Several retries ran at a time, beside a read of the whole table every second though nothing had
// changed. On slow links a version was in force up to 16 s late, or never, so that a removed route
// was still served; on fast links it took 0.15 s.
func TestLargeConfigurationsOnSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newSlowLinkEnv(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		env.configure(2, extraRoutes)
		env.configure(3, extraRoutes)
		env.configure(4, 2*extraRoutes)
		env.configure(5, 2*extraRoutes)
	})
}

// TestLargeConfigurationsFromPeers extends the configuration while the store rejects four of the
// nodes with slow links, and checks that they get each version from their peers as soon as the
// others have it.
//
// It guards against redundant transfers: each ping of a peer with a newer version started another
// fetch beside those in progress, and the feed of the operators' table was relayed by a third node,
// whose link the whole row passed twice. For four versions a rejected node received 26 MB, and it
// got none of the last two in time. With one compressed fetch at a time and no relayed feed it
// receives 0.3 MB.
func TestLargeConfigurationsFromPeers(t *testing.T) {
	const versions = 6
	synctest.Test(t, func(t *testing.T) {
		env := newSlowLinkEnv(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		env.configure(2, extraRoutes)
		env.site.Store.SetFaults(site.StoreFaults{Deny: []string{"s0", "s1", "s2", "s3"}})
		time.Sleep(time.Second)
		before := env.net.ReceivedBytes("s0")
		env.configure(3, 2*extraRoutes)
		env.configure(4, 2*extraRoutes)
		env.configure(5, 3*extraRoutes)
		env.configure(versions, 3*extraRoutes)
		// Concurrent fetches would make it two or three for each version.
		if got := env.metric("s0", `switchbank_config_fetches_total{outcome="read"}`); got > versions {
			t.Errorf("s0 fetched a configuration %v times, want %d at most", got, versions)
		}
		if got := env.net.ReceivedBytes("s0") - before; got > maxPeerBytes {
			t.Errorf("s0 received %d bytes, want at most %d", got, maxPeerBytes)
		}
	})
}

// TestUnchangedConfigurationIsNotReread checks that a configuration of 1,403 routes isn't read
// again while it is unchanged. Listing it every second cost each node 465 kB a second, compared
// with 14 kB without.
func TestUnchangedConfigurationIsNotReread(t *testing.T) {
	const (
		seconds = 20
		// maxRate is how many bytes a second a node without a shard may receive: the target for all
		// control traffic of a node.
		maxRate = 18_000
	)
	synctest.Test(t, func(t *testing.T) {
		env := newSlowLinkEnv(t)
		defer env.close()
		time.Sleep(4 * time.Second)
		env.configure(2, extraRoutes)
		before := env.net.ReceivedBytes("s0")
		time.Sleep(seconds * time.Second)
		rate := (env.net.ReceivedBytes("s0") - before) / seconds
		t.Logf("%d bytes a second", rate)
		if rate > maxRate {
			t.Errorf("a node receives %d bytes a second while nothing changes, want at most %d", rate, maxRate)
		}
	})
}
