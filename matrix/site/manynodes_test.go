// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cell"
)

// TestEachStartWakesAllNodes starts 120 nodes one after the other. When each start ended the wait
// of all nodes that were there, the answers grew with the square of the nodes.
func TestEachStartWakesAllNodes(t *testing.T) {
	const nodes, between = 120, 10 * time.Millisecond
	// All nodes together read at most so often while rows change all the time, and each once more
	// at its start.
	const readsPerSecond, slack = 1000, 1.25
	synctest.Test(t, func(t *testing.T) {
		env := newEnvWith(t, cellWorkers, cellWorkers, func(env *testEnv) { env.site.Configure(1, routes()...) })
		defer env.close()
		time.Sleep(2 * time.Second)
		before := env.site.Store.Reads(cell.TableCell)
		for i := cellNodes; i < nodes; i++ {
			env.startNode(fmt.Sprintf("n%d", i))
			time.Sleep(between)
		}
		time.Sleep(2 * time.Second)
		starting := (nodes - cellNodes) * between
		if reads, most := env.site.Store.Reads(cell.TableCell)-before, nodes+int(readsPerSecond*starting.Seconds()*slack); reads > most {
			t.Errorf("%d answers held rows of nodes, want %d at most", reads, most)
		}
	})
}

// TestEachNodeStaysConnectedToAll runs 120 nodes, which all ping each other at their start, for
// longer than a connection that isn't used stays open.
func TestEachNodeStaysConnectedToAll(t *testing.T) {
	const nodes, settled = 120, 40 * time.Second
	// A node pings three others each 0.7 s, is pinged as often, and keeps a connection for 15 s,
	// which is 128. The rest is for the store, the workers and their owners.
	const most = 200
	synctest.Test(t, func(t *testing.T) {
		env := newEnvWith(t, cellWorkers, cellWorkers, func(env *testEnv) { env.site.Configure(1, routes()...) })
		defer env.close()
		for i := cellNodes; i < nodes; i++ {
			env.startNode(fmt.Sprintf("n%d", i))
		}
		time.Sleep(settled)
		var open []int
		for _, n := range env.nodeNames() {
			open = append(open, env.net.Connections(n))
		}
		slices.Sort(open)
		if median := open[len(open)/2]; median > most {
			t.Errorf("the nodes have %v connections open, want %d at most in the middle", open, most)
		}
	})
}

// TestEachNodeReadsConfigurationFromStore changes the configuration among 120 nodes, of which 32
// read it from the store, while some of these are lost. It must be in force everywhere in a second.
func TestEachNodeReadsConfigurationFromStore(t *testing.T) {
	const nodes, lost = 120, 10
	// Nodes that see other nodes up may see other readers, and some follow the store for a while.
	const most = nodes / 2
	const settled, inForce = 20 * time.Second, time.Second
	synctest.Test(t, func(t *testing.T) {
		env := newEnvWith(t, cellWorkers, cellWorkers, func(env *testEnv) { env.site.Configure(1, routes()...) })
		defer env.close()
		for i := cellNodes; i < nodes; i++ {
			env.startNode(fmt.Sprintf("n%d", i))
		}
		time.Sleep(settled)
		before := env.site.Store.Reads("op")
		env.site.Configure(2, routes()...)
		time.Sleep(inForce)
		env.checkMetric("switchbank_config_version", 2)
		if reads := env.site.Store.Reads("op") - before; reads > most {
			t.Errorf("the configuration was read from the store %d times, want %d at most", reads, most)
		}
		for _, n := range env.nodeNames()[:lost] {
			env.kill(n)
		}
		env.site.Evacuate("dc")
		env.site.Configure(3, routes()...)
		time.Sleep(2 * inForce) // A node that asked a lost one notices that first.
		env.checkMetric("switchbank_data_centres_evacuated", 1)
		env.checkMetric("switchbank_config_version", 3)
	})
}

// checkMetric checks that a metric has a value on all nodes.
func (env *testEnv) checkMetric(name string, want float64) {
	env.t.Helper()
	others := 0
	for _, n := range env.nodeNames() {
		if env.metric(n, name) != want {
			others++
		}
	}
	if others > 0 {
		env.t.Errorf("%s is not %v on %d nodes", name, want, others)
	}
}
