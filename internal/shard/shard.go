// SPDX-License-Identifier: Apache-2.0

// Package shard divides the cell's work into shards and gives each shard one
// owner at a time.
//
// A shard has a row in the platform's table that holds its owner and its epoch. A node
// takes a shard with a conditional write that raises the epoch, and only if the shard
// has no owner or the lease of its owner has certainly expired. The preferred owner is
// chosen by rendezvous hashing over the live nodes; nodes in the shard's data centre
// take precedence.
//
// # Usage
//
//	m := shard.New(table, lease, shard.Layout(64, dcs), handlers, opts, log)
//	g.Go(func() error { return m.Run(ctx) })
//	owner, ok := m.Owner(shard.JobKey("batch-7", 64))
package shard

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"switchbank.example/switchbank/internal/lease"
)

// Kind is the kind of a shard.
type Kind string

// The kinds of shard.
const (
	// KindJob shards hold jobs and request keys, divided by the hash of their names.
	KindJob Kind = "job"
	// KindWorker shards hold the workers of a data centre, divided by rack.
	KindWorker Kind = "worker"
)

// Key identifies a shard by its kind, its data centre if it is a worker shard, and a
// number, as in "job/007" or "worker/kosice-1/000".
type Key string

// Kind returns the kind of the shard.
func (k Key) Kind() Kind {
	kind, _, _ := strings.Cut(string(k), "/")
	return Kind(kind)
}

// DataCentre returns the data centre of a worker shard, or "".
func (k Key) DataCentre() string {
	parts := strings.Split(string(k), "/")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}

// DataCentre is a data centre and the number of its worker shards.
type DataCentre struct {
	Name         string `yaml:"name"`
	WorkerShards int    `yaml:"worker_shards"`
}

// Layout returns the keys of all shards.
func Layout(jobShards int, dcs []DataCentre) []Key {
	var keys []Key
	for i := range jobShards {
		keys = append(keys, jobKey(i))
	}
	for _, dc := range dcs {
		for i := range dc.WorkerShards {
			keys = append(keys, workerKey(dc.Name, i))
		}
	}
	return keys
}

// JobKey returns the key of the shard that holds the job or request key named id.
func JobKey(id string, jobShards int) Key {
	return jobKey(int(xxhash.Sum64String(id) % uint64(jobShards)))
}

// WorkerKey returns the key of the shard that holds the workers of a rack.
func WorkerKey(dc DataCentre, rack string) Key {
	return workerKey(dc.Name, int(xxhash.Sum64String(rack)%uint64(dc.WorkerShards)))
}

func jobKey(i int) Key { return Key(fmt.Sprintf("%s/%03d", KindJob, i)) }

func workerKey(dc string, i int) Key { return Key(fmt.Sprintf("%s/%s/%03d", KindWorker, dc, i)) }

// PreferredOwner returns the node that should own key, by rendezvous hashing over the
// nodes that are not draining. Nodes in the shard's data centre take precedence.
func PreferredOwner(key Key, nodes []lease.Node) (lease.Node, bool) {
	var best lease.Node
	var bestScore uint64
	found, bestLocal := false, false
	for _, n := range nodes {
		if n.Draining {
			continue
		}
		local := n.DataCentre == key.DataCentre()
		score := xxhash.Sum64String(string(key) + "\x00" + n.ID)
		better := !found || (local && !bestLocal) || (local == bestLocal && score > bestScore)
		if better {
			best, bestScore, bestLocal, found = n, score, local, true
		}
	}
	return best, found
}
