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
	// slowLinkRate is a link of 10 Mbit/s, in bytes a second, and slowNodes is how many
	// nodes have one, beside cellNodes with fast links.
	slowLinkRate = 1_250_000
	slowNodes    = 9
	// extraRoutes is by how many routes a large change makes the configuration longer:
	// on the wire a route takes some 250 bytes.
	extraRoutes = 1400
	// maxPeerBytes is what a node may receive, in bytes, that has four versions of up to
	// 4,203 routes from its peers: twice of what it does.
	maxPeerBytes = 600_000
	// appliedWithin is by when a confirmed configuration has to be in force on all nodes.
	appliedWithin = 3 * time.Second
)

// newSlowLinkEnv returns a world in which most nodes have slow links.
func newSlowLinkEnv(t *testing.T) *testEnv {
	w := newEnv(t)
	for i := range slowNodes {
		name := fmt.Sprintf("s%d", i)
		w.net.SetBandwidth(name, slowLinkRate)
		w.startNode(name)
	}
	return w
}

// manyRoutes are the usual routes, n others and one with a prefix that each version has for itself.
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

// configure writes a version with n routes more, waits until inForceWithin is over and
// checks that each node serves the version's own route, and no more that of the one before.
func (w *testEnv) configure(version int64, n int) {
	w.t.Helper()
	w.site.Configure(version, manyRoutes(version, n)...)
	time.Sleep(appliedWithin)
	for _, node := range w.nodeNames() {
		if status, _ := w.call(node, http.MethodGet, fmt.Sprintf("/only-%d/", version), ""); status != http.StatusOK {
			w.t.Errorf("%s after version %d was written, %s answers %d for its new route, want %d", appliedWithin, version, node, status, http.StatusOK)
		}
		if status, _ := w.call(node, http.MethodGet, fmt.Sprintf("/only-%d/", version-1), ""); status != http.StatusNotFound {
			w.t.Errorf("%s after version %d was written, %s answers %d for a removed route, want %d", appliedWithin, version, node, status, http.StatusNotFound)
		}
	}
}

// TestLargeConfigurationsOnSlowLinks lets the configuration grow from 3 to 2,803 routes
// on nodes of which most have links of 10 Mbit/s, and checks that each version is in
// force everywhere within 3 s.
//
// Versions of 2,845 routes were in force within 0.15 s on nodes with fast links, and
// came up to 16 s late, or not at all, on those with slow ones: a removed route was
// served all the while. Such a version takes 0.6 s on an empty link of 10 Mbit/s, but a
// fetch from a peer was given up after 0.3 s, and a read of the store after 0.2 s if
// another call was answered meanwhile. Each try began anew, several at a time, beside
// the whole table once a second though nothing had changed; so the links were full of
// answers that were thrown away before their end:
//
//	SB1722 answer broke off  url=/peer/v2/config  bytes=36752 took=102.282035ms   (2,557 times, 238 MB)
//	SB1722 answer broke off  url=/api/rows-get?part=&table=op                     (393 times, 191 MB)
//	SB1710 configuration in force  source="store feed" bytes=802745 behind=18.511882381s
func TestLargeConfigurationsOnSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSlowLinkEnv(t)
		defer w.close()
		time.Sleep(4 * time.Second)
		w.configure(2, extraRoutes)
		w.configure(3, extraRoutes)
		w.configure(4, 2*extraRoutes)
		w.configure(5, 2*extraRoutes)
	})
}

// TestLargeConfigurationsFromPeers lets the configuration grow while the store turns
// four of the nodes with slow links away, and checks that they have each version from
// the others as soon as those.
//
// Each sign of life of a node with a newer version began one more fetch from it, beside
// those that were open, and the feed of the operators' table went through a third node,
// whose link the whole row then passed twice. For four versions a node that was turned
// away received 26 MB and had none of the last two in time. With one fetch at a time,
// packed, and no feed by way of others it receives 0.3 MB.
func TestLargeConfigurationsFromPeers(t *testing.T) {
	const versions = 6
	synctest.Test(t, func(t *testing.T) {
		w := newSlowLinkEnv(t)
		defer w.close()
		time.Sleep(4 * time.Second)
		w.configure(2, extraRoutes)
		w.site.Store.SetFaults(site.StoreFaults{Deny: []string{"s0", "s1", "s2", "s3"}})
		time.Sleep(time.Second)
		before := w.net.ReceivedBytes("s0")
		w.configure(3, 2*extraRoutes)
		w.configure(4, 2*extraRoutes)
		w.configure(5, 3*extraRoutes)
		w.configure(versions, 3*extraRoutes)
		// Side by side there are two or three for each version.
		if got := w.metric("s0", `switchbank_config_fetches_total{outcome="read"}`); got > versions {
			t.Errorf("s0 fetched a configuration %v times, want %d at most", got, versions)
		}
		if got := w.net.ReceivedBytes("s0") - before; got > maxPeerBytes {
			t.Errorf("s0 received %d bytes, want at most %d", got, maxPeerBytes)
		}
	})
}

// TestUnchangedConfigurationIsNotReread checks that a configuration of 1,403 routes
// that doesn't change isn't read again and again: it was listed each second, which made
// 465 kB a second on each node, and 14 without.
func TestUnchangedConfigurationIsNotReread(t *testing.T) {
	const (
		seconds = 20
		// maxRate is what a node without a shard may receive, in bytes a second: the
		// target for all that a node does for control.
		maxRate = 18_000
	)
	synctest.Test(t, func(t *testing.T) {
		w := newSlowLinkEnv(t)
		defer w.close()
		time.Sleep(4 * time.Second)
		w.configure(2, extraRoutes)
		before := w.net.ReceivedBytes("s0")
		time.Sleep(seconds * time.Second)
		rate := (w.net.ReceivedBytes("s0") - before) / seconds
		t.Logf("%d bytes a second", rate)
		if rate > maxRate {
			t.Errorf("a node receives %d bytes a second while nothing changes, want at most %d", rate, maxRate)
		}
	})
}
