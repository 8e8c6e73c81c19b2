// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxShards bounds the shards of a service: each has a table for its jobs, and the platform's
// store has 100 tables.
const MaxShards = 64

// Layout assigns the workers of a service to shards, by rack. It is created once and
// persisted; all nodes have to use the same one.
type Layout struct {
	Service string `json:"service"`
	Shards  int    `json:"shards"`
	// Workers is the number of workers when the layout was created.
	Workers int `json:"workers,omitempty"`
	// Racks holds the racks known when the layout was created. Racks that are added later are
	// assigned to a shard by the hash of their name.
	Racks []RackShard `json:"racks,omitempty"`
}

// RackShard assigns a rack to a shard.
type RackShard struct {
	Rack  string `json:"rack"`
	Shard int    `json:"shard"`
}

// PlanLayout divides a service's machines by rack into shards of similar size, with about
// perShard workers at most.
func PlanLayout(service string, machines []Machine, perShard int) Layout {
	racks, total := racksOf(service, machines)
	l := Layout{Service: service, Workers: total, Shards: max(1, min((total+perShard-1)/perShard, len(racks), MaxShards))}
	if l.Shards == 1 {
		return l
	}
	sizes := make([]int, l.Shards)
	for _, r := range racks {
		least := slices.Index(sizes, slices.Min(sizes))
		sizes[least] += r.workers
		l.Racks = append(l.Racks, RackShard{Rack: r.name, Shard: least})
	}
	slices.SortFunc(l.Racks, func(a, b RackShard) int { return strings.Compare(a.Rack, b.Rack) })
	return l
}

// rack is a rack and the number of a service's machines in it.
type rack struct {
	name    string
	workers int
}

// racksOf returns the racks of a service's machines, the largest first, and the number of the
// machines.
func racksOf(service string, machines []Machine) (racks []rack, total int) {
	for _, m := range machines {
		if m.Service != service {
			continue
		}
		total++
		at := slices.IndexFunc(racks, func(r rack) bool { return r.name == m.Rack })
		if at < 0 {
			at = len(racks)
			racks = append(racks, rack{name: m.Rack})
		}
		racks[at].workers++
	}
	slices.SortFunc(racks, func(a, b rack) int {
		return cmp.Or(cmp.Compare(b.workers, a.workers), strings.Compare(a.name, b.name))
	})
	return racks, total
}

// ShardOf returns the index of the shard to which a rack belongs.
func (l *Layout) ShardOf(rack string) int {
	if l.Shards <= 1 {
		return 0
	}
	at, found := slices.BinarySearchFunc(l.Racks, rack, func(r RackShard, name string) int { return strings.Compare(r.Rack, name) })
	if found {
		return l.Racks[at].Shard
	}
	return int(xxhash.Sum64String(rack) % uint64(l.Shards))
}

// IDs returns the shards of the layout.
func (l *Layout) IDs() []ShardID {
	ids := make([]ShardID, l.Shards)
	for i := range ids {
		ids[i] = ShardID{l.Service, i}
	}
	return ids
}

// CandidateShards returns the indexes of the two shards (one, if there is only one) among
// which a job is placed by their load. They depend on the job's ID alone, so that any node
// knows which shards to ask for the job first.
func (l *Layout) CandidateShards(job string) []int {
	if l.Shards <= 1 {
		return []int{0}
	}
	sum := xxhash.Sum64String(job)
	n := uint64(l.Shards)
	first := sum % n
	second := (first + 1 + (sum/n)%(n-1)) % n
	return []int{int(first), int(second)}
}
