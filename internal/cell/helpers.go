// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/fanout"
)

const (
	// cpuMilliPerWorker is the CPU that the calls of one busy worker take, in thousandths of
	// a core: four calls of 0.4 ms a second.
	cpuMilliPerWorker = 1.6
	// maxCallCPUShare is the maximum share of its CPU that a node spends on calls of workers;
	// the rest is needed for bursts and takeovers.
	maxCallCPUShare = 0.25
	// minHelpers and maxHelpers bound the helpers of an owner: losing one should affect few
	// workers, and each costs the owner a connection and its messages.
	minHelpers = 4
	maxHelpers = 32
)

// newFanout returns the client through which the owner of a shard calls its workers.
func (n *Node) newFanout(shard cluster.ShardID, layout *cluster.Layout) *fanout.Client {
	return fanout.New(fanout.Config{
		Direct: n.Workers, Client: n.peers.client, Log: n.Log, Workers: layout.Workers / max(1, layout.Shards),
		Helpers:   func(workers int) ([]fanout.Helper, bool) { return n.helpers(shard, workers) },
		OnFailure: n.probeFailedHelper,
	})
}

// probeFailedHelper pings a node that failed as a helper, so that it isn't chosen again if it
// is down.
func (n *Node) probeFailedHelper(name string) {
	if q, ok := n.peers.get(name); ok {
		n.peers.pingShared(n.ctx, q.member)
	}
}

// helpers returns the nodes that call workers for the owner of a shard: the first candidates
// that own no shard. needed is false if this node has enough CPU to call all the workers
// itself.
func (n *Node) helpers(shard cluster.ShardID, workers int) (list []fanout.Helper, needed bool) {
	need := float64(workers) * cpuMilliPerWorker / maxCallCPUShare
	if need <= float64(n.me.CPUMilli) {
		return nil, false
	}
	for _, c := range sortCandidates(shard, n.peers.candidates()) {
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
