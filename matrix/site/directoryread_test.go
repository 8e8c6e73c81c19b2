// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/standin/site"
)

// announceInterval is how often a stand-in worker announces itself.
const announceInterval = 1500 * time.Millisecond

// TestOwnersReadWhatConcernsOtherShards has 15 shards, whose owners each read the announcements
// of all workers, and listed all machines, when no node did so for all of them.
func TestOwnersReadWhatConcernsOtherShards(t *testing.T) {
	const shards, workersOfShard, readers = 15, 2, 2
	const settled, measured = 5 * time.Second, 30 * time.Second
	const listInterval = 200 * time.Millisecond // for which a list of machines is handed on
	// A reader reads each announcement once, and lists the directory each 5 s.
	const relistInterval = 5 * time.Second
	const reads = int(measured/announceInterval) + 1 + int(measured/relistInterval) + 1
	synctest.Test(t, func(t *testing.T) {
		env := newEnvWith(t, shards*workersOfShard, workersOfShard, func(env *testEnv) { env.site.Configure(1, routes()...) })
		defer env.close()
		time.Sleep(settled)
		before, listed := env.site.Store.RowsRead("servers"), env.site.MachineLists()
		time.Sleep(measured)
		read := env.site.Store.RowsRead("servers") - before
		if most := readers * reads * shards * workersOfShard; read > most {
			t.Errorf("%d rows of %d workers were read, want %d at most", read, shards*workersOfShard, most)
		}
		if lists, most := env.site.MachineLists()-listed, readers*int(measured/listInterval); lists > most {
			t.Errorf("the machines were listed %d times, want %d at most", lists, most)
		}
	})
}

// nodesWithoutShards returns the nodes that own no shard.
func (env *testEnv) nodesWithoutShards(shards int) (names []string) {
	names = env.nodeNames()
	for i := range shards {
		owner := env.ownerRow(cluster.ShardID{Service: service, Index: i}).Owner.Name
		names = slices.DeleteFunc(names, func(n string) bool { return n == owner })
	}
	return names
}

// TestStartOnDrainingWorkerWithoutReader has a worker drain, and another one leave without
// notice, while the node that reads the directory for the owners fails.
func TestStartOnDrainingWorkerWithoutReader(t *testing.T) {
	const shards = 2
	failures := []struct {
		name string
		fail func(env *testEnv, reader string)
	}{
		{"killed", func(env *testEnv, reader string) { env.kill(reader) }},
		{"paused", func(env *testEnv, reader string) { env.net.Pause(reader) }},
		{"cut off from the store", func(env *testEnv, reader string) { env.net.SetPartitioned(reader, storeHost, true) }},
		{"cut off from the nodes", func(env *testEnv, reader string) {
			for _, n := range otherNodes(env, reader) {
				env.net.SetPartitioned(reader, n, true)
			}
		}},
		{"turned away by the store", func(env *testEnv, reader string) { env.site.Store.SetFaults(site.StoreFaults{Deny: []string{reader}}) }},
	}
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newShardedEnv(t)
				defer env.close()
				load := env.startLoad(loadDuration, faultStart)
				others := env.nodesWithoutShards(shards)
				if len(others) != 1 {
					t.Fatalf("the nodes %v own no shard, want one", others)
				}
				if read := env.metric(others[0], `switchbank_directory_read`); read != 1 {
					t.Fatalf("%s does not read the directory", others[0])
				}
				f.fail(env, others[0])
				env.worker(0).Drain()
				env.worker(7).RemoveFromDirectory()
				load.Wait()
				env.net.Resume(others[0])
				env.net.SetPartitioned(others[0], storeHost, false)
				for _, n := range otherNodes(env, others[0]) {
					env.net.SetPartitioned(others[0], n, false)
				}
				env.site.Store.SetFaults(site.StoreFaults{})
				env.checkJobsSettled()
				env.checkNoViolations()
			})
		})
	}
}

// TestListOfMachinesNeverAnswered has the connections over which nodes list the machines lose all
// data for 2 s, so that a call which was open then gets no answer. Afterwards one node must list the
// machines for all owners again.
func TestListOfMachinesNeverAnswered(t *testing.T) {
	const shards, workersOfShard, readers = 15, 2, 2
	const settled, cut, measured, listInterval = 5 * time.Second, 2 * time.Second, 20 * time.Second, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		env := newEnvWith(t, shards*workersOfShard, workersOfShard, func(env *testEnv) { env.site.Configure(1, routes()...) })
		defer env.close()
		time.Sleep(settled)
		setCut := func(cut bool) {
			for _, n := range env.nodeNames() {
				env.net.SetPartitioned(n, "machines", cut)
			}
		}
		setCut(true)
		time.Sleep(cut)
		setCut(false)
		time.Sleep(settled)
		listed := env.site.MachineLists()
		time.Sleep(measured)
		lists, least, most := env.site.MachineLists()-listed, int(measured/time.Second), readers*int(measured/listInterval)
		if lists < least || lists > most {
			t.Errorf("the machines were listed %d times, want %d to %d", lists, least, most)
		}
	})
}
