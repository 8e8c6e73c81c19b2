// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/fanout"
)

const (
	// cpuMilliPerWorker is what the calls of one busy worker use of a node's processor, in
	// thousandths of a core: four calls a second of 0.4 ms each.
	cpuMilliPerWorker = 1.6
	// maxCallCPUShare is how much of its processor a node spends at most on the calls of
	// workers: what is left has to bear bursts and takeovers.
	maxCallCPUShare = 0.25
	// minHelpers and helpersMost bound how many nodes help an owner: the loss of one
	// should concern few workers, and each costs the owner a connection and its messages.
	minHelpers = 4
	maxHelpers = 32
)

// newFanout returns the calls of workers for the owner of a shard.
func (n *Node) newFanout(shard cluster.ShardID, layout *cluster.Layout) *fanout.Client {
	return fanout.New(fanout.Config{
		Direct: n.Workers, Client: n.peers.client, Log: n.Log, Workers: layout.Workers / max(1, layout.Shards),
		Helpers:   func(workers int) ([]fanout.Helper, bool) { return n.helpers(shard, workers) },
		OnFailure: n.probeFailedHelper,
	})
}

// probeFailedHelper finds out whether a node that has failed as a helper is down, so that it
// isn't chosen again.
func (n *Node) probeFailedHelper(name string) {
	if q, ok := n.peers.get(name); ok {
		n.peers.pingShared(n.ctx, q.member)
	}
}

// helpers returns the nodes that should make the calls of so many workers for the owner
// of a shard: the next successors that own nothing, unless this one can make them itself.
func (n *Node) helpers(shard cluster.ShardID, workers int) (list []fanout.Helper, needed bool) {
	need := float64(workers) * cpuMilliPerWorker / maxCallCPUShare
	if need <= float64(n.me.CPUMilli) {
		return nil, false
	}
	for _, c := range successors(shard, n.peers.candidates()) {
		if (need <= 0 && len(list) >= minHelpers) || len(list) == maxHelpers {
			break
		}
		if c.owns == 0 {
			list = append(list, fanout.Helper{Name: c.Name, URL: "http://" + c.Address + pathWorkers})
			need -= float64(c.CPUMilli)
		}
	}
	return list, true
}
